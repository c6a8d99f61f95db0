"""Randomized faults on gateway hosts, and checks of what callers see.

Hosts are real processes; their store and upstreams are stand-ins behind
fault-injecting proxies. Faults come from a seed, in overlapping series.
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
from proofs import budgets
from standins import faultproxy
from standins import gateway_site

HOSTS = 3
REPLICAS = 3
CALLERS = 8
STREAMS = 3
# Stated bounds: new work to leaving upstreams, and configurations in force.
DRAIN_BOUND_S = 3.0
CONFIGURATION_BOUND_S = 3.0
# A bound holds once the store and the hosts were left alone for this long.
CALM_S = 4.0
# Everything serves again so long after the last fault.
RECOVERY_S = 12.0
# Extra attempts are scarce here, and several lives of hosts fit in a window, so
# that each spends what there is.
ALLOWANCE = budgets.Allowance(window_ms=8000.0, ratio=0.005, burst=12.0)
# A life of a host lasts for some of these windows, so that it has something to
# spend: a new process has nothing in its first window.
SHORT_ALLOWANCE = ALLOWANCE._replace(window_ms=1500.0)
_FAULT_S = (0.3, 2.5)
_PAUSE_S = (0.1, 0.8)
_SPENDING_S = (0.3, 1.0)
_CONFIGURE_EVERY_S = 1.5
_EXIT_VIOLATIONS = 1

_LINK_FAULTS: dict[str, faultproxy.Fault] = {
    "silent": {"silent": True},
    "reset": {"reset": True, "refuse": True},
    "one_way": {"drop_to_caller": True},
    "delayed": {"delay_ms": 60.0},
    "part_silent": {"silent_share": 0.5},
}
_UPSTREAM_MODES = ("full", "failing", "unsigned", "foreign", "lost")
_STORE_MODES = ("busy", "silent", "gone")


class Sent(NamedTuple):
    """One request of a caller and what came of it.

    Attributes:
        request_id: Its id.
        sent_ms: When it was sent, by the clock of the process.
        kind: `find` or `book`.
        host: Host that it was sent to.
        life: Life of that host's process.
        reply: The answer, or None if there was none.
    """

    request_id: str
    sent_ms: float
    kind: str
    host: str
    life: int
    reply: messages.Reply | None


class Soak:
    """One run.

    Attributes:
        violations: What must not happen, and did.
        counts: Requests by outcome and faults by kind.
        least_left: Extra attempts that were left in the tightest window.
    """

    def __init__(
        self,
        site: gateway_site.Site,
        seed: int,
        allowance: budgets.Allowance = ALLOWANCE,
    ) -> None:
        self.violations: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.least_left = float("inf")
        self._site = site
        self._allowance = allowance
        self._rng = random.Random(seed)
        # Of its own, so that the other faults of a seed stay as they are.
        self._own_rng = random.Random(f"{seed} budgets")
        self._clock = clocks.MonotonicClock()
        self._sent: list[Sent] = []
        self._ids = itertools.count(1)
        self._version = 3
        self._disturbed_s = 0.0
        self._busy: set[str] = set()
        self._observers: set[asyncio.Task[None]] = set()
        self._stopping: set[tuple[str, int]] = set()
        self._struck: set[tuple[str, int]] = set()

    async def run(self, duration_s: float) -> None:
        """Runs traffic and faults, heals everything, and checks."""
        background = [
            *(asyncio.create_task(self._call()) for _ in range(CALLERS)),
            asyncio.create_task(self._configure()),
        ]
        strikers = [
            asyncio.create_task(self._strike(duration_s))
            for _ in range(STREAMS)
        ]
        strikers.append(asyncio.create_task(self._spend_budgets(duration_s)))
        await asyncio.gather(*strikers)
        await self._check_recovery()
        for task in background:
            task.cancel()
        ends = await asyncio.gather(*background, return_exceptions=True)
        for end in ends:
            if isinstance(end, Exception):
                raise end
        self._check_requests()
        self._check_budgets()

    # Traffic.

    async def _call(self) -> None:
        """Sends requests, on one connection for as long as it is open."""
        while True:
            host = self._rng.choice(self._site.hosts)
            life = host.start_count
            try:
                connection = await host.connect()
            except OSError:
                self.counts["connect"] += 1
                await asyncio.sleep(0.05)
                continue
            while connection.is_usable:
                await self._ask(host, life, connection)
                await asyncio.sleep(self._rng.uniform(0.0, 0.03))
            connection.close()

    async def _ask(
        self,
        host: gateway_site.HostProcess,
        life: int,
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
        whole = reply if isinstance(reply, messages.Reply) else None
        sent = Sent(request_id, sent_ms, kind, host.name, life, whole)
        self._sent.append(sent)
        self.counts[f"{kind} {whole.status if whole else 'cut'}"] += 1
        if isinstance(reply, client.ExchangeFailure):
            self._check_cut(sent)

    async def _configure(self) -> None:
        """Writes one configuration after another and looks at its effect."""
        while True:
            await asyncio.sleep(_CONFIGURE_EVERY_S)
            self._version += self._rng.randint(1, 3)
            version = self._version
            more = [gateway_site.route("new", f"/v{version}/", service="s1")]
            document = gateway_site.configuration(version, more)
            self._site.store.put("config", "main", document)
            task = asyncio.create_task(self._observe(version))
            self._observers.add(task)
            task.add_done_callback(self._observers.discard)

    async def _observe(self, version: int) -> None:
        await asyncio.sleep(CONFIGURATION_BOUND_S)
        if not self._is_calm(CONFIGURATION_BOUND_S) or (
            self._version != version
        ):
            return
        for host in self._site.hosts:
            reply = await self._probe(host, version)
            if reply is not None and reply.status == 404:
                self._violate(f"{host.name} lacks version {version}")

    async def _probe(
        self, host: gateway_site.HostProcess, version: int
    ) -> messages.Reply | None:
        try:
            reply = await host.get(f"/v{version}/x", request_id="probe")
        except OSError:
            return None
        return reply if isinstance(reply, messages.Reply) else None

    # Faults.

    async def _strike(self, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + duration_s
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._strike_host,
            self._strike_link,
            self._strike_upstream,
            self._strike_store,
            self._drain,
        ]
        while loop.time() < until_s:
            await self._rng.choice(kinds)()
            await asyncio.sleep(self._rng.uniform(*_PAUSE_S))

    def _claim(self, name: str) -> bool:
        """Marks a target as struck; False if it is already."""
        if name in self._busy:
            return False
        self._busy.add(name)
        return True

    async def _strike_host(self) -> None:
        host = self._rng.choice(self._site.hosts)
        if not self._claim(host.name):
            return
        what = self._rng.choice(("kill", "stop", "freeze", "hup"))
        self.counts[f"fault {what}"] += 1
        self._disturb()
        try:
            await getattr(self, f"_{what}")(host)
        finally:
            self._disturb()
            self._busy.discard(host.name)

    async def _kill(self, host: gateway_site.HostProcess) -> None:
        self._struck.add((host.name, host.start_count))
        await host.stop()
        await self._pause()
        await host.start()

    async def _stop(self, host: gateway_site.HostProcess) -> None:
        # A process that is still starting has nothing to finish.
        has_served = await host.is_ready()
        self._stopping.add((host.name, host.start_count))
        host.signal(signal.SIGTERM)
        grace_s = float(gateway_site.BOUNDS["graceS"])
        try:
            async with asyncio.timeout(grace_s):
                if await host.wait_exit() != 0 and has_served:
                    self._violate(f"{host.name} ended with an error")
        except TimeoutError:
            self._violate(f"{host.name} did not end in {grace_s} s")
            await host.stop()
        await host.start()

    async def _freeze(self, host: gateway_site.HostProcess) -> None:
        self._struck.add((host.name, host.start_count))
        host.signal(signal.SIGSTOP)
        await self._pause()
        host.signal(signal.SIGCONT)

    async def _hup(self, host: gateway_site.HostProcess) -> None:
        if await host.is_ready():
            host.signal(signal.SIGHUP)

    async def _strike_link(self) -> None:
        names = ["store", *self._site.proxies]
        name = self._rng.choice(names)
        if not self._claim(f"link {name}"):
            return
        what = self._rng.choice(sorted(_LINK_FAULTS))
        self.counts[f"fault {what}"] += 1
        proxy = (
            self._site.store_proxy
            if name == "store"
            else self._site.proxies[name]
        )
        if name == "store":
            self._disturb()
        proxy.set_fault(_LINK_FAULTS[what])
        await self._pause()
        # A connection that went silent stays so; only new ones work again.
        proxy.set_fault({"reset": True} if what != "delayed" else {})
        proxy.set_fault({})
        if name == "store":
            self._disturb()
        self._busy.discard(f"link {name}")

    async def _strike_upstream(self) -> None:
        name = self._rng.choice(sorted(self._site.upstreams))
        if not self._claim(name):
            return
        upstream = self._site.upstreams[name]
        upstream.mode = self._rng.choice(_UPSTREAM_MODES)
        upstream.delay_ms = self._rng.choice((0.0, 20.0, 400.0))
        self.counts[f"fault upstream {upstream.mode}"] += 1
        await self._pause()
        upstream.mode, upstream.delay_ms = "ok", 0.0
        self._busy.discard(name)

    async def _spend_budgets(self, duration_s: float) -> None:
        """Makes searches want extra attempts while hosts begin new lives."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + duration_s
        while loop.time() < until_s:
            shard = self._own_rng.choice(gateway_site.SHARDS)
            struck = [
                upstream
                for name, upstream in sorted(self._site.upstreams.items())
                if upstream.service == shard and self._claim(name)
            ]
            self.counts["fault shard loses answers"] += 1
            for upstream in struck:
                upstream.mode = "lost"
            await asyncio.sleep(self._own_rng.uniform(*_SPENDING_S))
            host = self._own_rng.choice(self._site.hosts)
            if self._claim(host.name):
                self.counts["fault kill"] += 1
                self._struck.add((host.name, host.start_count))
                self._disturb()
                await host.stop()
                await host.start()
                self._busy.discard(host.name)
            for upstream in struck:
                upstream.mode = "ok"
                self._busy.discard(upstream.name)

    async def _strike_store(self) -> None:
        if not self._claim("store"):
            return
        mode = self._rng.choice(_STORE_MODES)
        self.counts[f"fault store {mode}"] += 1
        self._disturb()
        self._site.store.mode = mode
        await self._pause()
        self._site.store.mode = "up"
        self._disturb()
        self._busy.discard("store")

    async def _drain(self) -> None:
        name = self._rng.choice(sorted(self._site.upstreams))
        if not self._claim(f"drain {name}"):
            return
        self.counts["fault drain"] += 1
        self._site.write_upstream_entry(name, state="draining")
        await asyncio.sleep(DRAIN_BOUND_S)
        upstream = self._site.upstreams[name]
        before = len(upstream.requests)
        calm = self._is_calm(DRAIN_BOUND_S)
        await asyncio.sleep(0.5)
        if calm and self._is_calm(0.5) and len(upstream.requests) > before:
            self._violate(f"{name} got new work after it drained")
        self._site.write_upstream_entry(name)
        self._busy.discard(f"drain {name}")

    async def _pause(self) -> None:
        await asyncio.sleep(self._rng.uniform(*_FAULT_S))

    def _disturb(self) -> None:
        """Notes that the store or a host is disturbed now."""
        self._disturbed_s = asyncio.get_running_loop().time()

    def _is_calm(self, since_s: float) -> bool:
        """Tells whether nothing was disturbed in a time and long before."""
        now_s = asyncio.get_running_loop().time()
        hosts = {host.name for host in self._site.hosts}
        struck = self._busy & {*hosts, "store", "link store"}
        return not struck and now_s - self._disturbed_s > since_s + CALM_S

    # Checks.

    def _violate(self, detail: str) -> None:
        self.violations.append(detail)

    def _runs(self, request_id: str) -> int:
        upstreams = self._site.upstreams.values()
        return sum(upstream.runs[request_id] for upstream in upstreams)

    def _check_cut(self, sent: Sent) -> None:
        life = (sent.host, sent.life)
        is_planned = life in self._stopping and life not in self._struck
        if is_planned and self._runs(sent.request_id):
            self._violate(f"{sent.request_id} was cut by a graceful stop")

    def _check_requests(self) -> None:
        for sent in self._sent:
            runs = self._runs(sent.request_id)
            if sent.kind == "book" and runs > 1:
                self._violate(f"{sent.request_id} ran {runs} times")
            if sent.reply is None:
                continue
            if sent.kind == "book" and sent.reply.status == 503 and runs:
                self._violate(f"{sent.request_id} ran, and was refused")
            if sent.reply.status == 200:
                self._check_answer(sent, sent.reply)
            # An upstream's own failure is passed on with its signature.
            is_signed = sent.reply.header(b"server-seal") is not None
            if sent.reply.status in (400, 404, 500) and not is_signed:
                self._violate(f"{sent.request_id} got {sent.reply.status}")

    def _check_budgets(self) -> None:
        """Checks what arrived at each service, over all lives of hosts."""
        for service in (*gateway_site.SHARDS, gateway_site.ACTION_SERVICE):
            kind = "book" if service == gateway_site.ACTION_SERVICE else "find"
            arrivals = [
                (request.received_ms, request.header(b"request-id") or b"")
                for upstream in self._site.upstreams.values()
                if upstream.service == service
                for request in upstream.requests
            ]
            # Kept in the order in which requests ended.
            requests_ms = sorted(
                sent.sent_ms for sent in self._sent if sent.kind == kind
            )
            excess = budgets.worst_excess(
                requests_ms,
                budgets.extras_of(arrivals),
                self._allowance,
            )
            self.least_left = min(self.least_left, -excess)
            if excess > 0.0:
                self._violate(f"{service} got {excess:.1f} extras too many")

    def _check_answer(self, sent: Sent, reply: messages.Reply) -> None:
        if sent.kind == "book":
            signature = (reply.header(b"server-seal") or b"").decode()
            if not self._is_signature(sent, signature):
                self._violate(f"{sent.request_id} has no good signature")
            if reply.body != b"done":
                self._violate(f"{sent.request_id} has another body")
            return
        told = (reply.header(b"part-seals") or b"").decode()
        signatures = told.split(", ")
        missing = int(reply.header(b"parts-missing") or b"0")
        names = [signature.partition(".")[0] for signature in signatures]
        services = {name.partition("-")[0] for name in names}
        good = all(self._is_signature(sent, each) for each in signatures)
        if not good or len(services) != len(names):
            self._violate(f"{sent.request_id} has bad parts: {told}")
            return
        if len(names) + missing != len(gateway_site.SHARDS):
            self._violate(f"{sent.request_id} states a wrong coverage")
        bodies = (self._site.upstreams[name].body for name in names)
        if reply.body != records.merge_top_records(bodies, 4):
            self._violate(f"{sent.request_id} is not the merge of its parts")

    def _is_signature(self, sent: Sent, signature: str) -> bool:
        name, _, request_id = signature.partition(".")
        return name in self._site.upstreams and request_id == sent.request_id

    async def _check_recovery(self) -> None:
        async with asyncio.timeout(RECOVERY_S):
            for host in self._site.hosts:
                try:
                    await host.wait_ready(RECOVERY_S)
                except TimeoutError:
                    self._violate(f"{host.name} does not come back")
                    return
        for host in self._site.hosts:
            reply = await host.search(f"last-{host.name}")
            if getattr(reply, "status", 0) != 200:
                self._violate(f"{host.name} does not serve again: {reply}")


async def run_seed(
    seed: int,
    duration_s: float,
    folder: pathlib.Path,
    allowance: budgets.Allowance = ALLOWANCE,
) -> Soak:
    """Runs one seed on a site of its own."""
    bounds = {
        **gateway_site.BOUNDS,
        "budgetWindowS": allowance.window_ms / 1000.0,
        "budgetRatio": allowance.ratio,
        "budgetBurst": allowance.burst,
    }
    async with gateway_site.running_site(
        folder, HOSTS, REPLICAS, bounds
    ) as site:
        soak = Soak(site, seed, allowance)
        await soak.run(duration_s)
        return soak


def main(
    seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    count: Annotated[int, typer.Option(help="How many seeds.")] = 10,
    run_s: Annotated[float, typer.Option(help="Length of each run.")] = 20.0,
    window_s: Annotated[
        float, typer.Option(help="Window of the budget of extra attempts.")
    ] = ALLOWANCE.window_ms / 1000.0,
    keep: Annotated[
        pathlib.Path | None, typer.Option(help="Where logs are kept.")
    ] = None,
) -> None:
    """Run seeds, print what each found and a summary."""
    counts: collections.Counter[str] = collections.Counter()
    failed = []
    allowance = ALLOWANCE._replace(window_ms=1000.0 * window_s)
    for number in range(seed, seed + count):
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(scratch)
            if keep is not None:
                folder = keep / str(number)
                folder.mkdir(parents=True, exist_ok=True)
            done = loops.run(run_seed(number, run_s, folder, allowance))
        typer.echo(
            f"seed {number}: {len(done.violations)}"
            f" (extras left {done.least_left:.1f})"
        )
        for violation in done.violations:
            typer.echo(f"  {violation}")
        counts += done.counts
        failed += [number] if done.violations else []
    for name, value in sorted(counts.items()):
        typer.echo(f"{name}: {value}")
    typer.echo(f"failed seeds: {failed or 'none'}")
    if failed:
        raise typer.Exit(_EXIT_VIOLATIONS)


if __name__ == "__main__":
    app = typer.Typer(pretty_exceptions_enable=False)
    app.command()(main)
    app()
