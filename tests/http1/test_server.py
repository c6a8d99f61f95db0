"""The server reads requests whole, refuses bad ones and sees clients leave."""

import asyncio

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from greengagedale import clocks
from greengagedale.http1 import messages
from greengagedale.http1 import server

GET = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"


class Echo(server.Handler):
    """Answers with the body, or waits until it is cancelled."""

    def __init__(self):
        self.seen = []
        self.cancelled = 0
        self.limits_now = server.Limits(
            max_header_bytes=1000, max_body_bytes=100
        )

    def limits(self):
        return self.limits_now

    async def handle(self, request):
        self.seen.append(request)
        if request.target == b"/wait":
            try:
                await asyncio.sleep(30)
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        if request.target == b"/fail":
            raise RuntimeError("a fault of the handler")
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


async def talk(echo, data, wait_s=1.0):
    reader, writer = await asyncio.open_connection("127.0.0.1", echo.port)
    writer.write(data)
    try:
        async with asyncio.timeout(wait_s):
            return await reader.read()
    except TimeoutError:
        return b"(open)"
    finally:
        writer.close()


def closing(data):
    return data.replace(b"Host", b"Connection: close\r\nHost", 1)


async def test_requests_on_one_connection_are_answered_in_order(echo):
    bodies = [b"a", b"bb"]
    data = b"".join(
        messages.encode_request(b"POST", b"/x", ((b"host", b"a"),), body)
        for body in bodies
    )
    got = await talk(echo, data + closing(GET))
    assert got.count(b"HTTP/1.1 200") == 3
    assert got.index(b"\r\n\r\na") < got.index(b"\r\n\r\nbb")


async def test_chunked_body_is_read_whole(echo):
    data = (
        b"POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    assert (await talk(echo, data)).endswith(b"\r\n\r\nabcde")


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
async def test_bad_requests_are_refused_and_reach_no_handler(
    echo, data, status
):
    got = await talk(echo, data, 2.0)
    assert got.startswith(b"HTTP/1.1 %d" % status)
    assert not echo.seen


async def test_upgrade_is_not_taken_up(echo):
    data = (
        b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\n"
        b"Upgrade: websocket\r\n\r\n"
    )
    got = await talk(echo, data + GET)
    assert got.count(b"HTTP/1.1") == 1
    assert b"Connection: close" in got


async def test_bad_request_leaves_other_connections_alone(echo):
    slow = asyncio.create_task(
        talk(echo, GET.replace(b"/x", b"/wait"), wait_s=0.3)
    )
    await talk(echo, b"nonsense\r\n\r\n")
    assert await slow == b"(open)"


async def test_slow_headers_time_out(echo):
    echo.limits_now = server.Limits(header_timeout_ms=100.0)
    got = await talk(echo, b"GET /x HTTP/1.1\r\nHo", 3.0)
    assert got.startswith(b"HTTP/1.1 408")


async def test_idle_connections_are_closed(echo):
    echo.limits_now = server.Limits(idle_timeout_ms=100.0)
    got = await talk(echo, GET, 3.0)
    assert got.startswith(b"HTTP/1.1 200")


async def test_client_that_leaves_cancels_its_request(echo):
    await talk(echo, GET.replace(b"/x", b"/wait"), wait_s=0.1)
    await asyncio.sleep(0.1)
    assert echo.cancelled == 1


async def test_fault_of_a_handler_is_an_error_and_ends_the_connection(echo):
    got = await talk(echo, GET.replace(b"/x", b"/fail"))
    assert got.startswith(b"HTTP/1.1 500")


async def test_closing_server_ends_connections_between_requests(echo):
    echo.server.closing = True
    got = await talk(echo, GET)
    assert b"Connection: close" in got
    assert got.startswith(b"HTTP/1.1 200")


async def test_continue_is_sent_before_a_body_that_waits_for_it(echo):
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
def test_any_bytes_leave_the_server_serving(data):
    async def run():
        handler = Echo()
        listener = server.Server(handler, clocks.MonotonicClock())
        await listener.start("127.0.0.1", 0)
        handler.port = listener._listener.sockets[0].getsockname()[1]
        try:
            await talk(handler, data, 0.01)
            got = await talk(handler, closing(GET))
            assert got.startswith(b"HTTP/1.1 200")
        finally:
            listener.close()

    asyncio.run(run())


CHUNKED = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


# Guards against hosts that run out of memory: what frames a body, and what
# follows it, counts as well as the headers before it.
@pytest.mark.parametrize(
    ("head", "piece"),
    [
        (CHUNKED + b"0\r\n", b"X-A: b\r\n" * 100),
        (CHUNKED + b"0\r\nX-A: ", b"b" * 1000),
        (CHUNKED + b"1;", b"x" * 1000),
    ],
)
async def test_request_whose_framing_has_no_end_is_refused(echo, head, piece):
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
    answer = await reader.read(100)
    assert answer.startswith(b"HTTP/1.1 431") or sent_bytes < 2_000_000
    assert sent_bytes < 10_000_000
    assert echo.seen == []
    writer.close()
