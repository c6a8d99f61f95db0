"""Parsing, refusal and cancellation of requests by the HTTP/1.1 server."""

import asyncio

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from greengagedale import clocks
from greengagedale.http1 import connection_budget
from greengagedale.http1 import messages
from greengagedale.http1 import read_turns
from greengagedale.http1 import server

# More than the kernel takes of a response that its client does not read.
LARGE_BYTES = 32 * 1024 * 1024
GET = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"


class Echo(server.Handler):
    """Responds with the request body, or waits until it is cancelled."""

    def __init__(self):
        self.requests = []
        self.cancelled = 0
        self.current_limits = server.Limits(
            max_header_bytes=1000, max_body_bytes=100
        )

    def limits(self):
        return self.current_limits

    async def handle(self, request):
        self.requests.append(request)
        if request.target == b"/wait":
            try:
                await asyncio.sleep(30)
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        if request.target == b"/fail":
            raise RuntimeError("a fault of the handler")
        if request.target == b"/slow":
            await asyncio.sleep(2 * server.LINGER_TIMEOUT_S)
        if request.target == b"/large":
            return messages.Response(200, (), b"a" * LARGE_BYTES)
        return messages.Response(200, (), request.body)


@pytest.fixture
async def echo():
    handler = Echo()
    listener = server.Server(handler, clocks.MonotonicClock())
    await listener.start("127.0.0.1", 0)
    handler.server = listener
    handler.port = listener._listener.sockets[0].getsockname()[1]
    yield handler
    listener.close()


async def send_raw(echo, data, wait_s=1.0):
    reader, writer = await asyncio.open_connection("127.0.0.1", echo.port)
    writer.write(data)
    try:
        async with asyncio.timeout(wait_s):
            return await reader.read()
    except TimeoutError:
        return b"(open)"
    finally:
        writer.close()


def with_connection_close(data):
    return data.replace(b"Host", b"Connection: close\r\nHost", 1)


async def test_requests_on_one_connection_are_answered_in_order(echo):
    bodies = [b"a", b"bb"]
    data = b"".join(
        messages.encode_request(b"POST", b"/x", ((b"host", b"a"),), body)
        for body in bodies
    )
    reply = await send_raw(echo, data + with_connection_close(GET))
    assert reply.count(b"HTTP/1.1 200") == 3
    assert reply.index(b"\r\n\r\na") < reply.index(b"\r\n\r\nbb")


async def test_chunked_body_is_decoded(echo):
    data = (
        b"POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    assert (await send_raw(echo, data)).endswith(b"\r\n\r\nabcde")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /x HTTP/1.1\r\nHost: a\r\nBad Header: 1\r\n\r\n", 400),
        (
            b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", 400),
        (b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", 413),
        (
            b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"65\r\n" + b"x" * 101,
            413,
        ),
        (b"GET /x HTTP/1.1\r\nHost: " + b"a" * 2000 + b"\r\n\r\n", 431),
        (b"GET /x HTTP/1.1\r\nHost: " + b"a" * 4000, 431),
    ],
)
async def test_bad_requests_are_refused_without_calling_the_handler(
    echo, data, status
):
    reply = await send_raw(echo, data, 2.0)
    assert reply.startswith(b"HTTP/1.1 %d" % status)
    assert not echo.requests


async def test_upgrade_is_ignored_and_closes_the_connection(echo):
    data = (
        b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\n"
        b"Upgrade: websocket\r\n\r\n"
    )
    reply = await send_raw(echo, data + GET)
    assert reply.count(b"HTTP/1.1") == 1
    assert b"Connection: close" in reply


async def test_bad_request_does_not_affect_other_connections(echo):
    slow = asyncio.create_task(
        send_raw(echo, GET.replace(b"/x", b"/wait"), wait_s=0.3)
    )
    await send_raw(echo, b"nonsense\r\n\r\n")
    assert await slow == b"(open)"


async def test_slow_headers_time_out(echo):
    echo.current_limits = server.Limits(header_timeout_ms=100.0)
    reply = await send_raw(echo, b"GET /x HTTP/1.1\r\nHo", 3.0)
    assert reply.startswith(b"HTTP/1.1 408")


async def test_idle_connections_are_closed(echo):
    echo.current_limits = server.Limits(idle_timeout_ms=100.0)
    reply = await send_raw(echo, GET, 3.0)
    assert reply.startswith(b"HTTP/1.1 200")


async def test_client_disconnect_cancels_its_request(echo):
    await send_raw(echo, GET.replace(b"/x", b"/wait"), wait_s=0.1)
    await asyncio.sleep(0.1)
    assert echo.cancelled == 1


async def test_handler_exception_returns_500_and_closes_the_connection(echo):
    reply = await send_raw(echo, GET.replace(b"/x", b"/fail"))
    assert reply.startswith(b"HTTP/1.1 500")


async def test_closing_server_closes_connections_after_the_response(echo):
    echo.server.closing = True
    reply = await send_raw(echo, GET)
    assert b"Connection: close" in reply
    assert reply.startswith(b"HTTP/1.1 200")


async def test_continue_is_sent_when_the_client_expects_it(echo):
    reader, writer = await asyncio.open_connection("127.0.0.1", echo.port)
    writer.write(
        b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
        b"Expect: 100-continue\r\n\r\n"
    )
    assert b"100 Continue" in await reader.readuntil(b"\r\n\r\n")
    writer.write(b"ok")
    assert b"200 OK" in await reader.readuntil(b"ok")
    writer.close()


@settings(max_examples=60, deadline=None)
@given(strategies.binary(max_size=300))
def test_arbitrary_input_does_not_stop_the_server(data):
    async def run():
        handler = Echo()
        listener = server.Server(handler, clocks.MonotonicClock())
        await listener.start("127.0.0.1", 0)
        handler.port = listener._listener.sockets[0].getsockname()[1]
        try:
            await send_raw(handler, data, 0.01)
            reply = await send_raw(handler, with_connection_close(GET))
            assert reply.startswith(b"HTTP/1.1 200")
        finally:
            listener.close()

    asyncio.run(run())


CHUNKED = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


# Guards against hosts that run out of memory: chunk framing and trailers count
# towards the size limits, as the headers before the body do.
@pytest.mark.parametrize(
    ("head", "piece"),
    [
        (CHUNKED + b"0\r\n", b"X-A: b\r\n" * 100),
        (CHUNKED + b"0\r\nX-A: ", b"b" * 1000),
        (CHUNKED + b"1;", b"x" * 1000),
    ],
)
async def test_request_with_unbounded_framing_is_refused(echo, head, piece):
    reader, writer = await asyncio.open_connection("127.0.0.1", echo.port)
    writer.write(head)
    sent_bytes = 0
    async with asyncio.timeout(5.0):
        try:
            while sent_bytes < 10_000_000:
                writer.write(piece)
                sent_bytes += len(piece)
                await writer.drain()
                if reader.at_eof() or reader._buffer:
                    break
                await asyncio.sleep(0)
        except ConnectionError:
            pass
    reply = await reader.read(100)
    assert reply.startswith(b"HTTP/1.1 431") or sent_bytes < 2_000_000
    assert sent_bytes < 10_000_000
    assert echo.requests == []
    writer.close()


LARGE_GET = GET.replace(b"/x", b"/large")
SLOW_GET = GET.replace(b"/x", b"/slow")


async def test_endless_empty_lines_before_a_request_are_refused(echo):
    reply = await send_raw(echo, b"\r\n" * 1000)
    assert reply.startswith(b"HTTP/1.1 400")
    assert echo.requests == []


async def test_few_empty_lines_before_a_request_are_ignored(echo):
    reply = await send_raw(echo, b"\r\n" * 100 + with_connection_close(GET))
    assert reply.startswith(b"HTTP/1.1 200")


async def test_request_waits_until_the_responses_before_it_are_read(echo):
    reader, writer = await asyncio.open_connection("127.0.0.1", echo.port)
    writer.write(LARGE_GET * 3 + with_connection_close(GET))
    await asyncio.sleep(0.3)
    assert len(echo.requests) == 1
    assert echo.server.unanswered_requests == 1
    async with asyncio.timeout(20.0):
        reply = await reader.read()
    assert reply.count(b"HTTP/1.1 200") == 4
    assert len(reply) > 3 * LARGE_BYTES
    writer.close()


async def test_client_that_does_not_read_is_cut_off(echo):
    echo.server.send_timeout_ms = 100.0
    _, writer = await asyncio.open_connection("127.0.0.1", echo.port)
    writer.write(LARGE_GET)
    await asyncio.sleep(0.1)
    assert len(echo.server.connections) == 1
    async with asyncio.timeout(5.0):
        while echo.server.connections:
            await asyncio.sleep(0.05)
    writer.close()


async def test_client_that_reads_slowly_gets_the_whole_response(echo):
    echo.server.send_timeout_ms = 600.0
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", echo.port, limit=1024 * 1024
    )
    writer.write(with_connection_close(LARGE_GET))
    received_bytes = 0
    while data := await reader.read(4 * 1024 * 1024):
        received_bytes += len(data)
        await asyncio.sleep(0.02)
    assert received_bytes > LARGE_BYTES
    writer.close()


async def test_refusal_follows_the_response_to_the_request_before_it(echo):
    reply = await send_raw(echo, SLOW_GET + b"nonsense\r\n\r\n", 5.0)
    assert reply.startswith(b"HTTP/1.1 200")
    assert reply.count(b"HTTP/1.1") == 2
    assert b"HTTP/1.1 400" in reply
    assert echo.cancelled == 0


async def test_requests_before_too_many_in_a_row_are_answered(echo):
    reply = await send_raw(echo, GET * 40, 5.0)
    accepted = server.MAX_PIPELINED_REQUESTS + 1
    assert reply.count(b"HTTP/1.1 200") == accepted
    assert reply.count(b"HTTP/1.1 503") == 1
    assert b"Retry-After" in reply
    assert len(echo.requests) == accepted


async def test_refusal_that_is_just_sent_counts_as_unanswered(echo):
    reader, writer = await asyncio.open_connection("127.0.0.1", echo.port)
    writer.write(b"nonsense\r\n\r\n")
    await reader.readuntil(b"\r\n\r\n")
    assert echo.server.unanswered_requests == 1
    echo.server.close_idle()
    assert echo.server.unanswered_requests == 1
    async with asyncio.timeout(5.0):
        while echo.server.unanswered_requests:
            await asyncio.sleep(0.05)
    writer.close()


async def test_body_in_chunks_of_one_byte_is_accepted(echo):
    echo.current_limits = server.Limits(
        max_header_bytes=1000, max_body_bytes=20_000
    )
    data = with_connection_close(CHUNKED) + b"1\r\nx\r\n" * 20_000
    reply = await send_raw(echo, data + b"0\r\n\r\n", 5.0)
    assert reply.startswith(b"HTTP/1.1 200")
    assert reply.endswith(b"x" * 20_000)


class FakeTransport:
    """A transport that records whether the connection reads."""

    def __init__(self):
        self.is_reading = True
        self.written = b""

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True

    def write(self, data):
        self.written += data

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, name):
        del name

    def is_closing(self):
        return False

    def close(self):
        pass


def receive(connection, data):
    """Passes data to a connection, as much as it reads at once."""
    buffer = connection.get_buffer(-1)
    length = min(len(buffer), len(data))
    buffer[:length] = data[:length]
    connection.buffer_updated(length)
    return length


# Answers the load of clients that send faster than the process can parse.
@pytest.mark.parametrize(
    "data",
    [
        CHUNKED + b"1\r\nx\r\n" * 20_000,
        b"POST /x HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n" + b"x" * 100_000,
        b"nonsense\r\n\r\n" + b"x" * 100_000,
    ],
)
async def test_client_that_sends_without_pause_reads_in_turns(echo, data):
    echo.current_limits = server.Limits()
    connection = server._Connection(echo.server)
    transport = FakeTransport()
    connection.connection_made(transport)
    received_bytes = 0
    while transport.is_reading:
        received_bytes += receive(connection, data[received_bytes:])
    assert received_bytes <= 2 * read_turns.TURN_BYTES
    async with asyncio.timeout(1.0):
        while not transport.is_reading:
            await asyncio.sleep(0)
    connection.connection_lost(None)


async def test_requests_smaller_than_a_turn_never_wait(echo):
    connection = server._Connection(echo.server)
    transport = FakeTransport()
    connection.connection_made(transport)
    for _ in range(2000):
        receive(connection, GET)
        assert len(echo.server.turns) == 0
        async with asyncio.timeout(1.0):
            while connection.is_busy:
                await asyncio.sleep(0)
    assert transport.is_reading
    connection.connection_lost(None)


async def test_log_of_refusals_is_limited(echo, caplog):
    caplog.set_level("INFO")
    for _ in range(10 * server.REFUSAL_LINES_PER_S):
        reply = await send_raw(echo, b"nonsense\r\n\r\n", 0.01)
        assert reply.startswith((b"HTTP/1.1 400", b"(open)"))
    lines = [
        each for each in caplog.records if "not received" in each.getMessage()
    ]
    seconds = {int(each.created) for each in lines}
    assert len(lines) <= server.REFUSAL_LINES_PER_S * (len(seconds) + 1)


@pytest.mark.parametrize("count", [3, 60])
async def test_connections_above_the_bound_replace_the_oldest(count):
    handler = Echo()
    bounds = connection_budget.Bounds(max_connections=3)
    listener = server.Server(handler, clocks.MonotonicClock(), bounds)
    await listener.start("127.0.0.1", 0)
    handler.port = listener._listener.sockets[0].getsockname()[1]
    opened = [
        await asyncio.open_connection("127.0.0.1", handler.port)
        for _ in range(count)
    ]
    reply = await send_raw(handler, with_connection_close(GET))
    assert reply.startswith(b"HTTP/1.1 200")
    assert len(listener.connections) <= 3
    for _, writer in opened:
        writer.close()
    listener.close()
