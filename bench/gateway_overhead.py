"""Cost of a gateway host against one of the object API, at a fan-out of 10."""

import asyncio
from collections.abc import Iterable
import os
import pathlib
import statistics
import time

from bench import cases
from bench import overhead
from greengagedale import loops
from standins import gateway_site
from standins import load_generator

_RATE_PER_S = 20.0
_TIMEOUT_MS = 5000
_SHARDS = tuple(f"t{number}" for number in range(10))
_PATH = "/ten/x"
_MS_PER_S = 1000.0
# Indexes in /proc/PID/stat after the process name: user and system time.
_STAT_USER, _STAT_SYSTEM = 11, 12
_MAX_CPU_RATIO = 1.0


class GatewayOverhead(cases.Case):
    """Latency at low load, and CPU time of the host per search."""

    name = "gateway_overhead"
    duration_s = 10.0

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Measures the host of the object API, then the gateway host."""
        shape = context.shape.name
        baseline = _measure_object_api(context)
        yield cases.Row(self.name, shape, "object API", context.seed, baseline)
        figures = loops.run(_measure_gateway(context))
        ratio = figures["cpu_ms"] / baseline["cpu_ms"]
        yield cases.Row(
            self.name,
            shape,
            "gateway",
            context.seed,
            {**figures, "cpu_ratio": ratio},
            "processor time at most that of the object API",
            ratio <= _MAX_CPU_RATIO,
        )


def _measure_object_api(context: cases.Context) -> dict[str, float]:
    service = context.shape.main_service
    deployment = context.deployment()
    try:
        deployment.start(service=service, hosts=1)
        deployment.apply_workspace("bench", "member-a", service)
        host = deployment.host(1)
        pid = deployment.processes[host.name].pid
        plan = load_generator.LoadPlan(
            [deployment.caller_address(host)],
            "bench",
            _RATE_PER_S,
            context.duration_s,
            context.seed,
            _TIMEOUT_MS,
        )
        cpu_used_ms = _cpu_ms(pid)
        [samples] = load_generator.run(plan)
        cpu_used_ms = _cpu_ms(pid) - cpu_used_ms
        return {
            "p50_ms": load_generator.Summary.from_samples(samples).p50_ms,
            "cpu_ms": cpu_used_ms / len(samples),
            "resident_mib": overhead.resident_mib(pid),
        }
    finally:
        deployment.stop()


async def _measure_gateway(context: cases.Context) -> dict[str, float]:
    folder = context.folder / "gateway"
    folder.mkdir()
    async with gateway_site.running_site(folder, hosts=1) as site:
        await _add_shards(site)
        host = site.hosts[0]
        cpu_used_ms = _cpu_ms(host.pid)
        latencies_ms = await _search(host, context.duration_s)
        cpu_used_ms = _cpu_ms(host.pid) - cpu_used_ms
        return {
            "p50_ms": statistics.median(latencies_ms),
            "cpu_ms": cpu_used_ms / len(latencies_ms),
            "resident_mib": overhead.resident_mib(host.pid),
        }


async def _add_shards(site: gateway_site.Site) -> None:
    for number, shard in enumerate(_SHARDS):
        body = gateway_site.RECORD_FORMAT % number
        for replica in range(2):
            await site.add_upstream(f"{shard}-{replica}", shard, body)
    gather_settings = {"gather": list(_SHARDS), "topK": 10, "minCoverage": 0.9}
    route = gateway_site.route("ten", "/ten/", **gather_settings)
    site.store.put("config", "main", gateway_site.configuration(4, [route]))
    async with asyncio.timeout(_TIMEOUT_MS / _MS_PER_S):
        while not await _is_route_ready(site.hosts[0]):
            await asyncio.sleep(1.0 / _RATE_PER_S)


async def _is_route_ready(host: gateway_site.HostProcess) -> bool:
    reply = await host.get(_PATH, request_id="warm", deadline_ms=_TIMEOUT_MS)
    return getattr(reply, "status", 0) == 200


async def _search(
    host: gateway_site.HostProcess, duration_s: float
) -> list[float]:
    """Searches sequentially at a fixed rate; returns the latencies in ms.

    Raises:
        RuntimeError: A search was not answered with status 200.
    """
    connection = await host.connect()
    latencies_ms: list[float] = []
    for number in range(int(duration_s * _RATE_PER_S)):
        start_s = time.monotonic()
        reply = await host.send_request(
            connection, _PATH, request_id=f"o{number}", deadline_ms=_TIMEOUT_MS
        )
        latency_s = time.monotonic() - start_s
        if getattr(reply, "status", 0) != 200:
            raise RuntimeError(
                f"search was not answered with status 200: {reply!r}"
            )
        latencies_ms.append(latency_s * _MS_PER_S)
        await asyncio.sleep(max(0.0, 1.0 / _RATE_PER_S - latency_s))
    connection.close()
    return latencies_ms


def _cpu_ms(pid: int) -> float:
    """Returns the user and system time of a process, in ms."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_STAT_USER]) + int(fields[_STAT_SYSTEM])
    return ticks * _MS_PER_S / os.sysconf("SC_CLK_TCK")
