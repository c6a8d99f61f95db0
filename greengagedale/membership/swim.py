"""Failure detection of hosts with the SWIM protocol, without I/O.

Two rules prevent false removals of healthy hosts:

- Timeouts count only the time during which this host's own event loop runs,
  so that a host that was frozen or busy does not suspect others.
- A suspicion is gossiped only if a relay confirms that it gets no answer
  either. If no relay answers, the fault may be this host's own, so it marks
  the target as unreachable only in its own table.
"""

import collections
from collections.abc import Iterable
import dataclasses
import random
from typing import NamedTuple

from greengagedale.membership import announcements as announcements_lib
from greengagedale.membership import gossip as gossip_lib
from greengagedale.membership import messages
from greengagedale.membership import peer_table as peer_table_lib

_MAX_ANNOUNCEMENT_TTL_MS = 3_600_000.0

State = messages.State
Kind = messages.Kind


class Options(NamedTuple):
    """Intervals, timeouts and limits of the protocol.

    Attributes:
        tick_ms: Interval at which `tick` is called.
        probe_interval_ms: Time between the starts of two probes.
        resend_ms: Time between two pings of one probe.
        direct_timeout_ms: Time without an answer after which relays are asked
            for indirect probes.
        relay_timeout_ms: Time that a relay waits for an answer before it sends
            a NACK.
        probe_timeout_ms: Time without an answer after which the probe fails.
        suspicion_ms: Time that a suspected host has to refute the suspicion.
        join_interval_ms: Time between pings to join candidates.
        relays: Number of hosts that are asked for an indirect probe.
        push_hosts: Number of hosts that urgent gossip is pushed to.
        bytes_per_s: Limit on the average rate at which bytes are sent.
        datagram_bytes: Maximum size of a message.
    """

    tick_ms: float = 50.0
    probe_interval_ms: float = 300.0
    resend_ms: float = 150.0
    direct_timeout_ms: float = 300.0
    relay_timeout_ms: float = 350.0
    probe_timeout_ms: float = 800.0
    suspicion_ms: float = 5000.0
    join_interval_ms: float = 1000.0
    relays: int = 3
    push_hosts: int = 3
    bytes_per_s: float = 1800.0
    datagram_bytes: int = 500


@dataclasses.dataclass(slots=True)
class _Probe:
    target: str
    sent_ms: float
    pinged_ms: float
    relayed: bool = False
    nacks: int = 0


class _Relay(NamedTuple):
    requester: messages.Update
    requester_sequence: int
    target: str
    expires_ms: float


class Swim:
    """State of the membership protocol on one host.

    Attributes:
        table: Table of the other hosts.
        counts: Number of occurrences of each event, by event name.
    """

    def __init__(
        self,
        status: messages.PeerStatus,
        endpoint: str,
        incarnation: int,
        options: Options,
        announcement_cache: announcements_lib.AnnouncementCache,
        rng: random.Random,
        now_ms: float,
    ) -> None:
        self._own_update = messages.Update(
            status.name, endpoint, incarnation, State.ALIVE, 0, status
        )
        self._options = options
        self._announcement_cache = announcement_cache
        self._rng = rng
        self.table = peer_table_lib.PeerTable()
        self._gossip = gossip_lib.GossipQueue(
            self.table, announcement_cache, rng
        )
        self._budget = gossip_lib.ByteBudget(options.bytes_per_s, now_ms)
        self._join_candidates: set[str] = set()
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._probe_order: list[str] = []
        self._sequence = 0
        self._now_ms = now_ms
        # Time during which this host's own event loop ran.
        self._active_ms = 0.0
        self._next_probe_ms = 0.0
        self._next_join_ms = 0.0
        self.counts: collections.Counter[str] = collections.Counter()

    @property
    def incarnation(self) -> int:
        """Incarnation of this host."""
        return self._own_update.incarnation

    def set_join_candidates(self, endpoints: Iterable[str]) -> None:
        """Replaces the endpoints at which other hosts may be found."""
        self._join_candidates = {
            e for e in endpoints if e != self._own_update.endpoint
        }

    def set_status(self, status: messages.PeerStatus) -> None:
        """Sets the status that this host reports about itself."""
        held = self._own_update.status
        if status == held:
            return
        self._own_update = self._own_update._replace(
            version=self._own_update.version + 1, status=status
        )
        if held._replace(running=0) != status._replace(running=0):
            self._gossip.urgent = True

    def usable(self) -> list[messages.PeerStatus]:
        """Returns the statuses of the hosts that callers may be directed to."""
        return [
            peer.update.status
            for peer in self.table.peers.values()
            if peer.usable and peer.update.status is not None
        ]

    def tick(self, now_ms: float) -> list[messages.Outgoing]:
        """Runs all due actions; must be called every `tick_ms`."""
        passed_ms = now_ms - self._now_ms
        self._now_ms = now_ms
        self._active_ms += min(passed_ms, 2 * self._options.tick_ms)
        out = [*self._expire_relays(), *self._advance_probes()]
        self._expire_suspicions()
        self._gossip.refresh_announcements()
        if self._active_ms >= self._next_probe_ms:
            self._next_probe_ms = (
                self._active_ms + self._options.probe_interval_ms
            )
            out += self._start_probe()
        if self._active_ms >= self._next_join_ms:
            self._next_join_ms = (
                self._active_ms + self._options.join_interval_ms
            )
            out += self._ping_join_candidate()
        return out + self._push_urgent()

    def receive(self, received: messages.Datagram) -> list[messages.Outgoing]:
        """Processes a received message and returns the answers to it."""
        sender = received.sender
        if sender.name == self._own_update.name or sender.status is None:
            self.counts["foreign"] += 1
            return []
        for update in (sender, *received.updates):
            self._merge(update)
        for item in reversed(received.announcements):
            # The comparison is also False for NaN.
            if 0 < item.remaining_ms <= _MAX_ANNOUNCEMENT_TTL_MS:
                self._announcement_cache.add(item)
            else:
                self.counts["invalid_news"] += 1
        match received.kind:
            case Kind.PING if received.target in ("", self._own_update.name):
                return [self._answer(Kind.ACK, sender, received.sequence)]
            case Kind.PING_REQUEST:
                return self._on_ping_request(received)
            case Kind.ACK:
                return self._on_ack(received)
            case Kind.NACK:
                probe = self._probes.get(received.sequence)
                if probe is not None and probe.target == received.target:
                    probe.nacks += 1
            case Kind.PING:
                self.counts["misdirected"] += 1
        return []

    def known_updates(self) -> list[messages.Update]:
        """Returns the known updates of all hosts, including this one."""
        return [
            self._own_update,
            *(m.update for m in self.table.peers.values()),
        ]

    def merge_updates(self, updates: Iterable[messages.Update]) -> None:
        """Merges updates from the table of another host; some may be old."""
        for update in updates:
            self._merge(update)

    def leave(self) -> list[messages.Outgoing]:
        """Returns messages that announce that this host has left."""
        self._own_update = self._own_update._replace(state=State.LEFT)
        return self._push_to(self.table.reachable())

    def _merge(self, update: messages.Update) -> None:
        if update.name == self._own_update.name:
            self._refute(update)
            return
        change = self.table.merge(update, self._active_ms)
        if change is not None and change.urgent:
            state = self.table.peers[change.name].update.state
            self.counts[f"heard_{state.name.lower()}"] += 1
            self._gossip.enqueue(change.name, urgent=True)

    def _refute(self, update: messages.Update) -> None:
        own = self._own_update
        is_accused = update.state is not State.ALIVE
        if update.incarnation > own.incarnation or (
            is_accused and update.incarnation == own.incarnation
        ):
            self._own_update = own._replace(incarnation=update.incarnation + 1)
            self._gossip.urgent = True
            self.counts["refuted"] += 1

    def _start_probe(self) -> list[messages.Outgoing]:
        target = self._next_probe_target()
        if target is None:
            return []
        sequence = self._next_sequence()
        self._probes[sequence] = _Probe(
            target.name, self._active_ms, self._active_ms
        )
        return [self._ping(target, sequence)]

    def _next_probe_target(self) -> messages.Update | None:
        """Returns the next host, round-robin, so that each one is probed."""
        reachable = {m.update.name: m.update for m in self.table.reachable()}
        known = [name for name in self._probe_order if name in reachable]
        for name in sorted(reachable.keys() - set(known)):
            known.insert(self._rng.randrange(len(known) + 1), name)
        if not known:
            self._probe_order = []
            return None
        self._probe_order = [*known[1:], known[0]]
        return reachable[known[0]]

    def _advance_probes(self) -> list[messages.Outgoing]:
        out = []
        for sequence, probe in list(self._probes.items()):
            waited_ms = self._active_ms - probe.sent_ms
            if waited_ms >= self._options.probe_timeout_ms:
                del self._probes[sequence]
                self._on_probe_failed(probe)
                continue
            if waited_ms >= self._options.direct_timeout_ms:
                out += self._request_indirect_probes(sequence, probe)
            out += self._resend_ping(sequence, probe)
        return out

    def _resend_ping(
        self, sequence: int, probe: _Probe
    ) -> list[messages.Outgoing]:
        peer = self.table.peers.get(probe.target)
        waited_ms = self._active_ms - probe.pinged_ms
        if peer is None or not peer.usable:
            return []
        if waited_ms < self._options.resend_ms:
            return []
        probe.pinged_ms = self._active_ms
        return [self._ping(peer.update, sequence)]

    def _request_indirect_probes(
        self, sequence: int, probe: _Probe
    ) -> list[messages.Outgoing]:
        peer = self.table.peers.get(probe.target)
        if probe.relayed or peer is None:
            return []
        probe.relayed = True
        self.counts["relay_requests"] += 1
        update = peer.update
        request = messages.Datagram(
            Kind.PING_REQUEST,
            sequence,
            self._own_update,
            update.name,
            update.endpoint,
        )
        return [
            self._send(relay.update.endpoint, request, None)
            for relay in self._sample(self._options.relays, update.name)
        ]

    def _on_probe_failed(self, probe: _Probe) -> None:
        peer = self.table.peers.get(probe.target)
        if peer is None or peer.update.state is not State.ALIVE:
            return
        if probe.nacks == 0:
            if not peer.locally_unreachable:
                self.counts["doubted"] += 1
            peer.locally_unreachable = True
            return
        self.counts["suspected"] += 1
        self.table.set_state(probe.target, State.SUSPECT, self._active_ms)
        self._gossip.enqueue(probe.target, urgent=True)

    def _expire_suspicions(self) -> None:
        for name in self.table.expired_suspects(
            self._options.suspicion_ms, self._active_ms
        ):
            self.counts["declared_dead"] += 1
            self.table.set_state(name, State.DEAD, self._active_ms)
            self._gossip.enqueue(name, urgent=True)
        self.table.remove_ended(self._active_ms)

    def _on_ack(self, received: messages.Datagram) -> list[messages.Outgoing]:
        relay = self._relays.pop(received.sequence, None)
        if relay is not None and relay.target == received.sender.name:
            return [
                self._answer(
                    Kind.ACK,
                    relay.requester,
                    relay.requester_sequence,
                    relay.target,
                )
            ]
        name = received.target or received.sender.name
        probe = self._probes.get(received.sequence)
        if probe is not None and probe.target == name:
            del self._probes[received.sequence]
            self.table.peers[name].locally_unreachable = False
        return []

    def _on_ping_request(
        self, received: messages.Datagram
    ) -> list[messages.Outgoing]:
        sequence = self._next_sequence()
        expires_ms = self._active_ms + self._options.relay_timeout_ms
        self._relays[sequence] = _Relay(
            received.sender, received.sequence, received.target, expires_ms
        )
        ping = messages.Datagram(
            Kind.PING, sequence, self._own_update, received.target
        )
        return [self._send(received.target_endpoint, ping, received.target)]

    def _expire_relays(self) -> list[messages.Outgoing]:
        ended = [
            sequence
            for sequence, relay in self._relays.items()
            if self._active_ms >= relay.expires_ms
        ]
        relays = [self._relays.pop(sequence) for sequence in ended]
        return [
            self._answer(Kind.NACK, r.requester, r.requester_sequence, r.target)
            for r in relays
        ]

    def _ping_join_candidate(self) -> list[messages.Outgoing]:
        """Pings one endpoint that may belong to a host not known as alive."""
        reached = {m.update.endpoint for m in self.table.reachable()}
        dead = {m.update.endpoint for m in self.table.in_state(State.DEAD)}
        candidates = sorted((self._join_candidates | dead) - reached)
        if not candidates:
            return []
        ping = messages.Datagram(
            Kind.PING, self._next_sequence(), self._own_update
        )
        return [self._send(self._rng.choice(candidates), ping, None)]

    def _push_urgent(self) -> list[messages.Outgoing]:
        if not self._gossip.urgent:
            return []
        left = self._budget.available_bytes(self._now_ms)
        if left < self._options.datagram_bytes:
            self.counts["pushes_deferred"] += 1
            return []
        self._gossip.urgent = False
        return self._push_to(self._sample(self._options.push_hosts, None))

    def _push_to(
        self, peers: list[peer_table_lib.Peer]
    ) -> list[messages.Outgoing]:
        return [
            self._send(
                peer.update.endpoint,
                messages.Datagram(Kind.PUSH, 0, self._own_update),
                None,
            )
            for peer in peers
        ]

    def _ping(
        self, target: messages.Update, sequence: int
    ) -> messages.Outgoing:
        ping = messages.Datagram(
            Kind.PING, sequence, self._own_update, target.name
        )
        return self._send(target.endpoint, ping, target.name)

    def _answer(
        self, kind: Kind, to: messages.Update, sequence: int, target: str = ""
    ) -> messages.Outgoing:
        answer = messages.Datagram(kind, sequence, self._own_update, target)
        return self._send(to.endpoint, answer, to.name)

    def _send(
        self, endpoint: str, message: messages.Datagram, to: str | None
    ) -> messages.Outgoing:
        """Builds a message and fills it up with gossip.

        A suspected or dead recipient gets the update about itself first, so
        that it can refute it; for this the byte budget may be overdrawn.
        """
        left = self._budget.available_bytes(self._now_ms)
        limit = min(self._options.datagram_bytes, max(0, left))
        recipient = self.table.peers.get(to) if to is not None else None
        first = None
        if recipient is not None and recipient.update.state is not State.ALIVE:
            first = to
            limit = self._options.datagram_bytes
        rotate = self._budget.has_reserve(self._now_ms)
        filled = self._gossip.fill(message, first, limit, rotate)
        size = messages.size_bytes(filled) + messages.PACKET_OVERHEAD_BYTES
        self._budget.spend(size)
        self.counts["sent_bytes"] += size
        self.counts["sent_messages"] += 1
        return messages.Outgoing(endpoint, filled)

    def _sample(
        self, count: int, excluded: str | None
    ) -> list[peer_table_lib.Peer]:
        found = [
            peer
            for peer in self.table.in_state(State.ALIVE)
            if not peer.locally_unreachable and peer.update.name != excluded
        ]
        return self._rng.sample(found, min(count, len(found)))

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence
