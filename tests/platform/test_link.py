"""Attempts over connections: what was written, what was not."""

from gateway_scripts import upstream
import pytest

from greengagedale import clocks
from greengagedale import outcomes
from greengagedale.gateway import calls
from greengagedale.gateway import pools
from greengagedale.http1 import messages
from greengagedale.platform import link
from standins import users_site
from standins import users_upstream


@pytest.fixture
def clock():
    return clocks.ManualClock(1000.0)


@pytest.fixture
async def server():
    held = users_upstream.UsersUpstream("u", "s", b"done")
    await held.start(users_site.ADDRESS, users_site.free_port())
    yield held
    held.close()


@pytest.fixture
def send(clock, server):
    held = link.PlatformLink(pools.Pools(clock), lambda entry: 2, clock)

    async def call(left_ms=500.0, port=None, **fields):
        message = messages.Request(
            b"GET", b"/", ((b"request-id", b"r1"),), b"", clock.now_ms()
        )
        asked = calls.Call("r1", "h", "/", message, clock.now_ms(), None)
        entry = upstream("u", port=port or server.port, **fields)
        return await held.send(
            calls.Attempt(asked, entry, clock.now_ms() + left_ms, False)
        )

    return call


async def test_answer_comes_back(send):
    assert (await send()).body == b"done"


async def test_connections_are_used_again(send, server):
    for _ in range(3):
        await send()
    assert len(server._server.connections) == 1


async def test_what_must_not_run_twice_takes_no_old_connection(
    send, server, clock
):
    await send()
    clock.advance(2000.0)
    await send()
    assert len(server.requests) == 2
    assert len(server._server.connections) <= 1


async def test_nothing_is_sent_after_the_deadline(send, server):
    got = await send(left_ms=0.0)
    assert got == outcomes.AttemptEnd(
        outcomes.Reason.DEADLINE, written=False, refused=False
    )
    assert server.requests == []


async def test_refused_connection_wrote_nothing(send):
    got = await send(port=users_site.free_port())
    assert got.reason is outcomes.Reason.CONNECT_FAILED
    assert not got.written


async def test_lost_answer_may_have_run(send, server):
    server.mode = "lost"
    got = await send()
    assert (got.written, got.refused) == (True, False)


async def test_another_upstreams_address_did_not_run_it(send, server):
    server.name = "other"
    got = await send()
    assert got.refused
    assert got.reason is outcomes.Reason.NO_REPLICA
