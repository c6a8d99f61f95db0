"""Recognises requests that callers repeat after they were refused.

A caller whose request was refused sends it again with less time left. While a
workspace asks for more than its quota, each token that such a request takes
makes a new request return later in turn: all of them are late, and as many as
before are refused. Tokens are therefore given to new requests first, which can
still be answered within the target latency.
"""

import collections

# Callers of a route have a common timeout, which most of them send in full. The
# quantile is robust against callers with longer ones.
_SAMPLES = 32
_MIN_SAMPLES = 4
_QUANTILE = 0.75
# A request that was waiting for this fraction of the target latency before it
# was sent is taken as returning.
_WAITED_SHARE = 0.5


class ReturningCallers:
    """Estimates whether requests are new, separately for each route."""

    def __init__(self) -> None:
        self._left_ms: dict[str, collections.deque[float]] = {}

    def is_returning(
        self, route: str, left_ms: float | None, target_latency_ms: float
    ) -> bool:
        """Records a request and returns whether its caller came back.

        Args:
            route: Name of the route.
            left_ms: Time that the caller still waits; None if unknown.
            target_latency_ms: Target latency of the route.
        """
        if left_ms is None:
            return False
        recent = self._left_ms.setdefault(
            route, collections.deque(maxlen=_SAMPLES)
        )
        recent.append(left_ms)
        if len(recent) < _MIN_SAMPLES:
            return False
        ordered = sorted(recent)
        timeout_ms = ordered[int(_QUANTILE * (len(ordered) - 1))]
        return timeout_ms - left_ms > _WAITED_SHARE * target_latency_ms

    def retain_only(self, routes: set[str]) -> None:
        """Drops what is known of all other routes."""
        for route in self._left_ms.keys() - routes:
            del self._left_ms[route]
