"""One in a hundred sub-requests takes 20 to 50 times longer."""

from collections.abc import Iterable

from bench import cases
from bench import sides as sides_lib

_SHARE = 0.01
_LEAST_P999_RATIO = 10.0
_MOST_P99_RATIO = 1.5
_MOST_EXTRA_LOAD = 0.02


class Stragglers(cases.Case):
    """Tail latency with stragglers, against the plain fan-out and none."""

    name = "stragglers"
    duration_s = 20.0

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Measures without stragglers first, then with them."""
        sides = sides_lib.Sides(context)
        try:
            sides.start()
            quiet = sides.offer(context.duration_s)
            sides.control(straggler_share=_SHARE)
            slow = sides.offer(context.duration_s)
        finally:
            sides.stop()
        yield from _rows(self.name, context, sides.ranges, quiet, slow)


def _rows(
    name: str,
    context: cases.Context,
    ranges: int,
    quiet: dict[str, sides_lib.Side],
    slow: dict[str, sides_lib.Side],
) -> Iterable[cases.Row]:
    found = {}
    for policy in sides_lib.POLICIES:
        found[policy] = sides_lib.figures(slow[policy], ranges) | {
            "quiet_p99_ms": quiet[policy].summary.p99_ms,
            "quiet_p999_ms": quiet[policy].summary.p999_ms,
        }
    plain, adaptive = found["plain"], found["adaptive"]
    adaptive["p999_below_plain"] = plain["p999_ms"] / adaptive["p999_ms"]
    adaptive["p99_to_quiet"] = adaptive["p99_ms"] / adaptive["quiet_p99_ms"]
    met = (
        adaptive["p999_below_plain"] >= _LEAST_P999_RATIO
        and adaptive["p99_to_quiet"] <= _MOST_P99_RATIO
        and adaptive["extra_load"] <= _MOST_EXTRA_LOAD
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
