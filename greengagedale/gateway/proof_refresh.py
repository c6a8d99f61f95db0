"""Decides how a host whose proof of freshness gets old asks for a newer one.

Peers are asked first, as an exchange costs the store nothing. The store is
asked directly as a last resort. All hosts of a fleet may need a proof at the
same time, because the store fails or because its reader is lost, so the time of
a host's first call is random and its further calls are ever rarer: the more
hosts there are, the more rarely each of them calls.
"""

import enum
import random

# Ages of the proof, as fractions of the bound, from which peers and the store
# are asked. With a read each second and a second to reach all hosts, proofs are
# usually younger than 0.4.
ASK_PEERS_SHARE = 0.5
ASK_STORE_SHARE = 0.6
# Minimum time between extra exchange rounds.
PEERS_INTERVAL_MS = 200.0
# Mean time between the first calls of all hosts to the store, and between
# further calls after the delay has grown to its maximum.
FLEET_CALL_INTERVAL_MS = 40.0
FLEET_RETRY_INTERVAL_MS = 200.0
# First delay of a host after a call in vain; doubled after each further one.
MIN_RETRY_MS = 500.0


class Step(enum.Enum):
    """What a host does for a newer proof."""

    NONE = enum.auto()
    ASK_PEERS = enum.auto()
    ASK_STORE = enum.auto()


class ProofRefresh:
    """Schedules requests for a newer proof."""

    def __init__(self, bound_ms: float, rng: random.Random) -> None:
        """Makes a schedule.

        Args:
            bound_ms: Maximum age of a valid proof.
            rng: Random generator for the times of calls to the store.
        """
        self._bound_ms = bound_ms
        self._rng = rng
        self._peers_at_ms = float("-inf")
        self._store_at_ms: float | None = None
        self._retry_ms = MIN_RETRY_MS

    def next_step(self, now_ms: float, age_ms: float, host_count: int) -> Step:
        """Returns what to do now, which is assumed to be done.

        Args:
            now_ms: The current time.
            age_ms: Age of the proof; infinity if there is none.
            host_count: Number of hosts of the fleet, including this one.
        """
        if age_ms < ASK_PEERS_SHARE * self._bound_ms:
            self._store_at_ms = None
            self._retry_ms = MIN_RETRY_MS
            return Step.NONE
        if age_ms >= ASK_STORE_SHARE * self._bound_ms:
            if self._store_at_ms is None:
                spread_ms = FLEET_CALL_INTERVAL_MS * host_count
                self._store_at_ms = now_ms + self._rng.uniform(0.0, spread_ms)
            if now_ms >= self._store_at_ms:
                self._store_at_ms = now_ms + self._next_delay_ms(host_count)
                return Step.ASK_STORE
        if now_ms >= self._peers_at_ms:
            self._peers_at_ms = now_ms + PEERS_INTERVAL_MS
            return Step.ASK_PEERS
        return Step.NONE

    def _next_delay_ms(self, host_count: int) -> float:
        min_ms = FLEET_CALL_INTERVAL_MS * host_count
        self._retry_ms = max(min_ms, self._retry_ms)
        delay_ms = self._retry_ms * self._rng.uniform(0.5, 1.5)
        max_ms = max(MIN_RETRY_MS, FLEET_RETRY_INTERVAL_MS * host_count)
        self._retry_ms = min(max_ms, 2.0 * self._retry_ms)
        return delay_ms
