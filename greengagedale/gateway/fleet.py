"""The other hosts: who lives, who may be handed out, who reads the store.

Hosts exchange what they know in rounds (see `exchange`). One of them reads
the store for all; any host that hears of no reader reads by itself. Two that
read at once cost calls and nothing else, as what is read only moves forward.
"""

from collections.abc import Callable
import logging
from typing import NamedTuple

from greengagedale import clocks

log = logging.getLogger(__name__)

# A host that was not heard of for this long is taken for lost.
LOST_AFTER_MS = 1600.0
# A host that is lost is forgotten after this long.
FORGET_AFTER_MS = 60_000.0
# A reader whose last success is older than this has lost the store. Watches
# return at least every two seconds.
READER_STALE_MS = 3000.0


class HostState(NamedTuple):
    """What a host says of itself.

    Attributes:
        name: Name of the host.
        incarnation: Rises with each life of its process.
        beat: Rises with each round of exchanges.
        data_centre: Where it runs.
        caller_endpoint: Where callers connect.
        peer_endpoint: Where other hosts connect.
        is_ready: Whether it can serve.
        is_leaving: Whether it is on its way out.
        read_age_ms: Age of its own last word from the store as it sent this;
            negative if it does not read the store.
    """

    name: str
    incarnation: int
    beat: int
    data_centre: str
    caller_endpoint: str
    peer_endpoint: str
    is_ready: bool
    is_leaving: bool
    read_age_ms: float


class _Known(NamedTuple):
    state: HostState
    heard_ms: float


class Fleet:
    """All hosts that this one has heard of, without itself.

    Attributes:
        on_own_state: Called with the incarnation that others heard of for
            this host.
    """

    def __init__(self, own_name: str, clock: clocks.Clock) -> None:
        self._own_name = own_name
        self._clock = clock
        self._known: dict[str, _Known] = {}
        self._refusing: set[str] = set()
        self.on_own_state: Callable[[int], None] = _ignore

    def hear(self, state: HostState) -> None:
        """Takes in what a host said, first or second hand."""
        if state.name == self._own_name:
            self.on_own_state(state.incarnation)
            return
        held = self._known.get(state.name)
        if held is not None and (
            (state.incarnation, state.beat)
            <= (held.state.incarnation, held.state.beat)
        ):
            return
        self._known[state.name] = _Known(state, self._clock.now_ms())
        self._refusing.discard(state.peer_endpoint)
        if held is None or held.state.incarnation != state.incarnation:
            log.info(
                "host found",
                extra={"peer": state.name, "incarnation": state.incarnation},
            )
        elif state.is_leaving and not held.state.is_leaving:
            log.info("host leaving", extra={"peer": state.name})

    def note_refused(self, endpoint: str) -> None:
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
            if now_ms - known.heard_ms < FORGET_AFTER_MS
        }
        return [known.state for known in self._known.values()]

    def alive(self) -> list[HostState]:
        """Returns the states of all hosts that are heard of."""
        now_ms = self._clock.now_ms()
        return [
            known.state
            for known in self._known.values()
            if now_ms - known.heard_ms < LOST_AFTER_MS
            and known.state.peer_endpoint not in self._refusing
        ]

    def serving(self) -> list[HostState]:
        """Returns the other hosts that callers may be sent to."""
        return [
            state
            for state in self.alive()
            if state.is_ready and not state.is_leaving
        ]

    def most_seen(self) -> int:
        """Returns how many hosts there are, lost ones and this included."""
        return 1 + len(self._known)

    def has_reader_before(self, own_name: str) -> bool:
        """Tells whether a host ahead of this one reads the store for all."""
        return any(
            state.name < own_name and self._reads(state)
            for state in self.alive()
        )

    def _reads(self, state: HostState) -> bool:
        if state.read_age_ms < 0.0 or state.is_leaving:
            return False
        heard_ms = self._known[state.name].heard_ms
        age_ms = state.read_age_ms + self._clock.now_ms() - heard_ms
        return age_ms < READER_STALE_MS


def _ignore(incarnation: int) -> None:
    del incarnation
