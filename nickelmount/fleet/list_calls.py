"""The calls that discovery answers: a watch of the endpoint list, or a fetch of the complete one."""

from __future__ import annotations

from dataclasses import dataclass

from nickelmount.agent.http import HttpMessage
from nickelmount.errors import HttpError
from nickelmount.protocol.http_names import ENDPOINT_LIST_PATH

MAX_WAIT_MS = 60_000


@dataclass(frozen=True, slots=True)
class ListCall:
    """One call for the list."""

    index: int | None  # the revision that the client has; None: it asks for the complete list
    wait_ms: int  # how long the call waits for a change of that revision; 0: not at all
    keep_alive: bool  # the connection stays open after the answer


def parse_list_call(request: HttpMessage) -> ListCall:
    """Return the call that a request holds; raises HttpError where it holds none."""
    path, separator, query = request.target.partition(b"?")
    if path != ENDPOINT_LIST_PATH.encode():
        raise HttpError(404, "no such path")
    if request.method != b"GET":
        raise HttpError(400, "no such method")
    if not separator:
        return ListCall(None, 0, request.keep_alive)
    parameters = [parameter.partition(b"=")[::2] for parameter in query.split(b"&")]
    values = {name: int(value) for name, value in parameters if value.isdigit() and len(value) < 19}
    if len(parameters) != 2 or values.keys() != {b"index", b"wait"} or values[b"wait"] > MAX_WAIT_MS:
        raise HttpError(400, "neither a watch nor a call for the list")
    return ListCall(values[b"index"], values[b"wait"], request.keep_alive)
