"""Messages of the membership protocol, and their encoding.

The protocol is SWIM (Das, Gupta, Motivala, DSN 2002): every host probes one
other at a time, asks others to probe for it when no answer comes, and adds
what it knows of others to each message that it sends anyway.
"""

import enum
from typing import NamedTuple

import msgspec

from greengagedale.membership import announcements as announcements_lib

# Addresses and headers of UDP and IP in each packet.
PACKET_OVERHEAD_BYTES = 28


class PeerStatus(NamedTuple):
    """What a host says of itself.

    Attributes:
        name: Name of the host.
        data_centre: Where it runs.
        incarnation: Identifies one life of its process.
        caller_endpoint: Where callers connect.
        revision: Revision of the configuration in force.
        ready: Whether it knows enough to serve.
        leaving: Whether it is on its way out.
        running: Requests in progress.
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
    """What is thought of a host; at one incarnation the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Kind(enum.IntEnum):
    """What a datagram asks or answers."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    NACK = 3
    PUSH = 4


class Update(NamedTuple):
    """What a host knows of one host.

    Attributes:
        name: Name of the host that it is about.
        endpoint: Where other hosts reach it.
        incarnation: Rises when the host restarts or refutes a suspicion.
        state: What is thought of it.
        version: Rises with each new status at the same incarnation.
        status: What it says of itself; None if only the state is told.
    """

    name: str
    endpoint: str
    incarnation: int
    state: State
    version: int
    status: PeerStatus | None


class Datagram(NamedTuple):
    """One message.

    Attributes:
        kind: What it asks or answers.
        sequence: Repeated in the answer to a probe.
        sender: What the sender says of itself.
        target: Host that is probed; empty for whichever host gets it.
        target_endpoint: Where a relay reaches the target.
        updates: What the sender knows of other hosts.
        news: Facts to pass on.
    """

    kind: Kind
    sequence: int
    sender: Update
    target: str = ""
    target_endpoint: str = ""
    updates: tuple[Update, ...] = ()
    announcements: tuple[announcements_lib.Announcement, ...] = ()


class Outgoing(NamedTuple):
    """A message and where it goes."""

    endpoint: str
    message: Datagram


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)

encode = _encoder.encode


def decode(encoded: bytes) -> Datagram:
    """Decodes a datagram.

    Raises:
        msgspec.DecodeError: It is not one.
    """
    return _decoder.decode(encoded)


def size_bytes(item: Datagram | Update | announcements_lib.Announcement) -> int:
    """Returns the encoded size."""
    return len(_encoder.encode(item))
