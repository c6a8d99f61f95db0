"""Tests of reading documents with values of other writers."""

from hypothesis import given
from hypothesis import strategies
import msgspec
import pytest

from greengagedale import exceptions
from greengagedale import http_responses
from greengagedale import untrusted_json
from greengagedale.catalog import catalogs
from greengagedale.catalog import services
from greengagedale.http1 import messages
from greengagedale.store import wire as store_wire
from greengagedale.upstreams import wire as upstream_wire
from standins import odd_json

documents = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**63 - 1)
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
)


@given(strategies.lists(documents), strategies.booleans())
def test_elements_are_those_of_the_decoder(values, is_odd):
    odd = [odd_json.NESTED] if is_odd else []
    encoded = [*map(msgspec.json.encode, values), *odd]
    document = b" [" + b" , ".join(encoded) + b"]\n"
    assert [*map(bytes, untrusted_json.elements(document))] == encoded


@given(
    strategies.dictionaries(strategies.text(min_size=1), documents),
    strategies.booleans(),
)
def test_members_are_those_of_the_decoder(values, is_odd):
    encoded = {
        name: msgspec.json.encode(value) for name, value in values.items()
    }
    if is_odd:
        encoded = {**encoded, "odd": odd_json.NESTED}
    document = b",".join(
        msgspec.json.encode(name) + b" : " + value
        for name, value in encoded.items()
    )
    members = untrusted_json.members(b"{" + document + b"}")
    assert {name: bytes(members[name]) for name in members} == encoded


@pytest.mark.parametrize(
    "value", odd_json.ODD_VALUES, ids=lambda value: value[:9]
)
def test_odd_value_costs_no_other_one(value):
    document = b'{"a":[1,' + value + b',{"b":2}],"odd":' + value + b',"c":"d"}'
    members = untrusted_json.members(document)
    assert bytes(members["c"]) == b'"d"'
    first, odd, last = map(bytes, untrusted_json.elements(members["a"]))
    assert (first, odd, last) == (b"1", value, b'{"b":2}')


@pytest.mark.parametrize(
    "value", [odd_json.NESTED, b"[", b'"\\ud800"', b"", b"1e999"]
)
def test_refused_value_raises_decode_error(value):
    with pytest.raises(msgspec.DecodeError):
        untrusted_json.decode(value)


@pytest.mark.parametrize(
    "document",
    [b"", b"7", b"[", b'["]', b"[1}", b"[1] 2", b"[1]]", b'{"a":1', b"{}{}"],
)
def test_unbalanced_document_raises_decode_error(document):
    for read in (untrusted_json.elements, untrusted_json.members):
        with pytest.raises(msgspec.DecodeError):
            read(document)


@given(strategies.binary(max_size=40))
def test_any_bytes_are_read_or_raise_decode_error(data):
    for read in (untrusted_json.elements, untrusted_json.members):
        try:
            read(data)
        except msgspec.DecodeError:
            continue


DECODERS = {
    f"{module.__name__}.{name}": value
    for module in (store_wire, upstream_wire, catalogs, services)
    for name, value in vars(module).items()
    if name.endswith("_decoder")
}


# Guards against an answer of another program that ends a task of this one, as
# its nested lists raise another error than the expected one.
@pytest.mark.parametrize("name", DECODERS)
def test_nested_lists_from_other_programs_raise_decode_error(name):
    document = b'{"unknown":' + odd_json.NESTED + b"}"
    with pytest.raises(msgspec.DecodeError):
        DECODERS[name].decode(document)


def test_nested_lists_of_a_caller_are_refused():
    request = messages.Request(b"POST", b"/", (), odd_json.NESTED, 0.0)
    with pytest.raises(exceptions.InvalidInputError):
        http_responses.read_json(request, dict)
