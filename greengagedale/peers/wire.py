"""gRPC methods and msgpack encoding of the requests between hosts."""

from typing import Any

import msgspec

SERVICE = "greengagedale.Peers"
MEMBERS = "Members"
EXPLAIN = "Explain"
ACT = "Act"
CATALOG = "Catalog"
DOCUMENTS = "Documents"
SERVICES = "Services"

encode = msgspec.msgpack.encode


def path_of(method: str) -> str:
    """Returns the full gRPC path of a method."""
    return f"/{SERVICE}/{method}"


def decode(encoded: bytes, as_type: Any) -> Any:
    """Decodes a message.

    Raises:
        msgspec.DecodeError: The bytes are not a valid message of that type.
    """
    return msgspec.msgpack.decode(encoded, type=as_type)
