"""Messages of the membership protocol, and their encoding.

The protocol is SWIM (Das, Gupta, Motivala, DSN 2002): each host probes one
other host at a time, requests indirect probes from other hosts if no answer
comes, and piggybacks gossip on the messages that it sends.
"""

import enum
from typing import NamedTuple

import msgspec

from greengagedale.membership import announcements as announcements_lib

# UDP and IPv4 headers of each packet.
PACKET_OVERHEAD_BYTES = 28


class PeerStatus(NamedTuple):
    """Status that a host reports about itself.

    Attributes:
        name: Name of the host.
        data_centre: Data centre of the host.
        incarnation: Identifier of the current run of its process.
        caller_endpoint: Endpoint that callers connect to.
        revision: Revision of the configuration in force.
        ready: Whether the host has the state that it needs to serve requests.
        leaving: Whether the host is shutting down.
        running: Number of requests in progress.
    """

    name: str
    data_centre: str
    incarnation: str
    caller_endpoint: str
    revision: int
    ready: bool
    leaving: bool
    running: int


class State(enum.IntEnum):
    """Membership state of a host.

    Of two states at the same incarnation the higher one takes precedence.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Kind(enum.IntEnum):
    """Kind of a datagram."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    NACK = 3
    PUSH = 4


class Update(NamedTuple):
    """Membership update: the known state of one host.

    Attributes:
        name: Name of the host.
        endpoint: Endpoint at which other hosts reach it.
        incarnation: Increases when the host restarts or refutes a suspicion.
        state: Membership state of the host.
        version: Increases with each new status at the same incarnation.
        status: Status that the host reports; None if the update contains only
            the state.
    """

    name: str
    endpoint: str
    incarnation: int
    state: State
    version: int
    status: PeerStatus | None


class Datagram(NamedTuple):
    """One message of the membership protocol.

    Attributes:
        kind: Kind of the message.
        sequence: Sequence number of a probe, echoed in the answer.
        sender: Update of the sender about itself.
        target: Name of the host that is probed; empty for the receiver,
            whatever its name.
        target_endpoint: Endpoint at which a relay reaches the target.
        updates: Updates about other hosts.
        announcements: Announcements to pass on.
    """

    kind: Kind
    sequence: int
    sender: Update
    target: str = ""
    target_endpoint: str = ""
    updates: tuple[Update, ...] = ()
    announcements: tuple[announcements_lib.Announcement, ...] = ()


class Outgoing(NamedTuple):
    """A message and its destination endpoint."""

    endpoint: str
    message: Datagram


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)

encode = _encoder.encode


def decode(encoded: bytes) -> Datagram:
    """Decodes a datagram.

    Raises:
        msgspec.DecodeError: The bytes are not a valid datagram.
    """
    return _decoder.decode(encoded)


def size_bytes(item: Datagram | Update | announcements_lib.Announcement) -> int:
    """Returns the encoded size in bytes."""
    return len(_encoder.encode(item))
