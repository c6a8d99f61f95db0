"""Routing policies that choose among the replicas of a range."""

import abc
from collections.abc import Collection, Sequence
import random

from greengagedale.config import settings as settings_lib
from greengagedale.routing import upstream_view

_UNKNOWN_LATENCY_MS = 1.0


class RoutingPolicy(abc.ABC):
    """Chooses replicas for attempts."""

    @abc.abstractmethod
    def choose(
        self, replicas: Sequence[str], excluded: Collection[str] = ()
    ) -> str | None:
        """Returns the upstream to use, or None if there is none.

        Args:
            replicas: All replicas of the range.
            excluded: Replicas that must not be returned.
        """


class RandomPolicy(RoutingPolicy):
    """Chooses uniformly at random; the baseline of measurements."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, replicas: Sequence[str], excluded: Collection[str] = ()
    ) -> str | None:
        """Returns a random replica, or None if there is none."""
        usable = [name for name in replicas if name not in excluded]
        return self._rng.choice(usable) if usable else None


class TwoChoicePolicy(RoutingPolicy):
    """Chooses the better of two random replicas by load and latency."""

    def __init__(
        self, view: upstream_view.UpstreamView, rng: random.Random
    ) -> None:
        self._view = view
        self._rng = rng

    def choose(
        self, replicas: Sequence[str], excluded: Collection[str] = ()
    ) -> str | None:
        """Returns the better of two random replicas that are not leaving."""
        view = self._view
        usable = [
            name
            for name in replicas
            if name not in excluded and not view.is_leaving(name)
        ]
        if len(usable) < 2:
            return usable[0] if usable else None
        return min(self._rng.sample(usable, 2), key=self._cost)

    def _cost(self, name: str) -> float:
        latency_ms = self._view.latency_ms(name)
        if latency_ms is None:
            latency_ms = _UNKNOWN_LATENCY_MS
        return (self._view.in_flight(name) + 1) * latency_ms


def from_config(
    settings: settings_lib.RoutingSettings,
    view: upstream_view.UpstreamView,
    rng: random.Random,
) -> RoutingPolicy:
    """Creates the policy that the settings select."""
    if settings.policy == "plain":
        return RandomPolicy(rng)
    return TwoChoicePolicy(view, rng)
