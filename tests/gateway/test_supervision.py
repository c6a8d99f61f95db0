"""Tests of the restart of background tasks after unexpected errors."""

import asyncio
import contextlib

import pytest

from greengagedale.gateway import supervision


@pytest.fixture(autouse=True)
def short_delay(monkeypatch):
    monkeypatch.setattr(supervision, "RESTART_DELAY_S", 0.001)


# Guards against a process that ends because of one unexpected error.
async def test_task_that_fails_once_is_restarted(caplog):
    runs = []

    async def work():
        runs.append(len(runs))
        if len(runs) == 1:
            raise KeyError("a fault")
        await asyncio.Event().wait()

    task = asyncio.create_task(supervision.supervise(work))
    await asyncio.sleep(0.05)
    assert len(runs) == 2
    assert not task.done()
    assert [each.message for each in caplog.records] == [
        "background task failed; restarting it"
    ]
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def test_task_that_keeps_failing_raises_its_error():
    async def work():
        raise KeyError("a fault")

    with pytest.raises(KeyError):
        await supervision.supervise(work)


async def test_failures_between_stable_runs_do_not_add_up(monkeypatch):
    monkeypatch.setattr(supervision, "STABLE_RUN_S", 0.0)
    runs = 0

    async def work():
        nonlocal runs
        runs += 1
        if runs <= 3 * supervision.MAX_CONSECUTIVE_FAILURES:
            raise KeyError("a fault")
        await asyncio.Event().wait()

    task = asyncio.create_task(supervision.supervise(work))
    async with asyncio.timeout(5.0):
        while runs <= 3 * supervision.MAX_CONSECUTIVE_FAILURES:
            await asyncio.sleep(0.005)
    assert not task.done()
    task.cancel()
