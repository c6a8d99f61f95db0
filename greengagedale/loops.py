"""Creates and runs the event loop of greengagedale processes."""

import asyncio
from collections.abc import Coroutine
import os
import pathlib
from typing import Any

from greengagedale import exceptions

# libuv reads this variable once, when the process creates its first loop.
_IO_URING_VARIABLE = "UV_USE_IO_URING"
_DESCRIPTOR_DIRECTORY = pathlib.Path("/proc/self/fd")


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Returns a new uvloop event loop that does not use io_uring.

    Raises:
        UnsafeLoopError: The loop opened an io_uring descriptor regardless.
    """
    os.environ[_IO_URING_VARIABLE] = "0"
    import uvloop  # Imported late: the variable must be set before.

    loop = uvloop.new_event_loop()
    check_no_io_uring()
    return loop


def check_no_io_uring() -> None:
    """Checks that the process has no io_uring descriptor open.

    Raises:
        UnsafeLoopError: The process has an io_uring descriptor open.
    """
    if any("io_uring" in target for target in _descriptor_targets()):
        raise exceptions.UnsafeLoopError(
            "the event loop opened an io_uring descriptor; "
            "install uvloop>=0.22.1,<0.23"
        )


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine to completion on a new event loop."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        return runner.run(main)


def _descriptor_targets() -> list[str]:
    if not _DESCRIPTOR_DIRECTORY.exists():
        return []
    return [_read_link(entry) for entry in _DESCRIPTOR_DIRECTORY.iterdir()]


def _read_link(entry: pathlib.Path) -> str:
    try:
        return os.readlink(entry)
    except OSError:
        return ""
