"""One replica of every group is lost without warning."""

import asyncio
from collections.abc import Iterable, Sequence

from bench import cases
from bench import sides as sides_lib
from standins import load_generator

_LOST_PROCESS_SUFFIX = "-3"
_BEFORE_S = 2.0
_SETTLED_MS = 1000.0


class ReplicaLoss(cases.Case):
    """Coverage after a third of all upstreams is killed at one moment."""

    name = "replica_loss"
    duration_s = 8.0

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Kills the upstreams while both policies are under load."""
        sides = sides_lib.Sides(context)
        killed_ms: list[float] = []
        try:
            sides.start()
            kill = _kill_later(sides, killed_ms)
            found = sides.offer(context.duration_s, kill)
        finally:
            sides.stop()
        for policy, side in found.items():
            yield _row(self.name, context, policy, side, sides, killed_ms[0])


async def _kill_later(sides: sides_lib.Sides, killed_ms: list[float]) -> None:
    await asyncio.sleep(_BEFORE_S)
    [lost] = [
        name
        for name in sides.deployment.processes
        if name.endswith(_LOST_PROCESS_SUFFIX) and not name.startswith("entry")
    ]
    sides.deployment.kill(lost)
    killed_ms.append(asyncio.get_running_loop().time() * 1000.0)


def _row(
    name: str,
    context: cases.Context,
    policy: str,
    side: sides_lib.Side,
    sides: sides_lib.Sides,
    killed_ms: float,
) -> cases.Row:
    settled_ms = killed_ms + _SETTLED_MS
    later = [s for s in side.samples if s.sent_ms >= settled_ms]
    near = [s for s in side.samples if killed_ms <= s.sent_ms < settled_ms]
    figures = sides_lib.figures(side, sides.ranges) | {
        "in_first_s": len(near),
        "full_in_first_s": _full(near),
        "later": len(later),
        "full_later": _full(later),
        "false": sides_lib.violations(sides, side),
    }
    target, met = "", None
    if policy == "adaptive":
        target = "all full that start 1 s after; none false before"
        met = figures["full_later"] == len(later) and not figures["false"]
    return cases.Row(
        name, context.shape.name, policy, context.seed, figures, target, met
    )


def _full(samples: Sequence[load_generator.Sample]) -> int:
    return sum(sample.coverage_share == 1.0 for sample in samples)
