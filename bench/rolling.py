"""Rolling replacement of all entry hosts under load."""

import asyncio
from collections.abc import Iterable
import itertools
import random
import signal
import time
from typing import NamedTuple

from bench import cases
from greengagedale import client as client_lib
from greengagedale import loops
from greengagedale import outcomes
from standins import deployments

_CLIENTS = 12
_ACTION_SHARE = 0.2
_TIMEOUT_MS = 5000
_MAX_P99_RATIO = 1.5
_EXIT_TIMEOUT_S = 60.0
_MS_PER_S = 1000.0
# About half of what four hosts sustain with their upstreams on one machine.
_RATES_PER_S = {"kodklubben": 60.0, "tuners": 60.0}


class RequestResult(NamedTuple):
    """Latency and outcome of one request."""

    latency_ms: float
    outcome: outcomes.Outcome


class Rolling(cases.Case):
    """Lost requests and latency of searches and actions during the rollout."""

    name = "rolling"
    seeds = (1,)
    duration_s = 10.0

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Measures without replacement first, then during it."""
        service = context.shape.main_service
        deployment = context.deployment()
        try:
            deployment.start(service=service)
            deployment.apply_workspace("bench", "member-a", service)
            quiet, rolling = loops.run(_measure(deployment, context))
        finally:
            deployment.stop()
        quiet_figures = _summarize(quiet)
        yield self._row(context, "quiet", quiet_figures, None)
        figures = _summarize(rolling)
        ratio = figures["p99_ms"] / quiet_figures["p99_ms"]
        figures["p99_ratio"] = ratio
        met = figures["lost"] == 0 and ratio <= _MAX_P99_RATIO
        yield self._row(context, "rolling", figures, met)

    def _row(
        self,
        context: cases.Context,
        policy: str,
        figures: dict[str, float],
        met: bool | None,
    ) -> cases.Row:
        return cases.Row(
            self.name,
            context.shape.name,
            policy,
            context.seed,
            figures,
            "nothing cut or lost, p99 at most 1.5 times quiet",
            met,
        )


async def _measure(
    deployment: deployments.Deployment, context: cases.Context
) -> tuple[list[RequestResult], list[RequestResult]]:
    hosts = deployment.shape.entry_hosts()
    endpoints = [deployment.caller_address(host) for host in hosts]
    clients = [
        client_lib.Client.from_config(endpoints, host.data_centre)
        for host in itertools.islice(itertools.cycle(hosts), _CLIENTS)
    ]
    rate_per_s = _RATES_PER_S[context.shape.name]
    rng = random.Random(context.seed)
    try:
        stop = asyncio.Event()
        asyncio.get_running_loop().call_later(context.duration_s, stop.set)
        quiet = await _offer_load(clients, rate_per_s, rng, stop)
        stop = asyncio.Event()
        replacement = asyncio.create_task(_replace_all(deployment, stop))
        rolling = await _offer_load(clients, rate_per_s, rng, stop)
        await replacement
    finally:
        for client in clients:
            await client.close()
    return quiet, rolling


async def _replace_all(
    deployment: deployments.Deployment, stop: asyncio.Event
) -> None:
    try:
        for host in deployment.shape.entry_hosts():
            process = deployment.processes[host.name]
            process.send_signal(signal.SIGTERM)
            await asyncio.to_thread(process.wait, _EXIT_TIMEOUT_S)
            if process.returncode != 0:
                raise RuntimeError(
                    f"{host.name} exited with status {process.returncode}"
                )
            deployment.start_host(host)
            await asyncio.to_thread(deployment.wait_ready)
    finally:
        stop.set()


async def _offer_load(
    clients: list[client_lib.Client],
    rate_per_s: float,
    rng: random.Random,
    stop: asyncio.Event,
) -> list[RequestResult]:
    due_s = time.monotonic()
    tasks = []
    while not stop.is_set():
        due_s += rng.expovariate(rate_per_s)
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        is_action = rng.random() < _ACTION_SHARE
        call = _send_request(
            rng.choice(clients), rng.randrange(1 << 32), is_action, due_s
        )
        tasks.append(asyncio.create_task(call))
    return list(await asyncio.gather(*tasks))


async def _send_request(
    client: client_lib.Client, number: int, is_action: bool, due_s: float
) -> RequestResult:
    if is_action:
        body = {"offer": number}
        outcome = await client.act(
            "bench", number, body, timeout_ms=_TIMEOUT_MS
        )
    else:
        text = f"text-{number % 50}"
        outcome = await client.search("bench", text, timeout_ms=_TIMEOUT_MS)
    latency_ms = (time.monotonic() - due_s) * _MS_PER_S
    return RequestResult(latency_ms, outcome)


def _summarize(calls: list[RequestResult]) -> dict[str, float]:
    latencies = sorted(call.latency_ms for call in calls)
    lost = [c for c in calls if not isinstance(c.outcome, outcomes.Ran)]
    partial = [c for c in calls if _is_partial(c.outcome)]
    reasons = {f"lost_{c.outcome.reason}" for c in lost}
    return {
        "requests": float(len(calls)),
        "lost": float(len(lost)),
        "partial": float(len(partial)),
        "p50_ms": latencies[len(latencies) // 2],
        "p99_ms": latencies[int(len(latencies) * 0.99)],
        "highest_ms": latencies[-1],
        **{
            reason: float(
                sum(reason == f"lost_{c.outcome.reason}" for c in lost)
            )
            for reason in reasons
        },
    }


def _is_partial(outcome: outcomes.Outcome) -> bool:
    if not isinstance(outcome, outcomes.Ran):
        return False
    coverage = outcome.value.get("coverage")
    return coverage is not None and coverage["covered"] < coverage["total"]
