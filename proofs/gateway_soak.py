"""Soak test of gateway hosts under random faults.

Hosts are real processes; their store and upstreams are stand-ins behind
fault-injecting proxies. Several tasks inject faults at the same time, chosen by
a seeded random generator. The replies to callers are checked.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable
import itertools
import pathlib
import random
import signal
import tempfile
from typing import Annotated, NamedTuple

import typer

from greengagedale import clocks
from greengagedale import loops
from greengagedale.gateway import records
from greengagedale.http1 import client
from greengagedale.http1 import messages
from proofs import announced_limits
from proofs import budgets
from proofs import seed_runs
from standins import faultproxy
from standins import gateway_site
from standins import gateway_store
from standins import odd_json

HOSTS = 3
REPLICAS = 3
CALLERS = 8
FAULT_TASKS = 3
# Documented bounds: after these times leaving upstreams get no new requests
# and new configurations are active.
DRAIN_BOUND_S = 3.0
CONFIGURATION_BOUND_S = 3.0
# Bounds are checked only if the store and the hosts had no fault for this long
# before.
UNDISTURBED_S = 4.0
# All hosts serve requests again within this time after the last fault.
RECOVERY_S = 12.0
# The budget is small, and hosts are restarted several times per window, so that
# each incarnation uses up its whole budget.
BUDGET_LIMITS = budgets.BudgetLimits(window_ms=8000.0, ratio=0.005, burst=12.0)
# A new process has no budget in its first window. With this shorter window,
# hosts run for several windows and do have extra attempts to spend.
SHORT_WINDOW_LIMITS = BUDGET_LIMITS._replace(window_ms=1500.0)
_FAULT_DURATION_S = (0.3, 2.5)
_FAULT_INTERVAL_S = (0.1, 0.8)
_LOST_ANSWERS_DURATION_S = (0.3, 1.0)
_COPY_AGE_S = (0.5, 5.0)
_LIMITS_PER_S = (0.3, 2.0, 8.0)
_LIMIT_DURATION_S = (5.0, 9.0)
_LIMIT_INTERVAL_S = (0.5, 2.0)
_DRILL_INTERVAL_S = (0.5, 3.0)
_FOREIGN_INTERVAL_S = (0.1, 0.6)
_FOREIGN_FIELDS = ("zone", "address", "sequence", "warmupLeftMs", "slots")
# Longer than a stopping host lives on.
_SLOW_MS = 4000.0
_SLOW_INTERVAL_S = (0.5, 2.0)
_CONFIGURATION_INTERVAL_S = 1.5

_LINK_FAULTS: dict[str, faultproxy.Fault] = {
    "silent": {"silent": True},
    "reset": {"reset": True, "refuse": True},
    "one_way": {"drop_to_caller": True},
    "delayed": {"delay_ms": 60.0},
    "part_silent": {"silent_share": 0.5},
}
_UPSTREAM_MODES = ("full", "failing", "unsigned", "foreign", "lost")
_STORE_MODES = ("busy", "silent", "gone")


class SentRequest(NamedTuple):
    """One request of a caller and its reply.

    Attributes:
        request_id: Id of the request.
        sent_ms: Time of sending, by the monotonic clock of this process.
        kind: `find` or `book`.
        host: Name of the host that it was sent to.
        incarnation: Start count of the host when the request was sent.
        reply: The reply, or None without a complete one.
    """

    request_id: str
    sent_ms: float
    kind: str
    host: str
    incarnation: int
    reply: messages.Reply | None


class Soak:
    """One run of the soak test.

    Attributes:
        violations: Descriptions of the violations found.
        counts: Requests by outcome and faults by kind.
        max_limit_excess: Largest number of requests that an upstream with an
            announced limit got too many in any window; negative if none did.
        min_remaining_extras: Smallest number of extra attempts that the budget
            still allowed in any window; negative if it was exceeded.
    """

    def __init__(
        self,
        site: gateway_site.Site,
        seed: int,
        limits: budgets.BudgetLimits = BUDGET_LIMITS,
        has_drills: bool = False,
        has_foreign_entries: bool = False,
        has_slow_services: bool = False,
    ) -> None:
        self.violations: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.max_limit_excess = float("-inf")
        self.min_remaining_extras = float("inf")
        self._site = site
        self._limits = limits
        self._rng = random.Random(seed)
        # A separate generator, so that a seed gives the same other faults.
        self._budget_rng = random.Random(f"{seed} budgets")
        self._drill_rng = random.Random(f"{seed} drills")
        self._limit_rng = random.Random(f"{seed} limits")
        self._announcements: list[
            tuple[str, announced_limits.Announcement]
        ] = []
        self._has_drills = has_drills
        self._has_foreign_entries = has_foreign_entries
        self._has_slow_services = has_slow_services
        self._foreign_rng = random.Random(f"{seed} foreign entries")
        self._slow_rng = random.Random(f"{seed} slow services")
        self._clock = clocks.MonotonicClock()
        self._sent: list[SentRequest] = []
        self._ids = itertools.count(1)
        self._version = 3
        self._disturbed_s = 0.0
        self._active_targets: set[str] = set()
        self._check_tasks: set[asyncio.Task[None]] = set()
        self._stopping: set[tuple[str, int]] = set()
        self._hard_faulted: set[tuple[str, int]] = set()

    async def run(self, duration_s: float) -> None:
        """Runs traffic and faults, waits for recovery and checks results."""
        background = [
            *(
                asyncio.create_task(self._send_requests())
                for _ in range(CALLERS)
            ),
            asyncio.create_task(self._write_configurations()),
        ]
        fault_tasks = [
            asyncio.create_task(self._inject_faults(duration_s))
            for _ in range(FAULT_TASKS)
        ]
        fault_tasks.append(
            asyncio.create_task(self._exhaust_budgets(duration_s))
        )
        fault_tasks.append(
            asyncio.create_task(self._announce_limits(duration_s))
        )
        if self._has_drills:
            fault_tasks.append(
                asyncio.create_task(self._inject_drills(duration_s))
            )
        if self._has_foreign_entries:
            fault_tasks.append(
                asyncio.create_task(self._write_foreign_entries(duration_s))
            )
        if self._has_slow_services:
            fault_tasks.append(
                asyncio.create_task(self._slow_services(duration_s))
            )
        await asyncio.gather(*fault_tasks)
        await self._check_recovery()
        for task in background:
            task.cancel()
        results = await asyncio.gather(*background, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                raise result
        self._check_requests()
        self._check_budgets()
        self._check_limits()

    # Traffic.

    async def _send_requests(self) -> None:
        """Sends requests, reusing a connection as long as it is usable."""
        while True:
            host = self._rng.choice(self._site.hosts)
            incarnation = host.start_count
            try:
                connection = await host.connect()
            except OSError:
                self.counts["connect"] += 1
                await asyncio.sleep(0.05)
                continue
            while connection.is_usable:
                await self._send_request(host, incarnation, connection)
                await asyncio.sleep(self._rng.uniform(0.0, 0.03))
            connection.close()

    async def _send_request(
        self,
        host: gateway_site.HostProcess,
        incarnation: int,
        connection: client.Connection,
    ) -> None:
        kind = self._rng.choice(("find", "book"))
        request_id = f"q{next(self._ids)}"
        sent_ms = self._clock.now_ms()
        method = b"POST" if kind == "book" else b"GET"
        reply: messages.Reply | client.ExchangeFailure | None = None
        try:
            reply = await host.send_request(
                connection,
                f"/{kind}/{request_id}",
                method,
                request_id=request_id,
                deadline_ms=self._rng.choice((300, 1000, 2000)),
            )
        except TimeoutError:
            self.counts["timeout"] += 1
        complete_reply = reply if isinstance(reply, messages.Reply) else None
        sent = SentRequest(
            request_id, sent_ms, kind, host.name, incarnation, complete_reply
        )
        self._sent.append(sent)
        self.counts[
            f"{kind} {complete_reply.status if complete_reply else 'cut'}"
        ] += 1
        if isinstance(reply, client.ExchangeFailure):
            self._check_cut(sent)

    async def _write_configurations(self) -> None:
        """Writes new configurations and checks that they become active."""
        while True:
            await asyncio.sleep(_CONFIGURATION_INTERVAL_S)
            self._version += self._rng.randint(1, 3)
            version = self._version
            extra_routes = [
                gateway_site.route("new", f"/v{version}/", service="s1")
            ]
            document = gateway_site.configuration(version, extra_routes)
            self._site.store.put("config", "main", document)
            task = asyncio.create_task(self._check_configuration(version))
            self._check_tasks.add(task)
            task.add_done_callback(self._check_tasks.discard)

    async def _check_configuration(self, version: int) -> None:
        await asyncio.sleep(CONFIGURATION_BOUND_S)
        if not self._is_undisturbed(CONFIGURATION_BOUND_S) or (
            self._version != version
        ):
            return
        for host in self._site.hosts:
            reply = await self._probe(host, version)
            if reply is not None and reply.status == 404:
                self._add_violation(f"{host.name} lacks version {version}")

    async def _probe(
        self, host: gateway_site.HostProcess, version: int
    ) -> messages.Reply | None:
        try:
            reply = await host.get(f"/v{version}/x", request_id="probe")
        except OSError:
            return None
        return reply if isinstance(reply, messages.Reply) else None

    # Faults.

    async def _inject_faults(self, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + duration_s
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._inject_host_fault,
            self._inject_link_fault,
            self._inject_upstream_fault,
            self._inject_store_fault,
            self._drain_upstream,
        ]
        while loop.time() < deadline_s:
            await self._rng.choice(kinds)()
            await asyncio.sleep(self._rng.uniform(*_FAULT_INTERVAL_S))

    def _try_claim(self, name: str) -> bool:
        """Reserves a target for a fault; False if it already has one."""
        if name in self._active_targets:
            return False
        self._active_targets.add(name)
        return True

    async def _inject_host_fault(self) -> None:
        host = self._rng.choice(self._site.hosts)
        if not self._try_claim(host.name):
            return
        kind = self._rng.choice(("kill", "stop", "freeze", "hup"))
        self.counts[f"fault {kind}"] += 1
        self._record_disturbance()
        try:
            await getattr(self, f"_{kind}")(host)
        finally:
            self._record_disturbance()
            self._active_targets.discard(host.name)

    async def _kill(self, host: gateway_site.HostProcess) -> None:
        self._hard_faulted.add((host.name, host.start_count))
        await host.stop()
        await self._wait_fault_duration()
        await host.start()

    async def _stop(self, host: gateway_site.HostProcess) -> None:
        # A process that is still starting has no requests to finish, and may be
        # ended by the signal.
        has_served = await host.is_ready()
        self._stopping.add((host.name, host.start_count))
        host.signal(signal.SIGTERM)
        grace_s = float(gateway_site.BOUNDS["graceS"])
        try:
            async with asyncio.timeout(grace_s):
                if await host.wait_exit() != 0 and has_served:
                    self._add_violation(f"{host.name} ended with an error")
        except TimeoutError:
            self._add_violation(f"{host.name} did not end in {grace_s} s")
            await host.stop()
        await host.start()

    async def _freeze(self, host: gateway_site.HostProcess) -> None:
        self._hard_faulted.add((host.name, host.start_count))
        host.signal(signal.SIGSTOP)
        await self._wait_fault_duration()
        host.signal(signal.SIGCONT)

    async def _hup(self, host: gateway_site.HostProcess) -> None:
        if await host.is_ready():
            host.signal(signal.SIGHUP)

    async def _inject_link_fault(self) -> None:
        names = ["store", *self._site.proxies]
        name = self._rng.choice(names)
        if not self._try_claim(f"link {name}"):
            return
        kind = self._rng.choice(sorted(_LINK_FAULTS))
        self.counts[f"fault {kind}"] += 1
        proxy = (
            self._site.store_proxy
            if name == "store"
            else self._site.proxies[name]
        )
        if name == "store":
            self._record_disturbance()
        proxy.set_fault(_LINK_FAULTS[kind])
        await self._wait_fault_duration()
        # Silent connections stay silent after the fault, so they are reset; new
        # ones work again.
        proxy.set_fault({"reset": True} if kind != "delayed" else {})
        proxy.set_fault({})
        if name == "store":
            self._record_disturbance()
        self._active_targets.discard(f"link {name}")

    async def _inject_upstream_fault(self) -> None:
        name = self._rng.choice(sorted(self._site.upstreams))
        if not self._try_claim(name):
            return
        upstream = self._site.upstreams[name]
        upstream.mode = self._rng.choice(_UPSTREAM_MODES)
        upstream.delay_ms = self._rng.choice((0.0, 20.0, 400.0))
        self.counts[f"fault upstream {upstream.mode}"] += 1
        await self._wait_fault_duration()
        upstream.mode, upstream.delay_ms = "ok", 0.0
        self._active_targets.discard(name)

    async def _exhaust_budgets(self, duration_s: float) -> None:
        """Makes searches need extra attempts while hosts are restarted."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + duration_s
        while loop.time() < deadline_s:
            shard = self._budget_rng.choice(gateway_site.SHARDS)
            faulted = [
                upstream
                for name, upstream in sorted(self._site.upstreams.items())
                if upstream.service == shard and self._try_claim(name)
            ]
            self.counts["fault shard loses answers"] += 1
            for upstream in faulted:
                upstream.mode = "lost"
            await asyncio.sleep(
                self._budget_rng.uniform(*_LOST_ANSWERS_DURATION_S)
            )
            host = self._budget_rng.choice(self._site.hosts)
            if self._try_claim(host.name):
                self.counts["fault kill"] += 1
                self._hard_faulted.add((host.name, host.start_count))
                self._record_disturbance()
                await host.stop()
                await host.start()
                self._active_targets.discard(host.name)
            for upstream in faulted:
                upstream.mode = "ok"
                self._active_targets.discard(upstream.name)

    async def _inject_store_fault(self) -> None:
        if not self._try_claim("store"):
            return
        mode = self._rng.choice(_STORE_MODES)
        self.counts[f"fault store {mode}"] += 1
        self._record_disturbance()
        self._site.store.mode = mode
        await self._wait_fault_duration()
        self._site.store.mode = "up"
        self._record_disturbance()
        self._active_targets.discard("store")

    async def _inject_drills(self, duration_s: float) -> None:
        """Lets the store come back from older copies, between other faults."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + duration_s
        while loop.time() < deadline_s:
            await asyncio.sleep(self._drill_rng.uniform(*_DRILL_INTERVAL_S))
            if not self._try_claim("store"):
                continue
            is_cut = self._drill_rng.random() < 0.5
            drill = gateway_store.Drill(
                self._drill_rng.uniform(*_COPY_AGE_S),
                self._drill_rng.uniform(*_FAULT_DURATION_S),
                is_cut,
                are_watches_cut=self._drill_rng.random() < 0.5,
            )
            self.counts[f"fault drill {'cut' if is_cut else 'busy'}"] += 1
            self._record_disturbance()
            await self._site.store.drill(drill)
            self._record_disturbance()
            self._active_targets.discard("store")

    async def _write_foreign_entries(self, duration_s: float) -> None:
        """Lets another writer put unreadable entries beside the others."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + duration_s
        rng, store = self._foreign_rng, self._site.store
        for number in itertools.count():
            if loop.time() >= deadline_s:
                return
            self.counts["fault foreign entry"] += 1
            mark = f"<foreign-{number}>"
            store.raw_values[mark] = rng.choice(odd_json.ODD_VALUES)
            upstream = rng.choice([*self._site.upstreams.values()])
            entry = upstream.next_store_entry(gateway_site.ADDRESS, "ready")
            entry[rng.choice(_FOREIGN_FIELDS)] = mark
            # Some names come before those of upstreams, some after.
            name = f"{rng.choice('az')}-foreign-{number}"
            store.put("servers", name, entry)
            await asyncio.sleep(rng.uniform(*_FOREIGN_INTERVAL_S))
            if rng.random() < 0.5:
                store.delete("servers", name)

    async def _slow_services(self, duration_s: float) -> None:
        """Makes all upstreams of a service slow, also while hosts stop."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + duration_s
        rng = self._slow_rng
        while loop.time() < deadline_s:
            service = rng.choice(
                (*gateway_site.SHARDS, gateway_site.ACTION_SERVICE)
            )
            slowed = [
                upstream
                for name, upstream in sorted(self._site.upstreams.items())
                if upstream.service == service and self._try_claim(name)
            ]
            self.counts["fault slow service"] += 1
            for upstream in slowed:
                upstream.delay_ms = _SLOW_MS
            await asyncio.sleep(rng.uniform(*_FAULT_DURATION_S))
            for upstream in slowed:
                upstream.delay_ms = 0.0
                self._active_targets.discard(upstream.name)
            await asyncio.sleep(rng.uniform(*_SLOW_INTERVAL_S))

    async def _announce_limits(self, duration_s: float) -> None:
        """Lets one upstream after the other announce a limit."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + duration_s
        rng = self._limit_rng
        while loop.time() < deadline_s:
            name = rng.choice(sorted(self._site.upstreams))
            if not self._try_claim(f"link {name}"):
                # Answers must arrive, so that it is known who has heard.
                await asyncio.sleep(rng.uniform(*_LIMIT_INTERVAL_S))
                continue
            upstream = self._site.upstreams[name]
            limit_per_s = rng.choice(_LIMITS_PER_S)
            self.counts["fault limit"] += 1
            since_ms = self._clock.now_ms()
            upstream.limit_per_s = limit_per_s
            until_s = min(
                loop.time() + rng.uniform(*_LIMIT_DURATION_S), deadline_s
            )
            await asyncio.sleep(until_s - loop.time())
            upstream.limit_per_s = None
            self._active_targets.discard(f"link {name}")
            announcement = announced_limits.Announcement(
                limit_per_s, since_ms, self._clock.now_ms()
            )
            self._announcements.append((name, announcement))
            await asyncio.sleep(rng.uniform(*_LIMIT_INTERVAL_S))

    async def _drain_upstream(self) -> None:
        name = self._rng.choice(sorted(self._site.upstreams))
        if not self._try_claim(f"drain {name}"):
            return
        self.counts["fault drain"] += 1
        self._site.write_upstream_entry(name, state="draining")
        await asyncio.sleep(DRAIN_BOUND_S)
        upstream = self._site.upstreams[name]
        requests_before = len(upstream.requests)
        is_undisturbed = self._is_undisturbed(DRAIN_BOUND_S)
        await asyncio.sleep(0.5)
        if (
            is_undisturbed
            and self._is_undisturbed(0.5)
            and len(upstream.requests) > requests_before
        ):
            self._add_violation(f"{name} got new work after it drained")
        self._site.write_upstream_entry(name)
        self._active_targets.discard(f"drain {name}")

    async def _wait_fault_duration(self) -> None:
        await asyncio.sleep(self._rng.uniform(*_FAULT_DURATION_S))

    def _record_disturbance(self) -> None:
        """Records that the store or a host is affected by a fault now."""
        self._disturbed_s = asyncio.get_running_loop().time()

    def _is_undisturbed(self, since_s: float) -> bool:
        """Returns whether the store and hosts had no fault for long enough.

        Args:
            since_s: Checked period; the time before it counts as well, for
                `UNDISTURBED_S`.
        """
        now_s = asyncio.get_running_loop().time()
        hosts = {host.name for host in self._site.hosts}
        faulted = self._active_targets & {*hosts, "store", "link store"}
        return (
            not faulted and now_s - self._disturbed_s > since_s + UNDISTURBED_S
        )

    # Checks.

    def _add_violation(self, detail: str) -> None:
        self.violations.append(detail)

    def _run_count(self, request_id: str) -> int:
        upstreams = self._site.upstreams.values()
        return sum(upstream.runs[request_id] for upstream in upstreams)

    def _check_cut(self, sent: SentRequest) -> None:
        incarnation = (sent.host, sent.incarnation)
        is_planned = (
            incarnation in self._stopping
            and incarnation not in self._hard_faulted
        )
        if is_planned and self._run_count(sent.request_id):
            self._add_violation(f"{sent.request_id} was cut by a graceful stop")

    def _check_requests(self) -> None:
        for sent in self._sent:
            runs = self._run_count(sent.request_id)
            if sent.kind == "book" and runs > 1:
                self._add_violation(f"{sent.request_id} ran {runs} times")
            if sent.reply is None:
                continue
            if sent.kind == "book" and sent.reply.status == 503 and runs:
                self._add_violation(f"{sent.request_id} ran, and was refused")
            if sent.reply.status == 200:
                self._check_answer(sent, sent.reply)
            # Error replies of upstreams are forwarded with their signature.
            is_signed = sent.reply.header(b"server-seal") is not None
            if sent.reply.status in (400, 404, 500) and not is_signed:
                self._add_violation(
                    f"{sent.request_id} got {sent.reply.status}"
                )

    def _check_budgets(self) -> None:
        """Checks the extra attempts of each service, over restarts of hosts."""
        for service in (*gateway_site.SHARDS, gateway_site.ACTION_SERVICE):
            kind = "book" if service == gateway_site.ACTION_SERVICE else "find"
            arrivals = [
                (request.received_ms, request.header(b"request-id") or b"")
                for upstream in self._site.upstreams.values()
                if upstream.service == service
                for request in upstream.requests
            ]
            # Requests are recorded in the order in which they ended.
            requests_ms = sorted(
                sent.sent_ms for sent in self._sent if sent.kind == kind
            )
            excess = budgets.max_excess(
                requests_ms,
                budgets.extra_arrivals(arrivals),
                self._limits,
            )
            self.min_remaining_extras = min(self.min_remaining_extras, -excess)
            if excess > 0.0:
                self._add_violation(
                    f"{service} got {excess:.1f} extras too many"
                )

    def _check_limits(self) -> None:
        """Checks what upstreams got while they announced limits."""
        processes = {
            sent.request_id: (sent.host, sent.incarnation)
            for sent in self._sent
        }
        for name, announcement in self._announcements:
            upstream = self._site.upstreams[name]
            heard_ms: dict[announced_limits.Process, float] = {}
            for at_ms, request_id in upstream.limited_answers:
                process = processes.get(request_id)
                if at_ms >= announcement.since_ms and process is not None:
                    heard_ms.setdefault(process, at_ms)
            received = (
                (request.received_ms, request.header(b"request-id") or b"")
                for request in upstream.requests
            )
            arrivals = [
                (at_ms, processes[request_id.decode()])
                for at_ms, request_id in received
                if request_id.decode() in processes
            ]
            excess = announced_limits.max_excess(
                arrivals, heard_ms, announcement
            )
            self.max_limit_excess = max(self.max_limit_excess, excess)
            if excess > 0.0:
                self._add_violation(
                    f"{name} got {excess:.1f} requests too many at a limit of"
                    f" {announcement.limit_per_s} a second"
                )

    def _check_answer(self, sent: SentRequest, reply: messages.Reply) -> None:
        if sent.kind == "book":
            signature = (reply.header(b"server-seal") or b"").decode()
            if not self._is_valid_signature(sent, signature):
                self._add_violation(f"{sent.request_id} has no valid signature")
            if reply.body != b"done":
                self._add_violation(f"{sent.request_id} has a wrong body")
            return
        header = (reply.header(b"part-seals") or b"").decode()
        signatures = header.split(", ")
        missing = int(reply.header(b"parts-missing") or b"0")
        names = [signature.partition(".")[0] for signature in signatures]
        services = {name.partition("-")[0] for name in names}
        all_valid = all(
            self._is_valid_signature(sent, each) for each in signatures
        )
        if not all_valid or len(services) != len(names):
            self._add_violation(f"{sent.request_id} has bad parts: {header}")
            return
        if len(names) + missing != len(gateway_site.SHARDS):
            self._add_violation(f"{sent.request_id} states a wrong coverage")
        bodies = (self._site.upstreams[name].body for name in names)
        if reply.body != records.merge_top_records(bodies, 4):
            self._add_violation(
                f"{sent.request_id} is not the merge of its parts"
            )

    def _is_valid_signature(self, sent: SentRequest, signature: str) -> bool:
        name, _, request_id = signature.partition(".")
        return name in self._site.upstreams and request_id == sent.request_id

    async def _check_recovery(self) -> None:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + RECOVERY_S
        for host in self._site.hosts:
            try:
                await host.wait_ready(deadline_s - loop.time())
            except TimeoutError as error:
                self._add_violation(f"not ready again: {error}")
                return
        for host in self._site.hosts:
            try:
                reply = await host.search(f"last-{host.name}")
            except TimeoutError:
                self._add_violation(
                    f"{host.name} does not answer; its log ends:"
                    f" {host.log_tail()}"
                )
                continue
            if getattr(reply, "status", 0) != 200:
                self._add_violation(
                    f"{host.name} does not serve again: {reply}"
                )


async def run_seed(
    seed: int,
    duration_s: float,
    folder: pathlib.Path,
    limits: budgets.BudgetLimits = BUDGET_LIMITS,
    has_drills: bool = False,
    has_foreign_entries: bool = False,
    has_slow_services: bool = False,
) -> Soak:
    """Runs one seed on a new site."""
    bounds = {
        **gateway_site.BOUNDS,
        "budgetWindowS": limits.window_ms / 1000.0,
        "budgetRatio": limits.ratio,
        "budgetBurst": limits.burst,
    }
    async with gateway_site.running_site(
        folder, HOSTS, REPLICAS, bounds, era=1 if has_drills else None
    ) as site:
        soak = Soak(
            site,
            seed,
            limits,
            has_drills,
            has_foreign_entries,
            has_slow_services,
        )
        await soak.run(duration_s)
        return soak


def main(
    seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    count: Annotated[int, typer.Option(help="Number of seeds.")] = 10,
    run_s: Annotated[
        float, typer.Option(help="Duration of each run in seconds.")
    ] = 20.0,
    window_s: Annotated[
        float, typer.Option(help="Window of the extra-attempt budget, in s.")
    ] = BUDGET_LIMITS.window_ms / 1000.0,
    drills: Annotated[
        bool, typer.Option(help="Let the store come back older.")
    ] = False,
    foreign: Annotated[
        bool, typer.Option(help="Let another writer write entries.")
    ] = False,
    slow: Annotated[
        bool, typer.Option(help="Make all upstreams of a service slow.")
    ] = False,
    keep: Annotated[
        pathlib.Path | None, typer.Option(help="Directory for logs.")
    ] = None,
) -> None:
    """Run seeds, print what each found and a summary."""
    limits = BUDGET_LIMITS._replace(window_ms=1000.0 * window_s)

    def run_one(number: int) -> seed_runs.SeedResult:
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(scratch)
            if keep is not None:
                folder = keep / str(number)
                folder.mkdir(parents=True, exist_ok=True)
            soak = loops.run(
                run_seed(number, run_s, folder, limits, drills, foreign, slow)
            )
        return seed_runs.SeedResult(
            soak.violations,
            soak.counts,
            f" (extras left {soak.min_remaining_extras:.1f},"
            f" over limits {soak.max_limit_excess:.1f})",
        )

    seed_runs.run_seeds(seed, count, run_one)


if __name__ == "__main__":
    app = typer.Typer(pretty_exceptions_enable=False)
    app.command()(main)
    app()
