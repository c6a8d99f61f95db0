"""gRPC client for requests to other hosts."""

from typing import Any, Self

import grpc
from grpc import aio
import msgspec

from greengagedale import configuration
from greengagedale import request_records
from greengagedale.membership import messages
from greengagedale.peers import base
from greengagedale.peers import wire

_MS_PER_S = 1000.0
# Short reconnect backoffs, so that a replaced host is reached soon after it
# starts to listen.
_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
)


class GrpcTransport(base.PeerTransport):
    """Sends requests to other hosts, over one gRPC channel per host."""

    def __init__(self, timeout_ms: int) -> None:
        self._timeout_s = timeout_ms / _MS_PER_S
        self._channels: dict[str, aio.Channel] = {}

    @classmethod
    def from_config(cls, timeout_ms: int) -> Self:
        """Creates a transport; must be called in a running event loop."""
        return cls(timeout_ms)

    async def members(self, endpoint: str) -> list[messages.Update] | None:
        """Requests the updates that a host has about all hosts."""
        return await self._call(
            endpoint, wire.MEMBERS, None, list[messages.Update]
        )

    async def explain(
        self, endpoint: str, request_id: str
    ) -> request_records.RequestRecord | None:
        """Requests the record of a request that a host served."""
        return await self._call(
            endpoint,
            wire.EXPLAIN,
            request_id,
            request_records.RequestRecord | None,
        )

    async def act(
        self, endpoint: str, request: base.ForwardedAction
    ) -> base.ForwardedResult | None:
        """Forwards a request; if there is no answer, it may have run."""
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
        """Requests the catalog, without content if the revision is known."""
        return await self._call(
            endpoint, wire.CATALOG, known_revision, base.SharedCatalog | None
        )

    async def documents(
        self, endpoint: str, names: list[str]
    ) -> dict[str, bytes] | None:
        """Requests documents; the host may return only some of them."""
        return await self._call(
            endpoint, wire.DOCUMENTS, names, dict[str, bytes]
        )

    async def services(
        self, endpoint: str, known: dict[str, int]
    ) -> list[configuration.StoredService] | None:
        """Requests the services with higher versions than the known ones."""
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
