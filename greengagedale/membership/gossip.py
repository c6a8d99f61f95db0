"""Selects the gossip that is added to datagrams, within a byte budget."""

from collections.abc import Iterable
import itertools
import math
import random

from greengagedale.membership import announcements as announcements_lib
from greengagedale.membership import messages
from greengagedale.membership import peer_table as peer_table_lib

_RETRANSMIT_FACTOR = 3
MAX_ANNOUNCEMENT_BYTES = 250
_BURST_S = 4.0
_MS_PER_S = 1000.0


class ByteBudget:
    """Limits the bytes sent per second; unused bytes allow short bursts."""

    def __init__(self, bytes_per_s: float, now_ms: float) -> None:
        self._rate = bytes_per_s
        self._available_bytes = bytes_per_s * _BURST_S
        self._updated_ms = now_ms

    def available_bytes(self, now_ms: float) -> int:
        """Returns how many bytes may be sent now; negative if overdrawn."""
        earned = (now_ms - self._updated_ms) / _MS_PER_S * self._rate
        self._available_bytes = min(
            self._rate * _BURST_S, self._available_bytes + earned
        )
        self._updated_ms = now_ms
        return int(self._available_bytes)

    def spend(self, sent_bytes: int) -> None:
        """Deducts sent bytes from the budget."""
        self._available_bytes -= sent_bytes

    def has_reserve(self, now_ms: float) -> bool:
        """Returns whether more is available than the reserve for urgent gossip.

        The reserve is half of the largest burst.
        """
        return self.available_bytes(now_ms) > self._rate * _BURST_S / 2


class GossipQueue:
    """Pending updates and announcements, those sent least often first.

    Attributes:
        urgent: Whether pending gossip must be pushed in a message of its own.
    """

    def __init__(
        self,
        table: peer_table_lib.PeerTable,
        announcement_cache: announcements_lib.AnnouncementCache,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._announcement_cache = announcement_cache
        self._rng = rng
        self._update_sends: dict[str, int] = {}
        self._announcement_sends: dict[tuple[str, str, int], int] = {}
        self._rotation: list[str] = []
        self.urgent = False

    def enqueue(self, name: str, urgent: bool) -> None:
        """Schedules the update about a host for sending."""
        self._update_sends.pop(name, None)
        self._update_sends[name] = 0
        self.urgent = self.urgent or urgent

    def refresh_announcements(self) -> None:
        """Adds new announcements of the cache and drops expired ones.

        Announcements larger than `MAX_ANNOUNCEMENT_BYTES` are not sent.
        """
        keys = {
            _key_of(item)
            for item in self._announcement_cache.current()
            if messages.size_bytes(item) <= MAX_ANNOUNCEMENT_BYTES
        }
        self._announcement_sends = {
            key: self._announcement_sends.get(key, 0) for key in keys
        }
        if any(sends == 0 for sends in self._announcement_sends.values()):
            self.urgent = True

    def fill(
        self,
        message: messages.Datagram,
        first: str | None,
        limit_bytes: int,
        rotate: bool,
    ) -> messages.Datagram:
        """Adds updates and announcements to a message, up to a size.

        Args:
            message: Message without updates and announcements.
            first: Name of the host whose update is added first, if it is
                known.
            limit_bytes: Maximum size of the result.
            rotate: Whether to fill the remaining space with updates about
                hosts that have not changed.
        """
        left = limit_bytes - messages.size_bytes(message)
        share = max(left // 2, min(left, MAX_ANNOUNCEMENT_BYTES))
        chosen_announcements, left = self._select_fitting(
            self._pending_announcements(), share, left
        )
        names = itertools.chain(
            [first] if first is not None else [],
            sorted(self._update_sends, key=self._update_sends.__getitem__),
            self._rotating_names() if rotate else [],
        )
        updates = self._updates_of(names, message.sender.name)
        chosen, _ = self._select_fitting(updates, left, left)
        self._record_sends(chosen, chosen_announcements)
        return message._replace(
            updates=tuple(chosen), announcements=tuple(chosen_announcements)
        )

    def _select_fitting(
        self, items: Iterable, share_bytes: int, available_bytes: int
    ) -> tuple[list, int]:
        chosen = []
        for item in items:
            size = messages.size_bytes(item)
            if size > share_bytes:
                break
            chosen.append(item)
            share_bytes -= size
            available_bytes -= size
        return chosen, available_bytes

    def _pending_announcements(self) -> list[announcements_lib.Announcement]:
        max_sends = self._max_sends()
        items = [
            item._replace(remaining_ms=int(item.remaining_ms))
            for item in self._announcement_cache.current()
            if self._announcement_sends.get(_key_of(item), max_sends)
            < max_sends
        ]
        return sorted(
            items,
            key=lambda item: self._announcement_sends.get(_key_of(item), 0),
        )

    def _rotating_names(self) -> Iterable[str]:
        """Yields hosts in turn, to refresh loads and repair lost updates."""
        for _ in range(len(self._table.peers)):
            yield self._next_in_rotation()

    def _next_in_rotation(self) -> str:
        if not self._rotation:
            self._rotation = list(self._table.peers)
            self._rng.shuffle(self._rotation)
        return self._rotation.pop()

    def _updates_of(
        self, names: Iterable[str], sender: str
    ) -> Iterable[messages.Update]:
        seen = {sender}
        for name in names:
            peer = self._table.peers.get(name)
            if peer is None or name in seen:
                continue
            seen.add(name)
            yield _drop_status_unless_alive(peer.update)

    def _record_sends(
        self,
        updates: list[messages.Update],
        items: list[announcements_lib.Announcement],
    ) -> None:
        max_sends = self._max_sends()
        for update in updates:
            sends = self._update_sends.get(update.name)
            if sends is None:
                continue
            if sends + 1 >= max_sends:
                del self._update_sends[update.name]
            else:
                self._update_sends[update.name] = sends + 1
        for item in items:
            key = _key_of(item)
            self._announcement_sends[key] = (
                self._announcement_sends.get(key, 0) + 1
            )

    def _max_sends(self) -> int:
        hosts = len(self._table.peers) + 1
        return _RETRANSMIT_FACTOR * math.ceil(math.log2(hosts + 1))


def _drop_status_unless_alive(update: messages.Update) -> messages.Update:
    if update.state is messages.State.ALIVE:
        return update
    return update._replace(status=None)


def _key_of(item: announcements_lib.Announcement) -> tuple[str, str, int]:
    return item.kind, item.name, item.sequence
