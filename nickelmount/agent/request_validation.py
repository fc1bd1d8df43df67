"""The validation of clients' requests. An invalid request is answered at once and reaches no endpoint.

RequestValidator.validate makes these checks in order. The first one that fails determines the text of the
answer, whose status is always 400:

1. Host is present.
2. No header field of SINGLE_HEADERS is repeated.
3. Request-Class names a class of the settings.
4. The method is that of the class: GET if the class is idempotent without a key, otherwise POST.
5. Request-Id is present and well-formed.
6. Idempotency-Key is present and well-formed if the class uses one, and absent otherwise.
7. Tenant names a tenant of the settings, if the settings have any.
8. Request-Timeout-Ms is a number from 1 to MAX_TIMEOUT_MS.

The values of other header fields are not checked. A malformed Work-Hint counts as absent.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

from nickelmount.balancer.settings import DedupScope, Idempotency, RequestClass, Tenant
from nickelmount.errors import HttpError
from nickelmount.protocol import http_names

from .http_encoding import Headers
from .http_message import HttpMessage

MAX_TIMEOUT_MS = 24 * 3600 * 1000
MAX_NUMBER_DIGITS = 9
TOKEN = re.compile(rb"[A-Za-z0-9._:~+/=-]{1,128}")  # The form of Request-Id and Idempotency-Key.

FORWARDED_HEADERS = (
    http_names.REQUEST_ID,
    http_names.IDEMPOTENCY_KEY,
    http_names.REQUEST_CLASS,
    http_names.TENANT,
    http_names.CONTENT_TYPE,
)
# Header fields that must not be repeated. The agent and the endpoint could each use a different value of a
# repeated field.
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
# A function that gives a request its final answer: status, header fields and body.
Respond = Callable[["ClientRequest", int, Headers, bytes], None]


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A valid request of a client, and the function that answers it."""

    client_request_id: bytes  # Value of Request-Id; unique among the requests in flight.
    method: bytes
    target: bytes  # Path and query.
    headers: list[tuple[bytes, bytes]]  # Header fields that are forwarded to an endpoint.
    body: bytes
    request_class: int  # Index into Settings.classes.
    tenant: int  # Index into Settings.tenants; 0 if the settings have no tenants.
    timeout_us: int  # The client waits this long for its answer.
    cost_us: int  # Rough estimate of the work, in microseconds on a standard core; 0 if it is unknown.
    # Sent to an endpoint again, the request does no harm, although it may have run.
    is_repeatable: bool
    is_retry: bool  # The client sent the request before, and it was rejected or not answered.
    respond: Respond
    request_id: int = 0  # The agent's own id, set by the handler that accepts the request.
    # Tells whether the client has disconnected, even if the event loop has not read its close yet.
    has_client_disconnected: Callable[[], bool] = lambda: False
    # Tells whether the client has disconnected or may have: it sends more than this request, and a close may
    # be hidden behind bytes that nobody has read.
    may_client_have_left: Callable[[], bool] = lambda: False


def is_repeatable(request_class: RequestClass) -> bool:
    """Whether any endpoint may run a request of this class again, or drops it as a repeat."""
    if request_class.idempotency is Idempotency.WITH_KEY:
        return request_class.dedup_scope is DedupScope.ALL
    return request_class.idempotency is Idempotency.ALWAYS


class RequestValidator:
    """The checks that turn an HTTP request into a ClientRequest, for given classes and tenants."""

    def __init__(self, classes: tuple[RequestClass, ...], tenants: tuple[Tenant, ...]) -> None:
        self._classes = {
            request_class.name.encode(): (index, request_class.idempotency)
            for index, request_class in enumerate(classes)
        }
        self._is_repeatable = [is_repeatable(request_class) for request_class in classes]
        self._tenants = {tenant.name.encode(): index for index, tenant in enumerate(tenants)}

    def validate(self, message: HttpMessage, respond: Respond) -> ClientRequest:
        """Check a message and return it as a ClientRequest; raises HttpError if a check fails.

        The status and the text of the error are the answer to the client.
        """
        fields = message.headers
        _check_host(fields)
        _check_single_headers(message.repeated_headers)
        request_class, idempotency = self._find_class(fields)
        _check_method(message.method, idempotency)
        request_id = _parse_request_id(fields)
        _check_idempotency_key(fields, idempotency)
        return ClientRequest(
            client_request_id=request_id,
            method=message.method,
            target=message.target,
            headers=[(name, fields[name]) for name in FORWARDED_HEADERS if name in fields],
            body=message.take_body(),
            request_class=request_class,
            tenant=self._find_tenant(fields),
            timeout_us=_parse_timeout_us(fields),
            cost_us=_parse_number(fields, http_names.WORK_HINT) or 0,
            is_repeatable=self._is_repeatable[request_class],
            is_retry=fields.get(http_names.CLIENT_RETRY) == b"1",
            respond=respond,
        )

    def _find_class(self, fields: HeaderFields) -> tuple[int, Idempotency]:
        found = self._classes.get(fields.get(http_names.REQUEST_CLASS, b""))
        if found is None:
            raise HttpError(400, "unknown Request-Class")
        return found

    def _find_tenant(self, fields: HeaderFields) -> int:
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


def _parse_request_id(fields: HeaderFields) -> bytes:
    request_id = fields.get(http_names.REQUEST_ID, b"")
    if not TOKEN.fullmatch(request_id):
        raise HttpError(400, "Request-Id is missing or malformed")
    return request_id


def _check_idempotency_key(fields: HeaderFields, idempotency: Idempotency) -> None:
    """Check that the key is well-formed if the class uses one, and absent otherwise; raises HttpError.

    Without the key, an endpoint could not tell a repeated request from a new one.
    """
    key = fields.get(http_names.IDEMPOTENCY_KEY)
    if idempotency is Idempotency.WITH_KEY:
        is_valid = key is not None and TOKEN.fullmatch(key) is not None
    else:
        is_valid = key is None
    if not is_valid:
        raise HttpError(400, "Idempotency-Key does not fit the class")


def _parse_number(fields: HeaderFields, name: bytes) -> int | None:
    """Return the value of a header field as a number, or None if it is absent or malformed."""
    text = fields.get(name, b"")
    return int(text) if text.isdigit() and len(text) <= MAX_NUMBER_DIGITS else None


def _parse_timeout_us(fields: HeaderFields) -> int:
    timeout_ms = _parse_number(fields, http_names.REQUEST_TIMEOUT_MS)
    if not timeout_ms or timeout_ms > MAX_TIMEOUT_MS:
        raise HttpError(400, "bad Request-Timeout-Ms")
    return timeout_ms * 1000
