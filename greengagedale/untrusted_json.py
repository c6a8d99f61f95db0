"""Reads JSON documents in which other writers have put some of the values.

A decoder gives up on a whole document at the first value that it refuses, such
as an invalid escape, a number out of range or lists nested too deeply. The
functions here separate the values of a document first, so that a value that
can't be decoded costs no other one. Only strings and brackets have to be
balanced for that.
"""

from collections.abc import Iterator, Mapping, Sequence
import functools
import re
from typing import Any, Generic, TypeVar

import msgspec

_STRING = rb'"(?:[^"\\]++|\\.)*+"'
# What matters for the extent of a value; brackets may come in runs.
_TOKEN = re.compile(_STRING + rb"|[\[{]+|[\]}]+|[,\"]", re.DOTALL)
_MEMBER = re.compile(rb"\s*+(" + _STRING + rb")\s*+:\s*+(.*\S)\s*+", re.DOTALL)
_PAIRS = {b"[": b"]", b"{": b"}"}


_T = TypeVar("_T")
# An encoded value.
Value = bytes | msgspec.Raw


class Decoder(Generic[_T]):
    """Decodes documents of one type."""

    def __init__(self, as_type: type[_T] | Any = Any) -> None:
        self._decoder: msgspec.json.Decoder[_T] = msgspec.json.Decoder(as_type)

    def decode(self, data: Value) -> _T:
        """Decodes a document.

        Raises:
            msgspec.DecodeError: The document is malformed, nested too deeply,
                or not of the type.
        """
        try:
            return self._decoder.decode(data)
        except RecursionError as error:
            raise msgspec.DecodeError("nested too deeply") from error


_object_decoder = Decoder(dict[str, msgspec.Raw])
_array_decoder = Decoder(list[msgspec.Raw])
_text_decoder = Decoder(str)


def decode(data: bytes, as_type: Any = Any) -> Any:
    """Decodes one document; see `Decoder`."""
    return _decoder_of(as_type).decode(data)


@functools.cache
def _decoder_of(as_type: Any) -> Decoder[Any]:
    return Decoder(as_type)


def members(data: Value) -> Mapping[str, Value]:
    """Returns the encoded values of an object by their names.

    Values whose names can't be decoded are left out.

    Raises:
        msgspec.DecodeError: The document is no object, or its strings or
            brackets are not balanced.
    """
    try:
        return _object_decoder.decode(data)
    except msgspec.DecodeError:
        matches = map(_MEMBER.fullmatch, _parts(data, b"{"))
        return {
            name: match[2]
            for match in matches
            if match is not None and (name := _decode_name(match[1]))
        }


def elements(data: Value) -> Sequence[Value]:
    """Returns the encoded values of an array.

    Raises:
        msgspec.DecodeError: The document is no array, or its strings or
            brackets are not balanced.
    """
    try:
        return _array_decoder.decode(data)
    except msgspec.DecodeError:
        return [part.strip() for part in _parts(data, b"[")]


def _decode_name(data: bytes) -> str:
    """Returns a name, or an empty one if it can't be decoded."""
    try:
        return _text_decoder.decode(data)
    except msgspec.DecodeError:
        return ""


def _parts(data: Value, opening: bytes) -> Iterator[bytes]:
    """Yields what stands between the commas of one array or object."""
    text = bytes(data).strip()
    depth = 0
    start = 1
    if text[:1] != opening:
        raise msgspec.DecodeError(f"expected {opening!r}, got {text[:1]!r}")
    for match in _TOKEN.finditer(text):
        token = match[0]
        if token == b",":
            if depth == 1:
                yield text[start : match.start()]
                start = match.end()
        elif token == b'"':
            raise msgspec.DecodeError("the document ends within a string")
        elif token[:1] in (b"[", b"{"):
            depth += len(token)
        elif token[:1] in (b"]", b"}"):
            if len(token) >= depth:
                end = match.start() + depth - 1
                break
            depth -= len(token)
    else:
        raise msgspec.DecodeError("the document ends within a value")
    if text[end:] != _PAIRS[opening]:
        raise msgspec.DecodeError("data follows the end of the document")
    if text[start:end].strip():
        yield text[start:end]
