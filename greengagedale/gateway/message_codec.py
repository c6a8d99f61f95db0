"""Encoding of messages between hosts: compressed msgpack.

Lists of upstreams and hosts repeat names and addresses, so compression reduces
them to a fifth or less; traffic between data centres is charged.
"""

from typing import Any
import zlib

import msgspec

# The fastest level; higher ones save little and take twice as long.
_LEVEL = 1
# Maximum size of a decompressed message; 50,000 upstreams take about 10 MB.
MAX_MESSAGE_BYTES = 32 * 1024 * 1024


def encode(message: Any) -> bytes:
    """Encodes a message."""
    return zlib.compress(msgspec.msgpack.encode(message), _LEVEL)


def decode(data: bytes, decoder: msgspec.msgpack.Decoder[Any]) -> Any:
    """Decodes a message.

    Raises:
        msgspec.DecodeError: The message is malformed, truncated or too long.
    """
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(
            f"can't decompress message: {error}"
        ) from error
    if not inflater.eof:
        raise msgspec.DecodeError("message truncated or too long")
    return decoder.decode(plain)
