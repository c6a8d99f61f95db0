"""Asks other hosts over gRPC."""

from typing import Any, Self

import grpc
from grpc import aio
import msgspec

from greengagedale import configuration
from greengagedale import records
from greengagedale.membership import messages
from greengagedale.peers import base
from greengagedale.peers import wire

_MS_PER_S = 1000.0
# A host that was replaced is reached again soon after it listens.
_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
)


class GrpcTransport(base.PeerTransport):
    """Asks other hosts over gRPC, on one channel for each."""

    def __init__(self, timeout_ms: int) -> None:
        self._timeout_s = timeout_ms / _MS_PER_S
        self._channels: dict[str, aio.Channel] = {}

    @classmethod
    def from_config(cls, timeout_ms: int) -> Self:
        """Makes a transport; must be called on a running loop."""
        return cls(timeout_ms)

    async def members(self, endpoint: str) -> list[messages.Update] | None:
        """Asks a host what it knows of all hosts."""
        return await self._call(
            endpoint, wire.MEMBERS, None, list[messages.Update]
        )

    async def explain(
        self, endpoint: str, request_id: str
    ) -> records.Record | None:
        """Asks a host for the record of a request."""
        return await self._call(
            endpoint, wire.EXPLAIN, request_id, records.Record | None
        )

    async def act(
        self, endpoint: str, request: base.ForwardedAction
    ) -> base.ForwardedResult | None:
        """Forwards a request; without an answer it may have run."""
        return await self._call(
            endpoint,
            wire.ACT,
            request,
            base.ForwardedResult,
            request.remaining_ms / _MS_PER_S,
        )

    async def catalog(
        self, endpoint: str, known_revision: int
    ) -> base.SharedCatalog | None:
        """Asks a host for its catalog, without the content if it is known."""
        return await self._call(
            endpoint, wire.CATALOG, known_revision, base.SharedCatalog | None
        )

    async def documents(
        self, endpoint: str, names: list[str]
    ) -> dict[str, bytes] | None:
        """Asks a host for documents; it may send only some of them."""
        return await self._call(
            endpoint, wire.DOCUMENTS, names, dict[str, bytes]
        )

    async def services(
        self, endpoint: str, known: dict[str, int]
    ) -> list[configuration.StoredService] | None:
        """Asks a host for services of higher versions than the known."""
        return await self._call(
            endpoint,
            wire.SERVICES,
            known,
            list[configuration.StoredService] | None,
        )

    async def close(self) -> None:
        """Closes all connections."""
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()

    async def _call(
        self,
        endpoint: str,
        method: str,
        request: Any,
        reply_type: Any,
        timeout_s: float | None = None,
    ) -> Any:
        channel = self._channels.get(endpoint)
        if channel is None:
            channel = aio.insecure_channel(endpoint, options=_OPTIONS)
            self._channels[endpoint] = channel
        call = channel.unary_unary(wire.path_of(method))
        try:
            encoded = await call(
                wire.encode(request), timeout=timeout_s or self._timeout_s
            )
            return wire.decode(encoded, reply_type)
        except (grpc.RpcError, msgspec.DecodeError):
            return None
