"""Upstreams that announce a limit get no more than that from all hosts.

The load answered: hosts that all want to send more to an upstream in need than
it says that it takes.
"""

import asyncio
import bisect
import random

from gateway_scripts import at
from gateway_scripts import freshness_of
from gateway_scripts import upstream
import pytest

from greengagedale import clocks
from greengagedale import outcomes
from greengagedale.gateway import announced_limits
from greengagedale.gateway import authorization
from greengagedale.gateway import calls
from greengagedale.gateway import connection_pools
from greengagedale.gateway import evacuations
from greengagedale.gateway import metrics
from greengagedale.gateway import registry
from greengagedale.gateway import roster
from greengagedale.gateway import upstream_limits
from greengagedale.gateway import upstream_notices
from greengagedale.gateway import warm_up
from greengagedale.http1 import client
from greengagedale.http1 import messages
from greengagedale.platform import upstream_client
from standins import gateway_site
from standins import gateway_upstream

STEP_MS = 20.0
# What the platform allows: in any window, this factor of the limit and this
# many requests in addition, after this time.
WINDOW_MS = 4000.0
FACTOR = 1.5
SLACK = 5
SETTLED_MS = 4000.0


class LimitedFleet:
    """Hosts that send to one upstream as often as they are allowed to."""

    def __init__(self, server, host_count):
        self.clock = clocks.ManualClock(1000.0)
        self.server = server
        self.entry = upstream("u", port=server.port)
        names = tuple(f"h{number}" for number in range(host_count))
        self.host_list = roster.HostList(at(5), names)
        self.clients = [self.start(name) for name in names]
        self.arrivals_ms = []

    def start(self, name):
        host_roster = roster.Roster(name, self.clock)
        host_roster.replace_if_newer(self.host_list)
        notices = upstream_notices.UpstreamNotices(self.clock)
        pools = connection_pools.ConnectionPools(
            notices,
            evacuations.Evacuations(metrics.Metrics()),
            client.ReplyLimits(),
            self.clock,
        )
        return upstream_client.PlatformUpstreamClient(
            pools,
            notices,
            upstream_limits.UpstreamLimits(
                warm_up.SharedWarmUpLimit(
                    name,
                    host_roster,
                    dict,
                    1.5,
                    5.0,
                    metrics.Metrics(),
                    self.clock,
                ),
                announced_limits.AnnouncedLimits(
                    name, host_roster, metrics.Metrics(), self.clock
                ),
            ),
            lambda entry: 2,
            authorization.Authorizer(
                registry.Registry(self.clock), freshness_of(self.clock)
            ),
            self.clock,
        )

    async def run(self, for_ms, rng, load_per_step=0.5):
        for _ in range(int(for_ms / STEP_MS)):
            self.clock.advance(STEP_MS)
            senders = [
                each for each in self.clients if rng.random() < load_per_step
            ]
            await asyncio.gather(*map(self.send, senders))

    async def send(self, sender):
        now_ms = self.clock.now_ms()
        message = messages.Request(
            b"GET", b"/", ((b"request-id", b"r"),), b"", now_ms
        )
        call = calls.Call("r", "h", "/", message, now_ms, None)
        before = len(self.server.requests)
        result = await sender.send(
            calls.Attempt(call, self.entry, now_ms + 500.0, True, set())
        )
        if isinstance(result, outcomes.AttemptFailure) and not result.written:
            return
        assert len(self.server.requests) > before
        self.arrivals_ms.append(now_ms)

    def max_count(self, since_ms):
        """Returns the most arrivals in any window after a time."""
        times_ms = sorted(at for at in self.arrivals_ms if at >= since_ms)
        return max(
            (
                bisect.bisect_left(times_ms, start_ms + WINDOW_MS) - index
                for index, start_ms in enumerate(times_ms)
            ),
            default=0,
        )


@pytest.fixture
async def server():
    created = gateway_upstream.GatewayUpstream("u", "s", b"done")
    await created.start(gateway_site.ADDRESS, gateway_site.free_port())
    yield created
    created.close()


# Guards against the incident LIMIT: an upstream that had announced a limit for
# all hosts together got several times as many requests.
@pytest.mark.parametrize("limit_per_s", [0.2, 2.0, 12.7])
@pytest.mark.parametrize("host_count", [1, 4, 9])
async def test_upstream_gets_no_more_than_it_announces_from_all_hosts(
    server, limit_per_s, host_count
):
    fleet = LimitedFleet(server, host_count)
    server.limit_per_s = limit_per_s
    await fleet.run(SETTLED_MS + 10_000.0, random.Random(1))
    since_ms = 1000.0 + SETTLED_MS
    allowed = FACTOR * limit_per_s * WINDOW_MS / 1000.0 + SLACK
    assert fleet.max_count(since_ms) <= allowed
