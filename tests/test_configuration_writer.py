"""Configuration changes with lost replies, races, stale reads and outages."""

import asyncio
import random

import aiohttp
from aiohttp import test_utils
from catalog import test_edits
import pytest
import stores

from greengagedale import clocks
from greengagedale import configuration
from greengagedale import configuration_metrics
from greengagedale import configuration_writer
from greengagedale import garbage_collection
from greengagedale import metrics
from greengagedale.catalog import catalogs
from greengagedale.catalog import edits
from greengagedale.store import base
from greengagedale.store import http
from standins import change_history
from standins import platform
from standins import records
from standins import shapes


def make_writer(store, timeout_ms=2000, seed=0):
    """Creates a writer without configuration; returns it and its state."""
    counters = configuration_metrics.ConfigurationMetrics(
        metrics.Metrics().registry
    )
    active_configuration = configuration.ActiveConfiguration()
    writer = configuration_writer.ConfigurationWriter(
        store,
        active_configuration,
        garbage_collection.GarbageCollector(store, counters),
        timeout_ms,
        clocks.MonotonicClock(),
        random.Random(seed),
        counters,
    )
    return writer, active_configuration


@pytest.fixture
def short_backoff(monkeypatch):
    monkeypatch.setattr(configuration_writer, "_INITIAL_BACKOFF_MS", 1)
    monkeypatch.setattr(configuration_writer, "_MAX_BACKOFF_MS", 4)


def template_change(name="site", revision=0, **parameters):
    return edits.Change(
        edits.new_change_id(revision),
        template=test_edits.template(name, **parameters),
    )


async def test_change_uses_one_read_and_one_write_per_object(short_backoff):
    store = stores.FaultyStore()
    writer, _ = make_writer(store)
    accepted = await writer.apply(template_change(), True)
    assert accepted == configuration.Accepted(1)
    assert store.calls == ["get", "put", "put"]
    store.calls.clear()
    accepted = await writer.apply(template_change("other", 1), True)
    assert accepted == configuration.Accepted(2)
    assert store.calls == ["get", "put", "put"]


async def test_concurrent_changes_are_validated_together(short_backoff):
    store = stores.FaultyStore()
    first, _ = make_writer(store)
    second, _ = make_writer(store)
    await first.apply(template_change(timeout_ms=9), True)
    removes_parameter = template_change(revision=1)
    uses_parameter = edits.Change(
        edits.new_change_id(1), workspace=test_edits.workspace(timeout_ms=5)
    )
    results = await asyncio.gather(
        first.apply(removes_parameter, True),
        second.apply(uses_parameter, True),
    )
    tags = sorted(result.tag for result in results)
    assert tags == ["accepted", "not_accepted"]


async def test_outage_never_leads_to_a_wrong_result(short_backoff):
    store = stores.FaultyStore()
    writer, _ = make_writer(store, timeout_ms=100)
    store.down = True
    change = template_change()
    refused = await writer.apply(change, True)
    assert refused.reason == "platform_down"
    resent = await writer.apply(change, False)
    assert isinstance(resent, configuration.AcceptanceUnknown)
    status = await writer.change_status(change.change_id)
    assert isinstance(status, configuration.AcceptanceUnknown)
    store.down = False
    status = await writer.change_status(change.change_id)
    assert status == configuration.Absent(0)
    assert await writer.apply(change, False) == configuration.Accepted(1)
    store.down = True
    assert await writer.apply(change, False) != configuration.Absent(1)
    status = await writer.change_status(change.change_id)
    assert status == configuration.Accepted(1)


async def test_write_that_may_take_effect_late_is_reported_as_unknown(
    short_backoff,
):
    store = stores.FaultyStore()
    writer, active_configuration = make_writer(store, timeout_ms=100)
    await writer.apply(template_change(), True)
    store_put = store.put

    async def lose_write_and_go_down(kind, name, value, expected_version):
        if kind == catalogs.KIND_CATALOG:
            store.down = True
            return base.WriteOutcomeUnknown("no reply")
        return await store_put(kind, name, value, expected_version)

    store.put = lose_write_and_go_down
    change = template_change("late", 1)
    result = await writer.apply(change, True)
    assert result.tag == "unknown"
    assert result.change_id == change.change_id
    resent = await writer.apply(change, True)
    assert resent.tag == "unknown"
    assert active_configuration.current.revision == 1


async def test_change_is_not_accepted_against_a_stale_catalog(short_backoff):
    store = stores.FaultyStore()
    writer, active_configuration = make_writer(store, timeout_ms=100)
    await writer.apply(template_change(), True)
    await writer.apply(template_change("other", 1), True)
    store.stale_read_share = 1.0
    result = await writer.apply(template_change("third", 2), True)
    assert result.reason == "busy"
    assert "revision 1 while 2 is in force" in result.detail
    assert active_configuration.current.revision == 2


async def test_write_repeated_by_the_client_library_is_accepted_once(tmp_path):
    recorder = records.Recorder.from_config(tmp_path / "platform.jsonl")
    shape = shapes.Shape(
        name="none",
        base_port=1,
        data_centres=["dc-a"],
        between_ms=0,
        clients_ms=0,
        services=[],
    )
    server = test_utils.TestServer(platform.application(shape, recorder))
    async with server, aiohttp.ClientSession() as session:
        endpoint = f"127.0.0.1:{server.port}"
        store = http.HttpStore.from_config(endpoint, 1000, metrics.Metrics())
        writer, _ = make_writer(store)
        await writer.apply(template_change(), True)
        unchanged = edits.Change(
            edits.new_change_id(1), template=test_edits.template()
        )
        control = f"http://{endpoint}/control"
        await session.post(control, json={"lose_replies": 1})
        accepted = await writer.apply(unchanged, True)
        await store.close()
    assert accepted == configuration.Accepted(2)
    written = records.read(tmp_path / "platform.jsonl")
    values, _ = change_history.stored_values(written)
    assert len(values) == 2


def random_change(rng, revision):
    """Returns a random change that is likely to conflict with others."""
    change_id = f"{revision}-{rng.randbytes(8).hex()}"
    used = {"timeout_ms": 7} if rng.random() < 0.5 else {}
    name = f"w{rng.randrange(4)}"
    kind = rng.randrange(8)
    if kind == 0:
        return edits.Change(change_id, delete_template="site")
    if kind == 1:
        return edits.Change(change_id, delete_workspace=name)
    if kind < 4:
        return edits.Change(change_id, template=test_edits.template(**used))
    return edits.Change(change_id, workspace=test_edits.workspace(name, **used))


@pytest.mark.parametrize("seed", range(4))
async def test_concurrent_operators_get_correct_results(short_backoff, seed):
    store = stores.FaultyStore(seed)
    store.lost_reply_share = store.false_conflict_share = 0.15
    store.stale_read_share = 0.1 * (seed % 2)
    hosts = [make_writer(store, 5000, seed * 10 + i) for i in range(4)]

    async def operate(number):
        rng = random.Random(seed * 100 + number)
        reported = []
        for _ in range(25):
            writer, active_configuration = rng.choice(hosts)
            before = active_configuration.current.revision
            stored = store.revision()
            change = random_change(rng, before)
            result = await writer.apply(change, True)
            assert active_configuration.current.revision >= before
            revision = getattr(result, "revision", 0)
            reason = getattr(result, "reason", "")
            reported.append(
                change_history.ChangeOutcome(
                    change,
                    result.tag,
                    revision,
                    reason,
                    stored,
                    store.revision(),
                )
            )
        return reported

    groups = await asyncio.gather(*(operate(n) for n in range(10)))
    reported = [item for group in groups for item in group]
    await store.close()
    remaining_names = await store.list_names(catalogs.KIND_DOCUMENT)
    assert len(remaining_names) < len(store.documents) * 2 // 3
    findings = change_history.check(store.catalogs, store.documents, reported)
    assert findings == change_history.HistoryViolations([], [], [], [], [])
    outcomes = [item.outcome for item in reported]
    assert outcomes.count("accepted") > 80
    assert {item.reason for item in reported} <= {"", "invalid"}
    assert outcomes.count("unknown") == 0
