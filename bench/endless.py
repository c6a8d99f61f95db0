"""Upstreams that send endless responses, beside healthy ones."""

import asyncio
from collections.abc import Iterable
import statistics
import time

from bench import cases
from bench import overhead
from greengagedale import loops
from standins import endless
from standins import gateway_site

_UPSTREAM_COUNT = 20
_RATE_PER_S = 20.0
_DEADLINE_MS = 1000
# Targets for the growth of a host's memory and of the search latency.
_MAX_GROWTH_MIB = 16.0
_MAX_P99_RATIO = 1.5
_SAMPLE_INTERVAL_S = 0.1
_MS_PER_S = 1000.0


class Endless(cases.Case):
    """Memory and search latency of a host with or without endless responses."""

    name = "endless"
    shapes = ("tuners",)
    duration_s = 30.0

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Measures without the endless responses first, then with them."""
        before, during = loops.run(_measure(context))
        ratio = during["p99_ms"] / before["p99_ms"]
        growth_mib = during["peak_mib"] - before["peak_mib"]
        row = cases.Row(
            self.name, context.shape.name, "calm", context.seed, before
        )
        yield row
        yield row._replace(
            policy=f"{_UPSTREAM_COUNT} without end",
            figures={
                **during,
                "growth_mib": growth_mib,
                "p99_ratio": ratio,
            },
            target=f"growth {_MAX_GROWTH_MIB:.0f} MiB, p99 x {_MAX_P99_RATIO}",
            met=growth_mib <= _MAX_GROWTH_MIB
            and ratio <= _MAX_P99_RATIO
            and not during["failed"],
        )


async def _measure(
    context: cases.Context,
) -> tuple[dict[str, float], dict[str, float]]:
    folder = context.folder / "gateway"
    folder.mkdir()
    async with gateway_site.running_site(folder, hosts=1) as site:
        host = site.hosts[0]
        await _load(host, 2.0)
        before = await _load(host, context.duration_s)
        async with endless.running_upstreams(site, _UPSTREAM_COUNT):
            endless_load = asyncio.create_task(_request_endless(host))
            during = await _load(host, context.duration_s)
            endless_load.cancel()
    return before, during


async def _load(
    host: gateway_site.HostProcess, duration_s: float
) -> dict[str, float]:
    """Searches at a fixed rate; returns latency, failures and peak memory."""
    peak_task = asyncio.create_task(_peak_mib(host.pid, duration_s))
    searches = []
    for number in range(int(duration_s * _RATE_PER_S)):
        searches.append(asyncio.create_task(_search(host, number)))
        await asyncio.sleep(1.0 / _RATE_PER_S)
    latencies_ms = [
        ms for ms in await asyncio.gather(*searches) if ms is not None
    ]
    percentiles = statistics.quantiles(latencies_ms, n=100)
    return {
        "p50_ms": percentiles[49],
        "p99_ms": percentiles[98],
        "failed": len(searches) - len(latencies_ms),
        "peak_mib": await peak_task,
    }


async def _request_endless(host: gateway_site.HostProcess) -> None:
    """Requests the endless responses, at the same rate as the searches."""
    async with asyncio.TaskGroup() as group:
        while True:
            request = host.get(
                endless.PATH, request_id="p", deadline_ms=_DEADLINE_MS
            )
            group.create_task(request)
            await asyncio.sleep(1.0 / _RATE_PER_S)


async def _search(host: gateway_site.HostProcess, number: int) -> float | None:
    """Returns the latency of a search in ms; None if it failed."""
    start_s = time.monotonic()
    reply = await host.search(f"e{number}", _DEADLINE_MS)
    if getattr(reply, "status", 0) != 200:
        return None
    return (time.monotonic() - start_s) * _MS_PER_S


async def _peak_mib(pid: int, duration_s: float) -> float:
    peak_mib = 0.0
    for _ in range(int(duration_s / _SAMPLE_INTERVAL_S)):
        peak_mib = max(peak_mib, overhead.resident_mib(pid))
        await asyncio.sleep(_SAMPLE_INTERVAL_S)
    return peak_mib
