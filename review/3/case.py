"""A host that stops as planned cuts requests that it accepted late."""

import asyncio
import pathlib
import signal
import sys
import time

from greengagedale.http1 import messages
from review import harness
from standins import gateway_site

FOLDER = pathlib.Path(__file__).resolve().parent
BACKENDS = 2
SLOTS = 2
# Longest work of `familjeuppslag` in the site file; its deadline and aim.
WORK_MS = 1300.0
DEADLINE_MS = 5000
AIM_MS = 800
# Times after SIGTERM. The first requests go to the other hosts and keep the
# backends busy; the last ones go to the host that stops. The pages excuse
# requests that were sent up to 3 s after SIGTERM.
BUSY_AFTER_S = 2.6
BUSY_REQUESTS = 8
SENT_AFTER_S = (3.08, 3.12, 3.16, 3.20)


async def run(record: harness.Record) -> bool:
    """Runs the case; returns whether the rule held."""
    async with harness.running_site(record) as site:
        desks = [
            harness.QueueingUpstream(f"desk-{number}", "desk", record, SLOTS)
            for number in range(BACKENDS)
        ]
        for desk in desks:
            desk.delay_ms = WORK_MS
            await harness.add_upstream(site, desk)
        await asyncio.sleep(1.0)
        route = gateway_site.route(
            "desk",
            "/desk/",
            service="desk",
            timeoutMs=DEADLINE_MS,
            targetLatencyMs=AIM_MS,
            maxAttempts=1,
        )
        site.store.put("config", "main", harness.configuration(4, route))
        await asyncio.sleep(
            (harness.CONFIG_MS + harness.STABILITY_WINDOW_MS) / 1000.0
        )
        stopped_s = time.monotonic()
        if record.is_disrupted:
            site.hosts[0].signal(signal.SIGTERM)
            record.write("SIGTERM to h0")
        plan = [
            (BUSY_AFTER_S, site.hosts[1 + number % 3], f"busy-{number}")
            for number in range(BUSY_REQUESTS)
        ]
        plan += [
            (after_s, site.hosts[0], f"late-{number}")
            for number, after_s in enumerate(SENT_AFTER_S)
        ]
        tasks = {}
        for after_s, host, request_id in plan:
            await asyncio.sleep(stopped_s + after_s - time.monotonic())
            tasks[request_id] = asyncio.create_task(
                harness.send(record, host, "/desk/x", request_id, DEADLINE_MS)
            )
        await asyncio.gather(*tasks.values())
        if record.is_disrupted:
            code = await site.hosts[0].wait_exit()
            after_s = time.monotonic() - stopped_s
            record.write(f"h0 ended with {code} {after_s:.2f} s after SIGTERM")
        cut = [
            request_id
            for request_id, task in tasks.items()
            if not isinstance(task.result(), messages.Reply | None)
        ]
        arrived = set().union(*(desk.arrived for desk in desks))
        lost = [request_id for request_id in cut if request_id in arrived]
        record.write(f"cut without an answer: {cut}; passed on before: {lost}")
        return not lost


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, run))
