"""Hosts with a catalog beside crowds of clients that don't keep to the limits.

The same must hold as for gateway hosts, on the callers' and operators' ports.
"""

import asyncio
import contextlib

import client_behaviours as behaviours
import pytest

from standins import crowds
from standins import deployments
from standins import httpcalls
from standins import ports

# Memory of the host's machine. A host without callers takes 70 MiB.
MACHINE_MIB = 128.0
MAX_DESCRIPTORS = 400
SEARCH_PATH = b"/v1/workspaces/search-a/search"
OPEN_ENDED = behaviours.endless_requests(SEARCH_PATH)
# The largest body that each port accepts.
MAX_BODY_BYTES = {"caller_port": 64 * 1024, "operator_port": 256 * 1024}
PORTS = tuple(MAX_BODY_BYTES)


@pytest.fixture
def deployment(tmp_path):
    running = deployments.Deployment(
        tmp_path, base_port=ports.base_port() + 400
    )
    try:
        with behaviours.descriptor_limit(MAX_DESCRIPTORS):
            running.start(service="places", hosts=1)
        running.apply_example_workspace()
        yield running
    finally:
        running.stop()


@contextlib.asynccontextmanager
async def unharmed(deployment, behaviour, port, count=behaviours.CLIENTS):
    """Lets a crowd act on a port, and checks the host while it is held."""
    host = deployment.host(1)
    process = deployment.processes[host.name]
    async with crowds.holding_crowd(
        host.address, getattr(host, port), behaviour, count
    ):
        await behaviours.until(lambda: is_answering(deployment))
        yield
        assert process.poll() is None
        assert crowds.peak_memory_mib(process.pid) <= MACHINE_MIB
        assert crowds.open_descriptors(process.pid) <= MAX_DESCRIPTORS


async def is_answering(deployment):
    """Returns whether ordinary requests of both ports are answered."""
    host = deployment.host(1)
    search = await asyncio.to_thread(
        httpcalls.call,
        "POST",
        deployment.caller_address(host),
        SEARCH_PATH.decode(),
        {"text": "a", "timeout_ms": 5000},
    )
    listing = await asyncio.to_thread(
        httpcalls.get, deployment.operator_address(host), "/v1/configuration"
    )
    return search.status == listing.status == httpcalls.STATUS_OK


@pytest.mark.parametrize("port", PORTS)
@pytest.mark.parametrize("name", OPEN_ENDED)
async def test_endless_request(deployment, name, port):
    async with unharmed(deployment, OPEN_ENDED[name], port):
        pass


@pytest.mark.parametrize("port", PORTS)
async def test_bodies_without_their_last_byte(deployment, port):
    held = behaviours.held_body(SEARCH_PATH, MAX_BODY_BYTES[port])
    async with unharmed(deployment, held, port):
        pass


@pytest.mark.parametrize("port", PORTS)
async def test_heads_of_many_fields_without_their_end(deployment, port):
    held = behaviours.held_head(SEARCH_PATH)
    async with unharmed(deployment, held, port, 150):
        pass


@pytest.mark.parametrize("port", PORTS)
async def test_requests_with_bodies_in_a_row(deployment, port):
    body = b'{"text": "%s"}' % (b"a" * 60_000)
    requests = behaviours.requests_in_a_row(SEARCH_PATH, 12, body)
    async with unharmed(deployment, requests, port):
        pass


@pytest.mark.parametrize("port", PORTS)
async def test_more_connections_than_descriptors(deployment, port):
    silent = crowds.Behaviour(b"")
    async with unharmed(deployment, silent, port, MAX_DESCRIPTORS + 50):
        pass
