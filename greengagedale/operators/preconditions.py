"""Precondition headers of changes, `If-Match` and `If-None-Match`."""

from collections.abc import Mapping
import re
from typing import NamedTuple

from greengagedale import exceptions
from greengagedale.catalog import edits

_VERSION = re.compile(r'"([0-9]+-[0-9a-f]+)"')
_REVISION = re.compile(r'"r([0-9]{1,15})"')


class Precondition(NamedTuple):
    """Expected state of a document before a change.

    Attributes:
        version: Version of the document, or `edits.ABSENT`; None accepts any
            version.
        revision: Revision since which the document must not have changed;
            None accepts any revision.
    """

    version: str | None = None
    revision: int | None = None


def from_headers(headers: Mapping[str, str]) -> Precondition:
    """Parses `If-Match` and `If-None-Match`.

    Raises:
        InvalidInputError: A header has an invalid value.
    """
    if headers.get("If-None-Match") == "*":
        return Precondition(version=edits.ABSENT)
    if_match = headers.get("If-Match")
    if "If-None-Match" in headers:
        raise _header_error("If-None-Match", "must be *")
    if if_match is None:
        return Precondition()
    version = _VERSION.fullmatch(if_match)
    if version:
        return Precondition(version=version[1])
    revision = _REVISION.fullmatch(if_match)
    if revision:
        return Precondition(revision=int(revision[1]))
    message = 'must be the ETag of the document, or a revision such as "r12"'
    raise _header_error("If-Match", message)


def _header_error(header: str, message: str) -> exceptions.InvalidInputError:
    return exceptions.InvalidInputError(
        "request", [exceptions.FieldError(header, message)]
    )
