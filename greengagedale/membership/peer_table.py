"""Table of the other hosts, and the rules for merging updates into it."""

import dataclasses

from greengagedale.membership import messages

MAX_PEERS = 4096
_TOMBSTONE_MS = 600_000.0


@dataclasses.dataclass(slots=True)
class Peer:
    """One other host.

    Attributes:
        update: Latest known update about the host.
        changed_ms: Time of its last state change.
        locally_unreachable: Whether a probe by this host failed and no relay
            confirmed the failure.
    """

    update: messages.Update
    changed_ms: float
    locally_unreachable: bool = False

    @property
    def usable(self) -> bool:
        """Whether callers may be directed to the host, according to probes."""
        return (
            self.update.state is messages.State.ALIVE
            and not self.locally_unreachable
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Effect of an update on the table.

    Attributes:
        name: Name of the host that changed.
        urgent: Whether the change must be pushed in a message of its own.
    """

    name: str
    urgent: bool


class PeerTable:
    """The other hosts that this host knows, including dead and left ones.

    Attributes:
        peers: The hosts by name.
    """

    def __init__(self) -> None:
        self.peers: dict[str, Peer] = {}

    def merge(self, received: messages.Update, now_ms: float) -> Change | None:
        """Merges an update; returns None if it is not newer than the table."""
        peer = self.peers.get(received.name)
        if peer is None:
            return self._add(received, now_ms)
        known = peer.update
        state_newer = (received.incarnation, received.state) > (
            known.incarnation,
            known.state,
        )
        status_newer = received.status is not None and (
            received.incarnation,
            received.version,
        ) > (known.incarnation, known.version)
        if not state_newer and not status_newer:
            return None
        merged = _merged(known, received, state_newer, status_newer)
        if merged.state is not known.state:
            peer.changed_ms = now_ms
        if merged.incarnation > known.incarnation:
            peer.locally_unreachable = False
        peer.update = merged
        return Change(received.name, _is_urgent(known, merged))

    def set_state(
        self, name: str, state: messages.State, now_ms: float
    ) -> None:
        """Sets the state of a host, at its current incarnation."""
        peer = self.peers[name]
        peer.update = peer.update._replace(state=state)
        peer.changed_ms = now_ms

    def in_state(self, *states: messages.State) -> list[Peer]:
        """Returns the hosts that are in any of the states."""
        return [m for m in self.peers.values() if m.update.state in states]

    def reachable(self) -> list[Peer]:
        """Returns the hosts that are probed: alive or suspected ones."""
        return self.in_state(messages.State.ALIVE, messages.State.SUSPECT)

    def expired_suspects(self, suspicion_ms: float, now_ms: float) -> list[str]:
        """Returns the names of suspected hosts that did not refute in time."""
        return [
            peer.update.name
            for peer in self.in_state(messages.State.SUSPECT)
            if now_ms - peer.changed_ms >= suspicion_ms
        ]

    def remove_ended(self, now_ms: float) -> None:
        """Removes dead and left hosts after the tombstone time."""
        ended = self.in_state(messages.State.DEAD, messages.State.LEFT)
        for peer in ended:
            if now_ms - peer.changed_ms >= _TOMBSTONE_MS:
                del self.peers[peer.update.name]

    def _add(self, received: messages.Update, now_ms: float) -> Change | None:
        if received.status is None or len(self.peers) >= MAX_PEERS:
            return None
        self.peers[received.name] = Peer(received, now_ms)
        return Change(received.name, urgent=True)


def _merged(
    known: messages.Update,
    received: messages.Update,
    state_newer: bool,
    status_newer: bool,
) -> messages.Update:
    merged = known
    if state_newer:
        merged = merged._replace(
            incarnation=received.incarnation,
            state=received.state,
            endpoint=received.endpoint,
        )
    if status_newer:
        merged = merged._replace(
            version=received.version, status=received.status
        )
    elif received.incarnation > known.incarnation:
        # The known status is from the old incarnation, so any status version
        # of the new incarnation must replace it.
        merged = merged._replace(version=-1)
    return merged


def _is_urgent(known: messages.Update, merged: messages.Update) -> bool:
    if (known.incarnation, known.state) != (merged.incarnation, merged.state):
        return True
    if known.status is None or merged.status is None:
        return True
    return known.status._replace(running=0) != merged.status._replace(running=0)
