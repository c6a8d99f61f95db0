"""Encoded JSON values of other writers that decoders refuse."""

NESTED = b"[" * 3000 + b"]" * 3000
ODD_VALUES = (
    b'"\\ud800"',
    b'"\\x"',
    b'"\\u12"',
    b'"\xff\xfe"',
    b'"\x00"',
    b'"a\nb"',
    b"1e999",
    b"007",
    b"-Infinity",
    b"nothing",
    b"\xff\xfe",
    b"9" * 5000,
    b'{"a":' * 3000 + b"1" + b"}" * 3000,
    NESTED,
)
