"""Messages between hosts survive the way, and nothing else is taken."""

from gateway_scripts import upstream
import msgspec
import pytest

from greengagedale.gateway import entries
from greengagedale.gateway import packing

decoder = msgspec.msgpack.Decoder(list[entries.Upstream])


def test_message_is_read_as_it_was_written():
    message = [upstream(f"u{index}") for index in range(100)]
    packed = packing.pack(message)
    assert packing.unpack(packed, decoder) == message
    assert len(packed) < len(msgspec.msgpack.encode(message)) / 5


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x91\x01",
        packing.pack([upstream("a")])[:-1],
        packing.pack([1, 2]),
    ],
)
def test_what_is_not_a_message_is_an_error(data):
    with pytest.raises(msgspec.DecodeError):
        packing.unpack(data, decoder)


def test_message_that_would_fill_the_memory_is_an_error(monkeypatch):
    monkeypatch.setattr(packing, "MOST_BYTES", 1000)
    with pytest.raises(msgspec.DecodeError):
        packing.unpack(packing.pack([upstream("a")] * 100), decoder)
