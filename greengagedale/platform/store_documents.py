"""What lies in the platform's store: configurations and upstreams."""

import logging
from typing import Any

import msgspec

from greengagedale.gateway import roster
from greengagedale.gateway import route_config
from greengagedale.gateway import upstream_entries
from greengagedale.http1 import server

log = logging.getLogger(__name__)

_STATE_READY = "ready"
_STATE_DRAINING = "draining"
_TYPE_IDEMPOTENT = "idempotent"


class _Route(msgspec.Struct):
    name: str
    host: str
    # The request's path begins with it; the longest match wins.
    pathPrefix: str  # noqa: N815
    # Says only whether requests may run more than once.
    type: str
    timeoutMs: float  # noqa: N815
    # Not a deadline: an answer within it is worth most.
    targetLatencyMs: float  # noqa: N815
    # 0 is the highest.
    priority: int = 0
    # Upstreams that may run one request, for each shard of a fan-out.
    maxAttempts: int = 1  # noqa: N815
    service: str | None = None
    split: list["_TrafficShare"] | None = None
    # The shards of a fan-out; each is a service.
    gather: list[str] | None = None
    # Records wanted, not shards.
    topK: int = 0  # noqa: N815
    # A share of the shards, 0 to 1.
    minCoverage: float = 0.0  # noqa: N815


class _TrafficShare(msgspec.Struct):
    service: str
    weight: float


class _Service(msgspec.Struct):
    name: str
    # Of each upstream, from all hosts together.
    maxConnections: int  # noqa: N815


class _Limits(msgspec.Struct):
    maxHeaderBytes: int  # noqa: N815
    maxBodyBytes: int  # noqa: N815
    # From the first byte of a request to the end of its headers.
    headerTimeoutMs: float  # noqa: N815
    # Between two requests on a connection.
    idleTimeoutMs: float  # noqa: N815


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits | None = None


class _UpstreamEntry(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    sequence: int
    # Start of this life; a restart may keep the entry's name.
    born: int = 0
    # How much longer it is slow, not how long it has been up.
    warmupLeftMs: float = 0.0  # noqa: N815


class _HostListMetadata(msgspec.Struct):
    revision: int


class _HostListSpec(msgspec.Struct):
    hosts: list[str]
    joining: list[str] = []


class StoredHostList(msgspec.Struct):
    """The object that lists the hosts, as the store returns it."""

    meta: _HostListMetadata
    spec: _HostListSpec

    @property
    def host_list(self) -> roster.HostList:
        """The list that it holds."""
        return roster.HostList(
            self.meta.revision, tuple(self.spec.hosts), tuple(self.spec.joining)
        )


def encode_host_list(name: str, host_list: roster.HostList) -> bytes:
    """Encodes the object that lists the hosts.

    Args:
        name: Its name.
        host_list: The hosts, with the revision of the list to replace.
    """
    meta: dict[str, Any] = {"name": name}
    if host_list.revision:
        # The store refuses to replace an object of another revision.
        meta["revision"] = host_list.revision
    spec = {"hosts": host_list.hosts, "joining": host_list.joining}
    return msgspec.json.encode({"meta": meta, "spec": spec})


def decode_routes(document: Any) -> route_config.RouteConfiguration | None:
    """Decodes a configuration; None, with a log line, if it can't be read."""
    try:
        decoded = msgspec.convert(document, _Configuration)
    except msgspec.ValidationError as error:
        log.error("unreadable configuration", extra={"reason": str(error)})
        return None
    limits = decoded.limits
    return route_config.RouteConfiguration(
        decoded.version,
        tuple(_convert_route(route) for route in decoded.routes),
        tuple(
            route_config.ServiceConfiguration(
                service.name, service.maxConnections
            )
            for service in decoded.services
        ),
        server.Limits()
        if limits is None
        else server.Limits(
            limits.maxHeaderBytes,
            limits.maxBodyBytes,
            limits.headerTimeoutMs,
            limits.idleTimeoutMs,
        ),
    )


def decode_upstream(
    name: str, document: Any
) -> upstream_entries.Upstream | None:
    """Decodes an upstream's entry; None, with a log line, if it is no good."""
    try:
        decoded = msgspec.convert(document, _UpstreamEntry)
        address, port = _parse_endpoint(decoded.address)
        if decoded.state not in (_STATE_READY, _STATE_DRAINING):
            raise ValueError(f"unknown state {decoded.state!r}")
        if decoded.slots < 1 or not decoded.service:
            raise ValueError("no slots or no service")
    except ValueError as error:
        log.warning(
            "unusable upstream entry",
            extra={"upstream": name, "reason": str(error)},
        )
        return None
    return upstream_entries.Upstream(
        name,
        decoded.service,
        address,
        port,
        decoded.zone,
        decoded.slots,
        decoded.state == _STATE_DRAINING,
        decoded.born,
        decoded.sequence,
        decoded.warmupLeftMs,
    )


def _convert_route(route: _Route) -> route_config.Route:
    shares = route.split or []
    if route.service is not None:
        shares = [_TrafficShare(route.service, 1.0)]
    fanout = route.gather and route_config.Fanout(
        tuple(route.gather), route.topK, route.minCoverage
    )
    return route_config.Route(
        route.name,
        route.host.lower(),
        route.pathPrefix,
        # Unknown types are taken for the one that promises less.
        route.type == _TYPE_IDEMPOTENT,
        route.timeoutMs,
        route.targetLatencyMs,
        route.priority,
        max(1, route.maxAttempts),
        tuple(
            route_config.Target(share.service, share.weight) for share in shares
        ),
        fanout or None,
    )


def _parse_endpoint(text: str) -> tuple[str, int]:
    address, _, port = text.rpartition(":")
    if not address or not port.isdigit() or not 0 < int(port) < 1 << 16:
        raise ValueError(f"not an address with a port: {text!r}")
    return address, int(port)
