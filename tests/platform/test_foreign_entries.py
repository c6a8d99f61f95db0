"""Entries of other writers in the store hide nothing and end no host."""

import contextlib

from gateway_scripts import upstream
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec
import pytest

from greengagedale.gateway import calls
from greengagedale.gateway import message_codec
from greengagedale.gateway import metrics
from greengagedale.gateway import store_api
from greengagedale.gateway import upstream_entries
from greengagedale.http1 import messages
from greengagedale.platform import store as store_lib
from greengagedale.platform import upstream_codec
from standins import gateway_site
from standins import gateway_store
from standins import odd_json

ENTRY = {
    "service": "s",
    "address": "127.0.0.1:9",
    "zone": "here",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "warmupLeftMs": 0,
    "sequence": 1,
    "born": 1,
}
MARK = "<value>"
NUMBERS = [
    b"-1",
    b"1e3",
    b"1e300",
    b"1.5",
    *(b"%d" % 2**n for n in (63, 64, 80)),
]
TEXTS = [
    b'"127.0.0.1:65536"',
    b'"127.0.0.1:\\u00b2"',
    b'"..:80"',
    b'"\\u0000:80"',
    b'"ready\\r\\nx: y"',
    b'"' + b"a" * 70_000 + b'"',
]
VALUES = [*odd_json.ODD_VALUES, *NUMBERS, *TEXTS]
values = strategies.sampled_from(VALUES) | strategies.binary(max_size=30).map(
    lambda data: b'"' + data.replace(b'"', b"").replace(b"\\", b"") + b'"'
)
names = strategies.text(min_size=1, max_size=20)


@contextlib.asynccontextmanager
async def running_store():
    """Runs a stand-in of the store with one upstream, and a client of it."""
    users = gateway_store.GatewayStore()
    port = gateway_site.free_port()
    await users.start(gateway_site.ADDRESS, port)
    client = store_lib.PlatformStore.from_config(
        f"{gateway_site.ADDRESS}:{port}", 2000.0, metrics.Metrics()
    )
    users.put("servers", "i-0", ENTRY)
    try:
        yield users, client
    finally:
        await client.close()
        users.close()


async def read_both_ways(users, client, foreign, name="i-5"):
    """Puts a foreign entry before another; returns what is listed, watched."""
    first = await client.list_upstreams()
    users.put("servers", name, foreign)
    users.put("servers", "i-9", ENTRY)
    listed = await client.list_upstreams(allow_stale=True)
    changed = await client.watch_upstreams(first.revision, 100)
    assert isinstance(listed, store_api.UpstreamsListed), listed
    assert isinstance(changed, store_api.UpstreamsChanged), changed
    assert changed.revision.revision == users.revision
    watched = [each.upstream for each in changed.changes if each.upstream]
    return listed.upstreams, watched


def check_usable(upstreams):
    """Checks that all hosts can use and pass on the upstreams."""
    decoder = msgspec.msgpack.Decoder(list[upstream_entries.Upstream])
    packed = message_codec.encode(upstreams)
    assert message_codec.decode(packed, decoder) == upstreams
    message = messages.Request(b"GET", b"/", (), b"", 0.0)
    call = calls.Call("r", "h", "/", message, 0.0, None)
    for each in upstreams:
        attempt = calls.Attempt(call, each, 100.0, True, set())
        encoded = upstream_codec.encode_attempt(attempt, 100.0)
        assert encoded.count(b"\r\n") == 4


# Guards against one entry of another writer hiding all later changes of the
# list from all hosts, as the answer of the store was decoded as a whole.
@pytest.mark.parametrize("value", VALUES, ids=lambda value: value[:9])
@pytest.mark.parametrize("field", ["zone", "sequence", "address", "unknown"])
async def test_odd_entry_hides_no_other_upstream(field, value):
    async with running_store() as (users, client):
        users.raw_values[MARK] = value
        foreign = {**ENTRY, field: MARK}
        listed, watched = await read_both_ways(users, client, foreign)
        assert {"i-0", "i-9"} <= {each.name for each in listed}
        assert "i-9" in {each.name for each in watched}
        check_usable(listed)


@settings(deadline=None)
@given(strategies.sampled_from(sorted(ENTRY)), values, names)
async def test_any_entry_hides_no_other_upstream(field, value, name):
    async with running_store() as (users, client):
        users.raw_values[MARK] = value
        foreign = {**ENTRY, field: MARK}
        listed, watched = await read_both_ways(users, client, foreign, name)
        expected = {"i-0", "i-9"} - {name}
        assert expected <= {each.name for each in listed}
        assert expected - {"i-0"} <= {each.name for each in watched}
        check_usable(listed)
        check_usable(watched)


# Guards against pages that end with a foreign name ending the whole list.
@pytest.mark.parametrize("name", ["a b", "a&watch=1", "a/b", "é", "100%41"])
async def test_list_continues_after_any_name(name):
    async with running_store() as (users, client):
        for number in range(gateway_store.PAGE_SIZE - 1):
            users.put("servers", f"A-{number:02}", ENTRY)
        users.put("servers", name, ENTRY)
        for number in range(3):
            users.put("servers", f"z-{number}", ENTRY)
            users.put("servers", f"ö-{number}", ENTRY)
        listed = await client.list_upstreams()
        assert {"z-0", "z-1", "z-2"} <= {each.name for each in listed.upstreams}


async def test_entry_that_becomes_unreadable_names_no_upstream_any_more():
    async with running_store() as (users, client):
        first = await client.list_upstreams()
        users.raw_values[MARK] = b'"\\ud800"'
        users.put("servers", "i-0", {**ENTRY, "zone": MARK})
        changed = await client.watch_upstreams(first.revision, 100)
        assert changed.changes == [store_api.UpstreamChange("i-0", None)]


# The same bound holds for the other kinds of objects.
@pytest.mark.parametrize(
    "value", odd_json.ODD_VALUES, ids=lambda value: value[:9]
)
async def test_odd_objects_of_other_kinds_hide_nothing(value):
    async with running_store() as (users, client):
        users.raw_values[MARK] = value
        document = gateway_site.configuration(4)
        users.put("config", "main", document)
        users.put("config", "other", {"version": MARK})
        users.put("evacuations", "north", {"why": MARK})
        users.put("fleet", "hosts", {"hosts": MARK})
        assert (await client.read_routes()).routes.version == 4
        assert (await client.read_evacuations()).data_centres == ("north",)
        assert isinstance(await client.read_roster(), store_api.Unavailable)
        users.put("config", "main", {**document, "version": MARK})
        assert (await client.read_routes()).routes is None


async def test_unreadable_objects_are_counted():
    async with running_store() as (users, client):
        users.raw_values[MARK] = b"1e999"
        users.put("servers", "i-5", {**ENTRY, "slots": MARK})
        await client.list_upstreams()
        assert client._metrics.ignored_entries.counts["servers",] == 1


@pytest.mark.parametrize(
    "fields",
    [
        {"sequence": 2**63},
        {"born_ms": -1},
        {"slots": 2**40},
        {"warm_up_ms": float("nan")},
        {"address": "nowhere.example"},
        {"address": "fe80::1%\0"},
        {"data_centre": "x" * 300},
    ],
)
def test_entry_that_hosts_cannot_use_has_a_problem(fields):
    assert upstream("i").problem() is None
    assert upstream("i", **fields).problem() is not None


@pytest.mark.parametrize("name", ["", " a", "a\r\nb: c", "ключ", "a" * 300])
def test_name_that_cannot_stand_in_a_request_is_a_problem(name):
    assert upstream(name).problem() is not None
