"""Which hosts a caller is sent to."""

from collections.abc import Iterable

import xxhash

from greengagedale.gateway import fleet as fleet_lib

# Callers get the hosts of their own data centre, and others only to make up
# this number: enough to go on when some of them are lost within the answer's
# time to live.
MIN_ADDRESSES = 4
# Most addresses that callers take from one answer (platform's figure).
MAX_ADDRESSES = 64


def select_hosts(
    hosts: Iterable[fleet_lib.HostState],
    data_centre: str | None,
    asked_host: str,
) -> list[fleet_lib.HostState]:
    """Chooses hosts for a caller.

    Callers drop connections to hosts that a new answer leaves out, so the same
    hosts are chosen each time for as long as they can serve. In large fleets
    each asked host names others, so that all of them are named by some.

    Args:
        hosts: Those that can serve.
        data_centre: Where the caller is, if it said so.
        asked_host: Name of the host that was asked.
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
