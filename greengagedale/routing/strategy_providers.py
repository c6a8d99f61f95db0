"""Hands out tactics, so that budgets and latencies are shared rightly."""

from typing import Self

from greengagedale.config import settings as settings_lib
from greengagedale.query import fanout
from greengagedale.query import snapshot_refusals as refusals_lib
from greengagedale.query import strategies as strategies_lib
from greengagedale.retry import token_budget
from greengagedale.routing import latency_window as latencies_lib
from greengagedale.routing import policies
from greengagedale.routing import upstream_view

_LEAST_QUANTILE = 0.9
_MOST_QUANTILE = 0.995
_SPENT_BY_QUANTILE = 0.85
_HEDGE_TOKENS = 8.0
_RETRY_TOKENS = 200.0
_RETRIES_PER_S = 20.0


class StrategyProvider:
    """Keeps what the searches of each workspace and service share."""

    def __init__(
        self,
        policy: policies.RoutingPolicy,
        view: upstream_view.UpstreamView,
        retry_share: float,
        adaptive: bool,
    ) -> None:
        self._policy = policy
        self._view = view
        self._retry_share = retry_share
        self._adaptive = adaptive
        self._plain = strategies_lib.SearchStrategy.plain(policy)
        self._known: dict[
            tuple[str, str, float], strategies_lib.SearchStrategy
        ] = {}
        self._snapshot_refusals: dict[str, refusals_lib.SnapshotRefusals] = {}
        self._retries: dict[str, token_budget.TokenBudget] = {}

    @classmethod
    def from_config(
        cls,
        settings: settings_lib.RoutingSettings,
        policy: policies.RoutingPolicy,
        view: upstream_view.UpstreamView,
    ) -> Self:
        """Makes the tactician that the settings name."""
        adaptive = settings.policy == "adaptive"
        return cls(policy, view, settings.retry_share, adaptive)

    def strategy(self, search: fanout.Search) -> strategies_lib.SearchStrategy:
        """Returns the tactics for a search."""
        if not self._adaptive:
            return self._plain
        key = (search.workspace, search.service, search.extra_load_share)
        known = self._known.get(key)
        if known is None:
            known = self._known[key] = self._make(search)
        return known

    def _make(self, search: fanout.Search) -> strategies_lib.SearchStrategy:
        share = search.extra_load_share
        quantile = 1.0 - _SPENT_BY_QUANTILE * share
        bounded = min(_MOST_QUANTILE, max(_LEAST_QUANTILE, quantile))
        return strategies_lib.SearchStrategy(
            self._policy,
            latencies_lib.LatencyWindow(bounded),
            self._snapshot_refusals.setdefault(
                search.service, refusals_lib.SnapshotRefusals()
            ),
            token_budget.TokenBudget(share, _HEDGE_TOKENS),
            self._retries.setdefault(search.workspace, self._retry_budget()),
            has_room=lambda upstream: self._view.free_slots(upstream) > 0,
        )

    def _retry_budget(self) -> token_budget.TokenBudget:
        return token_budget.TokenBudget(
            self._retry_share,
            _RETRY_TOKENS,
            initial_tokens=_RETRIES_PER_S,
            refill_per_s=_RETRIES_PER_S,
        )
