"""Splits a route's requests among its services by weight."""

from collections.abc import Iterable
import random

from greengagedale.gateway import route_config


class TrafficSplitter:
    """Chooses services by smooth weighted round-robin.

    Each request goes to the service that is furthest behind its share. The
    initial credits are random, so that hosts with little traffic don't all
    start with the same service.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits: dict[
            tuple[str, tuple[route_config.Target, ...]], list[float]
        ] = {}

    def retain_only(self, routes: Iterable[route_config.Route]) -> None:
        """Discards the credits of all other routes and weights."""
        keys = {(route.name, route.targets) for route in routes}
        self._credits = {
            key: value for key, value in self._credits.items() if key in keys
        }

    def choose(self, route: route_config.Route) -> str:
        """Returns the service for the next request of a route."""
        targets = route.targets
        if len(targets) == 1:
            return targets[0].service
        total = sum(target.weight for target in targets)
        if total <= 0.0:
            return self._rng.choice(targets).service
        key = (route.name, targets)
        credits = self._credits.get(key)
        if credits is None:
            credits = [self._rng.random() - 0.5 for _ in targets]
            self._credits[key] = credits
        for index, target in enumerate(targets):
            credits[index] += target.weight / total
        chosen = max(range(len(targets)), key=credits.__getitem__)
        credits[chosen] -= 1.0
        return targets[chosen].service
