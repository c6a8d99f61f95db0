"""Tests of the event loop that skips time."""

import asyncio
import gc

import virtual_time


# Guards against errors in the log of another test, when a task of an earlier
# one is collected.
def test_closed_loop_leaves_no_pending_task(caplog):
    loop = virtual_time.VirtualTimeLoop()

    async def start():
        waiting = asyncio.create_task(asyncio.sleep(60.0))
        await asyncio.sleep(0.0)
        return id(waiting)

    loop.run_until_complete(start())
    loop.close()
    gc.collect()
    assert caplog.records == []
