"""Datagrams between hosts: msgpack messages over UDP."""

import asyncio
import logging
from typing import Any, Self

import msgspec

from greengagedale.membership import messages
from greengagedale.peers import base

log = logging.getLogger(__name__)


class UdpTransport(base.DatagramTransport, asyncio.DatagramProtocol):
    """Sends and receives datagrams on one UDP socket."""

    def __init__(self, handler: base.DatagramHandler) -> None:
        self._handler = handler
        self._transport: asyncio.DatagramTransport | None = None
        self.malformed = 0

    @classmethod
    async def from_config(
        cls, endpoint: str, handler: base.DatagramHandler
    ) -> Self:
        """Opens the socket on an endpoint and starts to receive."""
        loop = asyncio.get_running_loop()
        made = cls(handler)
        address, _, port = endpoint.rpartition(":")
        await loop.create_datagram_endpoint(
            lambda: made, local_addr=(address, int(port))
        )
        return made

    def connection_made(self, transport: Any) -> None:
        """Stores the transport; called when the socket is open."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Handles a received datagram and sends the answers to it."""
        del addr
        try:
            received = messages.decode(data)
        except (msgspec.DecodeError, ValueError):
            self.malformed += 1
            return
        self.send(self._handler(received))

    def error_received(self, exc: Exception) -> None:
        """Logs an error of the socket, such as an unreachable host."""
        log.debug("datagram could not be delivered: %r", exc)

    def send(self, outgoing: list[messages.Outgoing]) -> None:
        """Sends messages; those that the network does not accept are lost."""
        if self._transport is None or self._transport.is_closing():
            return
        for endpoint, message in outgoing:
            address, _, port = endpoint.rpartition(":")
            try:
                to = (address, int(port))
                self._transport.sendto(messages.encode(message), to)
            except (OSError, ValueError) as error:
                log.debug("sending to %s failed: %r", endpoint, error)

    async def close(self) -> None:
        """Stops sending and receiving."""
        if self._transport is not None:
            self._transport.close()
