"""Small messages between hosts: UDP with msgpack bodies."""

import asyncio
import logging
from typing import Any, Self

import msgspec

from greengagedale.membership import messages
from greengagedale.peers import base

log = logging.getLogger(__name__)


class UdpTransport(base.DatagramTransport, asyncio.DatagramProtocol):
    """Sends and receives on one socket."""

    def __init__(self, handler: base.DatagramHandler) -> None:
        self._handler = handler
        self._transport: asyncio.DatagramTransport | None = None
        self.malformed = 0

    @classmethod
    async def from_config(
        cls, endpoint: str, handler: base.DatagramHandler
    ) -> Self:
        """Starts to listen at an endpoint."""
        loop = asyncio.get_running_loop()
        made = cls(handler)
        address, _, port = endpoint.rpartition(":")
        await loop.create_datagram_endpoint(
            lambda: made, local_addr=(address, int(port))
        )
        return made

    def connection_made(self, transport: Any) -> None:
        """Called by the loop once the socket is open."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Called by the loop with each datagram."""
        del addr
        try:
            received = messages.decode(data)
        except (msgspec.DecodeError, ValueError):
            self.malformed += 1
            return
        self.send(self._handler(received))

    def error_received(self, exc: Exception) -> None:
        """Called by the loop when a host could not be reached."""
        log.debug("datagram was not taken: %r", exc)

    def send(self, outgoing: list[messages.Outgoing]) -> None:
        """Sends messages, as far as the network takes them."""
        if self._transport is None or self._transport.is_closing():
            return
        for endpoint, message in outgoing:
            address, _, port = endpoint.rpartition(":")
            try:
                to = (address, int(port))
                self._transport.sendto(messages.encode(message), to)
            except (OSError, ValueError) as error:
                log.debug("nothing sent to %s: %r", endpoint, error)

    async def close(self) -> None:
        """Stops to send and to receive."""
        if self._transport is not None:
            self._transport.close()
