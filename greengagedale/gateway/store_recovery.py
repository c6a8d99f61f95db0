"""Recovery after the store has come back from an older copy.

The store then begins a new epoch, see `store_revision`. What hosts saw before
is newer than the copy. Each host remembers which upstreams it saw leaving or
removed. In a new epoch it holds these incarnations, so that entries of the copy
do not return them to use, and tells them to the other hosts. An incarnation is
released by an entry that its upstream has written since, or when the hold ends
and the store still lists it: by then the store would have removed the entry of
an upstream that no longer runs.

The host that reads the store also writes the host list again, which holds all
hosts that may have a share.
"""

import collections
from collections.abc import Callable, Collection, Iterable, Mapping
import enum
import logging
from typing import NamedTuple

from greengagedale import clocks
from greengagedale.gateway import roster as roster_lib
from greengagedale.gateway import upstream_entries

log = logging.getLogger(__name__)

# Withdrawn incarnations are remembered for this long. Copies are some seconds
# old, so earlier ones are not in them.
MEMORY_MS = 60_000.0
# Limit of remembered incarnations, more than the largest fleet replaces within
# that time; the oldest are evicted.
MAX_REMEMBERED = 8192
# Limit of held incarnations sent in one exchange.
MAX_SHARED = 512
# Time for hosts to tell each other what they remember: four exchange rounds.
RECONCILE_MS = 1000.0
# Time that incarnations are held. The store removes entries that have not been
# renewed for three heartbeats, so this allows for heartbeats of 4 s.
HOLD_MS = 15_000.0


class RecoveryState(enum.Enum):
    """State of a host's recovery.

    Attributes:
        SETTLED: Nothing is held.
        RECONCILING: Hosts tell each other what they remember.
        HOLDING: Held incarnations wait for their upstreams or the end.
    """

    SETTLED = "settled"
    RECONCILING = "reconciling"
    HOLDING = "holding"


class Withdrawal(NamedTuple):
    """An incarnation that must not be used because a copy lists it.

    Attributes:
        name: Name of the upstream.
        born_ms: Start time of the incarnation.
        sequence: Sequence of the latest entry that does not release it.
        left_ms: Time until it is released anyway, if it is still listed.
    """

    name: str
    born_ms: int
    sequence: int
    left_ms: float


class _Withdrawn(NamedTuple):
    born_ms: int
    sequence: int
    at_ms: float


class _Held(NamedTuple):
    born_ms: int
    sequence: int
    until_ms: float
    # The entry that the store lists, if any.
    listed: upstream_entries.Upstream | None = None


class StoreRecovery:
    """Remembers withdrawn upstreams, and holds them in a new epoch.

    Attributes:
        on_begin: Called when the store has begun a new epoch.
        on_step: Called with the name of each step, to count it.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._withdrawn: collections.OrderedDict[str, _Withdrawn] = (
            collections.OrderedDict()
        )
        self._held: dict[str, _Held] = {}
        # Entries that are known from the first list of an epoch alone.
        self._copied: set[str] = set()
        self._began_ms = float("-inf")
        self._is_settled = True
        self.on_begin: Callable[[], None] = _ignore_begin
        self.on_step: Callable[[str], None] = _ignore_step

    @property
    def state(self) -> RecoveryState:
        """State of the recovery."""
        if self._is_settled:
            return RecoveryState.SETTLED
        if self._clock.now_ms() - self._began_ms < RECONCILE_MS:
            return RecoveryState.RECONCILING
        return RecoveryState.HOLDING

    @property
    def is_settled(self) -> bool:
        """Whether nothing is held."""
        return self._is_settled

    @property
    def is_reconciled(self) -> bool:
        """Whether hosts have had time to tell each other what they remember."""
        return self.state is not RecoveryState.RECONCILING

    def observe(self, upstream: upstream_entries.Upstream) -> None:
        """Remembers an entry that is leaving; forgets one that is in use."""
        if upstream.is_leaving:
            self.remember(upstream)
        else:
            self.forget(upstream.name)

    def remember(self, upstream: upstream_entries.Upstream) -> None:
        """Remembers an incarnation that is leaving or was removed."""
        self._withdrawn[upstream.name] = _Withdrawn(
            upstream.born_ms, upstream.sequence, self._clock.now_ms()
        )
        self._withdrawn.move_to_end(upstream.name)
        if len(self._withdrawn) > MAX_REMEMBERED:
            self._withdrawn.popitem(last=False)

    def forget(self, name: str) -> None:
        """Forgets an upstream that has returned to use."""
        self._withdrawn.pop(name, None)

    def begin(self, epoch: int) -> None:
        """Begins the recovery, before a new epoch's first list is applied."""
        now_ms = self._clock.now_ms()
        until_ms = now_ms + HOLD_MS
        held = {
            name: _Held(each.born_ms, each.sequence, until_ms)
            for name, each in self._withdrawn.items()
            if now_ms - each.at_ms < MEMORY_MS
        }
        again = {
            name: each._replace(until_ms=until_ms, listed=None)
            for name, each in self._held.items()
            if name not in held
        }
        self._held = {**again, **held}
        self._copied.clear()
        self._began_ms = now_ms
        self._is_settled = False
        self.on_begin()
        self.on_step("begun")
        log.warning(
            "store came back from an older copy; recovering",
            extra={
                "epoch": epoch,
                "held": sorted(self._held)[:MAX_SHARED],
                "for_ms": HOLD_MS,
            },
        )

    def record_copied(self, names: Iterable[str]) -> None:
        """Records the entries of the first list of an epoch."""
        self._copied = {*names}

    def withholds(
        self, entry: upstream_entries.Upstream, is_copy: bool = False
    ) -> bool:
        """Tells whether an entry must not be used, or releases what it proves.

        Args:
            entry: The entry, as read from the store or from a peer.
            is_copy: Whether it is from the first list of an epoch, which may
                show later heartbeats than this host knows, from before the
                loss.
        """
        if not is_copy:
            self._copied.discard(entry.name)
        held = self._held.get(entry.name)
        if held is None:
            return False
        if entry.is_leaving:
            self._held[entry.name] = held._replace(listed=None)
            return False
        is_later = (entry.born_ms, entry.sequence) > held[:2]
        if is_later and (entry.born_ms > held.born_ms or not is_copy):
            self._release(entry.name, "written again")
            return False
        self._held[entry.name] = held._replace(
            sequence=max(held.sequence, entry.sequence)
            if entry.born_ms == held.born_ms
            else held.sequence,
            listed=entry,
        )
        if held.listed is None:
            self.on_step("held")
            log.info(
                "upstream held; the copy of the store lists it",
                extra={
                    "upstream": entry.name,
                    "sequence": entry.sequence,
                    "withdrawn_at_sequence": held.sequence,
                },
            )
        return True

    def record_removed(self, name: str) -> None:
        """Records that the store no longer lists an upstream."""
        held = self._held.get(name)
        if held is not None:
            self._held[name] = held._replace(listed=None)

    def retain_listed(self, names: Collection[str]) -> None:
        """Records that a newer list of a peer holds only these upstreams."""
        for name in [each for each in self._held if each not in names]:
            self.record_removed(name)

    def withdrawals(self) -> tuple[Withdrawal, ...]:
        """Returns what is held, to tell other hosts; empty when settled."""
        now_ms = self._clock.now_ms()
        latest = [*self._held.items()][-MAX_SHARED:]
        return tuple(
            Withdrawal(
                name, held.born_ms, held.sequence, held.until_ms - now_ms
            )
            for name, held in latest
            if held.until_ms > now_ms
        )

    def merge(
        self,
        withdrawals: Iterable[Withdrawal],
        upstreams: Mapping[str, upstream_entries.Upstream],
    ) -> list[str]:
        """Holds what another host holds, unless a later entry is known.

        Args:
            withdrawals: What the other host holds.
            upstreams: The entries of this host.

        Returns:
            The names of the given upstreams that must not be used any more.
        """
        return [
            each.name
            for each in withdrawals
            if self._adopt(each, upstreams.get(each.name))
        ]

    def _adopt(
        self, withdrawal: Withdrawal, entry: upstream_entries.Upstream | None
    ) -> bool:
        """Holds an incarnation; returns whether its entry was in use."""
        name, born_ms, sequence, left_ms = withdrawal
        held = self._held.get(name)
        if held is not None and held[:2] >= (born_ms, sequence):
            return False
        if entry is not None and self._is_later(entry, withdrawal):
            return False
        if entry is not None and entry.born_ms == born_ms:
            sequence = max(sequence, entry.sequence)
        in_use = entry is not None and not entry.is_leaving
        listed = entry if in_use else None
        if listed is None and held is not None:
            listed = held.listed
        until_ms = self._clock.now_ms() + min(left_ms, HOLD_MS)
        self._held[name] = _Held(born_ms, sequence, until_ms, listed)
        self._is_settled = False
        if in_use:
            self.on_step("held")
            log.info(
                "upstream held, as a peer remembers", extra={"upstream": name}
            )
        return in_use

    def _is_later(
        self, entry: upstream_entries.Upstream, withdrawal: Withdrawal
    ) -> bool:
        """Returns whether an entry was written after a withdrawal."""
        if entry.born_ms != withdrawal.born_ms:
            return entry.born_ms > withdrawal.born_ms
        is_copied = entry.name in self._copied
        return entry.sequence > withdrawal.sequence and not is_copied

    def release_expired(
        self, not_before_ms: float
    ) -> list[upstream_entries.Upstream]:
        """Ends holds whose time is up; returns the entries still listed.

        Args:
            not_before_ms: Time in ms before which nothing is released, as the
                store fails or has just failed.
        """
        now_ms = self._clock.now_ms()
        if self._is_settled or now_ms < not_before_ms:
            return []
        expired = {
            name: held
            for name, held in self._held.items()
            if held.until_ms <= now_ms
        }
        for name in expired:
            self._release(name, "still listed at the end of the hold")
        if not self._held and now_ms - self._began_ms >= HOLD_MS:
            self._is_settled = True
            self._copied.clear()
            self.on_step("settled")
            log.info("recovery of the store settled")
        return [held.listed for held in expired.values() if held.listed]

    def _release(self, name: str, reason: str) -> None:
        held = self._held.pop(name)
        if held.listed is not None:
            self.on_step("released")
            log.info(
                "upstream no longer held",
                extra={"upstream": name, "reason": reason},
            )


class HostListRecovery:
    """Decides on the host list that the reader writes in a new epoch."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._epoch = 0
        self._since_ms = float("-inf")

    def planned_update(
        self,
        stored: roster_lib.HostList,
        remembered: roster_lib.HostList,
        alive: Collection[str],
        epoch: int,
    ) -> roster_lib.HostList | None:
        """Returns the list to write, or None while this has to wait.

        Args:
            stored: The list in the store, written in an earlier epoch.
            remembered: The newest list that this host knows.
            alive: Names of the live hosts, including this one.
            epoch: Epoch of the store.
        """
        now_ms = self._clock.now_ms()
        if epoch != self._epoch:
            self._epoch = epoch
            self._since_ms = now_ms
        wait_ms = (
            RECONCILE_MS if remembered.hosts else roster_lib.REMOVE_AFTER_MS
        )
        if now_ms - self._since_ms < wait_ms:
            return None
        return reconciled_hosts(stored, remembered, alive)


def is_from_earlier_epoch(
    stored: roster_lib.HostList, remembered: roster_lib.HostList, epoch: int
) -> bool:
    """Returns whether the stored list must be reconciled before its use.

    Args:
        stored: The list in the store.
        remembered: The newest list that this host knows.
        epoch: Epoch of the store.
    """
    has_hosts = bool(stored.hosts or remembered.hosts)
    return has_hosts and stored.revision.epoch != epoch


def reconciled_hosts(
    stored: roster_lib.HostList,
    remembered: roster_lib.HostList,
    alive: Collection[str],
) -> roster_lib.HostList:
    """Returns a list under which no host gets a greater share than before.

    It holds all names, so it is no shorter than the list in force, and only the
    hosts that share under the newer list share under it at once.
    """
    newer = max(stored, remembered, key=lambda each: each.revision)
    hosts = tuple(sorted({*stored.hosts, *remembered.hosts, *alive}))
    joining = tuple(name for name in hosts if name not in newer.sharing)
    return stored._replace(hosts=hosts, joining=joining)


def _ignore_begin() -> None:
    pass


def _ignore_step(step: str) -> None:
    del step
