"""Whose turn it is to read the store for all hosts.

One host that reads is enough, as hosts tell each other what it read. Without
one, hosts try in a fixed order, a short step apart, so that the loss of the
reader, or of the store, does not set all of them on the store at once. Two
that read at the same time cost calls and nothing else, as what is read only
moves forward.
"""

from collections.abc import Sequence

import xxhash

from greengagedale import clocks
from greengagedale.gateway import fleet as fleet_lib

# Time that a host leaves to each one before it: a read takes about 10 ms and
# is heard of within a round of exchanges or two.
TAKEOVER_STEP_MS = 100.0
# Hosts further back than this don't wait longer; most changes of the reader
# must be over well within the 3 s that a change may take to be known.
MAX_TAKEOVER_STEPS = 12
# Hosts of a fleet start within about 0.3 s and hear of each other in as much;
# those that know nobody yet, and that none knows beforehand, wait for longer.
MIN_STEPS_WITHOUT_PEERS = 5
# From so many hosts that read in vain on, the store itself was in trouble.
_MIN_FAILING_READERS = 2


class ReaderElection:
    """Decides for one host whether it reads."""

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        own_name: str,
        seeds_ahead: Sequence[str],
        clock: clocks.Clock,
        is_seed: bool = True,
    ) -> None:
        """Makes the turns of a host.

        Args:
            fleet: The other hosts.
            own_name: Name of this host.
            seeds_ahead: Endpoints of hosts that read before this one as long
                as no other is known to live.
            clock: Clock of the process.
            is_seed: Whether others know of this host beforehand.
        """
        self._fleet = fleet
        self._own_name = own_name
        self._startup_steps = 0 if is_seed else _steps_without_peers(own_name)
        self._seeds_ahead = seeds_ahead
        self._clock = clock
        self._no_reader_since_ms: float | None = None

    def should_read(self, own_age_ms: float) -> bool:
        """Tells whether this host should read, or go on reading.

        Args:
            own_age_ms: Age of its last word from the store; negative if it
                does not read.
        """
        active_readers = self._fleet.active_readers()
        if active_readers:
            self._no_reader_since_ms = None
            is_active = 0.0 <= own_age_ms < fleet_lib.READER_STALE_MS
            return is_active and self._own_name < min(active_readers)
        now_ms = self._clock.now_ms()
        if own_age_ms >= 0.0:
            return True
        if self._no_reader_since_ms is None:
            self._no_reader_since_ms = now_ms
        steps = min(MAX_TAKEOVER_STEPS, self._hosts_ahead())
        return now_ms - self._no_reader_since_ms >= steps * TAKEOVER_STEP_MS

    def failing_reader_count(self) -> int:
        """Returns how many other hosts try to read without success."""
        return len(self._fleet.failing_readers())

    @property
    def is_store_failing(self) -> bool:
        """Whether several hosts can't read, which is no fault of theirs."""
        return self.failing_reader_count() >= _MIN_FAILING_READERS

    def _hosts_ahead(self) -> int:
        others = self._fleet.not_leaving()
        if others:
            return sum(state.name < self._own_name for state in others)
        seeds = sum(
            not self._fleet.refuses_connections(endpoint)
            for endpoint in self._seeds_ahead
        )
        return max(seeds, self._startup_steps)


def _steps_without_peers(name: str) -> int:
    """Returns for how many steps a host waits that knows of no other."""
    span = MAX_TAKEOVER_STEPS - MIN_STEPS_WITHOUT_PEERS + 1
    return (
        MIN_STEPS_WITHOUT_PEERS + xxhash.xxh32_intdigest(name.encode()) % span
    )
