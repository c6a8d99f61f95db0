"""How a search goes after its answer beyond first attempts."""

from collections.abc import Callable
from typing import NamedTuple, Self

from greengagedale.query import snapshot_refusals as refusals_lib
from greengagedale.retry import token_budget
from greengagedale.routing import latency_window as latencies_lib
from greengagedale.routing import policies

_DEFAULT_PROGRESS_TIMEOUT_MS = 250.0
_MIN_PROGRESS_TIMEOUT_MS = 40.0
_PROGRESS_TIMEOUT_FACTOR = 4.0
_EARLY_STOP_FACTOR = 6.0
_INFINITE_MS = float("inf")


class Timings(NamedTuple):
    """How long a search waits before it acts, in milliseconds.

    Attributes:
        hedge_ms: Age of an attempt at which a hedge is due.
        progress_ms: Age at which an attempt's connection is suspect.
        early_ms: Age of a search at which stragglers may be left out.
    """

    hedge_delay_ms: float
    progress_timeout_ms: float
    early_stop_ms: float

    @classmethod
    def from_quantile(cls, quantile_ms: float | None) -> Self:
        """Derives all times from the running quantile of latencies."""
        if quantile_ms is None:
            return cls(_INFINITE_MS, _DEFAULT_PROGRESS_TIMEOUT_MS, _INFINITE_MS)
        progress_timeout_ms = max(
            _MIN_PROGRESS_TIMEOUT_MS, _PROGRESS_TIMEOUT_FACTOR * quantile_ms
        )
        early_stop_ms = max(
            _MIN_PROGRESS_TIMEOUT_MS, _EARLY_STOP_FACTOR * quantile_ms
        )
        return cls(quantile_ms, progress_timeout_ms, early_stop_ms)


DISABLED = Timings(_INFINITE_MS, _INFINITE_MS, _INFINITE_MS)


class SearchStrategy(NamedTuple):
    """What the searches of one workspace share.

    Attributes:
        policy: Chooses replicas.
        latencies: Recent latencies of the service's attempts.
        holdings: Which snapshots upstreams have refused.
        hedge_budget: Pays for hedges.
        retry_budget: Pays for retries.
        adaptive: False for one attempt a range and nothing else.
        has_room: Whether an upstream takes one more attempt without a wait.
    """

    policy: policies.RoutingPolicy
    latencies: latencies_lib.LatencyWindow
    snapshot_refusals: refusals_lib.SnapshotRefusals
    hedge_budget: token_budget.TokenBudget
    retry_budget: token_budget.TokenBudget
    adaptive: bool = True
    has_free_slot: Callable[[str], bool] = lambda upstream: True

    @classmethod
    def plain(cls, policy: policies.RoutingPolicy) -> Self:
        """Makes the baseline: no hedges, no retries, no limits."""
        return cls(
            policy,
            latencies_lib.LatencyWindow(1.0),
            refusals_lib.SnapshotRefusals(),
            token_budget.TokenBudget(0.0, 0.0),
            token_budget.TokenBudget(0.0, 0.0),
            adaptive=False,
        )

    def timings(self) -> Timings:
        """Returns the times for a search that begins now."""
        if not self.adaptive:
            return DISABLED
        return Timings.from_quantile(self.latencies.quantile_ms())
