"""Selects the entry hosts that a caller should connect to."""

from collections.abc import Iterable

import xxhash

from greengagedale.gateway import fleet as fleet_lib
from greengagedale.gateway import regions as regions_lib

# Callers get the hosts of their own data centre, and others only to reach this
# number, which suffices if some hosts are lost within the answer's time to
# live.
MIN_ADDRESSES = 4
# Callers use at most this many addresses of one answer (given by the platform).
MAX_ADDRESSES = 64


def select_hosts(
    hosts: Iterable[fleet_lib.HostState],
    data_centre: str | None,
    asked_host: str,
    region_map: regions_lib.RegionMap,
    home: regions_lib.AllowedRegions = None,
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
    """
    region = region_map.region_of(data_centre)
    if home is not None:
        hosts = [*hosts]
        hosts = region_map.hosts_within(hosts, home) or hosts

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
