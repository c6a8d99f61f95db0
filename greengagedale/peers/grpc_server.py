"""gRPC server that answers requests of other hosts."""

from collections.abc import Callable
import inspect
from typing import Any

import grpc
from grpc import aio
import msgspec

from greengagedale.peers import base
from greengagedale.peers import wire


async def start(service: base.PeerService, endpoint: str) -> aio.Server:
    """Starts a server on an endpoint; the caller must stop it."""
    server = aio.server(options=(("grpc.so_reuseport", 0),))
    server.add_generic_rpc_handlers((_handlers(service),))
    server.add_insecure_port(endpoint)
    await server.start()
    return server


def _handlers(service: base.PeerService) -> grpc.GenericRpcHandler:
    methods = {
        wire.MEMBERS: _unary(lambda _: service.members(), type(None)),
        wire.EXPLAIN: _unary(service.explain, str),
        wire.ACT: _unary(service.act_forwarded, base.ForwardedAction),
        wire.CATALOG: _unary(service.catalog, int),
        wire.DOCUMENTS: _unary(service.shared_documents, list[str]),
        wire.SERVICES: _unary(service.newer_services, dict[str, int]),
    }
    return grpc.method_handlers_generic_handler(wire.SERVICE, methods)


def _unary(answer: Callable[[Any], Any], request_type: Any) -> Any:
    async def handle(encoded: bytes, context: aio.ServicerContext) -> bytes:
        try:
            request = wire.decode(encoded, request_type)
        except msgspec.DecodeError as error:
            await context.abort(
                grpc.StatusCode.INVALID_ARGUMENT,
                f"request could not be decoded: {error}",
            )
        answered = answer(request)
        if inspect.isawaitable(answered):
            answered = await answered
        return wire.encode(answered)

    return grpc.unary_unary_rpc_method_handler(handle)
