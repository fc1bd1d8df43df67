"""The calls that discovery answers: a watch of the endpoint list, or a fetch of the complete list."""

from __future__ import annotations

from dataclasses import dataclass

from nickelmount.agent.http_message import HttpMessage
from nickelmount.errors import HttpError
from nickelmount.protocol.http_names import ENDPOINT_LIST_PATH

MAX_WAIT_MS = 60_000


@dataclass(frozen=True, slots=True)
class ListCall:
    """A call for the endpoint list."""

    index: int | None  # Revision that the client has, or None if it asks for the complete list.
    wait_ms: int  # Maximum time to wait for a change of that revision; 0 if the call does not wait.
    keep_alive: bool  # Whether the connection stays open after the answer.


def parse_list_call(request: HttpMessage) -> ListCall:
    """Return the call that a request contains; raises HttpError if the request is not a valid call."""
    path, separator, query = request.target.partition(b"?")
    if path != ENDPOINT_LIST_PATH.encode():
        raise HttpError(404, f"path is not {ENDPOINT_LIST_PATH}")
    if request.method != b"GET":
        raise HttpError(400, "method is not GET")
    if not separator:
        return ListCall(None, 0, request.keep_alive)
    parameters = [parameter.partition(b"=")[::2] for parameter in query.split(b"&")]
    values = {name: int(value) for name, value in parameters if value.isdigit() and len(value) < 19}
    if len(parameters) != 2 or values.keys() != {b"index", b"wait"} or values[b"wait"] > MAX_WAIT_MS:
        raise HttpError(400, f"query must consist of index and wait, with wait up to {MAX_WAIT_MS}")
    return ListCall(values[b"index"], values[b"wait"], request.keep_alive)
