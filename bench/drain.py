"""Time for which an upstream still gets new work after it starts to drain."""

from collections.abc import Iterable
import itertools
import threading
import time

from bench import cases
from standins import deployments
from standins import load_generator

_RATE_PER_S = 20.0
_DRAIN_DELAY_S = 2.0
_MAX_LAST_WORK_MS = 2000.0
_MS_PER_S = 1000.0


class Drain(cases.Case):
    """One upstream drains under load; each row is one source of the signal."""

    name = "drain"
    duration_s = 8.0

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Measures each signal; that of the upstream also in an outage."""
        service = context.shape.main_service
        deployment = context.deployment()
        try:
            deployment.start(service=service)
            deployment.apply_workspace("bench", "member-a", service)
            names = [
                placed.upstream.name
                for placed in deployment.shape.upstreams()
                if placed.shape.name == service
                and placed.upstream.name.endswith("-1")
            ]
            signals = (
                ("upstream", False),
                ("upstream", True),
                ("platform", False),
            )
            for (source, platform_down), name in zip(
                signals, names, strict=False
            ):
                figures = _measure(
                    deployment, context, service, name, source, platform_down
                )
                yield _row(self.name, context, source, platform_down, figures)
        finally:
            deployment.stop()


def _row(
    case: str,
    context: cases.Context,
    source: str,
    platform_down: bool,
    figures: dict[str, float],
) -> cases.Row:
    return cases.Row(
        case,
        context.shape.name,
        f"{source}, platform {'down' if platform_down else 'up'}",
        context.seed,
        figures,
        "last new work at most 2000 ms after, all requests whole",
        figures["last_work_ms"] <= _MAX_LAST_WORK_MS
        and figures["full"] == figures["requests"],
    )


def _measure(
    deployment: deployments.Deployment,
    context: cases.Context,
    service: str,
    name: str,
    source: str,
    platform_down: bool,
) -> dict[str, float]:
    deployment.control_platform(down=platform_down)
    drain_start_ms = []
    drain_timer = threading.Timer(
        _DRAIN_DELAY_S,
        lambda: drain_start_ms.append(
            _start_drain(deployment, service, name, source)
        ),
    )
    drain_timer.start()
    plan = load_generator.LoadPlan(
        [
            deployment.caller_address(host)
            for host in deployment.shape.entry_hosts()
        ],
        "bench",
        _RATE_PER_S,
        context.duration_s,
        context.seed,
    )
    [samples] = load_generator.run(plan)
    drain_timer.join()
    deployment.control_platform()
    summary = load_generator.Summary.from_samples(samples)
    work_events = [
        event
        for event in _read_events(deployment)
        if event.get("upstream") == name
        and event["event"] in ("search", "refused_draining")
        and event["at_ms"] > drain_start_ms[0]
    ]
    last_work_ms = max(
        (event["at_ms"] for event in work_events), default=drain_start_ms[0]
    )
    return {
        "last_work_ms": last_work_ms - drain_start_ms[0],
        "work_after": float(len(work_events)),
        "requests": float(summary.requests),
        "full": float(summary.full),
        "p99_ms": summary.p99_ms,
    }


def _read_events(deployment: deployments.Deployment) -> Iterable[dict]:
    names = [path.stem for path in deployment.folder.glob("*.jsonl")]
    return itertools.chain.from_iterable(map(deployment.read_record, names))


def _start_drain(
    deployment: deployments.Deployment, service: str, name: str, source: str
) -> float:
    if source == "upstream":
        deployment.control_upstream(name, draining=True)
    else:
        initial = deployment.shape.initial_service(service)
        upstream = initial.upstreams[name]._replace(leaving=True)
        upstreams = {**initial.upstreams, name: upstream}
        deployment.publish_service(initial._replace(upstreams=upstreams))
    return time.monotonic() * _MS_PER_S
