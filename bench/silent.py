"""Connections that stop responding for good while new ones still work."""

import asyncio
from collections.abc import Iterable

from bench import cases
from bench import sides as sides_lib

_SILENT_SHARE = 0.1
_SILENCE_INTERVAL_S = 2.0
_MAX_P99_RATIO = 1.5


class Silent(cases.Case):
    """Latency while a tenth of the open and new connections go silent."""

    name = "silent"
    duration_s = 10.0

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Measures without silent connections first, then with them."""
        comparison = sides_lib.PolicyComparison(context)
        try:
            comparison.start()
            quiet = comparison.offer_load(context.duration_s)
            comparison.control_upstreams(silent_share=_SILENT_SHARE)
            silent = comparison.offer_load(
                context.duration_s, _silence_connections(comparison)
            )
        finally:
            comparison.stop()
        for policy in sides_lib.POLICIES:
            yield _row(
                self.name,
                context,
                policy,
                quiet[policy],
                silent[policy],
                comparison,
            )


async def _silence_connections(comparison: sides_lib.PolicyComparison) -> None:
    """Silences a tenth of the open connections at a fixed interval."""
    while True:
        await asyncio.to_thread(
            comparison.control_upstreams, silence_open=_SILENT_SHARE
        )
        await asyncio.sleep(_SILENCE_INTERVAL_S)


def _row(
    name: str,
    context: cases.Context,
    policy: str,
    quiet: sides_lib.PolicyResult,
    silent: sides_lib.PolicyResult,
    comparison: sides_lib.PolicyComparison,
) -> cases.Row:
    before, after = quiet.summary, silent.summary
    figures = sides_lib.summarize(silent, comparison.ranges) | {
        "quiet_p99_ms": before.p99_ms,
        "p99_to_quiet": after.p99_ms / before.p99_ms,
        "lost": after.requests - after.full,
        "false": sides_lib.count_violations(comparison, silent),
    }
    target, met = "", None
    if policy == "adaptive":
        target = "p99 at most 1.5 times quiet, none lost"
        met = figures["p99_to_quiet"] <= _MAX_P99_RATIO and not figures["lost"]
    return cases.Row(
        name, context.shape.name, policy, context.seed, figures, target, met
    )
