"""Configuration of routes: which requests go to which services, and how."""

import itertools
from typing import NamedTuple

from greengagedale.http1 import server


class Target(NamedTuple):
    """A service that gets a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Share of the service relative to the other targets of the route.
    """

    service: str
    weight: float


class Fanout(NamedTuple):
    """A search over shards, each of which is a service.

    Attributes:
        shards: Names of the services, all from the same configuration.
        max_records: Maximum number of records in a merged answer.
        min_coverage: Fraction of the shards (0 to 1) that an answer needs.
    """

    shards: tuple[str, ...]
    max_records: int
    min_coverage: float

    @property
    def min_parts(self) -> int:
        """The number of shards that an answer needs, at least one."""
        needed = -(-self.min_coverage * len(self.shards) // 1)
        return max(1, int(needed))


class Route(NamedTuple):
    """A route from a workspace's requests to its services.

    Attributes:
        name: Name of the route, unique in the configuration.
        host: Host name of its requests.
        path_prefix: Prefix of the paths of its requests; ends with a slash.
        is_idempotent: Whether its requests may run more than once.
        timeout_ms: Maximum time that a request may take.
        target_latency_ms: Latency within which an answer is worth most to the
            caller.
        priority: Priority; 0 is the highest.
        max_attempts: Maximum number of upstreams that may run one request, for
            each service.
        targets: Services to choose among; empty for a fan-out.
        fanout: The shards to search, or None.
    """

    name: str
    host: str
    path_prefix: str
    is_idempotent: bool
    timeout_ms: float
    target_latency_ms: float
    priority: int
    max_attempts: int
    targets: tuple[Target, ...] = ()
    fanout: Fanout | None = None

    @property
    def services(self) -> tuple[str, ...]:
        """All services that its requests may go to."""
        if self.fanout is not None:
            return self.fanout.shards
        return tuple(target.service for target in self.targets)


class ServiceConfiguration(NamedTuple):
    """Configuration of a service.

    Attributes:
        name: Name of the service.
        connections: Number of connections that each of its upstreams accepts
            from all hosts together.
    """

    name: str
    connections: int


class RouteConfiguration(NamedTuple):
    """A complete configuration of routes and services.

    Attributes:
        version: Version, which increases with each configuration.
        routes: All routes.
        services: All services.
        limits: Limits on callers' requests.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceConfiguration, ...]
    limits: server.Limits


class RouteTable:
    """Looks up the route of a request."""

    def __init__(self, configuration: RouteConfiguration) -> None:
        self.configuration = configuration
        self.version = configuration.version
        self.connections = {
            service.name: service.connections
            for service in configuration.services
        }
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None."""
        by_prefix = self._by_host.get(host)
        if by_prefix is None:
            return None
        ends = [i + 1 for i, char in enumerate(path) if char == "/"]
        found = (by_prefix.get(path[:end]) for end in reversed(ends))
        return next(
            itertools.filterfalse(lambda route: route is None, found), None
        )
