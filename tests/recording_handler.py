"""Records which requests a listener hands to its handler."""

from __future__ import annotations

from nickelmount.agent.downstream import RequestHandler
from nickelmount.agent.listener import Listener
from nickelmount.agent.request_validation import ClientRequest


class RecordingHandler:
    """Passes everything on to the handler that a listener had, and keeps the requests that it accepted."""

    def __init__(self, server: Listener) -> None:
        self._handler: RequestHandler = server.handler
        self.accepted: list[ClientRequest] = []
        server.handler = self

    def accept(self, request: ClientRequest) -> None:
        self.accepted.append(request)
        self._handler.accept(request)

    def client_disconnected(self, request: ClientRequest) -> None:
        self._handler.client_disconnected(request)

    def answer_all_pending(self) -> None:
        self._handler.answer_all_pending()
