"""One in ten connections goes silent for good while new ones work."""

import asyncio
from collections.abc import Iterable

from bench import cases
from bench import sides as sides_lib

_SHARE = 0.1
_INTERVAL_S = 2.0
_MOST_P99_RATIO = 1.5


class Silent(cases.Case):
    """Latency while open and new connections go silent."""

    name = "silent"
    duration_s = 10.0

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Measures without silence first, then with it."""
        sides = sides_lib.Sides(context)
        try:
            sides.start()
            quiet = sides.offer(context.duration_s)
            sides.control(silent_share=_SHARE)
            silent = sides.offer(context.duration_s, _silence(sides))
        finally:
            sides.stop()
        for policy in sides_lib.POLICIES:
            yield _row(
                self.name, context, policy, quiet[policy], silent[policy], sides
            )


async def _silence(sides: sides_lib.Sides) -> None:
    """Silences a tenth of the open connections, again and again."""
    while True:
        await asyncio.to_thread(sides.control, silence_open=_SHARE)
        await asyncio.sleep(_INTERVAL_S)


def _row(
    name: str,
    context: cases.Context,
    policy: str,
    quiet: sides_lib.Side,
    silent: sides_lib.Side,
    sides: sides_lib.Sides,
) -> cases.Row:
    before, after = quiet.summary, silent.summary
    figures = sides_lib.figures(silent, sides.ranges) | {
        "quiet_p99_ms": before.p99_ms,
        "p99_to_quiet": after.p99_ms / before.p99_ms,
        "lost": after.requests - after.full,
        "false": sides_lib.violations(sides, silent),
    }
    target, met = "", None
    if policy == "adaptive":
        target = "p99 at most 1.5 times quiet, none lost"
        met = figures["p99_to_quiet"] <= _MOST_P99_RATIO and not figures["lost"]
    return cases.Row(
        name, context.shape.name, policy, context.seed, figures, target, met
    )
