"""Elects the host that reads the store for all hosts.

One reader is enough, as hosts pass the data on to each other. Without a reader,
hosts try in a fixed order with a short delay between them, so that they don't
all call the store at once when the reader or the store is lost. Two readers at
the same time only cost extra calls, as the data only moves to newer revisions.
"""

from collections.abc import Sequence

import xxhash

from greengagedale import clocks
from greengagedale.gateway import fleet as fleet_lib

# Time that a host waits for each host ahead of it in the order. A read takes
# about 10 ms, and other hosts learn of it within one or two exchange rounds.
TAKEOVER_STEP_MS = 100.0
# Longest wait in steps. Most changes of the reader must be over well within the
# 3 s that a change in the store may take to reach all hosts.
MAX_TAKEOVER_STEPS = 12
# Shortest wait in steps of a host that knows no peer and is not a seed. Hosts
# of a fleet start within about 0.3 s of each other and need about as long again
# to discover each other.
MIN_STEPS_WITHOUT_PEERS = 5
# If this many other hosts fail to read, the store itself is failing.
_MIN_FAILING_READERS = 2


class ReaderElection:
    """Decides whether this host should read the store."""

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        own_name: str,
        seeds_ahead: Sequence[str],
        clock: clocks.Clock,
        is_seed: bool = True,
    ) -> None:
        """Makes the election of a host.

        Args:
            fleet: The other hosts.
            own_name: Name of this host.
            seeds_ahead: Endpoints of seeds that take precedence over this host
                while no other host is known to be alive.
            clock: Clock of the process.
            is_seed: Whether this host is one of the configured seeds.
        """
        self._fleet = fleet
        self._own_name = own_name
        self._startup_steps = 0 if is_seed else _steps_without_peers(own_name)
        self._seeds_ahead = seeds_ahead
        self._clock = clock
        self._no_reader_since_ms: float | None = None

    def should_read(self, own_age_ms: float) -> bool:
        """Tells whether this host should start or continue reading.

        Args:
            own_age_ms: Age of this host's last answer from the store; negative
                if it does not read.
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
        """Returns the number of other hosts that fail to read the store."""
        return len(self._fleet.failing_readers())

    @property
    def is_store_failing(self) -> bool:
        """Whether enough hosts fail to read to blame the store itself."""
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
    """Returns the number of steps that a host without known peers waits."""
    span = MAX_TAKEOVER_STEPS - MIN_STEPS_WITHOUT_PEERS + 1
    return (
        MIN_STEPS_WITHOUT_PEERS + xxhash.xxh32_intdigest(name.encode()) % span
    )
