"""A routing policy that excludes upstreams that are leaving."""

from collections.abc import Callable, Collection, Sequence

from greengagedale.routing import policies


class LeavingFilter(policies.RoutingPolicy):
    """Applies another policy to the replicas that are not leaving."""

    def __init__(
        self,
        inner: policies.RoutingPolicy,
        is_leaving: Callable[[str], bool],
    ) -> None:
        self._inner = inner
        self._is_leaving = is_leaving

    def choose(
        self, replicas: Sequence[str], excluded: Collection[str] = ()
    ) -> str | None:
        """Returns the upstream to use, or None if there is none."""
        remaining = [name for name in replicas if not self._is_leaving(name)]
        return self._inner.choose(remaining, excluded)
