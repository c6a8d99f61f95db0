"""Evacuated data centres: their upstreams get nothing until taken back.

Operators evacuate a data centre by an entry in the platform's store. The host
that reads the store learns it first, the others in exchanges; every host keeps
the newest list that it knows while the store is out of reach.
"""

from collections.abc import Callable
import logging
from typing import NamedTuple

from greengagedale.gateway import metrics as metrics_lib
from greengagedale.gateway import store_revision
from greengagedale.gateway import upstream_entries

log = logging.getLogger(__name__)

# Retry-After of requests that only evacuated upstreams could serve: an
# evacuation lasts for seconds at least, and all hosts decide alike.
RETRY_AFTER_MS = 1000


class EvacuationList(NamedTuple):
    """The evacuated data centres as of a revision of the store.

    Attributes:
        revision: Revision up to which the list is known; `NO_REVISION` for a
            copy that may be stale.
        data_centres: Sorted names of the evacuated data centres.
    """

    revision: store_revision.Revision
    data_centres: tuple[str, ...] = ()


EMPTY_EVACUATION_LIST = EvacuationList(store_revision.NO_REVISION)


class Evacuations:
    """Holds the newest list of evacuated data centres that this host knows.

    Attributes:
        list: The list.
        listeners: Called at each change, with the data centres whose evacuation
            began and with those whose evacuation ended.
    """

    def __init__(self, metrics: metrics_lib.Metrics) -> None:
        self._metrics = metrics
        self.list = EMPTY_EVACUATION_LIST
        self.listeners: list[
            Callable[[frozenset[str], frozenset[str]], None]
        ] = []

    def apply_copy(self, data_centres: tuple[str, ...]) -> None:
        """Applies a copy that may be stale, unless any list is known."""
        if self.list == EMPTY_EVACUATION_LIST:
            self._replace(
                EvacuationList(store_revision.NO_REVISION, data_centres)
            )

    def replace_if_newer(self, new: EvacuationList) -> bool:
        """Applies a list if it is newer; returns whether evacuations changed.

        A list that only has a later revision is recorded too.
        """
        return new.revision > self.list.revision and self._replace(new)

    def is_evacuated(self, upstream: upstream_entries.Upstream) -> bool:
        """Returns whether an upstream must get no new work."""
        return upstream.data_centre in self.list.data_centres

    def outside(
        self, upstreams: list[upstream_entries.Upstream]
    ) -> list[upstream_entries.Upstream]:
        """Returns the upstreams that are in no evacuated data centre."""
        if not self.list.data_centres:
            return upstreams
        return [each for each in upstreams if not self.is_evacuated(each)]

    def _replace(self, new: EvacuationList) -> bool:
        # The decoder of peers' messages may return lists instead of tuples.
        before, after = map(
            frozenset, (self.list.data_centres, new.data_centres)
        )
        self.list = EvacuationList(new.revision, tuple(sorted(after)))
        if before == after:
            return False
        for state, data_centres in (
            ("began", after - before),
            ("ended", before - after),
        ):
            for data_centre in sorted(data_centres):
                self._metrics.evacuations.inc(data_centre, state)
                log.info(
                    "evacuation of a data centre " + state,
                    extra={
                        "evacuated": data_centre,
                        "revision": new.revision,
                        "all_evacuated": self.list.data_centres,
                    },
                )
        for listener in self.listeners:
            listener(after - before, before - after)
        return True
