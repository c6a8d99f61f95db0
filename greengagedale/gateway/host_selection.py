"""Selects the entry hosts that a caller should connect to."""

from collections.abc import Iterable

import xxhash

from greengagedale.gateway import fleet as fleet_lib

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
    """

    def rank(state: fleet_lib.HostState) -> tuple[bool, int]:
        is_far = state.address.data_centre != data_centre
        name = f"{asked_host} {state.name}".encode()
        return is_far, xxhash.xxh32_intdigest(name)

    ranked = sorted(hosts, key=rank)
    near = sum(
        state.address.data_centre == data_centre for state in ranked
    ) or len(ranked)
    return ranked[: min(MAX_ADDRESSES, max(MIN_ADDRESSES, near))]
