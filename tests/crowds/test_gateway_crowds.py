"""Gateway hosts beside crowds of clients that don't keep to the limits.

Whatever a crowd sends, on any port, the process lives, stays within the memory
and descriptors of its machine, and then answers an ordinary search while the
crowd still holds its connections.
"""

import asyncio
import contextlib
import signal

import client_behaviours as behaviours
import pytest

from standins import crowds
from standins.gateway_site import ADDRESS
from standins.gateway_site import running_site

# The hosts' machine. A host without callers takes about half of its memory.
MACHINE = {"memoryMb": 64, "maxFds": 400}
OPEN_ENDED = behaviours.endless_requests(b"/get/x")
PORTS = ("http", "directory", "ready", "metrics", "control")
LARGE_ANSWER_BYTES = 500 * 1024


@pytest.fixture
async def site(tmp_path):
    async with running_site(tmp_path, hosts=1, machine=MACHINE) as running:
        yield running


@contextlib.asynccontextmanager
async def unharmed(site, behaviour, count=behaviours.CLIENTS, port="http"):
    """Lets a crowd act on a port, and checks the host while it is held."""
    host = site.hosts[0]
    async with crowds.holding_crowd(
        ADDRESS, host.ports[port], behaviour, count
    ):
        await behaviours.until(lambda: is_answering(host))
        yield
        assert host.is_running
        peak_mib = crowds.peak_memory_mib(host.pid)
        assert peak_mib <= MACHINE["memoryMb"]
        assert crowds.open_descriptors(host.pid) <= MACHINE["maxFds"]


async def is_answering(host):
    """Returns whether an ordinary search is answered in full."""
    reply = await host.search("ordinary", 5000)
    return getattr(reply, "status", 0) == 200


@pytest.mark.parametrize("name", OPEN_ENDED)
async def test_endless_request(site, name):
    async with unharmed(site, OPEN_ENDED[name]):
        pass


@pytest.mark.parametrize("port", PORTS[1:])
@pytest.mark.parametrize("name", ["fields", "trailers"])
async def test_endless_request_on_other_ports(site, name, port):
    async with unharmed(site, OPEN_ENDED[name], port=port):
        pass


# A client that only sends empty lines uses the processor for nothing, so a
# host must end its connection.
async def test_endless_empty_lines_are_cut_off(site):
    host = site.hosts[0]
    before = crowds.open_descriptors(host.pid)
    async with unharmed(site, OPEN_ENDED["empty lines"]):
        await behaviours.until(
            lambda: has_at_most_descriptors(host, before + 20)
        )


async def has_at_most_descriptors(host, count):
    return crowds.open_descriptors(host.pid) <= count


async def test_bodies_without_their_last_byte(site):
    async with unharmed(site, behaviours.held_body(b"/get/x")):
        pass


async def test_heads_of_many_fields_without_their_end(site):
    async with unharmed(site, behaviours.held_head(b"/get/x"), 150):
        pass


async def test_requests_with_bodies_in_a_row(site):
    requests = behaviours.requests_in_a_row(b"/get/x", 12, b"b" * 100_000)
    async with unharmed(site, requests):
        pass


async def test_large_answers_that_are_not_read(site):
    upstreams = [
        each for each in site.upstreams.values() if each.service == "s1"
    ]
    for upstream in upstreams:
        upstream.body = b"a" * LARGE_ANSWER_BYTES
    requests = behaviours.requests_in_a_row(b"/get/x", 12)
    async with unharmed(site, requests, 40):
        await behaviours.until_steady(
            lambda: sum(len(each.requests) for each in upstreams)
        )


@pytest.mark.parametrize("port", PORTS)
async def test_more_connections_than_descriptors(site, port):
    host = site.hosts[0]
    await host.stop()
    with behaviours.descriptor_limit(MACHINE["maxFds"]):
        await host.start()
    await host.wait_ready()
    silent = crowds.Behaviour(b"")
    async with unharmed(site, silent, MACHINE["maxFds"] + 50, port):
        pass


# Clients that a stop finds in the middle of a request, or that don't read, hold
# nobody up and cut nobody off.
@pytest.mark.parametrize(
    "behaviour",
    [
        OPEN_ENDED["one-byte chunks"],
        behaviours.held_body(b"/get/x"),
        behaviours.requests_in_a_row(b"/get/x", 12),
    ],
    ids=["one-byte chunks", "held bodies", "requests in a row"],
)
async def test_planned_stop_beside_a_crowd(site, behaviour):
    host = site.hosts[0]
    kept = await host.connect()
    async with crowds.holding_crowd(
        # Fewer than the host has room for, as an idle connection is kept.
        ADDRESS,
        host.ports["http"],
        behaviour,
        behaviours.CLIENTS // 2,
    ):
        await behaviours.until(lambda: is_answering(host))
        host.signal(signal.SIGTERM)
        reply = await host.send_request(
            kept, "/get/x", request_id="last", deadline_ms=5000
        )
        assert await host.wait_exit() == 0
        assert reply.status == 200


async def test_refusal_in_a_planned_stop_reaches_its_client(site):
    host = site.hosts[0]
    reader, writer = await asyncio.open_connection(ADDRESS, host.ports["http"])
    host.signal(signal.SIGTERM)
    too_large = behaviours.held_body(b"/get/x", 2 * behaviours.MAX_BODY_BYTES)
    for piece in too_large.pieces():
        writer.write(piece)
    reply = await reader.read()
    assert await host.wait_exit() == 0
    assert reply.startswith(b"HTTP/1.1 413")
    writer.close()
