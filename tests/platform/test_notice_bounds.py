"""Generated load: what upstreams say of themselves binds all that a host sends.

Pattern: many searches at once over few connections, whose upstreams begin to
leave or turn work away while attempts wait, run, are hedged and are cancelled.
"""

import asyncio
import contextlib
import random

from gateway_scripts import Bench
from gateway_scripts import fanout
from gateway_scripts import single
from gateway_scripts import upstream
import pytest

from greengagedale.gateway import calls
from greengagedale.gateway import connection_pools
from greengagedale.http1 import client
from greengagedale.http1 import messages
from greengagedale.platform import upstream_client
from standins import users_site
from standins import users_upstream

SHARDS = ("x", "y")
REPLICAS = 3
CALLS = 120
# An answer takes this long at most from the upstream's hands to the host's.
ON_THE_WAY_MS = 100.0
# What was sent before it came may arrive for this long (stated bound).
HOLD_BEGINS_MS = 500.0
MOST_IN_HOLD = 2


@pytest.fixture
async def upstreams():
    made = [
        users_upstream.UsersUpstream(f"{shard}{number}", shard)
        for shard in SHARDS
        for number in range(REPLICAS)
    ]
    for each in made:
        await each.start(users_site.ADDRESS, users_site.free_port())
    yield made
    for each in made:
        each.close()


@pytest.fixture
def bench(upstreams):
    made = Bench(burst=1000.0)
    held = connection_pools.ConnectionPools(
        made.notices, client.ReplyLimits(), made.clock
    )
    made.context = made.context._replace(
        client=upstream_client.PlatformUpstreamClient(
            held, made.notices, lambda entry: 2, made.clock
        )
    )
    made.runner._context = made.context
    for each in upstreams:
        entry = upstream(each.name, each.service, port=each.port)
        made.upstreams.setdefault(each.service, []).append(entry)
    yield made
    held.close()


def call_of(bench, number, rng):
    now_ms = bench.clock.now_ms()
    request_id = f"r{number}"
    message = messages.Request(
        b"GET",
        b"/a/%d" % number,
        ((b"request-id", request_id.encode()),),
        b"",
        now_ms,
    )
    return calls.Call(
        request_id,
        "host",
        f"/a/{number}",
        message,
        now_ms,
        now_ms + rng.uniform(50.0, 400.0),
    )


async def trouble(upstreams, rng):
    """Changes what upstreams say, one after the other."""
    while True:
        await asyncio.sleep(rng.uniform(0.02, 0.08))
        each = rng.choice(upstreams)
        what = rng.choice(["leave", "hold", "hold", "full", "slow", "ok"])
        if what == "leave":
            each.is_leaving = True
        elif what in ("hold", "full"):
            each.mode = "full"
            each.hold_ms = rng.uniform(600.0, 1200.0) * (what == "hold")
        else:
            each.mode = "ok"
            each.delay_ms = rng.uniform(0.0, 60.0) * (what == "slow")


@pytest.mark.parametrize("seed", range(6))
async def test_upstreams_that_leave_or_hold_get_nothing_new(
    seed, bench, upstreams
):
    rng = random.Random(seed)
    routes = [
        fanout(SHARDS, target_latency_ms=40.0, max_attempts=3),
        single(
            target_latency_ms=40.0,
            max_attempts=3,
            is_idempotent=rng.random() < 0.5,
        ),
    ]
    bench.upstreams["s"] = bench.upstreams["x"]
    stirring = asyncio.create_task(trouble(upstreams, rng))
    running = []
    for number in range(CALLS):
        call = call_of(bench, number, rng)
        run = bench.runner.run(call, rng.choice(routes), bench.steps)
        running.append(asyncio.create_task(run))
        await asyncio.sleep(rng.uniform(0.0, 0.025))
        if rng.random() < 0.15:
            rng.choice(running).cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.gather(*running, return_exceptions=True)
    stirring.cancel()
    assert any(each.requests for each in upstreams)
    for each in upstreams:
        check(each)


def check(each):
    arrivals_ms = [request.received_ms for request in each.requests]
    if each.leaving_told_ms is not None:
        late_ms = each.leaving_told_ms + ON_THE_WAY_MS
        assert [ms for ms in arrivals_ms if ms > late_ms] == []
    for told_ms, until_ms in each.holds_told_ms:
        begins_ms = told_ms + HOLD_BEGINS_MS
        within = [ms for ms in arrivals_ms if begins_ms < ms < until_ms]
        assert len(within) <= MOST_IN_HOLD
