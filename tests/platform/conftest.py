"""Fixtures of the tests of the platform adapter."""

import pytest
import raw_upstreams

from greengagedale.gateway import metrics
from greengagedale.platform import store as store_lib
from standins import gateway_site
from standins import gateway_store


@pytest.fixture
async def users():
    """The stand-in of the store, listening."""
    server = gateway_store.GatewayStore()
    server.port = gateway_site.free_port()
    await server.start("127.0.0.1", server.port)
    yield server
    server.close()


@pytest.fixture
async def store(users):
    """A client of the stand-in of the store."""
    client = store_lib.PlatformStore.from_config(
        f"127.0.0.1:{users.port}", 500.0, metrics.Metrics()
    )
    yield client
    await client.close()


@pytest.fixture
async def site():
    """Hosts over an upstream that answers with given bytes."""
    running = raw_upstreams.Site()
    await running.start()
    yield running
    running.close()
