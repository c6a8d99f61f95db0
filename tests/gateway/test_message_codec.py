"""Tests of the encoding of messages between hosts."""

from gateway_scripts import upstream
import msgspec
import pytest

from greengagedale.gateway import message_codec
from greengagedale.gateway import upstream_entries

decoder = msgspec.msgpack.Decoder(list[upstream_entries.Upstream])


def test_decoded_message_equals_the_encoded_one():
    message = [upstream(f"u{index}") for index in range(100)]
    packed = message_codec.encode(message)
    assert message_codec.decode(packed, decoder) == message
    assert len(packed) < len(msgspec.msgpack.encode(message)) / 5


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x91\x01",
        message_codec.encode([upstream("a")])[:-1],
        message_codec.encode([1, 2]),
    ],
)
def test_invalid_message_raises_decode_error(data):
    with pytest.raises(msgspec.DecodeError):
        message_codec.decode(data, decoder)


def test_oversized_message_raises_decode_error(monkeypatch):
    monkeypatch.setattr(message_codec, "MAX_MESSAGE_BYTES", 1000)
    with pytest.raises(msgspec.DecodeError):
        message_codec.decode(
            message_codec.encode([upstream("a")] * 100), decoder
        )
