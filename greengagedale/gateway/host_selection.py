"""Selects the entry hosts that a caller should connect to."""

from collections.abc import Collection, Iterable

import xxhash

from greengagedale.gateway import fleet as fleet_lib
from greengagedale.gateway import regions as regions_lib

# Callers get the hosts of their own data centre, and others only to reach this
# number, which suffices if some hosts are lost within the answer's time to
# live.
MIN_ADDRESSES = 4
# Callers use at most this many addresses of one answer (given by the platform).
MAX_ADDRESSES = 64
# Weak hosts are spared only if the others hold at least this fraction of the
# computing power of all, so that the loss of many does not overload the rest.
MIN_POWER_SHARE = 0.2


def spare_weak_hosts(
    hosts: list[fleet_lib.HostState], min_relative_power: float
) -> list[fleet_lib.HostState]:
    """Returns the hosts that callers should use, by computing power.

    A request takes as much longer on a weak host as its processor is slower,
    and a host that serves few requests has few warm connections.

    Args:
        hosts: Hosts that can serve.
        min_relative_power: Hosts with a smaller fraction of the power of the
            most powerful one are spared; 0 spares none.
    """
    addresses = [state.address for state in hosts]
    if not has_weak_hosts(addresses, min_relative_power):
        return hosts
    powers = [address.power_millicores for address in addresses]
    min_power = min_relative_power * max(powers)
    strong = [
        state for state in hosts if state.address.power_millicores >= min_power
    ]
    strong_power = sum(state.address.power_millicores for state in strong)
    return strong if strong_power >= MIN_POWER_SHARE * sum(powers) else hosts


def has_weak_hosts(
    hosts: Collection[fleet_lib.HostAddress], min_relative_power: float
) -> bool:
    """Returns whether some hosts are weak, and the power of all is known."""
    powers = [address.power_millicores for address in hosts]
    return bool(powers) and 0 < min(powers) < min_relative_power * max(powers)


def power_share_of(
    own: fleet_lib.HostAddress,
    others: Collection[fleet_lib.HostAddress],
    min_relative_power: float,
) -> float | None:
    """Returns a host's share of the computing power of all.

    It is None if no host is weak; then bounds are divided equally.
    """
    hosts = [own, *others]
    if not has_weak_hosts(hosts, min_relative_power):
        return None
    total = sum(address.power_millicores for address in hosts)
    return own.power_millicores / total


def select_hosts(
    hosts: Iterable[fleet_lib.HostState],
    data_centre: str | None,
    asked_host: str,
    region_map: regions_lib.RegionMap,
    home: regions_lib.AllowedRegions = None,
    min_relative_power: float = 0.0,
) -> list[fleet_lib.HostState]:
    """Selects hosts for a caller, best first.

    Callers close connections to hosts that a new answer omits, so the selection
    is deterministic and stable while the hosts can serve. The order depends on
    the host that answers, so that in a large fleet every host is selected by
    some other host.

    Args:
        hosts: Hosts that can serve.
        data_centre: Data centre of the caller, or None if unknown.
        asked_host: Name of the host that answers the caller.
        region_map: The regions of the data centres.
        home: Regions whose hosts alone are selected if there are any; None if
            the caller's requests may go to any region.
        min_relative_power: See `spare_weak_hosts`.
    """
    region = region_map.region_of(data_centre)
    if home is not None:
        hosts = [*hosts]
        hosts = region_map.hosts_within(hosts, home) or hosts
    hosts = spare_weak_hosts([*hosts], min_relative_power)

    def rank(state: fleet_lib.HostState) -> tuple[bool, bool, int]:
        is_far = state.address.data_centre != data_centre
        is_other_region = (
            home is not None
            and region_map.region_of(state.address.data_centre) != region
        )
        name = f"{asked_host} {state.name}".encode()
        return is_far, is_other_region, xxhash.xxh32_intdigest(name)

    ranked = sorted(hosts, key=rank)
    near = sum(
        state.address.data_centre == data_centre for state in ranked
    ) or len(ranked)
    return ranked[: min(MAX_ADDRESSES, max(MIN_ADDRESSES, near))]
