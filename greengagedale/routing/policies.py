"""Policies that choose among the replicas of a range."""

import abc
from collections.abc import Sequence
import random


class RoutingPolicy(abc.ABC):
    """Chooses replicas for attempts."""

    @abc.abstractmethod
    def choose(self, replicas: Sequence[str]) -> str | None:
        """Returns the upstream to use, or None if there is none."""


class PlainPolicy(RoutingPolicy):
    """Any replica, with equal chances: the baseline of measurements."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, replicas: Sequence[str]) -> str | None:
        """Returns a random replica, or None if there is none."""
        return self._rng.choice(replicas) if replicas else None
