"""A request handler that records the requests that a listener gives to its handler."""

from __future__ import annotations

from nickelmount.agent.downstream import RequestHandler
from nickelmount.agent.listener import Listener
from nickelmount.agent.request_validation import ClientRequest


class RecordingHandler:
    """A handler in front of the handler of a listener, which records the accepted requests.

    It installs itself as the listener's handler and passes every call on to the handler that was there.
    """

    def __init__(self, listener: Listener) -> None:
        self._handler: RequestHandler = listener.handler
        self.accepted: list[ClientRequest] = []
        listener.handler = self

    def accept(self, request: ClientRequest) -> None:
        self.accepted.append(request)
        self._handler.accept(request)

    def client_disconnected(self, request: ClientRequest) -> None:
        self._handler.client_disconnected(request)

    def answer_all_pending(self) -> None:
        self._handler.answer_all_pending()
