"""Messages between hosts survive the way, and nothing else is taken."""

from gateway_scripts import upstream
import msgspec
import pytest

from greengagedale.gateway import message_codec
from greengagedale.gateway import upstream_entries

decoder = msgspec.msgpack.Decoder(list[upstream_entries.Upstream])


def test_message_is_read_as_it_was_written():
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
def test_what_is_not_a_message_is_an_error(data):
    with pytest.raises(msgspec.DecodeError):
        message_codec.decode(data, decoder)


def test_message_that_would_fill_the_memory_is_an_error(monkeypatch):
    monkeypatch.setattr(message_codec, "MAX_MESSAGE_BYTES", 1000)
    with pytest.raises(msgspec.DecodeError):
        message_codec.decode(
            message_codec.encode([upstream("a")] * 100), decoder
        )
