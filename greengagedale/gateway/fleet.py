"""Tracks the other hosts: which are alive, accept callers and read the store.

Hosts exchange their state in periodic rounds (see `peer_exchange`). One of
them reads the store for all (see `reader_election`).
"""

from collections.abc import Callable
import logging
from typing import NamedTuple

import xxhash

from greengagedale import clocks
from greengagedale.gateway import store_revision

log = logging.getLogger(__name__)

# A host without a new heartbeat for this long is considered lost. Updates take
# up to a second to reach all of 24 hosts.
LOST_AFTER_MS = 2000.0
# Heartbeats that are older than this are neither used nor passed on. Each host
# counts a heartbeat from when it hears it, so without a bound a lost host could
# seem alive for as long as its last heartbeat is passed on. Callers must not be
# sent to a host later than 7 s after its loss, with a second on the way.
MAX_HEARTBEAT_AGE_MS = 4000.0
# A host is removed from the table this long after its last new heartbeat.
FORGET_AFTER_MS = 60_000.0
# A reader whose last answer from the store is older than this has lost the
# connection to it. Readers get an answer every 0.5 s, and the other hosts learn
# of it within a second. The rest of the 3 s within which changes must reach all
# hosts is left for another host to take over.
READER_STALE_MS = 1800.0
_MAX_PORT_DIGITS = 5


class HostAddress(NamedTuple):
    """The part of a host's state that is fixed for one incarnation.

    Attributes:
        name: Name of the host.
        incarnation: Number that increases with each restart of the process.
        data_centre: Data centre that the host runs in.
        caller_endpoint: Address and port for callers.
        peer_endpoint: Address and port for other hosts.
        power_millicores: Its computing power, in thousandths of a reference
            core; 0 if unknown.
    """

    name: str
    incarnation: int
    data_centre: str
    caller_endpoint: str
    peer_endpoint: str
    power_millicores: int = 0


class Heartbeat(NamedTuple):
    """The part of a host's state that changes, as reported by the host.

    Attributes:
        name: Name of the host.
        incarnation: Incarnation of its process.
        sequence: Number that increases with each heartbeat of an incarnation.
        is_ready: Whether it can serve.
        is_leaving: Whether it is draining.
        read_age_ms: Age of its last answer from the store when it sent this
            heartbeat; negative if it does not read the store.
        roster_revision: Revision of the host list that it uses.
        is_proven: Whether it can prove that its configuration is recent enough
            to serve requests with keys, or needs no proof.
        reaches_upstreams: Whether it can reach any upstream.
        age_ms: Time that other hosts held it before they passed it on; the time
            on the way is not included.
    """

    name: str
    incarnation: int
    sequence: int
    is_ready: bool
    is_leaving: bool
    read_age_ms: float
    roster_revision: store_revision.Revision
    is_proven: bool = True
    reaches_upstreams: bool = True
    age_ms: int = 0


class HostState(NamedTuple):
    """The complete state that a host reports about itself."""

    address: HostAddress
    heartbeat: Heartbeat

    @property
    def name(self) -> str:
        """Name of the host."""
        return self.address.name

    @property
    def has_valid_endpoints(self) -> bool:
        """Whether both of its endpoints are well-formed."""
        return all(
            map(
                _is_endpoint,
                (self.address.caller_endpoint, self.address.peer_endpoint),
            )
        )

    @property
    def accepts_callers(self) -> bool:
        """Whether callers may be sent to it, provided that it is alive."""
        return self.heartbeat.is_ready and not self.heartbeat.is_leaving


class _KnownHost(NamedTuple):
    state: HostState
    last_seen_ms: float


class Fleet:
    """Table of all known hosts except this one.

    Attributes:
        on_own_incarnation: Called with the incarnation of this host that
            another host reports.
    """

    def __init__(self, own_name: str, clock: clocks.Clock) -> None:
        self._own_name = own_name
        self._clock = clock
        self._known: dict[str, _KnownHost] = {}
        self._refusing: set[str] = set()
        self.on_own_incarnation: Callable[[int], None] = _ignore_incarnation

    def observe(self, state: HostState) -> None:
        """Records the state that a host reported about itself."""
        address, heartbeat = state
        if address.name == self._own_name:
            self.on_own_incarnation(address.incarnation)
            return
        known = self._known.get(address.name)
        is_new = known is None or known.state.address != address
        if is_new and not state.has_valid_endpoints:
            log.warning("unusable host", extra={"address": address})
            return
        if heartbeat.age_ms > MAX_HEARTBEAT_AGE_MS:
            return
        if known is not None and (
            (heartbeat.incarnation, heartbeat.sequence)
            <= (
                known.state.heartbeat.incarnation,
                known.state.heartbeat.sequence,
            )
        ):
            return
        self._known[address.name] = _KnownHost(state, self._clock.now_ms())
        self._refusing.discard(address.peer_endpoint)
        if is_new:
            log.info(
                "host found",
                extra={
                    "peer": address.name,
                    "incarnation": address.incarnation,
                },
            )
        elif heartbeat.is_leaving and not known.state.heartbeat.is_leaving:
            log.info("host leaving", extra={"peer": address.name})

    def observe_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Records a host's heartbeat that another host passed on."""
        if heartbeat.name == self._own_name:
            self.on_own_incarnation(heartbeat.incarnation)
            return
        known = self._known.get(heartbeat.name)
        if known is None or (
            known.state.address.incarnation != heartbeat.incarnation
        ):
            return
        self.observe(HostState(known.state.address, heartbeat))

    def merge_addresses(
        self, addresses: list[HostAddress], heartbeats: list[Heartbeat]
    ) -> None:
        """Adds the hosts that a peer knows, with their latest heartbeats."""
        by_incarnation = {
            (each.name, each.incarnation): each for each in heartbeats
        }
        for address in addresses:
            heartbeat = by_incarnation.get((address.name, address.incarnation))
            if heartbeat is not None:
                self.observe(HostState(address, heartbeat))

    def digest(self, own: HostState) -> int:
        """Returns a hash of the set of live hosts, to compare across hosts."""
        incarnations = sorted(
            (state.name, state.address.incarnation)
            for state in (own, *self.alive())
        )
        return xxhash.xxh32_intdigest(repr(incarnations).encode())

    def record_connection_refused(self, endpoint: str) -> None:
        """Records that nothing listens at a host's endpoint any more."""
        if endpoint not in self._refusing:
            self._refusing.add(endpoint)
            log.info("host refuses connections", extra={"endpoint": endpoint})

    def known_hosts(self) -> list[HostState]:
        """Drops expired hosts; returns the last known states of the others."""
        now_ms = self._clock.now_ms()
        self._known = {
            name: entry
            for name, entry in self._known.items()
            if now_ms - entry.last_seen_ms < FORGET_AFTER_MS
        }
        return [entry.state for entry in self._known.values()]

    def alive(self) -> list[HostState]:
        """Returns the states of all live hosts."""
        now_ms = self._clock.now_ms()
        return [
            entry.state
            for entry in self._known.values()
            if now_ms - entry.last_seen_ms < LOST_AFTER_MS
            and entry.state.address.peer_endpoint not in self._refusing
        ]

    def heartbeats(self) -> list[Heartbeat]:
        """Returns the heartbeats of live hosts to pass on, with their ages."""
        now_ms = self._clock.now_ms()
        aged = (
            state.heartbeat._replace(
                age_ms=state.heartbeat.age_ms
                + int(now_ms - self._known[state.name].last_seen_ms)
            )
            for state in self.alive()
        )
        return [each for each in aged if each.age_ms <= MAX_HEARTBEAT_AGE_MS]

    def serving(self) -> list[HostState]:
        """Returns the other hosts that callers may be sent to."""
        return [state for state in self.alive() if state.accepts_callers]

    def count_known(self) -> int:
        """Returns the number of known hosts, with lost ones and this one."""
        return 1 + len(self._known)

    def not_leaving(self) -> list[HostState]:
        """Returns the states of the live hosts that are not leaving."""
        return [each for each in self.alive() if not each.heartbeat.is_leaving]

    def refuses_connections(self, endpoint: str) -> bool:
        """Tells whether the last connection to an endpoint was refused."""
        return endpoint in self._refusing

    def active_readers(self) -> list[str]:
        """Returns the names of hosts that read the store successfully."""
        return [
            state.name
            for state in self.not_leaving()
            if 0.0 <= self._read_age_ms(state) < READER_STALE_MS
        ]

    def failing_readers(self) -> list[str]:
        """Returns the names of hosts that fail to read the store."""
        return [
            state.name
            for state in self.not_leaving()
            if self._read_age_ms(state) >= READER_STALE_MS
        ]

    def _read_age_ms(self, state: HostState) -> float:
        """Returns the age of a host's last answer from the store, or -1."""
        age_ms = state.heartbeat.read_age_ms
        if age_ms < 0.0:
            return -1.0
        last_seen_ms = self._known[state.name].last_seen_ms
        return age_ms + self._clock.now_ms() - last_seen_ms


def _is_endpoint(text: str) -> bool:
    address, _, port = text.rpartition(":")
    is_number = port.isdecimal() and len(port) <= _MAX_PORT_DIGITS
    return bool(address) and is_number and 0 < int(port) < 1 << 16


def _ignore_incarnation(incarnation: int) -> None:
    del incarnation
