"""Hands out tactics, so that budgets and latencies are shared rightly."""

from typing import Self

from greengagedale.config import settings as settings_lib
from greengagedale.query import fanout
from greengagedale.query import snapshot_refusals as refusals_lib
from greengagedale.query import strategies as strategies_lib
from greengagedale.retry import budgets
from greengagedale.routing import latencies as latencies_lib
from greengagedale.routing import policies
from greengagedale.routing import views

_LEAST_QUANTILE = 0.9
_MOST_QUANTILE = 0.995
_SPENT_BY_QUANTILE = 0.85
_HEDGE_TOKENS = 8.0
_RETRY_TOKENS = 200.0
_RETRIES_PER_S = 20.0


class Tactician:
    """Keeps what the searches of each workspace and service share."""

    def __init__(
        self,
        policy: policies.RoutingPolicy,
        view: views.UpstreamView,
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
        self._retries: dict[str, budgets.TokenBudget] = {}

    @classmethod
    def from_config(
        cls,
        settings: settings_lib.RoutingSettings,
        policy: policies.RoutingPolicy,
        view: views.UpstreamView,
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
            budgets.TokenBudget(share, _HEDGE_TOKENS),
            self._retries.setdefault(search.workspace, self._retry_budget()),
            has_room=lambda upstream: self._view.free_slots(upstream) > 0,
        )

    def _retry_budget(self) -> budgets.TokenBudget:
        return budgets.TokenBudget(
            self._retry_share,
            _RETRY_TOKENS,
            start_tokens=_RETRIES_PER_S,
            floor_per_s=_RETRIES_PER_S,
        )
