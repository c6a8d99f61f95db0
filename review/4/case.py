"""An entry of another writer that can't be read hides all backends.

With another value, it also ends the processes that start beside it.
"""

import asyncio
import collections
import pathlib
import signal
import sys

from review import foreign_entries
from review import harness
from standins import gateway_site

FOLDER = pathlib.Path(__file__).resolve().parent
VALUES = {
    "escape of half a character": foreign_entries.ForeignValue(
        "zone", b'"\\ud800"'
    ),
    "bytes that are no UTF-8": foreign_entries.ForeignValue(
        "zone", b'"\xff\xfe"'
    ),
    "number beyond all bounds": foreign_entries.ForeignValue(
        "warmupLeftMs", b"1e999"
    ),
    "unknown service, number of 65 bits": foreign_entries.ForeignValue(
        "sequence", str(2**64).encode(), "elsewhere"
    ),
}
_DEPTH = 2000
NESTED_LISTS = foreign_entries.ForeignValue(
    "zone", b"[" * _DEPTH + b"]" * _DEPTH
)
# The rule `Fault` counts three ends on each of two machines.
RESTARTED_HOSTS = 2
MAX_ENDS = 3
# Delay before the platform starts a process again that has ended.
RESTART_DELAY_S = 1.0
OBSERVED_S = 12.0
REQUESTS = 40
_OK = 200
_NO_ROUTE = 404


async def _statuses(
    record: harness.Record, site: gateway_site.Site, target: str
) -> collections.Counter[int]:
    """Sends requests to all hosts in turn; returns how often each status."""
    replies = [
        await harness.send(
            record,
            site.hosts[number % len(site.hosts)],
            target,
            f"{target.strip('/').replace('/', '-')}-{number}",
            2000,
        )
        for number in range(REQUESTS)
    ]
    return collections.Counter(getattr(each, "status", 0) for each in replies)


async def _run_with(
    record: harness.Record, what: str, foreign: foreign_entries.ForeignValue
) -> bool:
    """Returns whether the rule held with one kind of entry."""
    record.write(f"--- {what}")
    store = foreign_entries.StoreWithForeignEntry(foreign)
    async with harness.running_site(record, store=store) as site:
        before = await _statuses(record, site, "/get/a")
        record.write(f"statuses before: {dict(before)}")
        if record.is_disrupted:
            store.write_foreign_entry()
            record.write("another writer's entry i-foreign is in the store")
        await asyncio.sleep(2.0)
        for name in ("late-0", "late-1"):
            await site.add_upstream(name, "late", b"late")
        await asyncio.sleep(2.0)
        route = gateway_site.route("late", "/late/", service="late")
        store.put("config", "main", harness.configuration(4, route))
        record.write("version 4 with route /late/ acknowledged")
        await asyncio.sleep(
            (harness.CONFIG_MS + harness.STABILITY_WINDOW_MS) / 1000.0
        )
        first = await _statuses(record, site, "/get/b")
        later = await _statuses(record, site, "/late/b")
        record.write(
            f"{what}: statuses of {REQUESTS} requests each: {dict(first)} on"
            f" the first route, {dict(later)} on the one added later"
        )
        return later[_OK] * 4 >= first[_OK] and not later[_NO_ROUTE]


async def _run_with_restarts(record: harness.Record) -> bool:
    """Returns whether hosts that start beside an entry keep running."""
    record.write("--- lists within lists")
    store = foreign_entries.StoreWithForeignEntry(NESTED_LISTS)
    async with harness.running_site(record, store=store) as site:
        await asyncio.sleep(1.0)
        if record.is_disrupted:
            store.write_foreign_entry()
            record.write("another writer's entry i-foreign is in the store")
        await asyncio.sleep(1.0)
        restarted = site.hosts[:RESTARTED_HOSTS]
        for host in restarted:
            host.signal(signal.SIGTERM)
            code = await host.wait_exit()
            record.write(f"{host.name} stopped as planned: {code}")
            await host.start()
        counts = await asyncio.gather(
            *(_count_ends(record, host) for host in restarted)
        )
        record.write(f"ends of the processes by themselves: {counts}")
        return min(counts) < MAX_ENDS


async def _count_ends(
    record: harness.Record, host: gateway_site.HostProcess
) -> int:
    """Starts a process again whenever it has ended; counts that."""
    ends = 0
    try:
        async with asyncio.timeout(OBSERVED_S):
            while True:
                code = await host.wait_exit()
                ends += 1
                record.write(f"{host.name} ended by itself with {code}")
                await asyncio.sleep(RESTART_DELAY_S)
                await host.start()
    except TimeoutError:
        return ends


async def run(record: harness.Record) -> bool:
    """Runs the case with each kind of entry."""
    results = [
        await _run_with(record, what, each) for what, each in VALUES.items()
    ]
    return all([*results, await _run_with_restarts(record)])


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, run))
