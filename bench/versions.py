"""New index versions every second, with range splits and merges."""

import asyncio
from collections.abc import Iterable

from bench import cases
from bench import sides as sides_lib
from standins import index_publisher

_PUBLISH_INTERVAL_S = 1.0
_MIN_FULL_SHARE = 0.99


class Versions(cases.Case):
    """Coverage and correctness while index and partition map change."""

    name = "versions"
    duration_s = 12.0

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Publishes versions while both policies are under load."""
        comparison = sides_lib.PolicyComparison(context)
        options = index_publisher.PublishOptions(kept=1, publish_first=True)
        publisher = index_publisher.IndexPublisher(
            comparison.deployment.shape,
            comparison.service,
            context.seed,
            options,
        )
        try:
            comparison.start()
            results = comparison.offer_load(
                context.duration_s, _publish_repeatedly(publisher)
            )
        finally:
            comparison.stop()
        published = frozenset(
            item.snapshot.index_version for item in publisher.published
        )
        for policy, result in results.items():
            yield _row(
                self.name, context, policy, result, comparison, published
            )


async def _publish_repeatedly(
    publisher: index_publisher.IndexPublisher,
) -> None:
    while True:
        await asyncio.sleep(_PUBLISH_INTERVAL_S)
        await asyncio.shield(asyncio.to_thread(publisher.publish))


def _row(
    name: str,
    context: cases.Context,
    policy: str,
    result: sides_lib.PolicyResult,
    comparison: sides_lib.PolicyComparison,
    published: frozenset[int],
) -> cases.Row:
    summary = result.summary
    range_figures = sides_lib.summarize(result, comparison.ranges)
    # The number of ranges changes, so attempts per range have no meaning.
    del range_figures["extra_load"]
    figures = range_figures | {
        "versions": len(published),
        "full_share": summary.full / summary.requests,
        "mixed_or_false": sides_lib.count_violations(
            comparison, result, published
        ),
    }
    target, met = "", None
    if policy == "adaptive":
        target = "0 mixed, 0 false coverage, at least 99% full"
        met = (
            figures["full_share"] >= _MIN_FULL_SHARE
            and not figures["mixed_or_false"]
        )
    return cases.Row(
        name, context.shape.name, policy, context.seed, figures, target, met
    )
