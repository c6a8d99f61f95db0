"""Soak test of hosts that lose all their upstreams, beside other faults.

Hosts run in this process over a stand-in store and stand-in upstreams. Any of
them are cut off, for any time and in any way, while upstreams announce limits,
fail, or lose answers and the store is away. First tries of callers are checked.
"""

import asyncio
import collections
import pathlib
import random
import tempfile
from typing import Annotated, NamedTuple

import typer

from greengagedale import loops
from proofs import seed_runs
from standins import cut_off_hosts
from standins import gateway_upstream

HOSTS = 4
# The platform counts first tries from this long after a cut began; they may be
# worse by this factor, or fail this often and for this fraction of all.
SETTLED_S = 4.0
MIN_SERVED_SHARE = 2.0 / 3.0
ALLOWED_FAILURES = 10
ALLOWED_SHARE = 0.02
_CUT_DURATION_S = (0.2, 9.0)
_FAULT_DURATION_S = (0.3, 2.0)
_PAUSE_S = (0.1, 1.0)
_LIMITS_PER_S = (1.0, 5.0, 20.0)
_UPSTREAM_MODES = ("full", "failing", "lost")
_STORE_MODES = ("busy", "silent", "gone")


class Cut(NamedTuple):
    """A time in which a host could reach no upstream, by the loop's clock."""

    host: int
    since_s: float
    until_s: float


class CutOffSoak:
    """One run.

    Attributes:
        violations: Descriptions of the violations found.
        counts: First tries by status, and faults by kind.
    """

    def __init__(self, site: cut_off_hosts.CutOffSite, seed: int) -> None:
        self.violations: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._site = site
        self._rng = random.Random(seed)
        self._cuts: list[Cut] = []

    async def run(self, duration_s: float) -> None:
        """Runs traffic and faults, and checks what callers got."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        faults = [
            asyncio.create_task(work(end_s))
            for work in (
                self._cut_hosts,
                self._cut_hosts,
                self._announce_limits,
                self._disturb_upstreams,
                self._disturb_store,
            )
        ]
        tries = await self._site.ask_for(duration_s, range(HOSTS))
        await asyncio.gather(*faults)
        self._check_once(tries)
        for cut in self._cuts:
            self._check_served(cut, tries)

    async def _cut_hosts(self, end_s: float) -> None:
        loop = asyncio.get_running_loop()
        while await self._pause(end_s):
            host = self._rng.randrange(HOSTS)
            if host in self._site.cuts:
                continue
            how = self._rng.choice(
                (cut_off_hosts.HANG, cut_off_hosts.REFUSE, cut_off_hosts.LIVE)
            )
            self.counts[f"cut {how}"] += 1
            since_s = loop.time()
            self._site.cut(host, how)
            await asyncio.sleep(self._rng.uniform(*_CUT_DURATION_S))
            self._site.heal(host)
            self._cuts.append(Cut(host, since_s, loop.time()))

    async def _announce_limits(self, end_s: float) -> None:
        while await self._pause(end_s):
            upstream = self._choose_upstream()
            upstream.limit_per_s = self._rng.choice(_LIMITS_PER_S)
            self.counts["limit"] += 1
            await asyncio.sleep(self._rng.uniform(*_FAULT_DURATION_S))
            upstream.limit_per_s = None

    async def _disturb_upstreams(self, end_s: float) -> None:
        while await self._pause(end_s):
            upstream = self._choose_upstream()
            upstream.mode = self._rng.choice(_UPSTREAM_MODES)
            self.counts[f"upstream {upstream.mode}"] += 1
            await asyncio.sleep(self._rng.uniform(*_FAULT_DURATION_S))
            upstream.mode = "ok"

    async def _disturb_store(self, end_s: float) -> None:
        store = self._site.site.store
        while await self._pause(end_s):
            store.mode = self._rng.choice(_STORE_MODES)
            self.counts[f"store {store.mode}"] += 1
            await asyncio.sleep(self._rng.uniform(*_FAULT_DURATION_S))
            store.mode = "up"

    async def _pause(self, end_s: float) -> bool:
        """Waits between faults; returns whether the run goes on."""
        await asyncio.sleep(self._rng.uniform(*_PAUSE_S))
        return asyncio.get_running_loop().time() < end_s

    def _choose_upstream(self) -> gateway_upstream.GatewayUpstream:
        upstreams = self._site.site.upstreams
        return upstreams[self._rng.choice(sorted(upstreams))]

    def _check_once(self, tries: list[cut_off_hosts.FirstTry]) -> None:
        """Checks that requests run at most once, and not if refused."""
        for each in tries:
            self.counts[f"{each.kind} {each.status}"] += 1
            if each.kind != "book":
                continue
            runs = self._site.run_count(each.request_id)
            if runs > 1:
                self.violations.append(f"{each.request_id} ran {runs} times")
            if runs and each.status == 503:
                self.violations.append(f"{each.request_id} ran, was refused")

    def _check_served(
        self, cut: Cut, tries: list[cut_off_hosts.FirstTry]
    ) -> None:
        """Checks how first tries at a host that was cut off were served.

        They are compared with those at hosts that were not cut off then.
        """
        since_s = cut.since_s + SETTLED_S
        counted = [
            each
            for each in tries
            if since_s <= each.sent_s < cut.until_s
            and (each.host == cut.host or not self._was_cut_off(each))
        ]
        here = [each.status == 200 for each in counted if each.host == cut.host]
        others = [
            each.status == 200 for each in counted if each.host != cut.host
        ]
        if not here or not others:
            return
        self.counts["served while cut off"] += sum(here)
        is_worse = sum(here) / len(here) < (
            MIN_SERVED_SHARE * sum(others) / len(others)
        )
        failed = len(here) - sum(here)
        if is_worse and failed > ALLOWED_FAILURES + ALLOWED_SHARE * len(
            counted
        ):
            self.violations.append(
                f"host {cut.host} served {sum(here)} of {len(here)} while cut"
                f" off, others {sum(others)} of {len(others)}"
            )

    def _was_cut_off(self, each: cut_off_hosts.FirstTry) -> bool:
        return any(
            cut.host == each.host and cut.since_s <= each.sent_s < cut.until_s
            for cut in self._cuts
        )


async def run_seed(
    seed: int, duration_s: float, folder: pathlib.Path
) -> CutOffSoak:
    """Runs one seed on a new site."""
    async with cut_off_hosts.running(folder, HOSTS) as site:
        soak = CutOffSoak(site, seed)
        await soak.run(duration_s)
        return soak


def main(
    seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    count: Annotated[int, typer.Option(help="Number of seeds.")] = 10,
    run_s: Annotated[
        float, typer.Option(help="Duration of each run in seconds.")
    ] = 15.0,
) -> None:
    """Run seeds, print what each found and a summary."""

    def run_one(number: int) -> seed_runs.SeedResult:
        with tempfile.TemporaryDirectory() as folder:
            soak = loops.run(run_seed(number, run_s, pathlib.Path(folder)))
        return seed_runs.SeedResult(soak.violations, soak.counts)

    seed_runs.run_seeds(seed, count, run_one)


if __name__ == "__main__":
    app = typer.Typer(pretty_exceptions_enable=False)
    app.command()(main)
    app()
