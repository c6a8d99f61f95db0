"""Checks a configuration of routes before it is sent, and compares two.

Nothing here stops a host from using a configuration: hosts apply what the
store holds. The check is for operators, who see their errors sooner.
"""

import collections
from collections.abc import Hashable, Iterable, Iterator, Mapping
import enum
import itertools
from typing import Any, NamedTuple

from greengagedale.gateway import route_config

_MS_PER_S = 1000.0
# Fields of a configuration that are compared entry by entry.
_ENTRY_KINDS = ("routes", "services", "workspaces")
# Length of a digest in findings, enough to tell the keys of one configuration.
_SHOWN_DIGEST_CHARS = 8


class Severity(enum.StrEnum):
    """How serious a finding is.

    An error makes entries unusable or contradictory; a warning is about an
    entry that works but hardly as intended.
    """

    ERROR = "error"
    WARNING = "warning"


class Finding(NamedTuple):
    """Something to mend in a configuration.

    Attributes:
        severity: How serious it is.
        path: Path of the value, such as `routes[2].timeout_ms`.
        message: What was expected, what was found and what follows.
    """

    severity: Severity
    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.severity}: {self.path}: {self.message}"


class Difference(NamedTuple):
    """A difference between two configurations.

    Attributes:
        path: The entry or value, such as `routes[search].timeout_ms`.
        old: Value in the old configuration; None if the entry is new.
        new: Value in the new configuration; None if the entry is gone.
    """

    path: str
    old: str | None
    new: str | None

    def __str__(self) -> str:
        if self.old is None:
            return f"{self.path}: added ({self.new})"
        if self.new is None:
            return f"{self.path}: removed (was {self.old})"
        return f"{self.path}: {self.old} -> {self.new}"


def check(
    configuration: route_config.RouteConfiguration,
    replica_counts: Mapping[str, int] | None = None,
) -> list[Finding]:
    """Returns all findings, errors first.

    Args:
        configuration: The configuration to check.
        replica_counts: Number of upstreams of each service, if known.
    """
    checks = (
        _duplicate_names,
        _unreachable_routes,
        _route_targets,
        _route_limits,
        _fanout_limits,
        _service_limits,
        _unused_services,
        _keys,
        _quotas,
    )
    findings = itertools.chain(
        itertools.chain.from_iterable(each(configuration) for each in checks),
        []
        if replica_counts is None
        else _attempt_limits(configuration, replica_counts),
    )
    return sorted(findings, key=lambda item: item.severity)


def differences(
    old: route_config.RouteConfiguration, new: route_config.RouteConfiguration
) -> list[Difference]:
    """Returns what differs, entry by entry, in the order of the new one."""
    found = [
        Difference(name, str(getattr(old, name)), str(getattr(new, name)))
        for name in ("version", "limits")
        if getattr(old, name) != getattr(new, name)
    ]
    if (old.workspaces is None) != (new.workspaces is None):
        before, after = (
            "not needed" if each.workspaces is None else "needed"
            for each in (old, new)
        )
        found.append(Difference("keys", before, after))
    for kind in _ENTRY_KINDS:
        found += _entry_differences(
            kind, getattr(old, kind) or (), getattr(new, kind) or ()
        )
    return found


def _entry_differences(
    kind: str, old: Iterable[Any], new: Iterable[Any]
) -> Iterator[Difference]:
    old_by_name = {entry.name: entry for entry in old}
    new_by_name = {entry.name: entry for entry in new}
    for name in [*new_by_name, *(old_by_name.keys() - new_by_name.keys())]:
        path = f"{kind}[{name}]"
        before, after = old_by_name.get(name), new_by_name.get(name)
        if before is None:
            yield Difference(path, None, _describe(after))
        elif after is None:
            yield Difference(path, _describe(before), None)
        else:
            yield from _field_differences(path, before, after)


def _field_differences(path: str, old: Any, new: Any) -> Iterator[Difference]:
    for field in old._fields:
        before, after = getattr(old, field), getattr(new, field)
        if before == after:
            continue
        if field == "key_digests":
            yield from _key_differences(f"{path}.keys", before, after)
        else:
            yield Difference(f"{path}.{field}", _show(before), _show(after))


def _key_differences(
    path: str, old: tuple[bytes, ...], new: tuple[bytes, ...]
) -> Iterator[Difference]:
    for digest in new:
        if digest not in old:
            yield Difference(path, None, _show_key(digest))
    for digest in old:
        if digest not in new:
            yield Difference(path, _show_key(digest), None)


def _describe(entry: Any) -> str:
    """Returns an entry in brief, without its name and its keys."""
    if isinstance(entry, route_config.Route):
        services = ", ".join(entry.services)
        return f"{entry.host}{entry.path_prefix} to {services or 'nothing'}"
    if isinstance(entry, route_config.Workspace):
        return f"{len(entry.key_digests)} keys, {entry.rate_per_s:g} a second"
    return f"{entry.connections} connections"


def _show(value: Any) -> str:
    if isinstance(value, route_config.Fanout):
        return (
            f"{len(value.shards)} shards ({', '.join(value.shards)}), "
            f"coverage {value.min_coverage:g}, {value.max_records} records"
        )
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, tuple):
        return ", ".join(map(_show, value)) or "none"
    return "none" if value is None else str(value)


def _show_key(digest: bytes) -> str:
    return f"key with digest {digest.hex()[:_SHOWN_DIGEST_CHARS]}"


def _error(path: str, message: str) -> Finding:
    return Finding(Severity.ERROR, path, message)


def _warning(path: str, message: str) -> Finding:
    return Finding(Severity.WARNING, path, message)


def _duplicate_names(
    configuration: route_config.RouteConfiguration,
) -> Iterator[Finding]:
    for kind in _ENTRY_KINDS:
        names = [entry.name for entry in getattr(configuration, kind) or ()]
        for name, indexes in _repeated(enumerate(names)):
            yield _error(
                f"{kind}[{indexes[-1]}].name",
                f"expected a name of its own, got {name!r}, which "
                f"{kind}[{indexes[0]}] has; one of them is not used",
            )


def _unreachable_routes(
    configuration: route_config.RouteConfiguration,
) -> Iterator[Finding]:
    routes = configuration.routes
    prefixes = ((route.host, route.path_prefix) for route in routes)
    for (host, prefix), indexes in _repeated(enumerate(prefixes)):
        for index in indexes[:-1]:
            yield _error(
                f"routes[{index}].path_prefix",
                f"never matches: routes[{indexes[-1]}] "
                f"({routes[indexes[-1]].name}) has the same host {host!r} and "
                f"prefix {prefix!r} and takes precedence",
            )
    for index, route in enumerate(routes):
        prefix = route.path_prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            yield _error(
                f"routes[{index}].path_prefix",
                f"expected a path that starts and ends with '/', got "
                f"{prefix!r}; it never matches",
            )
        if not route.host:
            yield _error(
                f"routes[{index}].host", "expected a host name; never matches"
            )


def _route_targets(
    configuration: route_config.RouteConfiguration,
) -> Iterator[Finding]:
    known = {service.name for service in configuration.services}
    for index, route in enumerate(configuration.routes):
        path = f"routes[{index}]"
        if not route.services:
            yield _error(
                path,
                f"{route.name} names no service, split or fan-out; its "
                "requests can't be served",
            )
        if route.targets and route.fanout is not None:
            yield _error(
                path,
                f"{route.name} has services and a fan-out; only the fan-out "
                "is used",
            )
        for service in dict.fromkeys(route.services):
            if service not in known:
                yield _error(
                    path,
                    f"{route.name} sends to {service!r}, which is not among "
                    "the services",
                )
        for service, _ in _repeated(enumerate(route.services)):
            yield _error(path, f"{route.name} names {service!r} twice")
        weights = [target.weight for target in route.targets]
        if any(weight < 0.0 for weight in weights):
            yield _error(path, f"expected weights of 0 or more, got {weights}")
        elif len(weights) > 1 and not any(weights):
            yield _error(
                path,
                "all weights are 0; requests are spread evenly, which is "
                "hardly intended",
            )
        elif len(weights) > 1 and not all(weights):
            yield _warning(path, "a service with weight 0 gets no requests")


def _route_limits(
    configuration: route_config.RouteConfiguration,
) -> Iterator[Finding]:
    for index, route in enumerate(configuration.routes):
        path = f"routes[{index}]"
        if route.timeout_ms <= 0.0:
            yield _error(
                f"{path}.timeout_ms",
                f"expected more than 0 ms, got {route.timeout_ms:g}; every "
                "request is refused",
            )
        elif route.timeout_ms < route.target_latency_ms:
            yield _warning(
                f"{path}.timeout_ms",
                f"{route.timeout_ms:g} ms end a request before its target "
                f"latency of {route.target_latency_ms:g} ms is reached",
            )
        if route.target_latency_ms <= 0.0:
            yield _error(
                f"{path}.target_latency_ms",
                f"expected more than 0 ms, got {route.target_latency_ms:g}; no "
                "answer is in time",
            )
        if route.is_public and configuration.workspaces is None:
            yield _warning(
                f"{path}.is_public",
                "has no effect, as no request needs a key",
            )


def _attempt_limits(
    configuration: route_config.RouteConfiguration,
    replica_counts: Mapping[str, int],
) -> Iterator[Finding]:
    for index, route in enumerate(configuration.routes):
        counts = [replica_counts.get(name, 0) for name in route.services]
        if counts and not all(counts):
            names = [
                name for name in route.services if name not in replica_counts
            ]
            yield _warning(
                f"routes[{index}]",
                f"{route.name} sends to services without an upstream: "
                f"{', '.join(names)}",
            )
        elif counts and route.max_attempts > min(counts):
            yield _warning(
                f"routes[{index}].max_attempts",
                f"{route.max_attempts} attempts, but a service of {route.name} "
                f"has {min(counts)} upstreams; the rest is never used",
            )


def _fanout_limits(
    configuration: route_config.RouteConfiguration,
) -> Iterator[Finding]:
    for index, route in enumerate(configuration.routes):
        fanout = route.fanout
        if fanout is None:
            continue
        path = f"routes[{index}].fanout"
        if not 0.0 <= fanout.min_coverage <= 1.0:
            yield _error(
                f"{path}.min_coverage",
                f"expected 0 to 1, got {fanout.min_coverage:g}",
            )
        elif fanout.min_parts == len(fanout.shards):
            yield _warning(
                f"{path}.min_coverage",
                f"{fanout.min_coverage:g} of {len(fanout.shards)} shards needs "
                "all of them: no answer survives the loss of one shard",
            )
        if fanout.max_records < 1:
            yield _error(
                f"{path}.max_records",
                f"expected 1 or more, got {fanout.max_records}; every answer "
                "is empty",
            )
        if not route.is_idempotent:
            yield _error(
                f"routes[{index}].is_idempotent",
                "a fan-out must be safe to repeat",
            )


def _service_limits(
    configuration: route_config.RouteConfiguration,
) -> Iterator[Finding]:
    for index, service in enumerate(configuration.services):
        if service.connections < 1:
            yield _error(
                f"services[{index}].connections",
                f"expected 1 or more, got {service.connections}; its upstreams "
                "accept none",
            )


def _unused_services(
    configuration: route_config.RouteConfiguration,
) -> Iterator[Finding]:
    used = set(
        itertools.chain.from_iterable(
            route.services for route in configuration.routes
        )
    )
    for index, service in enumerate(configuration.services):
        if service.name not in used:
            yield _warning(
                f"services[{index}]", f"no route sends to {service.name!r}"
            )


def _keys(
    configuration: route_config.RouteConfiguration,
) -> Iterator[Finding]:
    workspaces = configuration.workspaces or ()
    holders = (
        (index, digest)
        for index, workspace in enumerate(workspaces)
        for digest in workspace.key_digests
    )
    for digest, indexes in _repeated(holders):
        names = ", ".join(workspaces[index].name for index in indexes)
        yield _error(
            f"workspaces[{indexes[0]}].keys",
            f"{_show_key(digest)} is held more than once ({names}); a key "
            "must tell one workspace",
        )
    for index, workspace in enumerate(workspaces):
        if not workspace.key_digests:
            yield _warning(
                f"workspaces[{index}].keys",
                f"{workspace.name} has no key, so none of its callers is "
                "accepted",
            )


def _quotas(
    configuration: route_config.RouteConfiguration,
) -> Iterator[Finding]:
    for index, workspace in enumerate(configuration.workspaces or ()):
        path = f"workspaces[{index}]"
        for field in ("rate_per_s", "burst"):
            value = getattr(workspace, field)
            if value < 0.0:
                yield _error(
                    f"{path}.{field}", f"expected 0 or more, got {value:g}"
                )
        if workspace.rate_per_s <= 0.0 and workspace.burst > 0.0:
            yield _warning(
                f"{path}.burst",
                f"{workspace.burst:g} has no effect: without a rate "
                f"{workspace.name} is not limited",
            )
        elif workspace.rate_per_s > 0.0 and workspace.burst < 1.0:
            interval_ms = _MS_PER_S / workspace.rate_per_s
            yield _warning(
                f"{path}.burst",
                f"{workspace.burst:g} allows no two requests closer than "
                f"{interval_ms:.0f} ms, less than one caller that retries",
            )


def _repeated(
    items: Iterable[tuple[int, Hashable]],
) -> Iterator[tuple[Any, list[int]]]:
    """Yields each value that occurs more than once, with its indexes."""
    indexes: Mapping[Hashable, list[int]] = collections.defaultdict(list)
    for index, value in items:
        indexes[value].append(index)
    yield from (item for item in indexes.items() if len(item[1]) > 1)
