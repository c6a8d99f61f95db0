"""Hosts in one event loop, over an upstream that answers with given bytes."""

import asyncio
import socket
import struct

from gateway_scripts import ADDRESS
from gateway_scripts import Bench
from gateway_scripts import at
from gateway_scripts import caller_handler_of
from gateway_scripts import fanout
from gateway_scripts import single
from gateway_scripts import upstream

from greengagedale import clocks
from greengagedale import logs
from greengagedale.gateway import connection_pools
from greengagedale.gateway import relay
from greengagedale.gateway import route_config
from greengagedale.gateway import store_api
from greengagedale.http1 import client
from greengagedale.http1 import messages
from greengagedale.http1 import server
from greengagedale.platform import upstream_client

RECORDS = b"".join(b"%015d\n" % number for number in (9, 5))
HEAD = b"HTTP/1.1 %s OK\r\nServer-Seal: %s\r\nRequest-Id: r\r\n"
BODIES = {
    "length": b"Content-Length: 32\r\n\r\n" + RECORDS,
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n10\r\n%s\r\n10\r\n%s\r\n"
    b"0\r\n\r\n" % (RECORDS[:16], RECORDS[16:]),
    "until the end": b"\r\n" + RECORDS,
}
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class RawUpstream:
    """Answers each request with a number of bytes, then ends the connection.

    Attributes:
        framing: Framing of the body, a key of `BODIES`.
        cut: Number of bytes that are sent; None for the whole answer.
        is_reset: Whether the connection is reset and not closed.
        status: Status of the answer, as sent.
        request_count: Number of requests received.
    """

    def __init__(self, name):
        self.name = name
        self.framing = "length"
        self.cut = None
        self.is_reset = False
        self.status = b"200"
        self.request_count = 0
        self._listener = None

    @property
    def answer(self):
        return HEAD % (self.status, self.name.encode()) + BODIES[self.framing]

    async def start(self):
        self._listener = await asyncio.start_server(self._serve, ADDRESS, 0)
        return self._listener.sockets[0].getsockname()[1]

    def close(self):
        self._listener.close()

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.request_count += 1
        writer.write(self.answer[: self.cut])
        await writer.drain()
        if self.is_reset:
            # Lets the bytes arrive before the reset.
            await asyncio.sleep(0.002)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        writer.close()


class AlwaysHere:
    """A relay policy that names one other host and takes all requests."""

    can_take_requests = True

    def __init__(self, endpoint):
        self._peers = [Peer(endpoint)]

    def peers(self, allowed):
        return self._peers


class Peer:
    name = "other"

    def __init__(self, endpoint):
        self.address = self
        self.peer_endpoint = endpoint


class Site:
    """Two hosts with one cutting and one sound upstream."""

    def __init__(self):
        self.cutting = RawUpstream("cut")
        self.sound = RawUpstream("sound")
        self.bench = Bench(clock=clocks.MonotonicClock(), burst=0.0, ratio=0.0)
        self.servers = []

    async def start(self):
        bench = self.bench
        bench.upstreams = {
            each.name: [upstream(each.name, each.name, port=await each.start())]
            for each in (self.cutting, self.sound)
        }
        pools = connection_pools.ConnectionPools(
            bench.notices, bench.evacuations, client.ReplyLimits(), bench.clock
        )
        bench.runner._context = bench.context._replace(
            client=upstream_client.PlatformUpstreamClient(
                pools,
                bench.notices,
                bench.limits,
                lambda entry: 2,
                bench.context.authorizer,
                bench.clock,
            )
        )
        routes = (
            single(targets=(route_config.Target("cut", 1.0),), max_attempts=1),
            single(
                name="once",
                path_prefix="/once/",
                is_idempotent=False,
                targets=(route_config.Target("cut", 1.0),),
            ),
            fanout(
                ["cut", "sound"], name="f", path_prefix="/f/", max_attempts=1
            ),
        )
        bench.registry.apply_list(
            store_api.UpstreamsListed([upstream("a")], at(1))
        )
        bench.registry.apply_routes(
            route_config.RouteConfiguration(1, routes, (), server.Limits()),
            at(1),
        )
        self.edge = caller_handler_of(bench)
        request_log = logs.RequestLog(bench.clock)
        policy = AlwaysHere("")
        taker = relay.RelayHandler(
            self.edge, policy, self.edge, set(), bench.metrics
        )
        policy = AlwaysHere(f"{ADDRESS}:{await self.listen(taker)}")
        origin = caller_handler_of(bench)
        origin.relay = relay.RelayClient(
            "m",
            policy,
            client.ReplyLimits(),
            bench.metrics,
            request_log,
            bench.clock,
        )
        self.ports = {
            "own": await self.listen(self.edge),
            "other": await self.listen(origin),
        }

    async def listen(self, handler):
        listener = server.Server(handler, self.bench.clock)
        await listener.start(ADDRESS, 0)
        self.servers.append(listener)
        return listener._listener.sockets[0].getsockname()[1]

    def close(self):
        for each in (self.cutting, self.sound, *self.servers):
            each.close()

    async def ask(self, path, host="own"):
        connection = await client.Connection.open(
            ADDRESS, self.ports[host], 1.0
        )
        headers = ((b"host", b"host"), (b"request-id", b"r"))
        data = messages.encode_request(b"GET", path, headers, b"")
        reply = await connection.exchange(data)
        connection.close()
        assert isinstance(reply, messages.Reply)
        return reply

    def cuts(self):
        """Yields after setting each way in which the answer isn't whole."""
        for self.cutting.framing in BODIES:
            whole = self.cutting.answer
            for self.cutting.is_reset in (False, True):
                is_open = self.cutting.framing == "until the end"
                # A close ends such a body, wherever it is.
                end = (
                    whole.index(b"\r\n\r\n") + 4
                    if (is_open and not self.cutting.is_reset)
                    else len(whole)
                )
                for self.cutting.cut in range(end):
                    yield self.cutting
