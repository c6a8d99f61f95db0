"""The other hosts: who lives, who may be handed out, who reads the store.

Hosts exchange what they know in rounds (see `exchange`). One of them reads
the store for all (see `turns`).
"""

from collections.abc import Callable
import logging
from typing import NamedTuple

import xxhash

from greengagedale import clocks

log = logging.getLogger(__name__)

# A host that was not heard of for this long is taken for lost; news takes up
# to a second to cross 24 hosts.
LOST_AFTER_MS = 2000.0
# A host that is lost is forgotten after this long.
FORGET_AFTER_MS = 60_000.0
# A reader whose last word from the store is older than this has lost it. It
# hears from the store every 0.5 s and hosts of it within a second; others have
# the rest of the 3 s within which changes must be known to take over.
READER_STALE_MS = 1800.0


class HostAddress(NamedTuple):
    """What does not change in one life of a host's process.

    Attributes:
        name: Name of the host.
        incarnation: Rises with each life of its process.
        data_centre: Where it runs.
        caller_endpoint: Where callers connect.
        peer_endpoint: Where other hosts connect.
    """

    name: str
    incarnation: int
    data_centre: str
    caller_endpoint: str
    peer_endpoint: str


class Heartbeat(NamedTuple):
    """What changes all the time, as the host itself said it.

    Attributes:
        name: Name of the host.
        incarnation: Life of its process.
        beat: Rises with each thing that it says.
        is_ready: Whether it can serve.
        is_leaving: Whether it is on its way out.
        read_age_ms: Age of its own last word from the store as it said this;
            negative if it does not read the store.
        roster_revision: Revision of the list of hosts that it goes by.
    """

    name: str
    incarnation: int
    sequence: int
    is_ready: bool
    is_leaving: bool
    read_age_ms: float
    roster_revision: int


class HostState(NamedTuple):
    """All that a host says of itself."""

    address: HostAddress
    heartbeat: Heartbeat

    @property
    def name(self) -> str:
        """Name of the host."""
        return self.address.name

    @property
    def has_valid_endpoints(self) -> bool:
        """Whether others can connect where it says that it listens."""
        return all(
            map(
                _is_endpoint,
                (self.address.caller_endpoint, self.address.peer_endpoint),
            )
        )

    @property
    def accepts_callers(self) -> bool:
        """Whether callers may be sent to it, if it lives."""
        return self.heartbeat.is_ready and not self.heartbeat.is_leaving


class _KnownHost(NamedTuple):
    state: HostState
    last_seen_ms: float


class Fleet:
    """All hosts that this one has heard of, without itself.

    Attributes:
        on_own_state: Called with the incarnation that others heard of for
            this host.
    """

    def __init__(self, own_name: str, clock: clocks.Clock) -> None:
        self._own_name = own_name
        self._clock = clock
        self._known: dict[str, _KnownHost] = {}
        self._refusing: set[str] = set()
        self.on_own_incarnation: Callable[[int], None] = _ignore_incarnation

    def observe(self, state: HostState) -> None:
        """Takes in what a host said of itself."""
        address, heartbeat = state
        if address.name == self._own_name:
            self.on_own_incarnation(address.incarnation)
            return
        held = self._known.get(address.name)
        is_new = held is None or held.state.address != address
        if is_new and not state.has_valid_endpoints:
            log.warning("unusable host", extra={"address": address})
            return
        if held is not None and (
            (heartbeat.incarnation, heartbeat.sequence)
            <= (held.state.heartbeat.incarnation, held.state.heartbeat.sequence)
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
        elif heartbeat.is_leaving and not held.state.heartbeat.is_leaving:
            log.info("host leaving", extra={"peer": address.name})

    def observe_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Takes in what another host has heard of one."""
        if heartbeat.name == self._own_name:
            self.on_own_incarnation(heartbeat.incarnation)
            return
        held = self._known.get(heartbeat.name)
        if held is None or (
            held.state.address.incarnation != heartbeat.incarnation
        ):
            return
        self.observe(HostState(held.state.address, heartbeat))

    def merge_addresses(
        self, addresses: list[HostAddress], sightings: list[Heartbeat]
    ) -> None:
        """Takes in hosts that another one knows, with what it has heard."""
        by_life = {(each.name, each.incarnation): each for each in sightings}
        for address in addresses:
            heartbeat = by_life.get((address.name, address.incarnation))
            if heartbeat is not None:
                self.observe(HostState(address, heartbeat))

    def digest(self, own: HostState) -> int:
        """Names the set of living hosts, so that hosts can compare theirs."""
        incarnations = sorted(
            (state.name, state.address.incarnation)
            for state in (own, *self.alive())
        )
        return xxhash.xxh32_intdigest(repr(incarnations).encode())

    def record_connection_refused(self, endpoint: str) -> None:
        """Takes in that nothing listens at a host's endpoint any more."""
        if endpoint not in self._refusing:
            self._refusing.add(endpoint)
            log.info("host refuses connections", extra={"endpoint": endpoint})

    def states(self) -> list[HostState]:
        """Returns the states of all hosts not forgotten, as last heard."""
        now_ms = self._clock.now_ms()
        self._known = {
            name: known
            for name, known in self._known.items()
            if now_ms - known.last_seen_ms < FORGET_AFTER_MS
        }
        return [known.state for known in self._known.values()]

    def alive(self) -> list[HostState]:
        """Returns the states of all hosts that are heard of."""
        now_ms = self._clock.now_ms()
        return [
            known.state
            for known in self._known.values()
            if now_ms - known.last_seen_ms < LOST_AFTER_MS
            and known.state.address.peer_endpoint not in self._refusing
        ]

    def serving(self) -> list[HostState]:
        """Returns the other hosts that callers may be sent to."""
        return [state for state in self.alive() if state.accepts_callers]

    def count_known(self) -> int:
        """Returns how many hosts there are, lost ones and this included."""
        return 1 + len(self._known)

    def not_leaving(self) -> list[HostState]:
        """Returns the living hosts that are not on their way out."""
        return [each for each in self.alive() if not each.heartbeat.is_leaving]

    def refuses_connections(self, endpoint: str) -> bool:
        """Tells whether nothing listened at a host's endpoint lately."""
        return endpoint in self._refusing

    def active_readers(self) -> list[str]:
        """Returns the names of hosts that read the store and hear from it."""
        return [
            state.name
            for state in self.not_leaving()
            if 0.0 <= self._read_age_ms(state) < READER_STALE_MS
        ]

    def failing_readers(self) -> list[str]:
        """Returns the names of hosts that try to read the store and can't."""
        return [
            state.name
            for state in self.not_leaving()
            if self._read_age_ms(state) >= READER_STALE_MS
        ]

    def _read_age_ms(self, state: HostState) -> float:
        """Returns the age of a host's last word from the store, or -1."""
        age_ms = state.heartbeat.read_age_ms
        if age_ms < 0.0:
            return -1.0
        last_seen_ms = self._known[state.name].last_seen_ms
        return age_ms + self._clock.now_ms() - last_seen_ms


def _is_endpoint(text: str) -> bool:
    address, _, port = text.rpartition(":")
    return bool(address) and port.isdigit() and 0 < int(port) < 1 << 16


def _ignore_incarnation(incarnation: int) -> None:
    del incarnation
