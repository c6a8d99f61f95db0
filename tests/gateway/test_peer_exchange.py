"""Exchange rounds continue whatever peers answer."""

import asyncio
import contextlib

from gateway_scripts import at
from gateway_scripts import exchange_of
from gateway_scripts import freshness_of
from gateway_scripts import host_state
from gateway_scripts import upstream
import pytest

from greengagedale import clocks
from greengagedale.gateway import registry
from greengagedale.http1 import messages
from greengagedale.http1 import server


class Peer(server.Handler):
    """Counts requests and returns the same answer each time."""

    def __init__(self, body):
        self.request_count = 0
        self._body = body

    async def handle(self, request):
        self.request_count += 1
        return messages.Response(200, (), self._body)


# Regression: one malformed message ended the process.
@pytest.mark.parametrize("body", [b"", b"x" * 100, b"x\x9c" + b"\0" * 50])
async def test_rounds_continue_despite_malformed_answers(body):
    peer = Peer(body)
    listener = server.Server(peer, clocks.MonotonicClock())
    await listener.start("127.0.0.1", 0)
    port = listener._listener.sockets[0].getsockname()[1]
    clock = clocks.MonotonicClock()
    exchange = exchange_of(
        "m",
        clock,
        registry.Registry(clock),
        seeds=["nowhere", "127.0.0.1:x", f"127.0.0.1:{port}"],
    )
    running = asyncio.create_task(exchange.run())
    async with asyncio.timeout(5.0):
        while peer.request_count < 3:
            await asyncio.sleep(0.01)
    assert not running.done()
    running.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await running
    listener.close()


@pytest.mark.parametrize("bound_ms", [None, 5000.0])
def test_host_without_proof_asks_peers_with_one(clock, bound_ms):
    exchange = exchange_of(
        "m",
        clock,
        registry.Registry(clock),
        host_freshness=freshness_of(clock, bound_ms),
    )
    for number in range(20):
        exchange._fleet.observe(host_state(f"h{number}", is_proven=False))
    for name in ("far", "other"):
        exchange._fleet.observe(
            host_state(name, data_centre="there", is_proven=True)
        )
    asked = set(exchange._choose_peers()[:2])
    assert (asked == {"far:2", "other:2"}) == (bound_ms is not None)


# Guards against an entry of another writer that a host of an earlier version
# passes on.
def test_unusable_upstream_of_a_peer_is_left_out(clock):
    own, other = registry.Registry(clock), registry.Registry(clock)
    exchange = exchange_of("m", clock, own)
    peer = exchange_of("n", clock, other)
    found = [
        upstream("a"),
        upstream("b", sequence=2**63),
        upstream("c\r\nd: e"),
    ]
    other.replace_if_newer(found, registry.UpstreamsVersion(at(7), 0))
    exchange._merge(peer._update_for(exchange._summary()))
    assert [*own.upstreams] == ["a"]
    assert own.version == other.version
