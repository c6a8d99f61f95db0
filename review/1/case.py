"""A refusal that comes twice makes a request run twice."""

import asyncio
import collections
import pathlib
import sys
import time

from review import backends as backends_lib
from review import harness
from standins import gateway_site

FOLDER = pathlib.Path(__file__).resolve().parent
BACKENDS = 3
WORK_S = 0.02
# One backend of three (0.33; largest share on the pages: 0.6) repeats one of
# its answers in each round, and gives more than 40 other ones meanwhile (0.025;
# largest on the pages: 0.03).
ROUNDS = 12
ORDINARY_PER_ROUND = 150
PARALLEL = 4
# The queues of all backends are full for this long in each round.
FULL_S = 0.015
DEADLINE_MS = 3000


async def run(record: harness.Record) -> bool:
    """Runs the case; returns whether the rule held."""
    backends = [
        backends_lib.Backend(record, f"desk-{number}", "desk", WORK_S)
        for number in range(BACKENDS)
    ]
    async with harness.running_site(record) as site:
        for backend in backends:
            await harness.add_upstream(site, backend)
        route = gateway_site.route(
            "desk",
            "/desk/",
            service="desk",
            type="non_idempotent",
            timeoutMs=DEADLINE_MS,
            targetLatencyMs=500,
        )
        site.store.put("config", "main", harness.configuration(4, route))
        # New hosts have no retries in their first window of 10 s.
        await asyncio.sleep(12.0)
        for number in range(ROUNDS):
            await _send_ordinary(record, site, number)
            if record.is_disrupted:
                backends[number % BACKENDS].must_repeat = True
            full_until_s = time.monotonic() + FULL_S
            for backend in backends:
                backend.full_until_s = full_until_s
            record.write("queues full")
            await _book(record, site, f"full-{number}")
            await asyncio.sleep(0.2)
        runs = collections.Counter(
            request_id for backend in backends for request_id in backend.runs
        )
        for backend in backends:
            share = backend.repeats / max(1, backend.answers)
            record.write(
                f"{backend.name}: {backend.answers} answers,"
                f" {backend.repeats} sent again ({share:.3f})"
            )
        twice = [each for each, count in runs.items() if count > 1]
        record.write(f"ran more than once: {twice}")
        return not twice


async def _send_ordinary(
    record: harness.Record, site: gateway_site.Site, number: int
) -> None:
    """Sends requests while the backends have room."""

    async def send_part(part: int) -> None:
        for count in range(ORDINARY_PER_ROUND // PARALLEL):
            await _book(record, site, f"plain-{number}-{part}-{count}")

    await asyncio.gather(*map(send_part, range(PARALLEL)))


async def _book(
    record: harness.Record, site: gateway_site.Site, request_id: str
) -> None:
    await harness.send(
        record, site.hosts[0], "/desk/x", request_id, DEADLINE_MS, b"POST"
    )


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, run))
