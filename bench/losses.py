"""Network partition of regions, and loss of a data centre or most hosts."""

from collections.abc import Callable, Iterable
import itertools
import threading
import time

from bench import cases
from standins import deployments
from standins import load_generator

_REGION_A, _REGION_B = (1, 2), (3, 4)
_SURVIVOR = 2
_WORKSPACE = "search-a"
_RATE_PER_S = 20.0
_MAX_DETECTION_MS = 2000.0
_DETECTION_TIMEOUT_S = 10.0
_MS_PER_S = 1000.0


class Losses(cases.Case):
    """Detection time, service during a large loss, and recovery time.

    The load starts once every surviving host has detected the loss, and goes
    to these hosts; all its answers should have full coverage.
    """

    name = "losses"
    shapes = ("small",)
    seeds = (1,)
    duration_s = 5.0

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Measures each loss on a separate deployment."""
        measures = {
            "regions cut": _cut_regions,
            "data centre lost": _lose_data_centre,
            "one host left": _lose_all_but_one,
        }
        for policy, measure in measures.items():
            deployment = context.deployment(policy.replace(" ", "-"), True)
            try:
                deployment.start()
                deployment.apply_example_workspace()
                figures = measure(deployment, context)
            finally:
                deployment.stop()
            yield cases.Row(
                self.name,
                context.shape.name,
                policy,
                context.seed,
                figures,
                "known within 2000 ms, all requests then whole",
                figures["known_ms"] <= _MAX_DETECTION_MS
                and figures["whole"] == figures["requests"],
            )


def _cut_regions(
    deployment: deployments.Deployment, context: cases.Context
) -> dict[str, float]:
    pairs = list(itertools.product(_REGION_A, _REGION_B))
    started_s = time.monotonic()
    deployment.cut_links(*pairs, *((b, a) for a, b in pairs))
    detection_ms = _wait_for_detection(
        started_s,
        lambda: all(
            _located_names(deployment, number)
            == _host_names(deployment, region)
            for region in (_REGION_A, _REGION_B)
            for number in region
        ),
    )
    figures = _measure_load(deployment, context, (*_REGION_A, *_REGION_B))
    started_s = time.monotonic()
    deployment.cut_links()
    deployment.wait_ready()
    recovery_ms = (time.monotonic() - started_s) * _MS_PER_S
    return {"known_ms": detection_ms, "healed_ms": recovery_ms, **figures}


def _lose_data_centre(
    deployment: deployments.Deployment, context: cases.Context
) -> dict[str, float]:
    lost_data_centre = deployment.shape.data_centres[0]
    hosts = deployment.shape.entry_hosts()
    numbers = range(1, len(hosts) + 1)
    surviving = [
        n for n in numbers if deployment.host(n).data_centre != lost_data_centre
    ]
    names = [
        host.name for host in hosts if host.data_centre == lost_data_centre
    ]
    upstreams = [
        placed.upstream.name
        for placed in deployment.shape.upstreams()
        if placed.upstream.data_centre == lost_data_centre
    ]
    return _kill_processes(deployment, context, [*names, *upstreams], surviving)


def _lose_all_but_one(
    deployment: deployments.Deployment, context: cases.Context
) -> dict[str, float]:
    names = [
        host.name
        for host in deployment.shape.entry_hosts()
        if host.name != deployment.host(_SURVIVOR).name
    ]
    return _kill_processes(deployment, context, names, [_SURVIVOR])


def _kill_processes(
    deployment: deployments.Deployment,
    context: cases.Context,
    names: list[str],
    surviving: list[int],
) -> dict[str, float]:
    started_s = time.monotonic()
    threads = [
        threading.Thread(target=deployment.kill, args=(name,)) for name in names
    ]
    for thread in threads:
        thread.start()
    detection_ms = _wait_for_detection(
        started_s,
        lambda: all(
            _located_names(deployment, number)
            == _host_names(deployment, surviving)
            for number in surviving
        ),
    )
    return {
        "known_ms": detection_ms,
        "lost_processes": float(len(names)),
        **_measure_load(deployment, context, surviving),
    }


def _measure_load(
    deployment: deployments.Deployment,
    context: cases.Context,
    numbers: Iterable[int],
) -> dict[str, float]:
    endpoints = [deployment.caller_address(deployment.host(n)) for n in numbers]
    plan = load_generator.LoadPlan(
        endpoints, _WORKSPACE, _RATE_PER_S, context.duration_s, context.seed
    )
    [samples] = load_generator.run(plan)
    summary = load_generator.Summary.from_samples(samples)
    return {
        "requests": float(summary.requests),
        "whole": float(summary.full),
        "p99_ms": summary.p99_ms,
    }


def _host_names(
    deployment: deployments.Deployment, numbers: Iterable[int]
) -> set[str]:
    return {deployment.host(number).name for number in numbers}


def _located_names(deployment: deployments.Deployment, number: int) -> set[str]:
    return set(deployment.located_hosts(deployment.host(number)))


def _wait_for_detection(
    started_s: float, condition: Callable[[], bool]
) -> float:
    deployments.wait_until(
        condition, "the hosts to detect the loss", _DETECTION_TIMEOUT_S
    )
    return (time.monotonic() - started_s) * _MS_PER_S
