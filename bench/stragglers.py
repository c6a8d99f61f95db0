"""Stragglers: one sub-request in a hundred takes 20 to 50 times longer."""

from collections.abc import Iterable

from bench import cases
from bench import sides as sides_lib

_STRAGGLER_SHARE = 0.01
_MIN_P999_RATIO = 10.0
_MAX_P99_RATIO = 1.5
_MAX_EXTRA_LOAD = 0.02


class Stragglers(cases.Case):
    """Tail latency with stragglers, against plain fan-out and no stragglers."""

    name = "stragglers"
    duration_s = 20.0

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Measures without stragglers first, then with them."""
        comparison = sides_lib.PolicyComparison(context)
        try:
            comparison.start()
            quiet = comparison.offer_load(context.duration_s)
            comparison.control_upstreams(straggler_share=_STRAGGLER_SHARE)
            with_stragglers = comparison.offer_load(context.duration_s)
        finally:
            comparison.stop()
        yield from _rows(
            self.name, context, comparison.ranges, quiet, with_stragglers
        )


def _rows(
    name: str,
    context: cases.Context,
    ranges: int,
    quiet: dict[str, sides_lib.PolicyResult],
    with_stragglers: dict[str, sides_lib.PolicyResult],
) -> Iterable[cases.Row]:
    figures_by_policy = {}
    for policy in sides_lib.POLICIES:
        figures_by_policy[policy] = sides_lib.summarize(
            with_stragglers[policy], ranges
        ) | {
            "quiet_p99_ms": quiet[policy].summary.p99_ms,
            "quiet_p999_ms": quiet[policy].summary.p999_ms,
        }
    plain, adaptive = figures_by_policy["plain"], figures_by_policy["adaptive"]
    adaptive["p999_below_plain"] = plain["p999_ms"] / adaptive["p999_ms"]
    adaptive["p99_to_quiet"] = adaptive["p99_ms"] / adaptive["quiet_p99_ms"]
    met = (
        adaptive["p999_below_plain"] >= _MIN_P999_RATIO
        and adaptive["p99_to_quiet"] <= _MAX_P99_RATIO
        and adaptive["extra_load"] <= _MAX_EXTRA_LOAD
    )
    shape = context.shape.name
    yield cases.Row(name, shape, "plain", context.seed, plain)
    yield cases.Row(
        name,
        shape,
        "adaptive",
        context.seed,
        adaptive,
        "p99.9 10 times below plain, p99 at most 1.5 times quiet, "
        "extra load at most 2%",
        met,
    )
