"""Documents in the platform's store: routes, upstreams and the host list."""

import logging
from typing import Any

import msgspec

from greengagedale import exceptions
from greengagedale import untrusted_json
from greengagedale.gateway import roster
from greengagedale.gateway import route_config
from greengagedale.gateway import store_revision
from greengagedale.gateway import upstream_entries
from greengagedale.http1 import server

log = logging.getLogger(__name__)

_STATE_READY = "ready"
_STATE_DRAINING = "draining"
_TYPE_IDEMPOTENT = "idempotent"
_document_decoder: untrusted_json.Decoder[Any] = untrusted_json.Decoder()


class _Route(msgspec.Struct):
    name: str
    host: str
    # Matches paths with this prefix; the longest matching prefix wins.
    pathPrefix: str  # noqa: N815
    # Determines only whether requests may run more than once.
    type: str
    timeoutMs: float  # noqa: N815
    # Latency within which an answer has its full value; not a deadline.
    targetLatencyMs: float  # noqa: N815
    # 0 is the highest priority.
    priority: int = 0
    # Maximum number of upstreams that may run one request; in a fan-out, for
    # each shard.
    maxAttempts: int = 1  # noqa: N815
    service: str | None = None
    split: list["_TrafficShare"] | None = None
    # Shards of a fan-out; each is the name of a service.
    gather: list[str] | None = None
    # Number of records in the answer, not of shards.
    topK: int = 0  # noqa: N815
    # Required share of the shards, from 0 to 1.
    minCoverage: float = 0.0  # noqa: N815
    # Whether requests need no key; unrelated to the network.
    public: bool = False
    # Regions that the requests and their bodies must stay in.
    allowedRegions: list[str] = []  # noqa: N815


class _Tenant(msgspec.Struct):
    name: str
    apiKeys: list[str] = []  # noqa: N815
    priority: int | None = None
    # Limits over all hosts; 0 means no limit.
    ratePerS: float = 0.0  # noqa: N815
    burst: float = 0.0
    allowedRegions: list[str] = []  # noqa: N815


class _TrafficShare(msgspec.Struct):
    service: str
    weight: float


class _Service(msgspec.Struct):
    name: str
    # Limit for each upstream, summed over all hosts.
    maxConnections: int  # noqa: N815
    # Limit for each cold upstream, summed over all hosts; 0 means no limit.
    warmupPerS: float = 0.0  # noqa: N815


class _Limits(msgspec.Struct):
    maxHeaderBytes: int  # noqa: N815
    maxBodyBytes: int  # noqa: N815
    # Time from the first byte of a request to the end of its headers.
    headerTimeoutMs: float  # noqa: N815
    # Time between two requests on a connection.
    idleTimeoutMs: float  # noqa: N815


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits | None = None
    # Absent where requests need no keys.
    tenants: list[_Tenant] | None = None


class _UpstreamEntry(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    sequence: int
    # Start time of this incarnation; a restart may keep the entry's name.
    born: int = 0
    # Remaining warm-up time, not the uptime.
    warmupLeftMs: float = 0.0  # noqa: N815


class _HostListMetadata(msgspec.Struct):
    revision: int


class _HostListSpec(msgspec.Struct):
    hosts: list[str]
    joining: list[str] = []
    # Epoch of the store in which the list was written.
    epoch: int = 0


class StoredHostList(msgspec.Struct):
    """The host list object as returned by the store."""

    meta: _HostListMetadata
    spec: _HostListSpec

    @property
    def host_list(self) -> roster.HostList:
        """The host list in this object."""
        return roster.HostList(
            store_revision.Revision(self.spec.epoch, self.meta.revision),
            tuple(self.spec.hosts),
            tuple(self.spec.joining),
        )


def encode_host_list(
    name: str, host_list: roster.HostList, epoch: int = 0
) -> bytes:
    """Encodes the host list object.

    Args:
        name: Name of the object.
        host_list: The new list, with the revision of the list to replace.
        epoch: Epoch of the store, which tells a list that was written since the
            store last went back from one of its older copy.
    """
    meta: dict[str, Any] = {"name": name}
    if host_list.revision:
        # The store rejects the update if the object has another revision.
        meta["revision"] = host_list.revision.revision
    spec: dict[str, Any] = {
        "hosts": host_list.hosts,
        "joining": host_list.joining,
    }
    if epoch:
        spec["epoch"] = epoch
    return msgspec.json.encode({"meta": meta, "spec": spec})


def read_routes(
    data: untrusted_json.Value,
) -> route_config.RouteConfiguration | None:
    """Decodes an encoded configuration; see `decode_routes`."""
    try:
        document = _document_decoder.decode(data)
    except msgspec.DecodeError as error:
        _log_ignored_routes(str(error))
        return None
    return decode_routes(document)


def decode_routes(document: Any) -> route_config.RouteConfiguration | None:
    """Decodes a configuration; logs the error and returns None if invalid."""
    try:
        return parse_routes(document)
    except exceptions.InvalidInputError as error:
        _log_ignored_routes(str(error))
        return None


def parse_routes(
    document: Any, subject: str = "configuration"
) -> route_config.RouteConfiguration:
    """Decodes a configuration.

    Raises:
        InvalidInputError: It has a missing field or one of another type; the
            first such field is named.
    """
    try:
        decoded = msgspec.convert(document, _Configuration)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at ")
        raise exceptions.InvalidInputError(
            subject, [exceptions.FieldError(path.strip("`") or "$", message)]
        ) from error
    limits = decoded.limits
    return route_config.RouteConfiguration(
        decoded.version,
        tuple(_convert_route(route) for route in decoded.routes),
        tuple(
            route_config.ServiceConfiguration(
                service.name, service.maxConnections, service.warmupPerS
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
        None
        if decoded.tenants is None
        else tuple(_convert_tenant(tenant) for tenant in decoded.tenants),
    )


def read_upstream(
    name: str, data: untrusted_json.Value
) -> upstream_entries.Upstream | None:
    """Decodes an upstream's encoded entry; see `decode_upstream`."""
    try:
        document = _document_decoder.decode(data)
    except msgspec.DecodeError as error:
        _log_ignored(name, str(error))
        return None
    return decode_upstream(name, document)


def decode_upstream(
    name: str, document: Any
) -> upstream_entries.Upstream | None:
    """Decodes an upstream's entry; logs the error, returns None if invalid."""
    try:
        upstream = _convert_upstream(
            name, msgspec.convert(document, _UpstreamEntry)
        )
    except ValueError as error:
        _log_ignored(name, str(error))
        return None
    problem = upstream.problem()
    if problem is not None:
        _log_ignored(name, problem)
        return None
    return upstream


def _convert_upstream(
    name: str, decoded: _UpstreamEntry
) -> upstream_entries.Upstream:
    address, port = _parse_endpoint(decoded.address)
    if decoded.state not in (_STATE_READY, _STATE_DRAINING):
        raise ValueError(f"unknown state {decoded.state!r}")
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


def _log_ignored_routes(reason: str) -> None:
    log.error(
        "configuration could not be decoded; ignoring it",
        extra={"reason": reason},
    )


def _log_ignored(name: str, reason: str) -> None:
    log.warning(
        "upstream entry is invalid; ignoring it",
        extra={"upstream": name, "reason": reason},
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
        # Unknown types are treated as non-idempotent, the safe assumption.
        route.type == _TYPE_IDEMPOTENT,
        route.timeoutMs,
        route.targetLatencyMs,
        route.priority,
        max(1, route.maxAttempts),
        tuple(
            route_config.Target(share.service, share.weight) for share in shares
        ),
        fanout or None,
        route.public,
        tuple(route.allowedRegions),
    )


def _convert_tenant(tenant: _Tenant) -> route_config.Workspace:
    return route_config.Workspace(
        tenant.name,
        tuple(
            route_config.key_digest(key.encode("latin-1", "replace"))
            for key in tenant.apiKeys
        ),
        tenant.priority,
        tenant.ratePerS,
        tenant.burst,
        tuple(tenant.allowedRegions),
    )


def _parse_endpoint(text: str) -> tuple[str, int]:
    address, _, port = text.rpartition(":")
    if not address or not port.isdigit():
        raise ValueError(f"expected ADDRESS:PORT, got {text!r}")
    return address, int(port)
