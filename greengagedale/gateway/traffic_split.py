"""Sharing a route's requests among its services by weight."""

from collections.abc import Iterable
import random

from greengagedale.gateway import route_config


class TrafficSplitter:
    """Chooses services so that each keeps close to its share.

    Each choice goes to the service that lags its share most, from a drawn
    start, so that hosts with little traffic don't all begin with the same.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits: dict[
            tuple[str, tuple[route_config.Target, ...]], list[float]
        ] = {}

    def retain_only(self, held: Iterable[route_config.Route]) -> None:
        """Drops what is kept for routes or weights no longer in force."""
        keys = {(plan.name, plan.targets) for plan in held}
        self._credits = {
            key: value for key, value in self._credits.items() if key in keys
        }

    def choose(self, plan: route_config.Route) -> str:
        """Returns the service for the next request of a route."""
        targets = plan.targets
        if len(targets) == 1:
            return targets[0].service
        total = sum(target.weight for target in targets)
        if total <= 0.0:
            return self._rng.choice(targets).service
        key = (plan.name, targets)
        credits = self._credits.get(key)
        if credits is None:
            credits = [self._rng.random() - 0.5 for _ in targets]
            self._credits[key] = credits
        for index, target in enumerate(targets):
            credits[index] += target.weight / total
        best = max(range(len(targets)), key=credits.__getitem__)
        credits[best] -= 1.0
        return targets[best].service
