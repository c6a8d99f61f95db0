"""What a stopping host accepts, and that it answers all of it in time."""

import asyncio
import itertools
import random

from gateway_scripts import ADDRESS
from gateway_scripts import Bench
from gateway_scripts import at
from gateway_scripts import caller_handler_of
from gateway_scripts import single
from gateway_scripts import upstream
from hypothesis import given
from hypothesis import strategies
import pytest

from greengagedale import clocks
from greengagedale.gateway import calls
from greengagedale.gateway import route_config
from greengagedale.gateway import shutdown
from greengagedale.gateway import shutdown_schedule
from greengagedale.gateway import store_api
from greengagedale.http1 import client
from greengagedale.http1 import messages
from greengagedale.http1 import server

GRACE_S = 1.5
HANGS_MS = 60_000.0
# Within the time that a request may take, the process is gone.
LONG_MS = 10_000.0


def call_at(received_ms, deadline_ms=None):
    message = messages.Request(b"GET", b"/a/x", (), b"", received_ms)
    return calls.Call("r", "host", "/a/x", message, received_ms, deadline_ms)


@given(
    strategies.booleans(),
    strategies.floats(1.0, 20_000.0),
    strategies.floats(1.0, 20_000.0),
    strategies.none() | strategies.floats(1.0, 20_000.0),
    strategies.floats(0.1, 60.0),
    strategies.floats(0.0, 1.0),
)
def test_accepted_request_fits_into_the_shutdown(
    is_idempotent, timeout_ms, target_ms, left_ms, grace_s, share
):
    schedule = shutdown_schedule.ShutdownSchedule.from_config(grace_s, 1000.0)
    now_ms = 1000.0 + share * grace_s * 1000.0
    deadline_ms = None if left_ms is None else now_ms + left_ms
    route = single(
        is_idempotent=is_idempotent,
        timeout_ms=timeout_ms,
        target_latency_ms=target_ms,
    )
    is_accepted = schedule.may_accept(
        call_at(now_ms, deadline_ms), route, now_ms
    )
    longest_ms = timeout_ms if left_ms is None else min(left_ms, timeout_ms)
    if is_accepted and not is_idempotent:
        assert now_ms + longest_ms <= schedule.answer_by_ms
    if is_accepted:
        assert now_ms + min(target_ms, longest_ms) <= schedule.answer_by_ms
    assert schedule.accept_until_ms < schedule.answer_by_ms
    assert schedule.answer_by_ms < schedule.exit_by_ms
    assert schedule.exit_by_ms < 1000.0 + grace_s * 1000.0


class StoppingHost:
    """A host with one upstream that hangs, and callers on real connections."""

    def __init__(self):
        self.bench = Bench(clock=clocks.MonotonicClock())
        self.bench.add("a", script=[(HANGS_MS, None)] * 100)
        self.bench.registry.apply_list(
            store_api.UpstreamsListed([upstream("a")], at(1))
        )
        times = {"timeout_ms": LONG_MS, "target_latency_ms": 100.0}
        routes = (
            single(name="a", **times),
            single(
                name="once", path_prefix="/once/", is_idempotent=False, **times
            ),
        )
        self.bench.registry.apply_routes(
            route_config.RouteConfiguration(1, routes, (), server.Limits()),
            at(1),
        )
        self.handler = caller_handler_of(self.bench)
        self.listener = server.Server(self.handler, self.bench.clock)
        self.port = 0
        self._numbers = itertools.count()

    async def start(self):
        await self.listener.start(ADDRESS, 0)
        self.port = self.listener._listener.sockets[0].getsockname()[1]

    async def connect(self):
        return await client.Connection.open(ADDRESS, self.port, 1.0)

    async def send(self, prefix, connection=None):
        """Sends a request; returns its reply or the failure."""
        headers = (
            (b"host", b"host"),
            (b"request-id", b"r%d" % next(self._numbers)),
            (b"deadline-ms", b"%d" % LONG_MS),
        )
        data = messages.encode_request(b"GET", prefix + b"x", headers, b"")
        return await (connection or await self.connect()).exchange(data)

    async def drain(self):
        """Stops as after a signal; the remaining connections are cut."""
        schedule = shutdown_schedule.ShutdownSchedule.from_config(
            GRACE_S, self.bench.clock.now_ms()
        )
        await shutdown.drain(
            self.listener,
            self.handler,
            schedule,
            self.bench.context.background,
            self.bench.clock,
        )
        self.listener.close()


@pytest.fixture
async def host():
    running = StoppingHost()
    await running.start()
    yield running
    running.listener.close()


# Guards against requests that a planned stop cuts without an answer.
@pytest.mark.parametrize("prefix", [b"/a/", b"/once/"])
async def test_request_that_runs_when_the_process_ends_is_answered(
    host, prefix
):
    running = asyncio.create_task(host.send(prefix))
    await asyncio.sleep(0.05)
    await host.drain()
    reply = await running
    assert reply.status == 502
    assert b"stopping" in reply.body
    assert host.bench.client.sent == ["a"]


# Guards against accepting a request that may run once, and whose outcome would
# be open when the process ends.
async def test_late_request_that_may_run_once_is_refused_at_once(host):
    draining = asyncio.create_task(host.drain())
    await asyncio.sleep(0.05)
    began_s = asyncio.get_running_loop().time()
    reply = await host.send(b"/once/")
    assert asyncio.get_running_loop().time() - began_s < 0.5
    assert reply.status == 503
    assert reply.header(b"retry-after") is not None
    assert host.bench.client.sent == []
    await draining


async def test_late_request_that_may_be_repeated_is_answered_in_time(host):
    connection = await host.connect()
    draining = asyncio.create_task(host.drain())
    await asyncio.sleep(0.4 * GRACE_S)
    replies = await asyncio.gather(
        host.send(b"/a/"), host.send(b"/a/", connection)
    )
    assert {reply.status for reply in replies} == {504}
    await draining


@pytest.mark.parametrize("seed", range(4))
async def test_each_request_of_a_stop_is_answered_or_refused(host, seed):
    rng = random.Random(seed)
    kept = [await host.connect() for _ in range(12)]
    host.bench.client.scripts["a"] = [
        (rng.choice([50.0, 400.0, HANGS_MS]), None) for _ in range(100)
    ]

    async def send_late(number):
        await asyncio.sleep(rng.uniform(0.0, 0.7 * GRACE_S))
        prefix = b"/once/" if number % 2 else b"/a/"
        connection = kept[number] if number < len(kept) else None
        try:
            return await host.send(prefix, connection)
        except OSError:
            # The listener is closed, so the caller goes to another host.
            return None

    tasks = [asyncio.create_task(send_late(number)) for number in range(24)]
    await asyncio.sleep(0.1)
    await host.drain()
    replies = [reply for reply in await asyncio.gather(*tasks) if reply]
    assert all(isinstance(reply, messages.Reply) for reply in replies), replies
    assert {reply.status for reply in replies} <= {200, 502, 503, 504}


# Guards against a process that ends while its caller still reads the answer.
async def test_answer_that_is_not_sent_in_full_counts_as_unanswered(host):
    host.bench.client.scripts["a"] = [
        (0.0, calls.Answer(200, "s", (), b"x" * 30_000_000, None))
    ]
    reader, writer = await asyncio.open_connection(ADDRESS, host.port)
    writer.write(b"GET /a/x HTTP/1.1\r\nHost: host\r\nRequest-Id: r\r\n\r\n")
    await asyncio.sleep(0.3)
    assert host.listener.in_flight_requests == 0
    assert host.listener.unanswered_requests == 1
    await reader.readuntil(b"\r\n\r\n")
    assert len(await reader.readexactly(30_000_000)) == 30_000_000
    await asyncio.sleep(0.1)
    assert host.listener.unanswered_requests == 0
    writer.close()
