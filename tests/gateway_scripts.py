"""Helpers for gateway tests: scripted upstreams without a network."""

import asyncio
import itertools
import random

from greengagedale import clocks
from greengagedale import outcomes
from greengagedale.gateway import authorization
from greengagedale.gateway import calls
from greengagedale.gateway import evacuations
from greengagedale.gateway import extra_attempts
from greengagedale.gateway import fleet
from greengagedale.gateway import metrics
from greengagedale.gateway import peer_exchange
from greengagedale.gateway import quarantine
from greengagedale.gateway import regions
from greengagedale.gateway import registry
from greengagedale.gateway import roster
from greengagedale.gateway import route_config
from greengagedale.gateway import runner
from greengagedale.gateway import store_revision
from greengagedale.gateway import sub_requests
from greengagedale.gateway import traffic_split
from greengagedale.gateway import upstream_entries
from greengagedale.gateway import upstream_notices
from greengagedale.gateway import upstream_scores
from greengagedale.gateway import warm_up
from greengagedale.http1 import client
from greengagedale.http1 import messages
from greengagedale.platform import store as store_lib

WINDOW_MS = 10_000.0
REGION_MAP = regions.RegionMap({"here": "near", "there": "far"})


def upstream(name, service="s", data_centre="here", **fields):
    values = {
        "address": "127.0.0.1",
        "port": 1,
        "slots": 2,
        "is_leaving": False,
        "born_ms": 1,
        "sequence": 1,
        "warm_up_ms": 0.0,
        **fields,
    }
    return upstream_entries.Upstream(
        name=name, service=service, data_centre=data_centre, **values
    )


def host_state(name, sequence=1, incarnation=1, data_centre="here", **fields):
    address = fleet.HostAddress(
        name, incarnation, data_centre, f"{name}:1", f"{name}:2"
    )
    values = {
        "is_ready": True,
        "is_leaving": False,
        "read_age_ms": -1.0,
        "roster_revision": store_revision.NO_REVISION,
        **fields,
    }
    return fleet.HostState(
        address, fleet.Heartbeat(name, incarnation, sequence, **values)
    )


def at(revision, epoch=0):
    """Returns a revision of the store."""
    return store_revision.Revision(epoch, revision)


def exchange_of(name, clock, registry, notices=None, seeds=(), evacuated=None):
    """Creates a host's peer exchange with a registry and notices."""
    return peer_exchange.PeerExchange(
        lambda: host_state(name),
        fleet.Fleet(name, clock),
        registry,
        roster.Roster(name, clock),
        quarantine.Quarantine(clock),
        notices or upstream_notices.UpstreamNotices(clock),
        list(seeds),
        clock,
        random.Random(1),
        evacuated or evacuations.Evacuations(metrics.Metrics()),
    )


class InProcessStore(store_lib.PlatformStore):
    """The client of a stand-in store in the same process, without a network.

    Attributes:
        is_cut: Whether the store can't be reached.
    """

    def __init__(self, users):
        super().__init__("", 0, 500.0, metrics.Metrics())
        self._users = users
        self.is_cut = False

    async def _exchange(self, data):
        if self.is_cut:
            return client.ExchangeFailure("cut", sent=False)
        head, _, body = data.partition(b"\r\n\r\n")
        method, target, _ = head.split(b" ", 2)
        response = await self._users.handle(
            messages.Request(method, target, (), body, 0.0)
        )
        headers = tuple((key.lower(), value) for key, value in response.headers)
        return messages.Reply(response.status, headers, response.body, True)


def answer(upstream_name, body=b"", status=200, signature=None):
    return calls.Answer(
        status, signature or f"sig-{upstream_name}", (), body, None
    )


def refused(reason=outcomes.Reason.OVERLOADED):
    return outcomes.AttemptFailure(reason, written=True, refused=True)


def lost():
    return outcomes.AttemptFailure(
        outcomes.Reason.REPLY_LOST, written=True, refused=False
    )


def unreachable():
    return outcomes.AttemptFailure(
        outcomes.Reason.CONNECT_FAILED, written=False, refused=False
    )


class ScriptedClient(calls.UpstreamClient):
    """Answers each attempt with the next item of its upstream's script.

    An item is a delay in ms and a result; None stands for a success.
    """

    def __init__(self):
        self.scripts = {}
        self.sent = []
        self.cancelled = []

    async def send(self, attempt):
        name = attempt.upstream.name
        self.sent.append(name)
        script = self.scripts.get(name, [])
        delay_ms, result = script.pop(0) if script else (0.0, None)
        try:
            await asyncio.sleep(delay_ms / 1000.0)
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise
        return answer(name) if result is None else result


class Bench:
    """A runner over scripted upstreams."""

    def __init__(self, burst=10.0, ratio=0.2):
        self.clock = clocks.MonotonicClock()
        self.client = ScriptedClient()
        self.upstreams = {}
        self.reassigned = []
        self.steps = []
        self._request_numbers = itertools.count()
        self.metrics = metrics.Metrics()
        self.notices = upstream_notices.UpstreamNotices(self.clock)
        self.evacuations = evacuations.Evacuations(self.metrics)
        # Requests per second that warming upstreams accept, by service.
        self.rates = {}
        self.roster = roster.Roster("m", self.clock)
        self.warm_up = warm_up.SharedWarmUpLimit(
            "m",
            self.roster,
            lambda: self.rates,
            1.5,
            5.0,
            self.metrics,
            self.clock,
        )
        rng = random.Random(1)
        self.registry = registry.Registry(self.clock)
        self.context = sub_requests.SubRequestContext(
            self.client,
            upstream_scores.UpstreamScores("here", self.clock, rng),
            lambda service: self.upstreams.get(service, []),
            self.notices,
            self.reassigned.append,
            quarantine.Quarantine(self.clock),
            authorization.Authorizer(self.registry),
            self.clock,
            self.metrics,
            set(),
            self.evacuations,
            self.warm_up,
            REGION_MAP,
        )
        # An earlier process has spent nothing within the window.
        started_ms = self.clock.now_ms() - 2.0 * WINDOW_MS
        self.budgets = extra_attempts.ExtraAttemptBudgets(
            WINDOW_MS, ratio, burst, started_ms
        )
        self.runner = runner.Runner(
            self.context, self.budgets, traffic_split.TrafficSplitter(rng)
        )

    def add(self, name, service="s", script=(), **fields):
        upstreams = self.upstreams.setdefault(service, [])
        upstreams.append(upstream(name, service, **fields))
        self.client.scripts[name] = list(script)

    def restart(self, name):
        """Starts a new incarnation of an upstream."""
        self.upstreams = {
            service: [
                each._replace(born_ms=each.born_ms + (each.name == name))
                for each in upstreams
            ]
            for service, upstreams in self.upstreams.items()
        }

    def call(self, left_ms=1000.0, target=None):
        now_ms = self.clock.now_ms()
        if target is None:
            # Callers rarely send the same request twice.
            target = b"/a/%d" % next(self._request_numbers)
        message = messages.Request(b"GET", target, (), b"", now_ms)
        return calls.Call(
            "id", "host", target.decode(), message, now_ms, now_ms + left_ms
        )

    async def run(self, route, left_ms=1000.0, target=None):
        call = self.call(left_ms, target)
        return await self.runner.run(call, route, self.steps)


def single(**fields):
    values = {
        "name": "r",
        "host": "host",
        "path_prefix": "/a/",
        "is_idempotent": True,
        "timeout_ms": 1000.0,
        "target_latency_ms": 100.0,
        "priority": 0,
        "max_attempts": 2,
        "targets": (route_config.Target("s", 1.0),),
        **fields,
    }
    return route_config.Route(**values)


def fanout(shards, max_records=10, min_coverage=0.5, **fields):
    return single(
        targets=(),
        fanout=route_config.Fanout(tuple(shards), max_records, min_coverage),
        **fields,
    )
