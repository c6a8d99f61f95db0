"""Tests that the HTTP transport sends each action at most once."""

import asyncio
import contextlib
import re

from aiohttp import test_utils
from aiohttp import web
import msgspec
import pytest

from greengagedale import http_bodies
from greengagedale import outcomes
from greengagedale.upstreams import base
from greengagedale.upstreams import http

ACTION = base.Action("a.0", "k", "member-a", 1, {"offer": "place"}, 1000.0)


@pytest.fixture
async def transport():
    made = http.HttpTransport.from_config("dc-a", connect_timeout_ms=200)
    yield made
    await made.close()


async def act_on_handler(handler, transport, action=ACTION):
    app = web.Application()
    app.router.add_post("/{path:.*}", handler)
    async with test_utils.TestServer(app) as server:
        upstream = base.Upstream(
            "places-1-1", f"{server.host}:{server.port}", "dc-a", 1, 1
        )
        return await transport.act(upstream, action)


async def test_redirect_does_not_send_an_action_again(transport):
    runs = []

    async def redirect(request):
        runs.append(request.path)
        raise web.HTTPTemporaryRedirect("/v1/elsewhere")

    failure = await act_on_handler(redirect, transport)
    assert runs == ["/v1/act"]
    assert outcomes.from_failures(
        [failure], failure.reason, 0
    ) == outcomes.Unknown(outcomes.Reason.REPLY_LOST)


async def test_action_is_not_retried_after_connection_loss(transport):
    runs = []

    async def hang_up(request):
        await request.read()
        runs.append(request.path)
        request.transport.abort()

    failure = await act_on_handler(hang_up, transport)
    assert runs == ["/v1/act"]
    assert failure.written
    assert not failure.refused


async def test_action_whose_time_is_up_is_not_sent(transport):
    runs = []

    async def run(request):
        runs.append(request.path)
        return web.json_response({"attempt_id": "a.0", "body": None})

    late = ACTION._replace(timeout_ms=0.0)
    failure = await act_on_handler(run, transport, late)
    assert runs == []
    assert outcomes.from_failures(
        [failure], failure.reason, 0
    ) == outcomes.NotRun(outcomes.Reason.DEADLINE, 0)


REFUSAL = {"refused": "overloaded", "retry_after_ms": 5}


def encode_response(status, body):
    encoded = msgspec.json.encode(body)
    head = b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n" % status
    return head + b"Content-Length: %d\r\n\r\n" % len(encoded) + encoded


@pytest.fixture
async def repeating_upstream():
    """Upstream that refuses the first action and later repeats the refusal."""
    runs = []

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: (\d+)", head)
                asked = await reader.readexactly(int(length.group(1)))
                name = msgspec.json.decode(asked)["attempt_id"]
                writer.write(encode_response(503, serve.refusal))
                if name == ACTION.attempt_id:
                    continue
                runs.append(name)
                await asyncio.sleep(0.05)
                writer.write(
                    encode_response(200, {"attempt_id": name, "body": 1})
                )

    serve.refusal = REFUSAL
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    yield base.Upstream("u-1", f"127.0.0.1:{port}", "dc-a", 1, 1), runs, serve
    server.close()


# Guards against reporting an action that ran as not run, when its upstream
# sends a late copy of an earlier refusal on the same connection.
@pytest.mark.parametrize("names_attempt", [False, True])
async def test_copy_of_an_earlier_refusal_is_no_proof(
    transport, repeating_upstream, names_attempt
):
    upstream, runs, serve = repeating_upstream
    if names_attempt:
        serve.refusal = {**REFUSAL, "attempt_id": ACTION.attempt_id}
    first = await transport.act(upstream, ACTION)
    assert first.refused
    second = await transport.act(upstream, ACTION._replace(attempt_id="b.0"))
    assert runs == ["b.0"]
    assert outcomes.from_failures([second], second.reason, 0) == (
        outcomes.Unknown(outcomes.Reason.REPLY_LOST)
    )
    # Answers on that connection no longer match the requests, so the next
    # action must use another connection.
    third = await transport.act(upstream, ACTION._replace(attempt_id="c.0"))
    assert runs == ["b.0", "c.0"]
    del third


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 1000),
    "one header": (b"HTTP/1.1 200 OK\r\nX-A: ", b"b" * 10_000),
    "body until the end": (b"HTTP/1.1 200 OK\r\n\r\n", b"b" * 100_000),
    "chunks": (CHUNKED, b"2710\r\n" + b"b" * 10_000 + b"\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: b\r\n" * 1000),
}


# Guards against hosts that run out of memory when an upstream sends an endless
# invalid answer until its connection is closed.
@pytest.mark.parametrize("case", ENDLESS)
async def test_endless_answer_is_aborted(transport, case):
    head, piece = ENDLESS[case]
    ended = asyncio.Event()
    sent_bytes = 0

    async def respond(reader, writer):
        nonlocal sent_bytes
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head)
        try:
            while True:
                writer.write(piece)
                sent_bytes += len(piece)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            ended.set()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    async with server, asyncio.timeout(20.0):
        port = server.sockets[0].getsockname()[1]
        upstream = base.Upstream("u-1", f"127.0.0.1:{port}", "dc-a", 1, 1)
        failure = await transport.act(upstream, ACTION)
        await ended.wait()
    assert failure.written
    assert not failure.refused
    assert sent_bytes < 16 * http_bodies.MAX_UPSTREAM_BODY_BYTES
