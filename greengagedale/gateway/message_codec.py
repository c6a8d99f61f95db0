"""Messages between hosts as bytes: msgpack, compressed.

Lists of upstreams and hosts repeat names and addresses, so that they shrink to
a fifth or less; bytes between data centres are priced.
"""

from typing import Any
import zlib

import msgspec

# The fastest level; the next ones save little and take twice as long.
_LEVEL = 1
# Longest message taken, unpacked; 50,000 upstreams take about 10 MB.
MAX_MESSAGE_BYTES = 32 * 1024 * 1024


def encode(message: Any) -> bytes:
    """Encodes a message."""
    return zlib.compress(msgspec.msgpack.encode(message), _LEVEL)


def decode(data: bytes, decoder: msgspec.msgpack.Decoder[Any]) -> Any:
    """Decodes a message.

    Raises:
        msgspec.DecodeError: It can't be read, or is too long.
    """
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(f"not compressed: {error}") from error
    if not inflater.eof:
        raise msgspec.DecodeError("cut short or too long")
    return decoder.decode(plain)
