"""An answer whose status is no HTTP status is no answer.

Callers ask for a service, with requests that may be repeated and that may not,
for a search over shards, and over another host; hosts ask the store.
"""

import pytest
import raw_upstreams

from greengagedale.gateway import metrics
from greengagedale.gateway import store_api
from greengagedale.platform import store as store_lib

STATUSES = [b"000", b"001", b"099", b"600", b"999"]


@pytest.fixture(params=STATUSES, ids=lambda status: status.decode())
def site_in_trouble(request, site):
    site.cutting.status = request.param
    return site


@pytest.mark.parametrize("host", ["own", "other"])
@pytest.mark.parametrize("path", [b"/a/x", b"/once/x"])
async def test_caller_gets_no_invalid_status(site_in_trouble, path, host):
    reply = await site_in_trouble.ask(path, host)
    assert reply.status == 502
    assert reply.header(b"server-seal") is None
    assert site_in_trouble.cutting.request_count == 1


async def test_part_with_an_invalid_status_is_missing(site_in_trouble):
    reply = await site_in_trouble.ask(b"/f/x")
    assert reply.status == 200
    assert reply.header(b"part-seals") == b"sound"
    assert reply.header(b"parts-missing") == b"1"
    assert reply.body == raw_upstreams.RECORDS


@pytest.mark.parametrize("status", STATUSES)
async def test_store_that_answers_so_is_unavailable(status):
    server = raw_upstreams.RawUpstream("store")
    server.status = status
    endpoint = f"{raw_upstreams.ADDRESS}:{await server.start()}"
    store = store_lib.PlatformStore.from_config(
        endpoint, 1000.0, metrics.Metrics()
    )
    result = await store.read_roster()
    assert isinstance(result, store_api.Unavailable)
    assert "status" in result.detail
    await store.close()
    server.close()


@pytest.mark.parametrize("status", [b"300", b"418", b"599"])
async def test_other_failures_are_passed_on_unchanged(site, status):
    site.cutting.status = status
    reply = await site.ask(b"/a/x")
    assert reply.status == int(status)
    assert reply.header(b"server-seal") == b"cut"
