"""Routes: which requests go to which services, and under what terms."""

import itertools
from typing import NamedTuple

from greengagedale.http1 import server


class Target(NamedTuple):
    """A service that takes a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its share, relative to the other targets of the route.
    """

    service: str
    weight: float


class Fanout(NamedTuple):
    """A search over shards, each of which is a service.

    Attributes:
        shards: Names of the services; all of one configuration.
        best_records: How many of the greatest records are wanted.
        least_coverage: Share of the shards (0 to 1) that an answer needs.
    """

    shards: tuple[str, ...]
    max_records: int
    min_coverage: float

    @property
    def min_parts(self) -> int:
        """The number of shards that an answer needs; at least one."""
        needed = -(-self.min_coverage * len(self.shards) // 1)
        return max(1, int(needed))


class Route(NamedTuple):
    """A route: a workspace's way to its services.

    Attributes:
        name: Unique in the configuration.
        host: Host name that its requests carry.
        path_prefix: Begins the paths of its requests; ends with a slash.
        is_idempotent: Whether its requests may run more than once.
        timeout_ms: Longest time that a request may be kept waiting.
        aim_ms: Time within which an answer is worth most to the caller.
        priority: Rank; 0 is the highest.
        max_attempts: Upstreams that may run one request, for each service.
        targets: Services to choose among; empty for a fan-out.
        fanout: The shards to ask, or None.
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
    """What the configuration says of a service.

    Attributes:
        name: Name of the service.
        connections: Connections that each of its upstreams accepts, over all
            hosts.
    """

    name: str
    connections: int


class RouteConfiguration(NamedTuple):
    """One configuration as a whole.

    Attributes:
        version: Rises with each configuration.
        plans: All routes.
        services: All services.
        limits: What clients may send.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceConfiguration, ...]
    limits: server.Limits


class RouteTable:
    """Finds the route of a request."""

    def __init__(self, configuration: RouteConfiguration) -> None:
        self.configuration = configuration
        self.version = configuration.version
        self.connections = {
            terms.name: terms.connections for terms in configuration.services
        }
        self._by_host: dict[str, dict[str, Route]] = {}
        for plan in configuration.routes:
            self._by_host.setdefault(plan.host, {})[plan.path_prefix] = plan

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path, or None."""
        by_prefix = self._by_host.get(host)
        if by_prefix is None:
            return None
        ends = [i + 1 for i, char in enumerate(path) if char == "/"]
        found = (by_prefix.get(path[:end]) for end in reversed(ends))
        return next(
            itertools.filterfalse(lambda plan: plan is None, found), None
        )
