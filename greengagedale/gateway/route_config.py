"""Configuration of routes: which requests go to which services, and how."""

import hashlib
import itertools
from typing import NamedTuple

from greengagedale.http1 import server

_DIGEST_BYTES = 16


def key_digest(key: bytes) -> bytes:
    """Returns the digest of a key, which replaces it in all stored state."""
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()


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


class Workspace(NamedTuple):
    """A workspace: a member's callers, identified by their keys.

    Attributes:
        name: Name of the workspace.
        key_digests: Digests of its keys; see `key_digest`.
        priority: Priority of its requests, which takes precedence over that of
            the route; 0 is the highest; None if the route's applies.
        rate_per_s: Requests allowed per second on all hosts together; 0 if
            unlimited.
        burst: Requests allowed in addition to the rate.
        regions: Regions that its requests must stay in; empty if any.
    """

    name: str
    key_digests: tuple[bytes, ...]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    regions: tuple[str, ...] = ()


class Route(NamedTuple):
    """A route from callers' requests to its services.

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
        is_public: Whether its requests need no key.
        regions: Regions that its requests must stay in; empty if any.
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
    is_public: bool = False
    regions: tuple[str, ...] = ()

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
        warm_up_per_s: Requests per second that each of its upstreams accepts
            from all hosts together while it warms up; 0 if unlimited.
    """

    name: str
    connections: int
    warm_up_per_s: float = 0.0


class RouteConfiguration(NamedTuple):
    """A complete configuration of routes and services.

    Attributes:
        version: Version, which increases with each configuration.
        routes: All routes.
        services: All services.
        limits: Limits on callers' requests.
        workspaces: All workspaces; None if requests need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceConfiguration, ...]
    limits: server.Limits
    workspaces: tuple[Workspace, ...] | None = None


class RouteTable:
    """Looks up the route of a request."""

    def __init__(self, configuration: RouteConfiguration) -> None:
        self.configuration = configuration
        self.version = configuration.version
        self.connections = {
            service.name: service.connections
            for service in configuration.services
        }
        self.warm_up_per_s = {
            service.name: service.warm_up_per_s
            for service in configuration.services
            if service.warm_up_per_s > 0.0
        }
        self.workspaces = {
            workspace.name: workspace
            for workspace in configuration.workspaces or ()
        }
        self._by_key = {
            digest: workspace
            for workspace in configuration.workspaces or ()
            for digest in workspace.key_digests
        }
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route

    @property
    def uses_keys(self) -> bool:
        """Whether requests on routes that are not public need a key."""
        return self.configuration.workspaces is not None

    def workspace_of(self, digest: bytes) -> Workspace | None:
        """Returns the workspace that holds a key, or None."""
        return self._by_key.get(digest)

    def routes_of(self, host: str) -> list[Route]:
        """Returns the routes of a host name."""
        return [*self._by_host.get(host, {}).values()]

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
