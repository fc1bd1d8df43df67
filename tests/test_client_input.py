"""Input of clients: a valid request reaches an endpoint; any other input is answered and not forwarded."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.async_test import async_test
from tests.loopback import KEYED, NOT_IDEMPOTENT, loopback_setup, post
from tests.recording_handler import RecordingHandler

HEALTH_CHECK = b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"
CHUNKED = post(drop=("Content-Length",), body=b"", Transfer_Encoding="chunked")

# To a parser that uses Content-Length, these bytes are one body. To a parser that reads chunks, they are the
# end of a body and another request.
SMUGGLED = b"0\r\n\r\n" + post(body=b"hidden")

INVALID_FIELDS = {
    "no host": (post(drop=("Host",)), 400),
    "unknown path": (post(path="/apis"), 404),
    "unknown class": (post("paseo"), 400),
    "no class": (post(drop=("Request-Class",)), 400),
    "unknown tenant": (post(Tenant="nadie"), 400),
    "no timeout": (post(drop=("Request-Timeout-Ms",)), 400),
    "timeout of 0": (post(timeout_ms="0"), 400),
    "timeout below 0": (post(timeout_ms="-5"), 400),
    "timeout is not a number": (post(timeout_ms="soon"), 400),
    "timeout too large": (post(timeout_ms="9" * 30), 400),
    "no id": (post(drop=("Request-Id",)), 400),
    "key is missing": (post(KEYED, drop=("Idempotency-Key",)), 400),
    "key for a class that uses none": (post(NOT_IDEMPOTENT, Idempotency_Key="5c0f"), 400),
    "wrong method": (post().replace(b"POST", b"PUT"), 400),
}

INVALID_IDS = {
    f"id {value!r}": (post(Request_Id=value), 400) for value in ("", "a b", "a,b", "x" * 129, "\xe9", "a\tb")
}

REPEATED_FIELDS = {
    f"{name} twice": (post().replace(b"Host:", b"%s\r\nHost:" % line), 400)
    for name, line in {
        "id": b"Request-Id: 77",
        "class": b"Request-Class: vale-almacen",
        "timeout": b"Request-Timeout-Ms: 9",
        "key": b"Idempotency-Key: 1",
        "tenant": b"Tenant: norvalle",
        "host": b"Host: b",
        "length": b"Content-Length: 3",
        "other length": b"Content-Length: 9",
    }.items()
}

TOO_LARGE = {
    "header without end": (b"GET / HTTP/1.1\r\nX: " + b"x" * 40_000, 400),
    "many headers": (
        post()
        .replace(b"Host:", b"X: " + b"x" * 1000 + b"\r\nHost:")
        .replace(b"X:", b"\r\n".join(b"X%d: " % i + b"x" * 1000 for i in range(40)) + b"\r\nX:"),
        400,
    ),
    "too many headers": (post().replace(b"Host:", b"X:\r\n" * 100 + b"Host:"), 400),
    "body too large": (post(body=b"x" * 65_537), 413),
    "body far too large": (post(body=b"x" * 8_000_000), 413),  # It is answered before it is sent completely.
    "chunks too large": (CHUNKED + b"11170\r\n" + b"x" * 70_000 + b"\r\n0\r\n\r\n", 413),
}

INVALID_LENGTHS = {
    f"length {value!r}": (post(drop=("Content-Length",), Content_length=value), 400)
    for value in ("", "+3", "3, 3", "0x3", "three", "9" * 30)
} | {
    "negative length": (post(drop=("Content-Length",), body=b"", Content_length="-1"), 400),
    "a request hidden in the body": (post(body=SMUGGLED, Transfer_Encoding="chunked"), 400),
    "a request hidden in chunks, with a length": (
        post(drop=("Content-Length",), body=SMUGGLED, Transfer_Encoding="chunked", Content_length="5"),
        400,
    ),
    "unknown coding": (post(drop=("Content-Length",), body=b"", Transfer_Encoding="gzip"), 400),
    "coded chunks": (CHUNKED.replace(b"chunked", b"gzip, chunked") + b"4\r\nzzzz\r\n0\r\n\r\n", 400),
    "bad chunk": (CHUNKED + b"zz\r\n", 400),
}

MALFORMED = {
    "not HTTP": (b"hello\r\n\r\n", 400),
    "two requests at once": (post() + post(Request_Id="9b20"), 400),
    "a request and noise": (post() + b"noise", 400),
    "space before the colon": (post().replace(b"Tenant:", b"Tenant :"), 400),
    "folded header": (post().replace(b"Tenant:", b"X: a\r\n b\r\nTenant:"), 400),
    "bare line ends": (post().replace(b"\r\n", b"\n"), 400),
    "NUL in a header": (post(Tenant="nor\0valle"), 400),
    "another protocol": (post(Connection="upgrade", Upgrade="h2c"), 400),
    "HTTP/2.0": (post().replace(b"HTTP/1.1", b"HTTP/2.0"), 400),
    "HTTP/0.9": (b"GET /api\r\n\r\n", 400),
}

INVALID_INPUT: dict[str, tuple[bytes, int]] = (
    INVALID_FIELDS | INVALID_IDS | REPEATED_FIELDS | TOO_LARGE | INVALID_LENGTHS | MALFORMED
)


@pytest.mark.parametrize("name", INVALID_INPUT)
@async_test()
async def test_invalid_input_is_answered_and_not_forwarded(tmp_path: Path, name: str) -> None:
    # If the agent and an endpoint read the same input differently, an endpoint could run a request that no
    # client sent, or a request that was answered as failed. Such input gets an error and is not forwarded.
    # The next request is served.
    sent, status = INVALID_INPUT[name]
    async with loopback_setup(tmp_path) as setup:
        handler = RecordingHandler(setup.listener)
        client = await setup.send_request(sent)
        assert (await client.read()).status == status
        assert not setup.listener.open_request_ids
        assert not handler.accepted
        # The next request has the largest body that is allowed.
        client = await setup.send_request(post(body=b"x" * 65_536))
        await (await setup.next_request()).answer()
        assert (await client.read()).status == 200
        assert setup.nothing_sent()


@async_test()
async def test_health_check_succeeds_while_serving(tmp_path: Path) -> None:
    async with loopback_setup(tmp_path) as setup:
        for _ in range(2):
            client = await setup.send_request(HEALTH_CHECK)
            assert (await client.read()).status == 200


@async_test()
async def test_pipelined_request_gets_an_error_after_the_answer_in_flight(tmp_path: Path) -> None:
    # A client sends a second request and 8 MB more before its first request is answered. The agent must not
    # take these bytes for the body of the first request, and must not buffer all of them. The first request
    # is served. The second gets an error and is not forwarded.
    async with loopback_setup(tmp_path) as setup:
        handler = RecordingHandler(setup.listener)
        client = await setup.send_request(post())
        forwarded = await setup.next_request()
        client.writer.write(post(Request_Id="9b20") + b"x" * 8_000_000)
        (connection,) = setup.listener.connections
        while not connection.discards_input:
            await asyncio.sleep(0)
        await forwarded.answer()
        assert (await client.read()).status == 200
        assert (await client.read()).status == 400
        assert len(handler.accepted) == 1
        assert setup.nothing_sent()


@async_test()
async def test_duplicate_request_id_is_an_error_and_the_first_request_gets_its_answer(tmp_path: Path) -> None:
    # Two connections use the same Request-Id at the same time. If both requests were forwarded, the answer to
    # one could be taken for the answer to the other. The second gets an error. After the first request is
    # answered, the id can be used again.
    async with loopback_setup(tmp_path) as setup:
        handler = RecordingHandler(setup.listener)
        first = await setup.send_request(post())
        forwarded = await setup.next_request()
        second = await setup.send_request(post(body=b"other"))
        assert (await second.read()).status == 409
        await forwarded.answer(200, b"first's")
        assert (await first.read()).body == b"first's"
        assert len(handler.accepted) == 1
        assert setup.nothing_sent()
        await second.write(post())
        await (await setup.next_request()).answer()
        assert (await second.read()).status == 200


@async_test()
async def test_client_that_expects_100_continue_gets_it(tmp_path: Path) -> None:
    async with loopback_setup(tmp_path) as setup:
        head, _, body = post(Expect="100-continue").partition(b"\r\n\r\n")
        client = await setup.send_request(head + b"\r\n\r\n")
        assert (await client.read()).status == 100
        await client.write(body)
        await (await setup.next_request()).answer()
        assert (await client.read()).status == 200


@pytest.mark.parametrize("begun", [b"0\r\nX-Trailer: ", b"3\r\njob\r\n0\r\nX-Trailer: ", b"5;extension="])
@async_test()
async def test_endless_trailer_or_chunk_header_is_an_error_before_it_fills_the_memory(
    tmp_path: Path, begun: bytes
) -> None:
    # The parser buffers a line of a trailer or a chunk header until its end arrives. A client that sent a
    # line of 60 MB used up the memory of the agent.
    async with loopback_setup(tmp_path) as setup:
        client = await setup.send_request(CHUNKED + begun)
        (connection,) = setup.listener.connections
        sent_bytes = 0
        while not connection.is_lingering and sent_bytes < 8_000_000:
            await client.write(b"x" * 65536)
            sent_bytes += 65536
            await asyncio.sleep(0)
        assert (await client.read()).status == 400
        assert sent_bytes < 4_000_000
        assert setup.nothing_sent()
