"""Strategy of searches: replica choice, hedging, retries and timeouts."""

from collections.abc import Callable
from typing import NamedTuple, Self

from greengagedale.query import snapshot_refusals as refusals_lib
from greengagedale.retry import token_budget
from greengagedale.routing import latency_window as latency_window_lib
from greengagedale.routing import policies

_DEFAULT_PROGRESS_TIMEOUT_MS = 250.0
_MIN_PROGRESS_TIMEOUT_MS = 40.0
_PROGRESS_TIMEOUT_FACTOR = 4.0
_EARLY_STOP_FACTOR = 6.0
_INFINITE_MS = float("inf")


class Timings(NamedTuple):
    """Delays after which a search takes further action, in milliseconds.

    Attributes:
        hedge_delay_ms: Age of an attempt at which a hedge is sent.
        progress_timeout_ms: Age of an attempt at which its connection is
            suspected to be broken.
        early_stop_ms: Age of a search at which stragglers may be left out.
    """

    hedge_delay_ms: float
    progress_timeout_ms: float
    early_stop_ms: float

    @classmethod
    def from_quantile(cls, quantile_ms: float | None) -> Self:
        """Derives the delays from a quantile of recent attempt latencies.

        Without a quantile there are no hedges and no early stop, and the
        progress timeout has its default value.
        """
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
    """Strategy and state that the searches of one workspace share.

    Attributes:
        policy: Routing policy that chooses replicas.
        latencies: Recent latencies of the attempts at the service.
        snapshot_refusals: Recent refusals of snapshots by upstreams.
        hedge_budget: Token budget that limits hedges.
        retry_budget: Token budget that limits retries.
        adaptive: Whether searches hedge, retry, restart and stop early; if
            False, each range gets a single attempt.
        has_free_slot: Returns whether an upstream can run one more attempt
            without queueing.
    """

    policy: policies.RoutingPolicy
    latencies: latency_window_lib.LatencyWindow
    snapshot_refusals: refusals_lib.SnapshotRefusals
    hedge_budget: token_budget.TokenBudget
    retry_budget: token_budget.TokenBudget
    adaptive: bool = True
    has_free_slot: Callable[[str], bool] = lambda upstream: True

    @classmethod
    def plain(cls, policy: policies.RoutingPolicy) -> Self:
        """Returns a baseline strategy without hedges, retries or limits."""
        return cls(
            policy,
            latency_window_lib.LatencyWindow(1.0),
            refusals_lib.SnapshotRefusals(),
            token_budget.TokenBudget(0.0, 0.0),
            token_budget.TokenBudget(0.0, 0.0),
            adaptive=False,
        )

    def timings(self) -> Timings:
        """Returns the delays for a search that starts now."""
        if not self.adaptive:
            return DISABLED
        return Timings.from_quantile(self.latencies.quantile_ms())
