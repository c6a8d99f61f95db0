"""Headers that say what an operator read before an edit."""

from collections.abc import Mapping
import re
from typing import NamedTuple

from greengagedale import exceptions
from greengagedale.catalog import edits

_VERSION = re.compile(r'"([0-9]+-[0-9a-f]+)"')
_REVISION = re.compile(r'"r([0-9]{1,15})"')


class Precondition(NamedTuple):
    """What an edit expects to find.

    Attributes:
        version: Version of the document, or `edits.ABSENT`; None is any.
        revision: Revision after which nothing touched it; None is any.
    """

    version: str | None = None
    revision: int | None = None


def from_headers(headers: Mapping[str, str]) -> Precondition:
    """Reads `If-Match` and `If-None-Match`.

    Raises:
        InvalidInputError: They have another form.
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
