"""Decides to which hosts a host that is cut off passes its callers' requests.

Callers keep addresses and connections for seconds, so a host that can reach no
upstream still gets requests. It passes each whole request to a host that can:
one more hop, in place of one for each attempt. Everything that bounds requests
counts there, and only there. A request is passed on once: a host that is itself
cut off sends it back as not run.

The load answered: a data centre most of whose hosts are cut off. Near hosts are
asked only if they are at least as many as those that need them; else all hosts
are, so that none gets the callers of several others.
"""

import random

from greengagedale.gateway import fleet as fleet_lib
from greengagedale.gateway import host_selection
from greengagedale.gateway import reachability as reachability_lib
from greengagedale.gateway import regions as regions_lib

# Hosts asked for one request, if some can't be reached or send it back.
MAX_PEERS = 3


class RelayPolicy:
    """Chooses the hosts that requests are passed on to."""

    def __init__(
        self,
        own_data_centre: str,
        reachability: reachability_lib.Reachability,
        fleet: fleet_lib.Fleet,
        region_map: regions_lib.RegionMap,
        min_relative_power: float,
        rng: random.Random,
    ) -> None:
        """Initializes the policy.

        Args:
            own_data_centre: Data centre of this host.
            reachability: Whether this host can reach upstreams.
            fleet: The other hosts.
            region_map: The regions of the data centres.
            min_relative_power: See `host_selection.spare_weak_hosts`.
            rng: Random generator for the choice.
        """
        self._own_data_centre = own_data_centre
        self._reachability = reachability
        self._fleet = fleet
        self._region_map = region_map
        self._min_relative_power = min_relative_power
        self._rng = rng

    @property
    def can_take_requests(self) -> bool:
        """Whether this host can run requests of other hosts' callers."""
        return not self._reachability.is_cut_off

    def peers(
        self, allowed: regions_lib.AllowedRegions
    ) -> list[fleet_lib.HostState]:
        """Returns the hosts to ask for a request now, in this order.

        The result is empty if this host should run the request itself.

        Args:
            allowed: Regions that the request must stay in; None if any.
        """
        if not self._reachability.is_cut_off:
            return []
        serving = self._fleet.serving()
        able = [each for each in serving if each.heartbeat.reaches_upstreams]
        if allowed is not None:
            able = self._region_map.hosts_within(able, allowed)
        able = host_selection.spare_weak_hosts(able, self._min_relative_power)
        near = [each for each in able if self._is_near(each)]
        cut_off_count = 1 + sum(
            not each.heartbeat.reaches_upstreams
            for each in serving
            if self._is_near(each)
        )
        candidates = near if len(near) >= cut_off_count else able
        return self._rng.sample(candidates, min(MAX_PEERS, len(candidates)))

    def _is_near(self, host: fleet_lib.HostState) -> bool:
        return host.address.data_centre == self._own_data_centre
