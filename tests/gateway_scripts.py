"""Helpers for gateway tests: scripted upstreams without a network."""

import asyncio
import itertools
import random

from greengagedale import clocks
from greengagedale import logs
from greengagedale import outcomes
from greengagedale.gateway import announced_limits
from greengagedale.gateway import authorization
from greengagedale.gateway import caller_handlers
from greengagedale.gateway import calls
from greengagedale.gateway import evacuations
from greengagedale.gateway import extra_attempts
from greengagedale.gateway import fleet
from greengagedale.gateway import freshness
from greengagedale.gateway import metrics
from greengagedale.gateway import peer_connections
from greengagedale.gateway import peer_exchange
from greengagedale.gateway import precedence
from greengagedale.gateway import quarantine
from greengagedale.gateway import quota_exchange
from greengagedale.gateway import quota_keepers
from greengagedale.gateway import reachability
from greengagedale.gateway import regions
from greengagedale.gateway import registry
from greengagedale.gateway import roster
from greengagedale.gateway import route_config
from greengagedale.gateway import runner
from greengagedale.gateway import store_api
from greengagedale.gateway import store_reader
from greengagedale.gateway import store_revision
from greengagedale.gateway import sub_requests
from greengagedale.gateway import traffic_split
from greengagedale.gateway import upstream_entries
from greengagedale.gateway import upstream_limits
from greengagedale.gateway import upstream_notices
from greengagedale.gateway import upstream_scores
from greengagedale.gateway import warm_up
from greengagedale.http1 import client
from greengagedale.http1 import messages
from greengagedale.http1 import server
from greengagedale.limits import quota_shares
from greengagedale.limits import quota_windows
from greengagedale.platform import caller_codec
from greengagedale.platform import store as store_lib

ADDRESS = "127.0.0.1"
WINDOW_MS = 10_000.0
REGION_MAP = regions.RegionMap({"here": "near", "there": "far"})
QUOTA_TERMS = quota_shares.QuotaTerms(5000.0, 0.1, 20.0)
QUOTA_HOSTS = ("a", "b", "c", "d")
QUOTA_STEP_MS = 150.0


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


def host_state(
    name,
    sequence=1,
    incarnation=1,
    data_centre="here",
    power_millicores=0,
    **fields,
):
    address = fleet.HostAddress(
        name,
        incarnation,
        data_centre,
        f"{name}:1",
        f"{name}:2",
        power_millicores,
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


def freshness_of(clock, bound_ms=None):
    return freshness.Freshness(bound_ms, clock, metrics.Metrics())


def at(revision, epoch=0):
    """Returns a revision of the store."""
    return store_revision.Revision(epoch, revision)


def exchange_of(
    name,
    clock,
    registry,
    notices=None,
    seeds=(),
    evacuated=None,
    host_freshness=None,
):
    """Creates a host's peer exchange with a registry and notices."""
    return peer_exchange.PeerExchange(
        lambda: host_state(name),
        fleet.Fleet(name, clock),
        registry,
        roster.Roster(name, clock),
        quarantine.Quarantine(clock),
        notices or upstream_notices.UpstreamNotices(clock),
        host_freshness or freshness_of(clock),
        list(seeds),
        clock,
        random.Random(1),
        evacuated or evacuations.Evacuations(metrics.Metrics()),
        announced_limits.AnnouncedLimits(
            name, roster.Roster(name, clock), metrics.Metrics(), clock
        ),
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
        self.attempts = []
        self.cancelled = []

    async def send(self, attempt):
        name = attempt.upstream.name
        self.sent.append(name)
        self.attempts.append(attempt)
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

    def __init__(self, burst=10.0, ratio=0.2, clock=None):
        self.clock = clock or clocks.MonotonicClock()
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
        self.announced = announced_limits.AnnouncedLimits(
            "m", self.roster, self.metrics, self.clock
        )
        self.limits = upstream_limits.UpstreamLimits(
            self.warm_up, self.announced
        )
        rng = random.Random(1)
        self.reachability = reachability.Reachability()
        self.registry = registry.Registry(self.clock)
        self.freshness = freshness_of(self.clock)
        self.context = sub_requests.SubRequestContext(
            self.client,
            upstream_scores.UpstreamScores("here", self.clock, rng),
            lambda service: self.upstreams.get(service, []),
            self.notices,
            self.reassigned.append,
            quarantine.Quarantine(self.clock),
            authorization.Authorizer(self.registry, self.freshness),
            self.clock,
            self.metrics,
            set(),
            self.evacuations,
            self.limits,
            REGION_MAP,
            precedence.Precedence(rng),
            self.reachability,
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

    def call(self, left_ms=1000.0, target=None, workspace=None):
        now_ms = self.clock.now_ms()
        if target is None:
            # Callers rarely send the same request twice.
            target = b"/a/%d" % next(self._request_numbers)
        message = messages.Request(b"GET", target, (), b"", now_ms)
        return calls.Call(
            "id",
            "host",
            target.decode(),
            message,
            now_ms,
            now_ms + left_ms,
            workspace
            and calls.CallerIdentity(
                workspace, route_config.key_digest(workspace.encode())
            ),
        )

    def use_workspaces(self, *workspaces):
        """Puts a configuration in force whose keys are workspaces' names."""
        keyed = tuple(
            each._replace(
                key_digests=(route_config.key_digest(each.name.encode()),)
            )
            for each in workspaces
        )
        self.registry.apply_routes(
            route_config.RouteConfiguration(
                1, (single(),), (), server.Limits(), keyed
            ),
            at(1),
        )

    async def run(self, route, left_ms=1000.0, target=None, workspace=None):
        call = self.call(left_ms, target, workspace)
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


async def run_beside_long_queues(bench, workspace):
    """Runs a search of rank 2 beside one of rank 0, queues of medium length."""
    bench.use_workspaces(
        route_config.Workspace("urgent", (), priority=0),
        route_config.Workspace("wide", (), priority=2),
    )
    shards = "abcdef"
    for shard in shards:
        bench.add(shard, shard)
    route = fanout(shards, min_coverage=0.8, target_latency_ms=400.0)
    await bench.run(route, workspace="urgent")
    now_ms = bench.clock.now_ms()
    bench.context.scores.record_queue_overload(now_ms)
    typical_ms = bench.runner.latency_of(route).typical_ms()
    # Queues that take 0.75 of the time that is left for waiting.
    waiting = int(2 * 0.75 * (450.0 / typical_ms - 1.0))
    for shard in shards:
        score = bench.context.scores.get(bench.upstreams[shard][0])
        score.record_load(calls.LoadReport(2, waiting, 2), now_ms)
    bench.client.sent.clear()
    return await bench.run(route, workspace=workspace)


def caller_handler_of(bench, authorizer=None, hosts=None):
    """Returns the handler of callers' requests over a runner."""
    return caller_handlers.CallerHandler(
        caller_codec.PlatformCallerCodec(),
        bench.registry,
        bench.runner,
        authorizer or bench.context.authorizer,
        hosts or fleet.Fleet("m", bench.clock),
        None,
        bench.clock,
        random.Random(1),
        bench.metrics,
        logs.RequestLog(bench.clock),
    )


class OffsetClock(clocks.Clock):
    """A host's clock, which agrees with that of others in its rate only."""

    def __init__(self, clock, offset_ms):
        self._clock = clock
        self._offset_ms = offset_ms

    def now_ms(self):
        return self._clock.now_ms() + self._offset_ms


class KeyedHost:
    """The parts of a host that decide on requests with keys."""

    def __init__(self, name, clock, bound_ms):
        self.clock = clock
        self.registry = registry.Registry(clock)
        self.freshness = freshness_of(clock, bound_ms)
        self.authorizer = authorization.Authorizer(
            self.registry, self.freshness
        )
        self.exchange = exchange_of(
            name, clock, self.registry, host_freshness=self.freshness
        )
        self.reader = store_reader.StoreReader(
            None,
            self.registry,
            None,
            roster.Roster(name, clock),
            self.freshness,
            dict,
            lambda: None,
            clock,
        )


class RevocationWorld:
    """Hosts, a store and an operator who gives and takes a key.

    Nothing is delivered unless a test says so, hence a host that does nothing
    is frozen or cut off, and a message that is not delivered is lost.

    Attributes:
        violations: Sends that the bound forbids.
        send_count: Number of all sends.
    """

    BOUND_MS = 5000.0
    KEY = b"k"
    WORKSPACE = "w"

    def __init__(self, host_count=3):
        self.clock = clocks.ManualClock(10_000.0)
        self.violations = []
        self.send_count = 0
        self._restart_count = 0
        self._configurations = []
        self._written_ms = []
        # What was sent and not answered, and what was not delivered yet.
        self._sent = []
        self._answers = []
        self._accepted = []
        self.hosts = [self._new_host(index) for index in range(host_count)]
        self.write(holds_key=True)
        for index in range(host_count):
            self.read(index)

    def advance(self, by_ms):
        self.clock.advance(by_ms)

    def write(self, holds_key):
        digests = (route_config.key_digest(self.KEY),) if holds_key else ()
        workspace = route_config.Workspace(self.WORKSPACE, digests)
        self._configurations.append(
            route_config.RouteConfiguration(
                len(self._configurations) + 1,
                (single(),),
                (),
                server.Limits(),
                (workspace,),
            )
        )
        self._written_ms.append(self.clock.now_ms())

    def restart(self, index):
        self._restart_count += 1
        self.hosts[index] = self._new_host(index)

    def read(self, index):
        """Reads the store on a host without any delay."""
        self.start_read(index)
        self.serve_all()
        self.deliver_all()

    def exchange(self, asker, answerer):
        """Exchanges state of two hosts without any delay."""
        self.start_exchange(asker, answerer)
        self.serve_all()
        self.deliver_all()

    def start_read(self, index):
        host = self.hosts[index]
        sent_ms = host.clock.now_ms()
        self._sent.append(
            (
                lambda: store_api.RoutesRead(self._configurations[-1], at(1)),
                lambda result: host.reader.take_routes(result, sent_ms),
            )
        )

    def start_exchange(self, asker, answerer):
        host, peer = self.hosts[asker], self.hosts[answerer]
        sent_ms = host.clock.now_ms()
        summary = peer_exchange.StateSummary(
            host_state("asker"),
            [],
            0,
            host.registry.routes_version,
            host.registry.version,
            store_revision.NO_REVISION,
            [],
            [],
        )

        def deliver(update):
            host.exchange._merge(update)
            host.exchange._adopt_proof(update, sent_ms)

        self._sent.append((lambda: peer.exchange._update_for(summary), deliver))

    def serve_all(self):
        """Lets the store and the peers answer all that was sent to them."""
        sent, self._sent = self._sent, []
        self._answers += [(serve(), deliver) for serve, deliver in sent]

    def deliver_all(self):
        """Delivers all answers."""
        answers, self._answers = self._answers, []
        for answer_to, deliver in answers:
            deliver(answer_to)

    def ping(self, index):
        """Lets a host receive answers of the store that prove nothing."""
        reader = self.hosts[index].reader
        reader._record_answer()
        reader.take_routes(store_api.RoutesRead(None, at(1)), None)

    def request(self, index):
        """Sends a request to a host, and on from there if the host allows."""
        if self.accept(index):
            self._try_send(self._accepted[-1])

    def accept(self, index):
        """Sends a request to a host, where it waits; returns if it may."""
        host = self.hosts[index]
        identity = host.authorizer.identify(single(), self.KEY)
        if not isinstance(identity, calls.CallerIdentity):
            return False
        message = messages.Request(b"GET", b"/a/", (), b"", 0.0)
        call = calls.Call("id", "host", "/a/", message, 0.0, None, identity)
        self._accepted.append((self.clock.now_ms(), host, call))
        return True

    def try_all(self):
        """Sends all requests that any host has accepted so far, once more."""
        for accepted in self._accepted:
            self._try_send(accepted)

    def _try_send(self, accepted):
        sent_ms, host, call = accepted
        if host.authorizer.send_refusal(call) is not None:
            return
        self.send_count += 1
        now_ms = self.clock.now_ms()
        # The first is the rule; the second also holds for what has waited.
        for since_ms in (sent_ms, now_ms):
            if not self._was_valid_since(since_ms - self.BOUND_MS):
                self.violations.append((sent_ms, now_ms))

    def _was_valid_since(self, since_ms):
        """Tells whether any configuration in force since then has the key."""
        ends_ms = [*self._written_ms[1:], float("inf")]
        return any(
            end_ms >= since_ms and configuration.workspaces[0].key_digests
            for configuration, end_ms in zip(
                self._configurations, ends_ms, strict=True
            )
        )

    def _new_host(self, index):
        offset_ms = 1e6 * index + 1e5 * self._restart_count
        return KeyedHost(
            f"h{index}", OffsetClock(self.clock, offset_ms), self.BOUND_MS
        )


def quota_configuration(version, **quotas):
    """Returns a configuration with the rates and bursts of workspaces."""
    workspaces = tuple(
        route_config.Workspace(name, (), rate_per_s=rate, burst=burst)
        for name, (rate, burst) in quotas.items()
    )
    return route_config.RouteConfiguration(
        version, (single(),), (), server.Limits(), workspaces
    )


class QuotaNetwork(peer_connections.PeerConnections):
    """Passes messages to hosts of the same loop."""

    def __init__(self, site):
        super().__init__(None)
        self._site = site

    async def post(self, endpoint, path, body, timeout_ms):
        name = endpoint.partition(":")[0]
        if name in self._site.stopped:
            raise ConnectionRefusedError
        if name in self._site.frozen:
            self._site.held_up.append((name, path, body))
            raise TimeoutError
        message = messages.Request(b"POST", path, (), body, 0.0)
        response = await self._site.hosts[name].handle(message)
        if path == self._site.late_path:
            self._site.clock.advance(self._site.late_ms)
        return messages.Reply(response.status, (), response.body, True)


class QuotaSite:
    """A site of hosts that know each other."""

    def __init__(self, clock):
        self.clock = clock
        self.stopped = set()
        self.frozen = set()
        self.held_up = []
        self.late_path = None
        self.late_ms = 0.0
        self.sequence = 0
        self.hosts = {}
        self.registries = {}
        self.fleets = {}
        for name in QUOTA_HOSTS:
            self.start(name)

    def start(self, name):
        host_list = roster.Roster(name, self.clock)
        host_list.replace_if_newer(roster.HostList(at(5), QUOTA_HOSTS))
        self.registries[name] = registry.Registry(self.clock)
        self.fleets[name] = fleet.Fleet(name, self.clock)
        self.hosts[name] = quota_exchange.QuotaExchange(
            QUOTA_TERMS,
            lambda: host_state(name, self.sequence),
            self.fleets[name],
            self.registries[name],
            host_list,
            None,
            metrics.Metrics(),
            self.clock,
            random.Random(name),
        )
        self.hosts[name]._connections = QuotaNetwork(self)
        self.configure(1, [name], w=(4.0, 6.0), v=(4.0, 6.0))

    def configure(self, version, names=QUOTA_HOSTS, **quotas):
        for name in names:
            self.registries[name].apply_routes(
                quota_configuration(version, **quotas), at(version)
            )

    async def run(self, for_ms):
        """Lets all running hosts exchange leases for a while."""
        for _ in range(int(for_ms / QUOTA_STEP_MS)):
            self.sequence += 1
            running = [
                name
                for name in QUOTA_HOSTS
                if name not in self.stopped and name not in self.frozen
            ]
            for name in running:
                for other in running:
                    self.fleets[name].observe(host_state(other, self.sequence))
                self.hosts[name]._tick()
            await settle()
            self.clock.advance(QUOTA_STEP_MS)

    def keeper(self, workspace="w"):
        slot = quota_keepers.slot_of(workspace)
        host = self.hosts[min(set(QUOTA_HOSTS) - self.stopped - self.frozen)]
        return host._directory.keeper_of(slot)

    def other_than(self, name):
        return next(
            other
            for other in QUOTA_HOSTS
            if other not in {name, *self.stopped, *self.frozen}
        )

    async def admit(self, name, workspace="w"):
        host = self.hosts[name]
        return (await host.admit(workspace, single(), 1000.0)).verdict

    async def count_allowed(self, name, workspace="w"):
        """Asks until a request is refused; returns how many were allowed."""
        count = 0
        while (
            await self.admit(name, workspace) is quota_windows.Verdict.ALLOWED
        ):
            count += 1
        return count


async def settle():
    for _ in range(20):
        await asyncio.sleep(0)
