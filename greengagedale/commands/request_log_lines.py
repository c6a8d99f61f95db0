"""Finds and formats the log lines of hosts that concern a request."""

from collections.abc import Iterable, Iterator
import itertools
from typing import Any

import msgspec

# Number of log lines about state changes of a host, such as a lost upstream,
# that are shown before each line about the request.
_MAX_CONTEXT_LINES = 3


def related_lines(
    lines: Iterable[str], request_id: str
) -> list[dict[str, Any]]:
    """Returns the lines about a request, each after its context lines.

    Context lines are the last state changes that the same host logged before
    the line about the request.

    Args:
        lines: Log lines of any hosts, in any order; lines that are not JSON
            objects are ignored.
        request_id: Id of the request, as assigned by the caller.
    """
    decoded = list(_decode_lines(lines))
    matching = [
        line for line in decoded if line.get("request_id") == request_id
    ]
    return list(
        itertools.chain.from_iterable(
            [*_context_before(decoded, line), line] for line in matching
        )
    )


def format_line(line: dict[str, Any]) -> Iterator[str]:
    """Yields the lines of text for a log line, one for each step."""
    prefix = f"{line.get('time', '')} {line.get('host', '')}"
    if line.get("message") != "request":
        detail = " ".join(
            f"{key}={value}"
            for key, value in line.items()
            if key not in _COMMON_FIELDS
        )
        yield f"{prefix}  {line.get('message', '')} {detail}".rstrip()
        return
    yield (
        f"{prefix}  route {line['route']} of configuration {line['version']}, "
        f"upstreams as of {line['upstreams_version'][0]}"
    )
    for at_ms, what, service, upstream, reason in line["steps"]:
        yield f"  {at_ms:8.1f} ms  {what:<9} {service} {upstream} {reason}"
    remaining_ms = line["left_ms"]
    remaining = (
        ""
        if remaining_ms is None
        else f", {remaining_ms} ms before its deadline"
    )
    yield (
        f"  {line['took_ms']:8.1f} ms  {line['outcome']}: {line['detail']}"
        f"{remaining}"
    )


_COMMON_FIELDS = frozenset(
    {"time", "level", "name", "message", "host", "data_centre", "request_id"}
)


def _decode_lines(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for text in lines:
        # Log collectors may add a time or host name before each line.
        _, brace, rest = text.partition("{")
        if not brace:
            continue
        try:
            line = msgspec.json.decode("{" + rest)
        except msgspec.DecodeError:
            continue
        if isinstance(line, dict):
            yield line


def _context_before(
    decoded: list[dict[str, Any]], line: dict[str, Any]
) -> list[dict[str, Any]]:
    """Returns the last state changes that the host logged before a line."""
    services = {step[2] for step in line.get("steps", [])}
    earlier = [
        other
        for other in decoded
        if other.get("host") == line.get("host")
        and other.get("time", "") <= line.get("time", "")
        and other.get("request_id") is None
        and (other.get("service") is None or other["service"] in services)
    ]
    return earlier[-_MAX_CONTEXT_LINES:]
