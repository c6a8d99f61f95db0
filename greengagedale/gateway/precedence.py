"""Decides whose requests wait in queues of upstreams while queues are long.

A request may spend a part of its remaining useful time in a queue: its
patience. Without contention, the patience of all requests is 1. While queues
are long, it depends on

-   the rank, which is the priority of the workspace, or else of the route: each
    more urgent rank that is present halves it, and
-   the use of the request's flow, that is, of its workspace within the rank:
    above the fair share, it falls to no less than half. The fair share is the
    mean of the active flows of the rank in proportion to their weights.

So no request is preferred to one of a more urgent rank, flows of a rank share
by weight, and a flow at or below its share in the most urgent rank that is
present is not affected. A flow that is served much less often than requests
are on the whole is not affected either, so that none is starved.

Only what was sent to upstreams counts as use, hence refusals don't add to it.
All state is of this host alone, and decays.
"""

import math
import random
from typing import NamedTuple

from greengagedale.gateway import calls
from greengagedale.gateway import route_config

MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 10_000
# Retry-After is multiplied by a random factor up to this one.
RETRY_SPREAD = 1.5
# Time in which the remembered use of a flow halves.
HALF_LIFE_MS = 3000.0
# Flows and ranks count as present for this long after a request.
PRESENT_MS = 2000.0
# Queues count as long for this long after a request was turned away.
CONTENTION_MS = 1000.0
# A flow is above its share if its use exceeds it by this factor, as arrivals
# vary.
SHARE_TOLERANCE = 1.2
# Least patience within a rank, and factor between adjacent ranks that are
# present. With one value, ranks don't overlap.
RANK_FACTOR = 0.5
# A flow is starved if it is served less often than this fraction of how often
# all requests are.
STARVED_FRACTION = 0.35
# Shares are computed again after this time, as it takes a step for each flow.
_SHARES_INTERVAL_MS = 50.0
# Idle flows are dropped after this time.
_IDLE_MS = 10.0 * HALF_LIFE_MS


class Standing(NamedTuple):
    """What a request's precedence depends on.

    Attributes:
        rank: Effective priority; 0 is the highest.
        workspace: Name of the workspace; None on public routes.
        weight: Weight of the workspace within a rank.
    """

    rank: int
    workspace: str | None
    weight: float


class Patience(NamedTuple):
    """How much of its remaining useful time a request may wait in a queue.

    Attributes:
        factor: The fraction, above 0 and up to 1.
        use: Use of the flow relative to its fair share.
        urgent_ranks: Number of more urgent ranks that are present.
    """

    factor: float
    use: float
    urgent_ranks: int

    @property
    def limit(self) -> str:
        """What limits it most: "share", "rank" or "none"."""
        if self.factor >= 1.0:
            return "none"
        return "share" if self.use > SHARE_TOLERANCE else "rank"


FULL_PATIENCE = Patience(1.0, 0.0, 0)


def standing_of(
    call: calls.Call,
    route: route_config.Route,
    workspace: route_config.Workspace | None,
) -> Standing | None:
    """Returns the standing of a call; None if requests need no keys.

    Args:
        call: The call.
        route: Its route.
        workspace: Its workspace, or None.
    """
    if call.identity is None:
        return None
    if workspace is None:
        return Standing(route.priority, None, 1.0)
    rank = workspace.priority
    return Standing(
        route.priority if rank is None else rank,
        workspace.name,
        workspace.rate_per_s or 1.0,
    )


class _Average:
    """A sum that decays with time."""

    __slots__ = ("_sum", "_updated_ms")

    def __init__(self) -> None:
        self._sum = 0.0
        self._updated_ms = 0.0

    def add(self, amount: float, now_ms: float) -> None:
        self._sum = self.get(now_ms) + amount
        self._updated_ms = now_ms

    def get(self, now_ms: float) -> float:
        age_ms = max(0.0, now_ms - self._updated_ms)
        return self._sum * 0.5 ** (age_ms / HALF_LIFE_MS)


class _Outcomes:
    """How often requests were served of late."""

    __slots__ = ("ended", "served")

    def __init__(self) -> None:
        self.ended = _Average()
        self.served = _Average()

    def record(self, was_served: bool, now_ms: float) -> None:
        self.ended.add(1.0, now_ms)
        self.served.add(float(was_served), now_ms)

    def fraction(self, now_ms: float) -> float:
        ended = self.ended.get(now_ms)
        return self.served.get(now_ms) / ended if ended else 1.0


class _Flow:
    """The requests of a workspace within a rank."""

    __slots__ = ("arrived_ms", "outcomes", "use", "weight")

    def __init__(self) -> None:
        self.weight = 1.0
        self.arrived_ms = 0.0
        self.use = _Average()
        self.outcomes = _Outcomes()


class _Shares(NamedTuple):
    """The flows that are present.

    Attributes:
        computed_ms: Time of the computation.
        use_by_rank: Mean use for each unit of weight, by rank present.
    """

    computed_ms: float
    use_by_rank: dict[int, float]

    def urgent_ranks(self, rank: int) -> int:
        """Returns how many more urgent ranks are present."""
        return sum(other < rank for other in self.use_by_rank)


class Precedence:
    """Tracks the use of flows on a host and decides on their patience."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        # By rank and workspace, hence no more than the configuration has
        # workspaces and priorities; idle ones are dropped.
        self._flows: dict[tuple[int, str | None], _Flow] = {}
        self._outcomes = _Outcomes()
        self._last_turned_away_ms = float("-inf")
        self._shares = _Shares(float("-inf"), {})

    def record_arrival(self, standing: Standing, now_ms: float) -> None:
        """Records that a request arrived."""
        flow = self._flow_of(standing)
        flow.weight = standing.weight
        flow.arrived_ms = now_ms

    def record_attempt(self, standing: Standing, now_ms: float) -> None:
        """Records that an attempt was sent to an upstream."""
        self._flow_of(standing).use.add(1.0, now_ms)

    def record_end(
        self, standing: Standing, was_served: bool, now_ms: float
    ) -> None:
        """Records the outcome of a request."""
        self._flow_of(standing).outcomes.record(was_served, now_ms)
        self._outcomes.record(was_served, now_ms)

    def record_turned_away(self, now_ms: float) -> None:
        """Records that a request was refused for lack of patience."""
        self._last_turned_away_ms = now_ms

    def patience(
        self, standing: Standing, was_overloaded: bool, now_ms: float
    ) -> Patience:
        """Returns the patience of a request.

        Args:
            standing: The standing of the request.
            was_overloaded: Whether a queue was too long recently.
            now_ms: Current time.
        """
        since_ms = now_ms - self._last_turned_away_ms
        if not was_overloaded and since_ms >= CONTENTION_MS:
            return FULL_PATIENCE
        flow = self._flow_of(standing)
        starved = STARVED_FRACTION * self._outcomes.fraction(now_ms)
        shares = self._current_shares(now_ms)
        urgent_ranks = shares.urgent_ranks(standing.rank)
        mean_use = shares.use_by_rank.get(standing.rank, 0.0)
        use = 0.0
        if standing.workspace is not None and mean_use > 0.0:
            use = flow.use.get(now_ms) / standing.weight / mean_use
        factor = 1.0
        if flow.outcomes.fraction(now_ms) >= starved:
            within_rank = min(1.0, SHARE_TOLERANCE / max(use, SHARE_TOLERANCE))
            factor = max(RANK_FACTOR, within_rank) * RANK_FACTOR**urgent_ranks
        return Patience(factor, use, urgent_ranks)

    def keeps_reserve(self, standing: Standing, now_ms: float) -> bool:
        """Returns whether requests of a more urgent rank are present."""
        return self._current_shares(now_ms).urgent_ranks(standing.rank) > 0

    def retry_after_ms(self, wait_ms: float, patience: Patience) -> int:
        """Returns a Retry-After at which there is room, spread at random.

        Args:
            wait_ms: Time until the queue is short enough.
            patience: The patience of the refused request.
        """
        excess = max(1.0, patience.use / SHARE_TOLERANCE)
        above_ms = 0.0
        if patience.limit == "share":
            above_ms = HALF_LIFE_MS * math.log2(excess)
        room_ms = max(MIN_RETRY_AFTER_MS, wait_ms, above_ms)
        bounded_ms = min(MAX_RETRY_AFTER_MS, room_ms)
        return int(bounded_ms * self._rng.uniform(1.0, RETRY_SPREAD))

    def evict_idle(self, now_ms: float) -> None:
        """Drops flows without recent requests."""
        self._flows = {
            key: flow
            for key, flow in self._flows.items()
            if now_ms - flow.arrived_ms < _IDLE_MS
        }

    def _current_shares(self, now_ms: float) -> _Shares:
        if now_ms - self._shares.computed_ms < _SHARES_INTERVAL_MS:
            return self._shares
        uses: dict[int, float] = {}
        weights: dict[int, float] = {}
        for (rank, workspace), flow in self._flows.items():
            if now_ms - flow.arrived_ms >= PRESENT_MS:
                continue
            uses.setdefault(rank, 0.0)
            weights.setdefault(rank, 0.0)
            if workspace is not None:
                uses[rank] += flow.use.get(now_ms)
                weights[rank] += flow.weight
        self._shares = _Shares(
            now_ms,
            {
                rank: use / weights[rank] if weights[rank] else 0.0
                for rank, use in uses.items()
            },
        )
        return self._shares

    def _flow_of(self, standing: Standing) -> _Flow:
        key = (standing.rank, standing.workspace)
        flow = self._flows.get(key)
        if flow is None:
            flow = self._flows[key] = _Flow()
        return flow
