"""Provides search strategies that share budgets and latencies."""

from typing import Self

from greengagedale.config import settings as settings_lib
from greengagedale.query import fanout
from greengagedale.query import snapshot_refusals as refusals_lib
from greengagedale.query import strategies as strategies_lib
from greengagedale.retry import token_budget
from greengagedale.routing import latency_window as latency_window_lib
from greengagedale.routing import policies
from greengagedale.routing import upstream_view

_MIN_QUANTILE = 0.9
_MAX_QUANTILE = 0.995
_QUANTILE_BUDGET_SHARE = 0.85
_MAX_HEDGE_TOKENS = 8.0
_MAX_RETRY_TOKENS = 200.0
_RETRIES_PER_S = 20.0


class StrategyProvider:
    """Provides the strategies of searches and keeps their shared state.

    Searches of the same workspace, service and share of extra load have one
    strategy. Snapshot refusals are shared by service, retry budgets by
    workspace.
    """

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
        self._strategies: dict[
            tuple[str, str, float], strategies_lib.SearchStrategy
        ] = {}
        self._snapshot_refusals: dict[str, refusals_lib.SnapshotRefusals] = {}
        self._retry_budgets: dict[str, token_budget.TokenBudget] = {}

    @classmethod
    def from_config(
        cls,
        settings: settings_lib.RoutingSettings,
        policy: policies.RoutingPolicy,
        view: upstream_view.UpstreamView,
    ) -> Self:
        """Creates the provider for the policy that the settings select."""
        adaptive = settings.policy == "adaptive"
        return cls(policy, view, settings.retry_share, adaptive)

    def strategy(self, search: fanout.Search) -> strategies_lib.SearchStrategy:
        """Returns the strategy for a search."""
        if not self._adaptive:
            return self._plain
        key = (search.workspace, search.service, search.extra_load_share)
        cached = self._strategies.get(key)
        if cached is None:
            cached = self._strategies[key] = self._create_strategy(search)
        return cached

    def _create_strategy(
        self, search: fanout.Search
    ) -> strategies_lib.SearchStrategy:
        share = search.extra_load_share
        quantile = 1.0 - _QUANTILE_BUDGET_SHARE * share
        bounded = min(_MAX_QUANTILE, max(_MIN_QUANTILE, quantile))
        return strategies_lib.SearchStrategy(
            self._policy,
            latency_window_lib.LatencyWindow(bounded),
            self._snapshot_refusals.setdefault(
                search.service, refusals_lib.SnapshotRefusals()
            ),
            token_budget.TokenBudget(share, _MAX_HEDGE_TOKENS),
            self._retry_budgets.setdefault(
                search.workspace, self._create_retry_budget()
            ),
            has_free_slot=lambda upstream: self._view.free_slots(upstream) > 0,
        )

    def _create_retry_budget(self) -> token_budget.TokenBudget:
        return token_budget.TokenBudget(
            self._retry_share,
            _MAX_RETRY_TOKENS,
            initial_tokens=_RETRIES_PER_S,
            refill_per_s=_RETRIES_PER_S,
        )
