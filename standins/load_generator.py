"""Open-loop load generator: the start of requests never waits for answers."""

import asyncio
from collections.abc import Callable, Sequence
import itertools
import random
import time
from typing import Any, NamedTuple, Self

import aiohttp
from hdrh import histogram
import msgspec

from greengagedale import loops

_MS_PER_S = 1000.0
_US_PER_MS = 1000.0
_MAX_LATENCY_US = 600_000_000
_SIGNIFICANT_DIGITS = 3
_GRACE_S = 5.0


class LoadPlan(NamedTuple):
    """Parameters of a load.

    Attributes:
        endpoints: Caller addresses of hosts, used round-robin.
        workspace: Workspace to search.
        rate_per_s: Mean rate of Poisson arrivals.
        duration_s: Time during which requests are started.
        seed: Seed of arrivals and texts.
        timeout_ms: Deadline of each request.
        limit: Maximum number of hits per search.
        make_text: Returns the text of the n-th request.
    """

    endpoints: Sequence[str]
    workspace: str
    rate_per_s: float
    duration_s: float
    seed: int
    timeout_ms: int = 2000
    limit: int = 10
    make_text: Callable[[int, random.Random], str] = lambda number, rng: (
        f"text-{rng.randrange(50)}-{number % 7}"
    )


class Sample(NamedTuple):
    """One request and its answer.

    Attributes:
        sent_ms: Monotonic time at which the request was scheduled to start.
        latency_ms: Time from the scheduled start to the complete answer.
        status: HTTP status; 0 without an answer.
        body: The decoded answer, or None.
        text: Text of the search.
    """

    sent_ms: float
    latency_ms: float
    status: int
    body: Any
    text: str

    @property
    def outcome(self) -> str:
        """The outcome in the answer; `none` without one."""
        body = self.body if isinstance(self.body, dict) else {}
        return body.get("outcome", "none")

    @property
    def coverage_share(self) -> float:
        """Coverage of the answer, from 0 to 1; 0 unless the search ran."""
        if self.outcome != "ran":
            return 0.0
        coverage = self.body["coverage"]
        return coverage["covered"] / coverage["total"]


class Summary(NamedTuple):
    """Latencies in ms of the requests that ran, and counts by outcome."""

    requests: int
    ran: int
    full: int
    not_run: int
    unknown: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    rate_per_s: float

    @classmethod
    def from_samples(cls, samples: Sequence[Sample]) -> Self:
        """Returns the summary of samples."""
        ran = [item for item in samples if item.outcome == "ran"]
        latencies = histogram.HdrHistogram(
            1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
        )
        for item in ran:
            latencies.record_value(max(1, int(item.latency_ms * _US_PER_MS)))
        p50, p99, p999 = (
            latencies.get_value_at_percentile(p) / _US_PER_MS
            for p in (50, 99, 99.9)
        )
        return cls(
            len(samples),
            len(ran),
            sum(item.coverage_share == 1.0 for item in ran),
            sum(item.outcome == "not_run" for item in samples),
            sum(item.outcome in ("unknown", "none") for item in samples),
            p50,
            p99,
            p999,
            _rate(ran),
        )


def run(*plans: LoadPlan) -> list[list[Sample]]:
    """Runs several loads concurrently; returns samples in order of plans."""
    return loops.run(_run_all(plans))


async def offer(plan: LoadPlan) -> list[Sample]:
    """Runs one load on the running event loop."""
    rng = random.Random(plan.seed)
    endpoints = itertools.cycle(plan.endpoints)
    connector = aiohttp.TCPConnector(limit=0)
    total_s = plan.timeout_ms / _MS_PER_S + _GRACE_S
    timeout = aiohttp.ClientTimeout(total=total_s)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        started_s = time.monotonic()
        due_s = started_s
        tasks = []
        for number in itertools.count():
            due_s += rng.expovariate(plan.rate_per_s)
            if due_s > started_s + plan.duration_s:
                break
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            text = plan.make_text(number, rng)
            url = f"http://{next(endpoints)}/v1/workspaces/{plan.workspace}"
            request = _request(session, url, text, plan, due_s)
            tasks.append(asyncio.create_task(request))
        return list(await asyncio.gather(*tasks))


async def _run_all(plans: Sequence[LoadPlan]) -> list[list[Sample]]:
    return list(await asyncio.gather(*(offer(plan) for plan in plans)))


async def _request(
    session: aiohttp.ClientSession,
    url: str,
    text: str,
    plan: LoadPlan,
    due_s: float,
) -> Sample:
    body = {"text": text, "limit": plan.limit, "timeout_ms": plan.timeout_ms}
    status, decoded = 0, None
    try:
        async with session.post(
            f"{url}/search", data=msgspec.json.encode(body)
        ) as response:
            status = response.status
            decoded = msgspec.json.decode(await response.read())
    except (aiohttp.ClientError, OSError, msgspec.DecodeError):
        pass
    latency_ms = (time.monotonic() - due_s) * _MS_PER_S
    return Sample(due_s * _MS_PER_S, latency_ms, status, decoded, text)


def _rate(ran: Sequence[Sample]) -> float:
    if not ran:
        return 0.0
    first = min(item.sent_ms for item in ran)
    last = max(item.sent_ms + item.latency_ms for item in ran)
    return len(ran) / max(last - first, 1.0) * _MS_PER_S
