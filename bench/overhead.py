"""Cost of one entry host against a plain aiohttp fan-out.

Both use the same upstreams.
"""

from collections.abc import Iterable
import pathlib

from bench import cases
from standins import bare
from standins import deployments
from standins import httpcalls
from standins import load_generator

_QUIET_RATE_PER_S = 20.0
_FULL_RATE_PER_S = 600.0
_TIMEOUT_MS = 20_000
_MAX_P50_RATIO = 1.25
_MIN_RATE_RATIO = 0.7
_KIB_PER_MIB = 1024
_CONNECTIONS_PER_UPSTREAM = 40
_CONNECTION_SETTINGS = (
    f"\n[upstreams]\nspare_connections = {_CONNECTIONS_PER_UPSTREAM}\n"
)


class Overhead(cases.Case):
    """Latency at low load, throughput at full load, and memory."""

    name = "overhead"
    duration_s = 5.0

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Measures the plain fan-out, then the host."""
        service = context.shape.main_service
        deployment = context.deployment()
        try:
            deployment.start(service=service, hosts=1)
            deployment.start_bare_fanout(service)
            deployment.apply_workspace("bench", "member-a", service)
            yield from _rows(self.name, context, deployment)
        finally:
            deployment.stop()
        deployment = context.deployment("connections")
        try:
            deployment.start(_CONNECTION_SETTINGS, service=service, hosts=1)
            deployment.apply_workspace("bench", "member-a", service)
            yield _connection_memory_row(
                self.name, context, deployment, service
            )
        finally:
            deployment.stop()


def _rows(
    name: str, context: cases.Context, deployment: deployments.Deployment
) -> Iterable[cases.Row]:
    host = deployment.host(1)
    idle_mib = resident_mib(deployment.processes[host.name].pid)
    endpoints = {
        "bare": bare.endpoint_of(deployment.shape),
        "host": deployment.caller_address(host),
    }
    figures = {
        policy: _measure(endpoint, context)
        for policy, endpoint in endpoints.items()
    }
    figures["host"] |= {
        "idle_mib": idle_mib,
        "loaded_mib": resident_mib(deployment.processes[host.name].pid),
        "p50_ratio": figures["host"]["p50_ms"] / figures["bare"]["p50_ms"],
        "rate_ratio": figures["host"]["full_rate_per_s"]
        / figures["bare"]["full_rate_per_s"],
    }
    shape = deployment.shape.name
    yield cases.Row(name, shape, "bare", context.seed, figures["bare"])
    yield cases.Row(
        name,
        shape,
        "host",
        context.seed,
        figures["host"],
        "p50 at most 1.25 times, throughput at least 0.7 times bare",
        figures["host"]["p50_ratio"] <= _MAX_P50_RATIO
        and figures["host"]["rate_ratio"] >= _MIN_RATE_RATIO,
    )


def _connection_memory_row(
    name: str,
    context: cases.Context,
    deployment: deployments.Deployment,
    service: str,
) -> cases.Row:
    """Measures the memory of a host with idle connections to all upstreams."""
    host = deployment.host(1)
    pid = deployment.processes[host.name].pid
    placed = deployment.shape.upstreams()
    expected_connections = _CONNECTIONS_PER_UPSTREAM * sum(
        p.shape.name == service for p in placed
    )
    path = "/v1/workspaces/bench/search"
    descriptors = pathlib.Path(f"/proc/{pid}/fd")

    def has_connections() -> bool:
        # The host opens its connections when it has to search.
        httpcalls.call(
            "POST", deployment.caller_address(host), path, {"text": "a"}
        )
        return len(list(descriptors.iterdir())) >= expected_connections

    deployments.wait_until(
        has_connections, f"{expected_connections} connections"
    )
    figures = {
        "connections": float(expected_connections),
        "connected_mib": resident_mib(pid),
    }
    return cases.Row(
        name,
        deployment.shape.name,
        f"host, {_CONNECTIONS_PER_UPSTREAM} connections an upstream",
        context.seed,
        figures,
    )


def _measure(endpoint: str, context: cases.Context) -> dict[str, float]:
    summaries = []
    for rate_per_s in (_QUIET_RATE_PER_S, _FULL_RATE_PER_S):
        plan = load_generator.LoadPlan(
            [endpoint],
            "bench",
            rate_per_s,
            context.duration_s,
            context.seed,
            _TIMEOUT_MS,
        )
        [samples] = load_generator.run(plan)
        summaries.append(load_generator.Summary.from_samples(samples))
    quiet, full = summaries
    return {
        "p50_ms": quiet.p50_ms,
        "p99_ms": quiet.p99_ms,
        "full_rate_per_s": full.rate_per_s,
    }


def resident_mib(pid: int) -> float:
    """Returns the resident memory of a process in MiB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    [line] = (item for item in text.splitlines() if "VmRSS" in item)
    return int(line.split()[1]) / _KIB_PER_MIB
