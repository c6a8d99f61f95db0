"""Poison requests, which crash upstreams and are resent by their callers."""

import asyncio
from collections.abc import Iterable
import contextlib
import itertools
import threading
from typing import Any, ClassVar, NamedTuple

import aiohttp

from bench import capacities
from bench import cases
from greengagedale import loops
from standins import deployments
from standins import load_generator
from standins import upstream as upstream_lib

_RATE_PER_S = 60.0
_POISON_SHARE = 0.004
_SENDS_PER_POISON = 5
_TIMEOUT_MS = 1500
_RESTART_POLL_S = 0.1
_MAX_CRASHES = 2
_TARGET = (
    "at most 2 deaths for each poison, none after its quarantine is known,"
    " no healthy request quarantined"
)


class _Answer(NamedTuple):
    text: str
    reason: str
    at_ms: float


class Poison(cases.Case):
    """Crashes of upstreams, and latency cost of canaries without crashes."""

    name = "poison"
    duration_s = 12.0
    policies: ClassVar[dict[str, str]] = {
        "plain": '[limits]\nadmission = "none"\nconcurrency = "none"\n',
        **{
            f"canary {mode}": f'[limits]\ncanary = "{mode}"\n'
            for mode in ("suspected", "after_deaths", "always")
        },
    }

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Measures each policy on a separate deployment."""
        for policy, settings in self.policies.items():
            figures = _measure(context, policy, "\n" + settings)
            plain = policy == "plain"
            yield cases.Row(
                self.name,
                context.shape.name,
                policy,
                context.seed,
                figures,
                "" if plain else _TARGET,
                None if plain else _meets_target(figures),
            )


def _meets_target(figures: dict[str, float]) -> bool:
    return (
        figures["most_deaths"] <= _MAX_CRASHES
        and figures["deaths_after_known"] == 0
        and figures["healthy_quarantined"] == 0
    )


def _measure(
    context: cases.Context, policy: str, settings: str
) -> dict[str, float]:
    service = context.shape.main_service
    deployment = context.deployment(policy.replace(" ", "-"))
    names = [
        placed.upstream.name
        for placed in deployment.shape.upstreams()
        if placed.shape.name == service
    ]
    try:
        deployment.start_platform()
        for name in names:
            deployment.start_upstream(name)
        for host in deployment.shape.entry_hosts():
            deployment.start_host(host, settings)
        deployment.wait_ready()
        deployment.apply_workspace("bench", "member-a", service)
        with _restart_crashed(deployment, names):
            return _measure_load(deployment, names, context)
    finally:
        deployment.stop()


@contextlib.contextmanager
def _restart_crashed(
    deployment: deployments.Deployment, names: list[str]
) -> Any:
    """Restarts crashed upstreams while the context is open."""
    stop = threading.Event()

    def restart_loop() -> None:
        while not stop.wait(_RESTART_POLL_S):
            for name in names:
                if deployment.processes[name].poll() is not None:
                    deployment.start_upstream(name)

    thread = threading.Thread(target=restart_loop)
    thread.start()
    try:
        yield
    finally:
        stop.set()
        thread.join()


def _measure_load(
    deployment: deployments.Deployment,
    names: list[str],
    context: cases.Context,
) -> dict[str, float]:
    endpoints = [
        deployment.caller_address(h) for h in deployment.shape.entry_hosts()
    ]
    plan = load_generator.LoadPlan(
        endpoints,
        "bench",
        _RATE_PER_S,
        context.duration_s,
        context.seed,
        _TIMEOUT_MS,
    )
    [baseline] = load_generator.run(
        plan._replace(duration_s=context.duration_s / 2)
    )
    healthy_samples, answers = loops.run(
        _offer_load(plan._replace(seed=context.seed + 9))
    )
    crashes = [
        event
        for name in names
        for event in deployment.read_record(name)
        if event["event"] == "crash"
    ]
    crash_counts = [
        sum(event["text"] == text for event in crashes)
        for text in {answer.text for answer in answers}
    ]
    before, during = (
        load_generator.Summary.from_samples(baseline),
        load_generator.Summary.from_samples(healthy_samples),
    )
    return {
        "calm_p50_ms": before.p50_ms,
        "calm_p99_ms": before.p99_ms,
        "during_p50_ms": during.p50_ms,
        "during_p99_ms": during.p99_ms,
        "poisons": len(crash_counts),
        "most_deaths": max(crash_counts),
        "mean_deaths": sum(crash_counts) / len(crash_counts),
        "deaths_after_known": _count_crashes_after_quarantine(crashes, answers),
        "poison_sends_refused": sum(a.reason == "quarantined" for a in answers),
        "healthy_quarantined": sum(
            _is_quarantined(s.body) for s in healthy_samples
        ),
        "healthy_full_share": during.full / max(1, during.requests),
    }


def _is_quarantined(body: Any) -> bool:
    return isinstance(body, dict) and body.get("reason") == "quarantined"


def _count_crashes_after_quarantine(
    crashes: list[dict[str, Any]], answers: list[_Answer]
) -> int:
    quarantined_ms: dict[str, float] = {}
    for answer in answers:
        if answer.reason == "quarantined":
            quarantined_ms.setdefault(answer.text, answer.at_ms)
    return sum(
        event["at_ms"] > quarantined_ms.get(event["text"], float("inf"))
        for event in crashes
    )


async def _offer_load(
    plan: load_generator.LoadPlan,
) -> tuple[list[load_generator.Sample], list[_Answer]]:
    count = max(2, round(plan.rate_per_s * plan.duration_s * _POISON_SHARE))
    async with aiohttp.ClientSession() as session:
        poisons = (
            _send_poison(
                session, plan, number, number * plan.duration_s / count
            )
            for number in range(count)
        )
        healthy, *answers = await asyncio.gather(
            load_generator.offer(plan), *poisons
        )
    return healthy, list(itertools.chain.from_iterable(answers))


async def _send_poison(
    session: aiohttp.ClientSession,
    plan: load_generator.LoadPlan,
    number: int,
    delay_s: float,
) -> list[_Answer]:
    await asyncio.sleep(delay_s)
    text = f"{upstream_lib.CRASH_TEXT} {number}"
    answers = []
    for attempt in range(_SENDS_PER_POISON):
        endpoint = plan.endpoints[(number + attempt) % len(plan.endpoints)]
        url = f"http://{endpoint}/v1/workspaces/{plan.workspace}/search"
        body = {"text": text, "timeout_ms": plan.timeout_ms}
        async with session.post(url, json=body) as response:
            reply = await response.json()
        reason = reply.get("reason", reply["outcome"])
        answers.append(_Answer(text, reason, capacities.now_ms()))
    return answers
