"""Crowds of clients that don't keep to a server's limits.

Clients send a bounded number of bytes and then hold their connections open. No
client reads unless its behaviour says so.
"""

import asyncio
from collections.abc import AsyncIterator, Iterator
import contextlib
import itertools
import pathlib
import socket
from typing import NamedTuple

_CONNECT_TIMEOUT_S = 5.0
# Clients that can send nothing for this time have been stopped by the server.
_STALL_TIMEOUT_S = 3.0
_POLL_S = 0.05
_PIECE_BYTES = 64 * 1024
_KIB = 1024


class Behaviour(NamedTuple):
    """What each client of a crowd sends.

    Attributes:
        opening: First bytes.
        repeated: Bytes that are sent again and again after them.
        total_bytes: Number of bytes that a client sends at most.
    """

    opening: bytes
    repeated: bytes = b""
    total_bytes: int = 0

    def pieces(self) -> Iterator[bytes]:
        """Yields what a client sends, piece by piece."""
        yield self.opening
        left_bytes = self.total_bytes - len(self.opening)
        if not self.repeated or left_bytes <= 0:
            return
        count = max(1, _PIECE_BYTES // len(self.repeated))
        for piece in itertools.repeat(self.repeated * count):
            yield piece[:left_bytes]
            left_bytes -= len(piece)
            if left_bytes <= 0:
                return


class Crowd:
    """Connections of clients that all behave in the same way.

    Attributes:
        sent_bytes: Number of bytes that all clients have sent.
    """

    def __init__(
        self, address: str, port: int, behaviour: Behaviour, count: int
    ) -> None:
        self.sent_bytes = 0
        self._endpoint = (address, port)
        self._behaviour = behaviour
        self._count = count
        self._sockets: list[socket.socket] = []

    async def send_all(self) -> None:
        """Connects and sends until all is sent, or the server takes no more."""
        senders = [
            asyncio.create_task(self._run_client()) for _ in range(self._count)
        ]
        loop = asyncio.get_running_loop()
        sent_bytes, stalled_since_s = -1, loop.time()
        while not all(sender.done() for sender in senders):
            if self.sent_bytes != sent_bytes:
                sent_bytes, stalled_since_s = self.sent_bytes, loop.time()
            elif loop.time() - stalled_since_s > _STALL_TIMEOUT_S:
                break
            await asyncio.sleep(_POLL_S)
        for sender in senders:
            sender.cancel()
        await asyncio.gather(*senders, return_exceptions=True)

    def close(self) -> None:
        """Closes all connections."""
        for client in self._sockets:
            client.close()

    async def _run_client(self) -> None:
        loop = asyncio.get_running_loop()
        client = socket.socket()
        client.setblocking(False)
        self._sockets.append(client)
        # The server may refuse or close the connection at any time.
        with contextlib.suppress(OSError):
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await loop.sock_connect(client, self._endpoint)
            for piece in self._behaviour.pieces():
                await loop.sock_sendall(client, piece)
                self.sent_bytes += len(piece)


@contextlib.asynccontextmanager
async def holding_crowd(
    address: str, port: int, behaviour: Behaviour, count: int
) -> AsyncIterator[Crowd]:
    """Lets a crowd send all, and holds its connections until the end."""
    crowd = Crowd(address, port, behaviour, count)
    try:
        await crowd.send_all()
        yield crowd
    finally:
        crowd.close()


def peak_memory_mib(pid: int) -> float:
    """Returns the peak resident memory of a process, in MiB."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    line = next(each for each in status.splitlines() if "VmHWM" in each)
    return int(line.split()[1]) / _KIB


def open_descriptors(pid: int) -> int:
    """Returns the number of open descriptors of a process."""
    return sum(1 for _ in pathlib.Path(f"/proc/{pid}/fd").iterdir())
