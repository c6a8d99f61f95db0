"""One range of a search: its attempts and its answer."""

from collections.abc import Collection

from greengagedale import outcomes
from greengagedale.query import attempts
from greengagedale.query import hits
from greengagedale.query import snapshots


class RangeState:
    """The state of one range of a search.

    Attributes:
        entry: The range and its replicas.
        open: Attempts that have not ended, by id.
        tried: Replicas that were tried in this round.
        gone: Replicas that don't hold the range at the snapshot.
        hits: The answer, or None.
        reason: Why there is no answer, as far as is known.
        rounds: How often all replicas have been tried.
        waiting: Whether a next round is due later.
        progress_factor: Multiple of the usual time without progress that is
            allowed; doubles with each attempt given up, so that a range whose
            replicas are all slow still gets its answer.
    """

    __slots__ = (
        "awaits_round",
        "entry",
        "gone",
        "hits",
        "in_flight",
        "open",
        "progress_factor",
        "reason",
        "rounds",
        "tried",
        "waiting",
        "without_snapshot",
    )

    def __init__(
        self, entry: snapshots.RangeReplicas, refusing: Collection[str] = ()
    ) -> None:
        """Makes a range of which nothing was tried.

        Args:
            entry: The range and its replicas.
            refusing: Upstreams that lately did not hold the snapshot; they
                are tried only if all replicas are among them.
        """
        self.entry = entry
        self.in_flight: dict[str, attempts.Attempt] = {}
        lagging = set(entry.upstreams) & set(refusing)
        self.tried = lagging if len(lagging) < len(entry.upstreams) else set()
        self.without_snapshot: set[str] = set()
        self.hits: list[hits.Hit] | None = None
        self.reason = outcomes.Reason.DEADLINE
        self.rounds = 0
        self.awaits_round = False
        self.progress_factor = 1

    @property
    def is_settled(self) -> bool:
        """Whether the range has its answer or nothing more will be tried."""
        return self.hits is not None or not (
            self.in_flight or self.awaits_round
        )

    @property
    def is_snapshot_gone(self) -> bool:
        """Whether no replica holds the range at the snapshot any more."""
        return self.without_snapshot.issuperset(self.entry.upstreams)

    @property
    def excluded(self) -> set[str]:
        """Replicas that an attempt must not go to now."""
        return self.tried | self.without_snapshot
