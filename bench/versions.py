"""Index versions change every second, with splits and merges."""

import asyncio
from collections.abc import Iterable

from bench import cases
from bench import sides as sides_lib
from standins import index_publisher

_INTERVAL_S = 1.0
_LEAST_FULL = 0.99


class Versions(cases.Case):
    """Answers while the index and the partition map keep changing."""

    name = "versions"
    duration_s = 12.0

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Publishes while both policies are under load."""
        sides = sides_lib.Sides(context)
        options = index_publisher.PublishOptions(kept=1, publish_first=True)
        publisher = index_publisher.IndexPublisher(
            sides.deployment.shape, sides.service, context.seed, options
        )
        try:
            sides.start()
            found = sides.offer(context.duration_s, _publish(publisher))
        finally:
            sides.stop()
        published = frozenset(
            item.snapshot.index_version for item in publisher.published
        )
        for policy, side in found.items():
            yield _row(self.name, context, policy, side, sides, published)


async def _publish(publisher: index_publisher.IndexPublisher) -> None:
    while True:
        await asyncio.sleep(_INTERVAL_S)
        await asyncio.shield(asyncio.to_thread(publisher.publish))


def _row(
    name: str,
    context: cases.Context,
    policy: str,
    side: sides_lib.Side,
    sides: sides_lib.Sides,
    published: frozenset[int],
) -> cases.Row:
    summary = side.summary
    found = sides_lib.figures(side, sides.ranges)
    # The number of ranges changes, so attempts a range say nothing.
    del found["extra_load"]
    figures = found | {
        "versions": len(published),
        "full_share": summary.full / summary.requests,
        "mixed_or_false": sides_lib.violations(sides, side, published),
    }
    target, met = "", None
    if policy == "adaptive":
        target = "0 mixed, 0 false coverage, at least 99% full"
        met = (
            figures["full_share"] >= _LEAST_FULL
            and not figures["mixed_or_false"]
        )
    return cases.Row(
        name, context.shape.name, policy, context.seed, figures, target, met
    )
