"""What a client's request must be to be accepted. Any other is answered at once and reaches no endpoint.

RequestValidator.check goes through these steps in order. The first that fails is what the client is answered,
each time with status 400:

1. Host is there.
2. No header field that a decision depends on is repeated.
3. Request-Class names a class of the settings.
4. The method is that of the class: GET where it is idempotent, else POST.
5. Request-Id is there and well formed.
6. Idempotency-Key is there and well formed where the class works with one, and absent elsewhere.
7. Tenant names a tenant of the settings, if these have any.
8. Request-Timeout-Ms is a number within its bounds.

Header fields beside these are not checked. Work-Hint counts as absent where it is malformed.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

from nickelmount.balancer.settings import Idempotency, RequestClass, Tenant
from nickelmount.errors import HttpError
from nickelmount.protocol import http_names

from .http import Headers, HttpMessage

MAX_TIMEOUT_MS = 24 * 3600 * 1000
MAX_NUMBER_DIGITS = 9
TOKEN = re.compile(rb"[A-Za-z0-9._:~+/=-]{1,128}")  # a well formed Request-Id or Idempotency-Key

FORWARDED_HEADERS = (
    http_names.REQUEST_ID,
    http_names.IDEMPOTENCY_KEY,
    http_names.REQUEST_CLASS,
    http_names.TENANT,
    http_names.CONTENT_TYPE,
)
# Were one of these repeated, the agent and the endpoint could each go by another of its values.
SINGLE_HEADERS = frozenset(
    (
        http_names.HOST,
        http_names.REQUEST_ID,
        http_names.IDEMPOTENCY_KEY,
        http_names.REQUEST_CLASS,
        http_names.TENANT,
        http_names.REQUEST_TIMEOUT_MS,
        http_names.CLIENT_RETRY,
        http_names.CONTENT_TYPE,
    )
)

HeaderFields = dict[bytes, bytes]
# Gives the final answer of a request: status, header fields, body.
Respond = Callable[["ClientRequest", int, Headers, bytes], None]


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request of a client that has passed all checks, and the way to answer it."""

    client_request_id: bytes  # Request-Id, unique among the requests in flight
    method: bytes
    target: bytes  # path and query
    headers: list[tuple[bytes, bytes]]  # those that are forwarded to an endpoint
    body: bytes
    request_class: int  # index into Settings.classes
    tenant: int  # index into Settings.tenants; 0 where there are none
    timeout_us: int  # how long the client waits
    cost_us: int  # rough work on a standard core; 0: unknown
    is_retry: bool  # the client asked before and was rejected or not answered
    respond: Respond
    request_id: int = 0  # the agent's own, set by the handler that accepts the request
    # Whether the client has disconnected, even if the event loop has not read its close yet.
    has_client_disconnected: Callable[[], bool] = lambda: False


class RequestValidator:
    """Turns an HTTP request into a ClientRequest, by the classes and tenants of the settings."""

    def __init__(self, classes: tuple[RequestClass, ...], tenants: tuple[Tenant, ...]) -> None:
        self._classes = {
            request_class.name.encode(): (index, request_class.idempotency)
            for index, request_class in enumerate(classes)
        }
        self._tenants = {tenant.name.encode(): index for index, tenant in enumerate(tenants)}

    def check(self, message: HttpMessage, respond: Respond) -> ClientRequest:
        """Return the request; raises HttpError with the status and the text that its client is answered."""
        fields = message.headers
        _check_host(fields)
        _check_single_headers(message.repeated_headers)
        request_class, idempotency = self._request_class(fields)
        _check_method(message.method, idempotency)
        request_id = _request_id(fields)
        _check_idempotency_key(fields, idempotency)
        return ClientRequest(
            client_request_id=request_id,
            method=message.method,
            target=message.target,
            headers=[(name, fields[name]) for name in FORWARDED_HEADERS if name in fields],
            body=bytes(message.body),
            request_class=request_class,
            tenant=self._tenant(fields),
            timeout_us=_timeout_us(fields),
            cost_us=_number(fields, http_names.WORK_HINT) or 0,
            is_retry=fields.get(http_names.CLIENT_RETRY) == b"1",
            respond=respond,
        )

    def _request_class(self, fields: HeaderFields) -> tuple[int, Idempotency]:
        found = self._classes.get(fields.get(http_names.REQUEST_CLASS, b""))
        if found is None:
            raise HttpError(400, "unknown Request-Class")
        return found

    def _tenant(self, fields: HeaderFields) -> int:
        if not self._tenants:
            return 0
        index = self._tenants.get(fields.get(http_names.TENANT, b""))
        if index is None:
            raise HttpError(400, "unknown Tenant")
        return index


def _check_host(fields: HeaderFields) -> None:
    if http_names.HOST not in fields:
        raise HttpError(400, "Host is missing")


def _check_single_headers(repeated_headers: set[bytes]) -> None:
    if not SINGLE_HEADERS.isdisjoint(repeated_headers):
        raise HttpError(400, "a header is there twice")


def _check_method(method: bytes, idempotency: Idempotency) -> None:
    expected = b"GET" if idempotency is Idempotency.ALWAYS else b"POST"
    if method != expected:
        raise HttpError(400, "method does not fit the class")


def _request_id(fields: HeaderFields) -> bytes:
    request_id = fields.get(http_names.REQUEST_ID, b"")
    if not TOKEN.fullmatch(request_id):
        raise HttpError(400, "Request-Id is missing or malformed")
    return request_id


def _check_idempotency_key(fields: HeaderFields, idempotency: Idempotency) -> None:
    """Without its key no endpoint could tell a repeated request from a new one."""
    key = fields.get(http_names.IDEMPOTENCY_KEY)
    if idempotency is Idempotency.WITH_KEY:
        is_valid = key is not None and TOKEN.fullmatch(key) is not None
    else:
        is_valid = key is None
    if not is_valid:
        raise HttpError(400, "Idempotency-Key does not fit the class")


def _number(fields: HeaderFields, name: bytes) -> int | None:
    """Return a header field as a number; None where it is absent or malformed."""
    text = fields.get(name, b"")
    return int(text) if text.isdigit() and len(text) <= MAX_NUMBER_DIGITS else None


def _timeout_us(fields: HeaderFields) -> int:
    timeout_ms = _number(fields, http_names.REQUEST_TIMEOUT_MS)
    if not timeout_ms or timeout_ms > MAX_TIMEOUT_MS:
        raise HttpError(400, "bad Request-Timeout-Ms")
    return timeout_ms * 1000
