"""The client accepts only complete replies that belong to the request."""

import asyncio
import socket
import struct

import pytest

from greengagedale.http1 import client
from greengagedale.http1 import messages

REQUEST = messages.encode_request(b"GET", b"/x", ((b"host", b"a"),), b"")
REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nRequest-Id: r1\r\n\r\nhello"
OTHER_REPLY = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nRequest-Id: r0\r\n\r\nold"
)
UNFRAMED = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello"


@pytest.fixture
async def connect():
    """Starts a server that runs a script per request, and connects to it."""
    servers = []

    async def start(script, limits=None):
        async def handle(reader, writer):
            while True:
                try:
                    await reader.readuntil(b"\r\n\r\n")
                    await script(writer)
                except (asyncio.IncompleteReadError, ConnectionError):
                    return

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        return await client.Connection.open("127.0.0.1", port, 1.0, limits)

    yield start
    for server in servers:
        server.close()


def write_script(data, then=None):
    async def script(writer):
        writer.write(data)
        await writer.drain()
        if then is not None:
            then(writer)

    return script


def reset(writer):
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def is_r1(reply):
    return reply.header(b"request-id") == b"r1"


async def test_complete_reply_leaves_the_connection_usable(connect):
    connection = await connect(write_script(REPLY))
    for _ in range(2):
        reply = await connection.exchange(REQUEST)
        assert (reply.status, reply.body) == (200, b"hello")
    assert connection.is_usable


async def test_reply_without_length_is_complete_after_an_orderly_close(connect):
    connection = await connect(write_script(UNFRAMED, lambda w: w.close()))
    reply = await connection.exchange(REQUEST)
    assert reply.body == b"hello"
    assert not reply.is_framed
    assert not connection.is_usable


async def test_reply_without_length_is_incomplete_after_a_reset(connect):
    connection = await connect(write_script(UNFRAMED, reset))
    reply = await connection.exchange(REQUEST)
    assert isinstance(reply, client.ExchangeFailure)
    assert reply.sent


class _ClosedTransport:
    """A transport whose event loop reports a reset as an orderly close."""

    def __init__(self, pending_error):
        self._pending_error = pending_error

    def get_extra_info(self, name):
        del name
        return self

    def getsockopt(self, level, option):
        del level, option
        return self._pending_error

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return False

    def write(self, data):
        del data

    def close(self):
        pass


@pytest.mark.parametrize("pending_error", [0, 104])
async def test_pending_socket_error_distinguishes_reset_from_close(
    pending_error,
):
    connection = client.Connection()
    connection.connection_made(_ClosedTransport(pending_error))
    task = asyncio.ensure_future(connection.exchange(REQUEST))
    await asyncio.sleep(0)
    connection.data_received(UNFRAMED)
    connection.eof_received()
    connection.connection_lost(None)
    reply = await task
    assert isinstance(reply, client.ExchangeFailure) == bool(pending_error)


@pytest.mark.parametrize(
    "data", [REPLY[:-2], b"HTTP/1.1 2", b"nonsense\r\n\r\n", b""]
)
async def test_truncated_or_malformed_reply_is_a_failure(connect, data):
    connection = await connect(write_script(data, lambda w: w.close()))
    reply = await connection.exchange(REQUEST)
    assert isinstance(reply, client.ExchangeFailure)
    assert not connection.is_usable


async def test_reply_to_another_request_is_skipped(connect):
    connection = await connect(write_script(OTHER_REPLY + REPLY))
    reply = await connection.exchange(REQUEST, is_r1)
    assert reply.body == b"hello"
    assert not connection.is_usable


@pytest.mark.parametrize("extra", [REPLY, b"more", b"HTTP/1.1 200"])
async def test_extra_bytes_after_a_reply_close_the_connection(connect, extra):
    connection = await connect(write_script(REPLY + extra))
    reply = await connection.exchange(REQUEST)
    assert reply.body == b"hello"
    assert not connection.is_usable


async def test_unsolicited_bytes_close_the_connection(connect):
    async def script(writer):
        writer.write(REPLY)
        await asyncio.sleep(0.02)
        writer.write(REPLY)

    connection = await connect(script)
    await connection.exchange(REQUEST)
    await asyncio.sleep(0.1)
    assert not connection.is_usable


async def test_informational_replies_are_not_final(connect):
    connection = await connect(
        write_script(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + REPLY)
    )
    reply = await connection.exchange(REQUEST)
    assert (reply.status, reply.body) == (200, b"hello")


async def test_cancelled_request_closes_the_connection(connect):
    connection = await connect(write_script(b""))
    task = asyncio.ensure_future(connection.exchange(REQUEST))
    await asyncio.sleep(0.02)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert not connection.is_usable


async def test_closed_connection_sends_nothing(connect):
    connection = await connect(write_script(REPLY))
    connection.close()
    reply = await connection.exchange(REQUEST)
    assert reply == client.ExchangeFailure(
        "the connection is closed", sent=False
    )


async def test_reply_to_head_has_no_body(connect):
    connection = await connect(
        write_script(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
    )
    reply = await connection.exchange(REQUEST, is_head=True)
    assert (reply.status, reply.body) == (200, b"")


LIMITS = client.ReplyLimits(max_head_bytes=2000, max_body_bytes=100_000)
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNBOUNDED_REPLIES = {
    "status line": (b"HTTP/1.1 200 ", b"x" * 1000),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 100),
    "one header": (b"HTTP/1.1 200 OK\r\nX-A: ", b"b" * 1000),
    "informational": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 50),
    "body until the end": (UNFRAMED, b"b" * 10_000),
    "chunks": (CHUNKED, b"3e8\r\n" + b"b" * 1000 + b"\r\n"),
    "tiny chunks": (CHUNKED, b"1\r\nb\r\n" * 100),
    "chunk extension": (CHUNKED + b"1;", b"x" * 1000),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: b\r\n" * 100),
    "other answers": (b"", OTHER_REPLY),
}


# Guards against hosts that run out of memory: a faulty upstream may send data
# that never completes a reply until its connection is closed.
@pytest.mark.parametrize("case", UNBOUNDED_REPLIES)
async def test_unbounded_reply_is_aborted(connect, case):
    head, piece = UNBOUNDED_REPLIES[case]
    is_closed = asyncio.Event()
    sent_bytes = 0

    async def respond(writer):
        nonlocal sent_bytes
        writer.write(head)
        try:
            while not writer.is_closing():
                writer.write(piece)
                sent_bytes += len(piece)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            pass
        is_closed.set()

    connection = await connect(respond, LIMITS)
    async with asyncio.timeout(5.0):
        reply = await connection.exchange(REQUEST, is_r1)
        await is_closed.wait()
    assert isinstance(reply, client.ExchangeFailure)
    assert reply.sent
    assert not connection.is_usable
    assert len(connection._body) <= LIMITS.max_body_bytes


# A host that parses all that a read holds stands still meanwhile: 256 KiB of
# headers take ten times as long as the limit allows.
@pytest.mark.parametrize("head", [b"", CHUNKED + b"0\r\n"])
async def test_headers_beyond_the_limit_are_not_parsed(connect, head):
    data = (head or b"HTTP/1.1 200 OK\r\n") + b"ab:c\r\n" * 40_000
    connection = await connect(write_script(data), LIMITS)
    parsed = []
    on_header = connection.on_header

    def record(name, value):
        parsed.append(name)
        on_header(name, value)

    connection.on_header = record
    reply = await connection.exchange(REQUEST)
    assert isinstance(reply, client.ExchangeFailure)
    assert len(parsed) <= LIMITS.max_head_bytes // len(b"ab: c\r\n") + 1


@pytest.mark.parametrize("is_chunked", [False, True])
async def test_largest_allowed_reply_is_accepted(connect, is_chunked):
    body = b"b" * LIMITS.max_body_bytes
    data = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + body
    if is_chunked:
        chunk = b"10\r\n" + body[:16] + b"\r\n"
        data = CHUNKED + chunk * (len(body) // 16) + b"0\r\n\r\n"
    connection = await connect(write_script(data), LIMITS)
    reply = await connection.exchange(REQUEST)
    assert reply.body == body
    assert connection.is_usable


async def test_reply_with_too_large_content_length_is_not_read(connect):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 100001\r\n\r\n"
    connection = await connect(write_script(head), LIMITS)
    async with asyncio.timeout(1.0):
        reply = await connection.exchange(REQUEST)
    assert isinstance(reply, client.ExchangeFailure)
