"""Sudden loss of one replica of every range."""

import asyncio
from collections.abc import Iterable, Sequence

from bench import cases
from bench import sides as sides_lib
from standins import load_generator

_LOST_PROCESS_SUFFIX = "-3"
_KILL_DELAY_S = 2.0
_DETECTION_MS = 1000.0


class ReplicaLoss(cases.Case):
    """Coverage after a third of all upstreams is killed at the same moment."""

    name = "replica_loss"
    duration_s = 8.0

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Kills the upstreams while both policies are under load."""
        comparison = sides_lib.PolicyComparison(context)
        killed_ms: list[float] = []
        try:
            comparison.start()
            kill = _kill_after_delay(comparison, killed_ms)
            results = comparison.offer_load(context.duration_s, kill)
        finally:
            comparison.stop()
        for policy, result in results.items():
            yield _row(
                self.name, context, policy, result, comparison, killed_ms[0]
            )


async def _kill_after_delay(
    comparison: sides_lib.PolicyComparison, killed_ms: list[float]
) -> None:
    await asyncio.sleep(_KILL_DELAY_S)
    [lost] = [
        name
        for name in comparison.deployment.processes
        if name.endswith(_LOST_PROCESS_SUFFIX) and not name.startswith("entry")
    ]
    comparison.deployment.kill(lost)
    killed_ms.append(asyncio.get_running_loop().time() * 1000.0)


def _row(
    name: str,
    context: cases.Context,
    policy: str,
    result: sides_lib.PolicyResult,
    comparison: sides_lib.PolicyComparison,
    killed_ms: float,
) -> cases.Row:
    detected_ms = killed_ms + _DETECTION_MS
    later = [s for s in result.samples if s.sent_ms >= detected_ms]
    early = [s for s in result.samples if killed_ms <= s.sent_ms < detected_ms]
    figures = sides_lib.summarize(result, comparison.ranges) | {
        "in_first_s": len(early),
        "full_in_first_s": _count_full(early),
        "later": len(later),
        "full_later": _count_full(later),
        "false": sides_lib.count_violations(comparison, result),
    }
    target, met = "", None
    if policy == "adaptive":
        target = "all full that start 1 s after; none false before"
        met = figures["full_later"] == len(later) and not figures["false"]
    return cases.Row(
        name, context.shape.name, policy, context.seed, figures, target, met
    )


def _count_full(samples: Sequence[load_generator.Sample]) -> int:
    return sum(sample.coverage_share == 1.0 for sample in samples)
