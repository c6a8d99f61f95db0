"""Revocation of keys on hosts that run as processes, with faults."""

import asyncio
import signal

import pytest

from standins.gateway_site import BOUNDS
from standins.gateway_site import configuration
from standins.gateway_site import route
from standins.gateway_site import running_site

REVOCATION_S = 3.0
# Time for a change to reach all hosts.
IN_FORCE_S = 3.0


def keyed_configuration(version, *keys):
    public = route("open", "/open/", service="s1", public=True)
    return {
        **configuration(version, [public]),
        "tenants": [{"name": "w", "apiKeys": list(keys)}],
    }


@pytest.fixture
async def site(tmp_path):
    bounds = {**BOUNDS, "strictRevoke": True, "revokeMs": REVOCATION_S * 1000}
    async with running_site(tmp_path, bounds=bounds) as running:
        running.store.put("config", "main", keyed_configuration(8, "k1", "k2"))
        await until_status(running.hosts, "k1", 200)
        yield running


async def status_of(host, key, path="/find/x"):
    reply = await host.get(path, request_id="r1", deadline_ms=2000, api_key=key)
    return reply.status


async def until_status(hosts, key, status):
    async with asyncio.timeout(IN_FORCE_S + REVOCATION_S):
        for host in hosts:
            while await status_of(host, key) != status:
                await asyncio.sleep(0.05)


async def test_keys_are_served_for_longer_than_the_bound(site):
    end_s = asyncio.get_running_loop().time() + 2.0 * REVOCATION_S
    while asyncio.get_running_loop().time() < end_s:
        for host in site.hosts:
            assert await status_of(host, "k1") == 200
        await asyncio.sleep(0.1)


async def test_host_that_was_frozen_does_not_serve_a_revoked_key(site):
    frozen = site.hosts[1]
    frozen.signal(signal.SIGSTOP)
    site.store.put("config", "main", keyed_configuration(9, "k2"))
    await asyncio.sleep(REVOCATION_S + 0.2)
    waiting = asyncio.create_task(status_of(frozen, "k1"))
    await asyncio.sleep(0.2)
    frozen.signal(signal.SIGCONT)
    assert await waiting in (401, 503)
    await until_status([frozen], "k1", 401)
    await until_status([frozen], "k2", 200)


async def test_keys_are_refused_while_the_store_is_away(site):
    site.store.mode = "busy"
    await asyncio.sleep(REVOCATION_S + 0.2)
    for host in site.hosts:
        assert await status_of(host, "k1") == 503
        assert await status_of(host, "new") == 503
        assert await status_of(host, "k1", "/open/x") == 200
    site.store.mode = "up"
    await until_status(site.hosts, "k1", 200)
    await until_status(site.hosts, "new", 401)
