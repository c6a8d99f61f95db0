"""Append-only event records, with one JSON line per event."""

import pathlib
import time
from typing import Any, Self

import msgspec


class Recorder:
    """Appends events with monotonic timestamps; writes are unbuffered."""

    def __init__(self, path: pathlib.Path | None) -> None:
        self._file = path.open("ab", buffering=0) if path else None

    @classmethod
    def from_config(cls, path: pathlib.Path | None) -> Self:
        """Returns a recorder; without a path it records nothing."""
        return cls(path)

    def add(self, event: str, **fields: Any) -> None:
        """Appends one event.

        `at_ms` is monotonic time, comparable between processes of one machine.
        """
        if self._file is None:
            return
        line = {"event": event, "at_ms": time.monotonic() * 1000.0, **fields}
        self._file.write(msgspec.json.encode(line) + b"\n")


def read(path: pathlib.Path) -> list[dict[str, Any]]:
    """Reads all complete lines of a record."""
    return [
        msgspec.json.decode(line)
        for line in path.read_bytes().splitlines(keepends=True)
        if line.endswith(b"\n")
    ]
