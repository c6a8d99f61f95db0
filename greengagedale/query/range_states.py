"""State of one key range of a search: its attempts and its answer."""

from collections.abc import Collection

from greengagedale import outcomes
from greengagedale.query import attempts
from greengagedale.query import hits
from greengagedale.query import snapshots


class RangeState:
    """State of one key range of a search.

    Attributes:
        replicas: The key range and its replicas.
        in_flight: Attempts that have not ended, by attempt id.
        tried: Replicas that were tried in this round.
        without_snapshot: Replicas that refused the snapshot in this round.
        hits: Hits of the range, or None while it has no answer.
        reason: Last known reason why the range has no answer.
        rounds: Number of rounds in which all replicas were tried.
        awaits_round: Whether another round is scheduled.
        progress_factor: Multiplier of the progress timeout. It doubles with
            each attempt that is given up, so that a range whose replicas are
            all slow still gets an answer.
    """

    __slots__ = (
        "awaits_round",
        "hits",
        "in_flight",
        "progress_factor",
        "reason",
        "replicas",
        "rounds",
        "tried",
        "without_snapshot",
    )

    def __init__(
        self, replicas: snapshots.RangeReplicas, refusing: Collection[str] = ()
    ) -> None:
        """Initializes the state of a range without attempts.

        Args:
            replicas: The key range and its replicas.
            refusing: Upstreams that recently refused the snapshot. They are
                skipped in the first round, unless they are all the replicas.
        """
        self.replicas = replicas
        self.in_flight: dict[str, attempts.Attempt] = {}
        lagging = set(replicas.upstreams) & set(refusing)
        self.tried = (
            lagging if len(lagging) < len(replicas.upstreams) else set()
        )
        self.without_snapshot: set[str] = set()
        self.hits: list[hits.Hit] | None = None
        self.reason = outcomes.Reason.DEADLINE
        self.rounds = 0
        self.awaits_round = False
        self.progress_factor = 1

    @property
    def is_settled(self) -> bool:
        """Whether the range has an answer or has been given up."""
        return self.hits is not None or not (
            self.in_flight or self.awaits_round
        )

    @property
    def is_snapshot_gone(self) -> bool:
        """Whether all replicas have refused the snapshot in this round."""
        return self.without_snapshot.issuperset(self.replicas.upstreams)

    @property
    def excluded(self) -> set[str]:
        """Replicas that must not get another attempt in this round."""
        return self.tried | self.without_snapshot
