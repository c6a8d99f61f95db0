"""Port blocks, so that runs side by side on one machine never share a port."""

import fcntl
import functools
import os
import pathlib
import socket
import tempfile
from typing import Any

ENVIRONMENT_VARIABLE = "GREENGAGEDALE_TEST_BASE_PORT"
# Ports of a block; no run uses a port further than this from its base port.
BLOCK_PORTS = 2000
# Below the kernel's ephemeral range: an outgoing connection could otherwise
# take a port after it was chosen here and before it is used.
_FIRST_PORT = 10_000
_END_PORT = 32_000

# Locks of the reserved blocks, held until the process ends.
_held_locks: list[Any] = []


@functools.cache
def base_port() -> int:
    """Returns the first port of the block that this process has reserved.

    The block is reserved by the first call. The environment variable
    `GREENGAGEDALE_TEST_BASE_PORT` overrides the choice.

    Raises:
        RuntimeError: All blocks are in use.
    """
    requested = os.environ.get(ENVIRONMENT_VARIABLE)
    if requested is not None:
        return int(requested)
    folder = pathlib.Path(tempfile.gettempdir()) / "greengagedale-ports"
    folder.mkdir(exist_ok=True)
    for first_port in range(_FIRST_PORT, _END_PORT, BLOCK_PORTS):
        lock = (folder / str(first_port)).open("w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock.close()
            continue
        # Processes of a run that was killed may still listen.
        if all(map(is_free, range(first_port, first_port + BLOCK_PORTS))):
            _held_locks.append(lock)
            return first_port
        lock.close()
    raise RuntimeError(
        f"no free block of {BLOCK_PORTS} ports from {_FIRST_PORT} to "
        f"{_END_PORT}; set {ENVIRONMENT_VARIABLE}"
    )


def is_free(port: int) -> bool:
    """Returns whether a port is in use on no address."""
    with socket.socket() as candidate:
        candidate.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            candidate.bind(("", port))
        except OSError:
            return False
    return True
