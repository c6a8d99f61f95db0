"""Periodic exchange of state between hosts.

In each round, a host sends a summary of its state to some peers: itself, the
heartbeats of live hosts and the versions of its data. Each peer answers with
an update, which holds its own heartbeats and versions and all newer data.
"""

import asyncio
from collections.abc import Callable
import itertools
import logging
import random
from typing import NamedTuple

import msgspec

from greengagedale import clocks
from greengagedale.gateway import announced_limits as limits_lib
from greengagedale.gateway import evacuations as evacuations_lib
from greengagedale.gateway import fleet as fleet_lib
from greengagedale.gateway import freshness as freshness_lib
from greengagedale.gateway import message_codec
from greengagedale.gateway import peer_connections
from greengagedale.gateway import quarantine as quarantine_lib
from greengagedale.gateway import registry as registry_lib
from greengagedale.gateway import roster as roster_lib
from greengagedale.gateway import route_config
from greengagedale.gateway import store_recovery
from greengagedale.gateway import store_revision
from greengagedale.gateway import upstream_capacity as capacity_lib
from greengagedale.gateway import upstream_entries
from greengagedale.gateway import upstream_notices as notices_lib
from greengagedale.http1 import client
from greengagedale.http1 import messages
from greengagedale.http1 import server

log = logging.getLogger(__name__)

# Time between rounds; an update crosses a small fleet in one round.
ROUND_INTERVAL_MS = 250.0
# Interval and number of the rounds of a host that has no list of upstreams at a
# known revision yet; hosts start within about a second of each other.
STARTUP_ROUND_INTERVAL_MS = 50.0
STARTUP_ROUNDS = 40
# Peers asked in each round, from this host's data centre if it has as many. In
# larger fleets an update spreads over a few rounds.
PEERS_PER_ROUND = 2
# Probability of asking one more peer, from another data centre. Traffic between
# data centres is expensive, and some host of each has an update soon anyway.
REMOTE_PEER_PROBABILITY = 0.5
# Timeout of one exchange with a peer; the peer is asked again in a later round.
TIMEOUT_MS = 600.0
_MS_PER_S = 1000.0
_UPDATE_LIMITS = client.ReplyLimits(
    max_body_bytes=message_codec.MAX_MESSAGE_BYTES
)
_PATH = b"/peers/exchange"
_STATUS_OK = 200
_STATUS_NOT_FOUND = 404


class StateSummary(NamedTuple):
    """The state of the asking host in brief.

    Attributes:
        own: State of the asking host.
        heartbeats: Latest heartbeats of the live hosts that it knows.
        hosts_digest: Hash of the set of live hosts that it knows.
        routes_version: Version of its configuration; 0 if it has none.
        version: Version of its list of upstreams.
        roster_revision: Revision of its host list.
        suspects: Requests that may crash upstreams.
        leaving: Incarnations of upstreams that announced that they are leaving.
        evacuations_revision: Revision of its list of evacuated data centres.
        observations: What hosts have seen of slow upstreams.
        withdrawals: Incarnations held since the store came back from an older
            copy.
        limits: What upstreams have announced of the requests that they take.
    """

    own: fleet_lib.HostState
    heartbeats: list[fleet_lib.Heartbeat]
    hosts_digest: int
    routes_version: int
    version: registry_lib.UpstreamsVersion
    roster_revision: store_revision.Revision
    suspects: list[quarantine_lib.Suspect]
    leaving: list[upstream_entries.UpstreamIncarnation]
    evacuations_revision: store_revision.Revision = store_revision.NO_REVISION
    observations: list[capacity_lib.Observation] = []
    withdrawals: tuple[store_recovery.Withdrawal, ...] = ()
    limits: list[limits_lib.LimitObservation] = []


class StateUpdate(NamedTuple):
    """The answer of the asked host, with the data that is newer there.

    Attributes:
        own: State of the asked host.
        heartbeats: Latest heartbeats of the live hosts that it knows.
        addresses: All live hosts that it knows, if the digests differ.
        routes: Its configuration, if it is newer.
        routes_revision: Revision of the store up to which its routes are known.
        version: Version of its list of upstreams.
        upstreams: All upstreams, if its list is newer.
        roster: Its host list, if it is newer.
        suspects: Requests that may crash upstreams.
        leaving: Incarnations of upstreams that announced that they are leaving.
        evacuations: Its list of evacuated data centres, if it is newer.
        proof: Its proof that its configuration is recent, if it has one.
        observations: What hosts have seen of slow upstreams.
        withdrawals: Incarnations held since the store came back from an older
            copy.
        limits: What upstreams have announced of the requests that they take.
    """

    own: fleet_lib.HostState
    heartbeats: list[fleet_lib.Heartbeat]
    addresses: list[fleet_lib.HostAddress]
    routes: route_config.RouteConfiguration | None
    routes_revision: store_revision.Revision
    version: registry_lib.UpstreamsVersion
    upstreams: list[upstream_entries.Upstream] | None
    roster: roster_lib.HostList | None
    suspects: list[quarantine_lib.Suspect]
    leaving: list[upstream_entries.UpstreamIncarnation]
    evacuations: evacuations_lib.EvacuationList | None = None
    proof: freshness_lib.Proof | None = None
    observations: list[capacity_lib.Observation] = []
    withdrawals: tuple[store_recovery.Withdrawal, ...] = ()
    limits: list[limits_lib.LimitObservation] = []


_summary_decoder = msgspec.msgpack.Decoder(StateSummary)
_update_decoder = msgspec.msgpack.Decoder(StateUpdate)


class PeerExchange(server.Handler):
    """Client and server side of the exchanges of one host."""

    def __init__(
        self,
        own_state: Callable[[], fleet_lib.HostState],
        fleet: fleet_lib.Fleet,
        registry: registry_lib.Registry,
        roster: roster_lib.Roster,
        quarantine: quarantine_lib.Quarantine,
        notices: notices_lib.UpstreamNotices,
        freshness: freshness_lib.Freshness,
        seeds: list[str],
        clock: clocks.Clock,
        rng: random.Random,
        evacuations: evacuations_lib.Evacuations,
        limits: limits_lib.AnnouncedLimits,
        capacities: capacity_lib.Capacities | None = None,
    ) -> None:
        """Makes the exchange of a host.

        Args:
            own_state: Returns the current state of this host.
            fleet: The other hosts.
            registry: Configuration and upstreams.
            roster: The host list.
            quarantine: Requests that crash upstreams.
            notices: Upstreams that are leaving or asked for a backoff.
            freshness: Proof that the configuration is recent.
            seeds: Endpoints of hosts to ask before any peer is known.
            clock: Clock of the process.
            rng: Random generator for the choice of peers.
            evacuations: The evacuated data centres.
            limits: What upstreams announce of the requests that they take.
            capacities: What upstreams take well; None without learning.
        """
        self._own_state = own_state
        self._fleet = fleet
        self._registry = registry
        self._roster = roster
        self._quarantine = quarantine
        self._notices = notices
        self._freshness = freshness
        self._seeds = seeds
        self._clock = clock
        self._rng = rng
        self._evacuations = evacuations
        self._limits = limits
        self._capacities = (
            capacity_lib.Capacities.inactive(clock)
            if capacities is None
            else capacities
        )
        self._connections = peer_connections.PeerConnections(_UPDATE_LIMITS)
        self._round_requested = asyncio.Event()

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers the summary of another host."""
        if request.target != _PATH:
            return messages.Response(_STATUS_NOT_FOUND)
        try:
            summary = message_codec.decode(request.body, _summary_decoder)
        except msgspec.DecodeError as error:
            log.warning(
                "state summary of a peer could not be decoded; refusing it",
                extra={"reason": str(error)},
            )
            return messages.Response(400)
        self._fleet.observe(summary.own)
        self._quarantine.merge(summary.suspects)
        self._notices.merge(summary.leaving)
        self._capacities.merge(summary.observations, self._registry.upstreams)
        self._limits.merge(summary.limits, self._registry.upstreams)
        self._registry.merge_withdrawals(
            summary.withdrawals, summary.version.revision.epoch
        )
        for heartbeat in summary.heartbeats:
            self._fleet.observe_heartbeat(heartbeat)
        if (
            summary.routes_version > self._registry.routes_version
            or summary.version > self._registry.version
            or summary.evacuations_revision > self._evacuations.list.revision
        ):
            self.request_round()
        return messages.Response(
            _STATUS_OK, (), message_codec.encode(self._update_for(summary))
        )

    def request_round(self) -> None:
        """Starts the next round without waiting for the interval."""
        self._round_requested.set()

    async def run(self) -> None:
        """Runs exchange rounds until it is cancelled."""
        for round_number in itertools.count():
            peers = self._choose_peers()
            await asyncio.gather(*(self._try_exchange(peer) for peer in peers))
            self._registry.remove_expired()
            self._round_requested.clear()
            is_new = round_number < STARTUP_ROUNDS and not (
                self._registry.version.revision and self._freshness.is_proven()
            )
            pause_ms = (
                STARTUP_ROUND_INTERVAL_MS if is_new else ROUND_INTERVAL_MS
            )
            try:
                async with asyncio.timeout(pause_ms / _MS_PER_S):
                    await self._round_requested.wait()
            except TimeoutError:
                continue

    def _choose_peers(self) -> list[str]:
        own = self._own_state().address
        alive = self._fleet.alive()
        self._rng.shuffle(alive)
        alive.sort(
            key=lambda state: state.address.data_centre != own.data_centre
        )
        if not self._freshness.is_proven():
            alive.sort(key=lambda state: not state.heartbeat.is_proven)
        peers = [state.address.peer_endpoint for state in alive]
        chosen, others = peers[:PEERS_PER_ROUND], peers[PEERS_PER_ROUND:]
        if others and self._rng.random() < REMOTE_PEER_PROBABILITY:
            # Peers of the own data centre come first, so the last one is
            # elsewhere if any is.
            chosen.append(others[-1])
        unconfirmed = self._unconfirmed_endpoints({*peers, own.peer_endpoint})
        if not peers:
            return unconfirmed
        if unconfirmed:
            # Lets parts of a fleet that were partitioned find each other again.
            chosen.append(self._rng.choice(unconfirmed))
        return chosen

    def _unconfirmed_endpoints(self, known: set[str]) -> list[str]:
        """Returns seeds and lost hosts that are not among the known ones."""
        lost = [
            state.address.peer_endpoint for state in self._fleet.known_hosts()
        ]
        return [each for each in {*self._seeds, *lost} if each not in known]

    async def _try_exchange(self, endpoint: str) -> None:
        """Exchanges state with a peer; logs any error and continues."""
        try:
            await self._exchange(endpoint)
        except Exception:
            log.exception("exchange failed", extra={"endpoint": endpoint})

    async def _exchange(self, endpoint: str) -> None:
        sent_ms = self._clock.now_ms()
        summary = self._summary()
        try:
            reply = await self._connections.post(
                endpoint, _PATH, message_codec.encode(summary), TIMEOUT_MS
            )
        except ConnectionRefusedError:
            self._fleet.record_connection_refused(endpoint)
            return
        except OSError as error:
            log.debug("peer %s did not answer: %r", endpoint, error)
            return
        if (
            isinstance(reply, client.ExchangeFailure)
            or reply.status != _STATUS_OK
        ):
            log.debug("exchange with %s failed: %r", endpoint, reply)
            return
        try:
            update = message_codec.decode(reply.body, _update_decoder)
        except msgspec.DecodeError as error:
            log.warning(
                "state update of a peer could not be decoded; dropping it",
                extra={"reason": str(error)},
            )
            return
        self._merge(update)
        self._adopt_proof(update, sent_ms)

    def _summary(self) -> StateSummary:
        own = self._own_state()
        return StateSummary(
            own,
            self._fleet.heartbeats(),
            self._fleet.digest(own),
            self._registry.routes_version,
            self._registry.version,
            self._roster.host_list.revision,
            self._quarantine.suspects(),
            self._notices.leaving(),
            evacuations_revision=self._evacuations.list.revision,
            observations=self._capacities.observations(),
            withdrawals=self._registry.recovery.withdrawals(),
            limits=self._limits.observations(),
        )

    def _update_for(self, summary: StateSummary) -> StateUpdate:
        registry = self._registry
        table = registry.table
        own = self._own_state()
        has_newer = registry.routes_version > summary.routes_version
        is_same_fleet = self._fleet.digest(own) == summary.hosts_digest
        return StateUpdate(
            own,
            self._fleet.heartbeats(),
            []
            if is_same_fleet
            else [state.address for state in self._fleet.alive()],
            table.configuration if table is not None and has_newer else None,
            registry.routes_revision,
            registry.version,
            registry.active_upstreams
            if registry.version > summary.version
            else None,
            self._roster.host_list
            if self._roster.host_list.revision > summary.roster_revision
            else None,
            self._quarantine.suspects(),
            self._notices.leaving(),
            evacuations=self._evacuations.list
            if self._evacuations.list.revision > summary.evacuations_revision
            else None,
            proof=self._freshness.proof(registry.routes_version),
            observations=self._capacities.observations(),
            withdrawals=self._registry.recovery.withdrawals(),
            limits=self._limits.observations(),
        )

    def _adopt_proof(self, update: StateUpdate, sent_ms: float) -> None:
        """Adopts a peer's proof after its update has been merged.

        Args:
            update: The answer of the peer.
            sent_ms: Time before the request that it answers was sent.
        """
        if update.proof is not None and self._freshness.is_required:
            self._freshness.confirm_from_peer(
                update.proof, self._registry.routes_version, sent_ms
            )

    def _merge(self, update: StateUpdate) -> None:
        self._fleet.observe(update.own)
        self._quarantine.merge(update.suspects)
        self._notices.merge(update.leaving)
        self._capacities.merge(update.observations, self._registry.upstreams)
        self._limits.merge(update.limits, self._registry.upstreams)
        self._fleet.merge_addresses(update.addresses, update.heartbeats)
        for heartbeat in update.heartbeats:
            self._fleet.observe_heartbeat(heartbeat)
        has_changed = False
        if update.roster is not None:
            has_changed = self._roster.replace_if_newer(update.roster)
        if update.routes is not None:
            has_changed |= self._registry.apply_routes(
                update.routes, update.routes_revision
            )
        if update.upstreams is not None:
            has_changed |= self._registry.replace_if_newer(
                self._usable(update.upstreams), update.version
            )
        if update.evacuations is not None:
            has_changed |= self._evacuations.replace_if_newer(
                update.evacuations
            )
        self._registry.merge_withdrawals(
            update.withdrawals, update.version.revision.epoch
        )
        if has_changed:
            self.request_round()

    def _usable(
        self, upstreams: list[upstream_entries.Upstream]
    ) -> list[upstream_entries.Upstream]:
        """Returns the upstreams without those that hosts can't use.

        Hosts of an earlier version pass on all that they can encode.
        """
        known = self._registry.upstreams
        return [
            upstream
            for upstream in upstreams
            if known.get(upstream.name) == upstream
            or upstream.problem() is None
        ]
