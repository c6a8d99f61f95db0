"""Bounds how many connections a server has, and what they hold together.

Answers the load of many clients that each stay within the limits of a request,
but together exceed the descriptors or the memory of the machine: idle
connections, requests that are never completed, and responses that are never
read. Decides which connection ends first; it opens and closes none.

A connection whose request runs is never chosen, since its client is owed the
response. All others can be ended without harm: their request has not run, or
their client does not read the response.
"""

import enum
import itertools
from typing import Generic, NamedTuple, Self, TypeVar

from greengagedale import clocks

# A client that has made no progress for this time is not an ordinary one.
STALL_MS = 1000.0
# Requests of up to this size may use all of the memory while they run.
SMALL_REQUEST_BYTES = 64 * 1024
# Share of the memory that larger requests may use while they run.
LARGE_REQUESTS_SHARE = 0.75
# Memory of a connection without any data.
CONNECTION_BYTES = 8 * 1024
# Descriptors of files, and the share of all others that accepted connections
# may use; the rest is left to connections that the process opens.
FILE_DESCRIPTORS = 200
ACCEPTED_SHARE = 0.5
MIN_CONNECTIONS = 16
_BYTES_PER_MIB = 1024 * 1024


class Phase(enum.Enum):
    """What a connection waits for."""

    IDLE = "idle"
    RECEIVING = "receiving"
    RUNNING = "running"
    SENDING = "sending"
    REFUSED = "refused"


class Bounds(NamedTuple):
    """Bounds of all connections of a server.

    Attributes:
        max_connections: Maximum number of connections.
        max_held_bytes: Maximum memory that all connections hold.
    """

    max_connections: int = 1000
    max_held_bytes: int = 64 * _BYTES_PER_MIB

    @classmethod
    def from_config(cls, max_held_mib: float, max_descriptors: int) -> Self:
        """Returns the bounds of all servers of a process.

        Args:
            max_held_mib: Maximum memory that connections hold, in MiB.
            max_descriptors: Maximum number of open descriptors.
        """
        sockets = max_descriptors - FILE_DESCRIPTORS
        return cls(
            max(MIN_CONNECTIONS, int(sockets * ACCEPTED_SHARE)),
            int(max_held_mib * _BYTES_PER_MIB),
        )

    def share(self, fraction: float) -> "Bounds":
        """Returns a server's share of the bounds of its process."""
        return Bounds(
            max(1, int(self.max_connections * fraction)),
            int(self.max_held_bytes * fraction),
        )


_T = TypeVar("_T")


class ConnectionBudget(Generic[_T]):
    """Keeps account of a server's connections.

    Attributes:
        bounds: The bounds.
        held_bytes: Memory that all connections hold.
    """

    def __init__(self, bounds: Bounds, clock: clocks.Clock) -> None:
        self.bounds = bounds
        self.held_bytes = 0
        self._clock = clock
        # For each phase, the connections in it by the time at which they
        # entered it or made progress, those that have waited longest first.
        self._since_ms: dict[Phase, dict[_T, float]] = {
            phase: {} for phase in Phase
        }
        self._phases: dict[_T, Phase] = {}
        self._held: dict[_T, int] = {}
        self._running_bytes = 0

    def __contains__(self, connection: _T) -> bool:
        return connection in self._phases

    def __len__(self) -> int:
        return len(self._phases)

    @property
    def has_too_many(self) -> bool:
        """Whether there are more connections than allowed."""
        return len(self._phases) > self.bounds.max_connections

    @property
    def is_exceeded(self) -> bool:
        """Whether a connection may have to end."""
        return self.has_too_many or (
            self.held_bytes > self.bounds.max_held_bytes
        )

    def phase_of(self, connection: _T) -> Phase:
        """Returns the phase of a connection."""
        return self._phases[connection]

    def enter(self, connection: _T, phase: Phase) -> None:
        """Adds a connection, or records its new phase or its progress."""
        held_bytes = self._remove(connection) or CONNECTION_BYTES
        self._phases[connection] = phase
        self._since_ms[phase][connection] = self._clock.now_ms()
        self._set_held(connection, held_bytes)

    def hold(self, connection: _T, data_bytes: int) -> None:
        """Records what a connection holds, in bytes of memory."""
        self._set_held(connection, CONNECTION_BYTES + data_bytes)

    def leave(self, connection: _T) -> None:
        """Removes a connection, which may have been removed before."""
        self._remove(connection)

    def may_run(self, connection: _T, max_request_bytes: int) -> bool:
        """Returns whether a connection's complete request may run.

        Args:
            connection: The connection.
            max_request_bytes: Memory of the largest request.
        """
        own_bytes = self._held[connection]
        others_bytes = self._running_bytes
        if self._phases[connection] is Phase.RUNNING:
            others_bytes -= own_bytes
        is_small = own_bytes <= SMALL_REQUEST_BYTES
        share = 1.0 if is_small else LARGE_REQUESTS_SHARE
        max_bytes = share * self._max_bytes(max_request_bytes)
        return others_bytes == 0 or others_bytes + own_bytes <= max_bytes

    def next_to_end(self, max_request_bytes: int) -> _T | None:
        """Returns the connection to end first.

        Args:
            max_request_bytes: Memory of the largest request, which is accepted
                while there is no other.

        Returns:
            None if the bounds hold, or if all connections are owed a response.
        """
        if self.has_too_many:
            return self._longest_waiting()
        if self.held_bytes > self._max_bytes(max_request_bytes):
            return self._most_holding()
        return None

    def _max_bytes(self, max_request_bytes: int) -> int:
        idle_bytes = CONNECTION_BYTES * len(self._phases)
        return max(self.bounds.max_held_bytes, max_request_bytes + idle_bytes)

    def _longest_waiting(self) -> _T | None:
        """Returns the connection whose end frees a descriptor at least harm."""
        for phase in (Phase.IDLE, Phase.SENDING):
            stalled = self._stalled(phase)
            if stalled is not None:
                return stalled
        # A new connection is the last one to end, hence ordinary requests are
        # served even if others hold all connections.
        oldest = [
            next(iter(self._since_ms[phase].items()))
            for phase in (Phase.REFUSED, Phase.IDLE, Phase.RECEIVING)
            if self._since_ms[phase]
        ]
        if oldest:
            return min(oldest, key=lambda item: item[1])[0]
        return next(iter(self._since_ms[Phase.SENDING]), None)

    def _most_holding(self) -> _T | None:
        """Returns the connection whose end frees memory at least harm."""
        stalled = self._stalled(Phase.SENDING)
        if stalled is not None:
            return stalled
        receiving = self._since_ms[Phase.RECEIVING]
        if receiving:
            return max(receiving, key=self._held.__getitem__)
        phases = (Phase.SENDING, Phase.REFUSED, Phase.IDLE)
        waiting = itertools.chain.from_iterable(
            self._since_ms[phase] for phase in phases
        )
        return next(waiting, None)

    def _stalled(self, phase: Phase) -> _T | None:
        """Returns the connection that has waited longest, if too long."""
        for connection, since_ms in self._since_ms[phase].items():
            is_stalled = self._clock.now_ms() - since_ms >= STALL_MS
            return connection if is_stalled else None
        return None

    def _remove(self, connection: _T) -> int:
        """Removes a connection; returns what it held, in bytes."""
        phase = self._phases.pop(connection, None)
        if phase is None:
            return 0
        del self._since_ms[phase][connection]
        held_bytes = self._held.pop(connection)
        self.held_bytes -= held_bytes
        if phase is Phase.RUNNING:
            self._running_bytes -= held_bytes
        return held_bytes

    def _set_held(self, connection: _T, held_bytes: int) -> None:
        added_bytes = held_bytes - self._held.get(connection, 0)
        self._held[connection] = held_bytes
        self.held_bytes += added_bytes
        if self._phases[connection] is Phase.RUNNING:
            self._running_bytes += added_bytes
