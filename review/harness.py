"""Parts that the scripts of all review cases share.

A case is a function that runs against one small deployment: four hosts of the
project as separate processes, started with the command of the deploy file, and
the project's own stand-ins for the store and the upstreams in this process.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import os
import pathlib
import sys
import tempfile
import time
import traceback
from typing import Any

from greengagedale.http1 import client
from greengagedale.http1 import messages
from standins import gateway_site
from standins import gateway_store
from standins import gateway_upstream

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
# Below the 120 s that a case may take, with room for ending the processes.
TIME_LIMIT_S = 105.0
HOSTS = 4
# The bounds of the small sites that a host's settings hold.
BOUNDS = {
    "budgetWindowS": 10,
    "budgetRatio": 0.2,
    "budgetBurst": 54,
    "graceS": 6,
    "ttl_max_s": 5,
}
CONFIG_MS = 3000
STABILITY_WINDOW_MS = 4000


class Record:
    """Writes `record.txt`: what was sent, answered and run, with times.

    Attributes:
        is_disrupted: Whether the case runs with its disruption.
    """

    def __init__(self, folder: pathlib.Path, is_disrupted: bool) -> None:
        self.is_disrupted = is_disrupted
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_s = time.monotonic()
        self.write(f"disruption: {'yes' if is_disrupted else 'no'}")

    def write(self, line: str) -> None:
        """Writes one line with the time since the start, in seconds."""
        at_s = time.monotonic() - self._started_s
        self._file.write(f"{at_s:8.3f} {line}\n")
        self._file.flush()


CaseFunction = Callable[[Record], Awaitable[bool]]


def run_case(folder: pathlib.Path, case: CaseFunction) -> int:
    """Runs a case and returns the exit code of its script.

    Args:
        folder: Folder of the case.
        case: Returns whether the rule held.
    """
    record = Record(folder, os.environ.get("TROUBLE", "1") != "0")
    try:
        has_held = asyncio.run(_run_within_limit(case, record))
    except BaseException:
        record.write("could not run: " + traceback.format_exc())
        traceback.print_exc()
        return COULD_NOT_RUN
    record.write("the rule held" if has_held else "THE RULE WAS BROKEN")
    print("held" if has_held else "broken", file=sys.stderr)
    return HELD if has_held else BROKEN


async def _run_within_limit(case: CaseFunction, record: Record) -> bool:
    async with asyncio.timeout(TIME_LIMIT_S):
        return await case(record)


class QueueingUpstream(gateway_upstream.GatewayUpstream):
    """The stand-in for an upstream, with slots and a queue.

    Attributes:
        record: Where arrivals and answers are recorded.
        slots: Number of requests that run at once; more wait.
        arrived: Ids of the requests that have reached it.
    """

    def __init__(
        self, name: str, service: str, record: Record, slots: int
    ) -> None:
        super().__init__(name, service, b"done")
        self.record = record
        self.slots = asyncio.Semaphore(slots)
        self.arrived: set[str] = set()

    async def handle(self, request: messages.Request) -> messages.Response:
        """Runs a request once a slot is free."""
        request_id = (request.header(b"request-id") or b"").decode()
        self.arrived.add(request_id)
        self.record.write(f"  {request_id} reaches {self.name}")
        async with self.slots:
            self.record.write(f"  {request_id} begins to run at {self.name}")
            response = await super().handle(request)
        self.record.write(f"  {self.name} has answered {request_id}")
        return response


async def add_upstream(site: gateway_site.Site, upstream: Any) -> None:
    """Starts an upstream and writes its entry to the store."""
    if isinstance(upstream, gateway_upstream.GatewayUpstream):
        await upstream.start(gateway_site.ADDRESS, gateway_site.free_port())
    else:
        await upstream.start()
    site.upstreams[upstream.name] = upstream
    site.write_upstream_entry(upstream.name)


@contextlib.asynccontextmanager
async def running_site(
    record: Record,
    hosts: int = HOSTS,
    store: gateway_store.GatewayStore | None = None,
    site_type: type[gateway_site.Site] = gateway_site.Site,
) -> AsyncIterator[gateway_site.Site]:
    """Runs a site of the project's own stand-ins.

    Args:
        record: Record of the case.
        hosts: Number of hosts.
        store: The store, if it is not the project's own stand-in.
        site_type: Type of the site.
    """
    with tempfile.TemporaryDirectory() as name:
        site = site_type(pathlib.Path(name), hosts, BOUNDS)
        if store is not None:
            site.store = store
        for host in site.hosts:
            use_deployed_command(host)
        try:
            await site.start()
            record.write(f"site started with {hosts} hosts")
            yield site
        finally:
            await site.stop()
            record.write("all processes ended")


def use_deployed_command(host: gateway_site.HostProcess) -> None:
    """Makes a host start with the command that `deploy/system.toml` names."""
    host.command = [
        "python3",
        "-S",
        "-P",
        "-m",
        "greengagedale",
        "serve",
        "--settings",
        str(host.settings_path),
    ]
    kept = ("PATH", "HOME", "LANG")
    host.environment = {
        key: os.environ[key] for key in kept if key in os.environ
    }
    host.environment["PYTHONPATH"] = str(ROOT / "target" / "deps")


async def send(
    record: Record,
    host: gateway_site.HostProcess,
    target: str,
    request_id: str,
    deadline_ms: int,
    method: bytes = b"GET",
) -> messages.Reply | client.ExchangeFailure | None:
    """Sends one request on a new connection and records what came of it.

    Returns:
        The reply, or the failure of the exchange; None if the host accepted
        no connection.
    """
    record.write(f"send {request_id} {target} to {host.name}")
    reply: messages.Reply | client.ExchangeFailure | None
    try:
        reply = await host.get(
            target,
            method=method,
            request_id=request_id,
            deadline_ms=deadline_ms,
        )
    except OSError as error:
        record.write(f"  {request_id}: no connection: {error!r}")
        return None
    if isinstance(reply, messages.Reply):
        seal = (reply.header(b"server-seal") or b"").decode()
        record.write(f"  {request_id}: status {reply.status}, seal {seal!r}")
    else:
        record.write(f"  {request_id}: no answer: {reply.detail}")
    return reply


def is_success(reply: object) -> bool:
    """Returns whether a reply is a success."""
    return isinstance(reply, messages.Reply) and reply.status == 200


def configuration(
    version: int, *routes: dict[str, object]
) -> dict[str, object]:
    """Returns the configuration of the stand-in site with more routes."""
    document = gateway_site.configuration(version, routes)
    services = {
        str(each["service"]) for each in routes if each.get("service")
    }.difference(each["name"] for each in document["services"])
    document["services"] += [
        {"name": name, "healthPath": "/h", "maxConnections": 40}
        for name in sorted(services)
    ]
    return document
