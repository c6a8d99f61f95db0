"""Regions that requests must stay in.

A route and a workspace may each state regions; where both do, both bind. A
request that is bound gets no upstream elsewhere. Its body is never passed to
another host, so only the host that its caller connected to sees it.
"""

from collections.abc import Iterable, Mapping
import itertools

from greengagedale.gateway import fleet as fleet_lib
from greengagedale.gateway import route_config
from greengagedale.gateway import upstream_entries

# Names of the regions that are allowed; None if all are.
AllowedRegions = frozenset[str] | None


class RegionMap:
    """The regions of the data centres.

    A data centre that is not in the map is in no region that a request may be
    bound to.
    """

    def __init__(self, by_data_centre: Mapping[str, str]) -> None:
        self._by_data_centre = dict(by_data_centre)

    def region_of(self, data_centre: str | None) -> str | None:
        """Returns the region of a data centre, or None if unknown."""
        if data_centre is None:
            return None
        return self._by_data_centre.get(data_centre)

    def upstreams_within(
        self,
        upstreams: Iterable[upstream_entries.Upstream],
        allowed: frozenset[str],
    ) -> list[upstream_entries.Upstream]:
        """Returns the upstreams in allowed regions."""
        return [
            each
            for each in upstreams
            if self.region_of(each.data_centre) in allowed
        ]

    def hosts_within(
        self, hosts: Iterable[fleet_lib.HostState], allowed: frozenset[str]
    ) -> list[fleet_lib.HostState]:
        """Returns the hosts in allowed regions."""
        return [
            each
            for each in hosts
            if self.region_of(each.address.data_centre) in allowed
        ]


def allowed_regions(
    route: route_config.Route, workspace: route_config.Workspace | None
) -> AllowedRegions:
    """Returns the regions that a request must stay in."""
    stated = [route.regions, () if workspace is None else workspace.regions]
    bounds = [frozenset(regions) for regions in stated if regions]
    return frozenset.intersection(*bounds) if bounds else None


def home_regions(
    table: route_config.RouteTable | None, host: str
) -> AllowedRegions:
    """Returns the regions whose hosts callers of a host name should use.

    Callers connect before their route is known: if its routes share a region,
    only shared ones are returned, else all that any route states.
    """
    if table is None:
        return None
    stated = [
        frozenset(route.regions)
        for route in table.routes_of(host)
        if route.regions
    ]
    if not stated:
        return None
    return frozenset.intersection(*stated) or frozenset(
        itertools.chain.from_iterable(stated)
    )
