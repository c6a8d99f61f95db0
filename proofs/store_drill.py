"""A drill of the store under load, over real processes.

Four gateway hosts serve searches while the store goes away and comes back from
an older copy. In the lost seconds a configuration was changed and an upstream
was drained and another removed. Prints what callers and the store saw.
"""

import asyncio
import collections
import datetime
import itertools
import pathlib
import tempfile
import time
from typing import Annotated, NamedTuple

import typer

from greengagedale import loops
from greengagedale.http1 import client
from greengagedale.http1 import messages
from standins import gateway_site
from standins import gateway_store

HOSTS = 4
REPLICAS = 3
CALLERS = 8
SETTLED_S = 6.0
DRAINED = "s1-0"
REMOVED = "s2-0"
VERSION = 5
WATCH_S = 20.0
_POLL_S = 0.1
_EXIT_VIOLATIONS = 1
_LOG_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


class Result(NamedTuple):
    """What a drill showed.

    Attributes:
        replies: Replies to callers by status and reason; `cut` without one.
        store_calls_before: Calls to the store in the 5 s before the loss.
        store_calls_after: Calls to the store in the 5 s after the return.
        store_calls_away: Calls that arrived while the store was away.
        began_s: Times from the return until each host knew of the new epoch.
        violations: Descriptions of broken rules.
    """

    replies: dict[str, int]
    store_calls_before: int
    store_calls_away: int
    store_calls_after: int
    began_s: list[float]
    violations: list[str]


class _Load:
    """Callers that search at random hosts on kept connections."""

    def __init__(self, site: gateway_site.Site) -> None:
        self.replies: collections.Counter[str] = collections.Counter()
        self._site = site
        self._ids = itertools.count(1)

    async def run(self, number: int) -> None:
        host = self._site.hosts[number % len(self._site.hosts)]
        while True:
            try:
                connection = await host.connect()
            except OSError:
                self.replies["not connected"] += 1
                await asyncio.sleep(_POLL_S)
                continue
            while connection.is_usable:
                reply = await host.send_request(
                    connection,
                    "/find/x",
                    request_id=f"d{next(self._ids)}",
                    deadline_ms=1000,
                )
                self.replies[_describe(reply)] += 1
                await asyncio.sleep(0.01)


def _describe(reply: messages.Reply | client.ExchangeFailure) -> str:
    if isinstance(reply, client.ExchangeFailure):
        return f"cut: {reply.detail}"
    reason = reply.body.decode(errors="replace")[:60]
    return (
        str(reply.status)
        if reply.status == 200
        else (f"{reply.status}: {reason}")
    )


async def run_drill(folder: pathlib.Path, drill: gateway_store.Drill) -> Result:
    """Runs one drill on a new site."""
    async with gateway_site.running_site(
        folder, HOSTS, REPLICAS, era=1
    ) as site:
        load = _Load(site)
        callers = [
            asyncio.create_task(load.run(number)) for number in range(CALLERS)
        ]
        try:
            return await _drill_under_load(site, load, drill)
        finally:
            for task in callers:
                task.cancel()
            await asyncio.gather(*callers, return_exceptions=True)


async def _drill_under_load(
    site: gateway_site.Site, load: _Load, drill: gateway_store.Drill
) -> Result:
    store = site.store
    await asyncio.sleep(SETTLED_S)
    calls = store.calls
    await asyncio.sleep(0.2 * drill.copy_age_s)
    # Both lie within the seconds that are lost, and reach all hosts.
    extra = [gateway_site.route("new", "/new/", service="s1")]
    store.put("config", "main", gateway_site.configuration(VERSION, extra))
    site.write_upstream_entry(DRAINED, state="draining")
    store.delete("servers", REMOVED)
    await asyncio.sleep(0.75 * drill.copy_age_s)
    before = store.calls - calls
    await store.go_away(drill)
    calls = store.calls
    await asyncio.sleep(drill.away_s)
    away = store.calls - calls
    await store.return_older(drill)
    calls = store.calls
    loop = asyncio.get_running_loop()
    returned_s = loop.time()
    returned_at_s = time.time()
    rewriting = asyncio.create_task(store.write_again(drill))
    watching = asyncio.create_task(_watch_rules(site, returned_s))
    await asyncio.sleep(5.0)
    after = store.calls - calls
    violations = await watching
    await rewriting
    began_s = [_recovery_began_s(host) - returned_at_s for host in site.hosts]
    return Result(
        dict(load.replies), before, away, after, sorted(began_s), violations
    )


async def _watch_rules(site: gateway_site.Site, returned_s: float) -> list[str]:
    """Checks until recovery has ended that nothing is taken back."""
    loop = asyncio.get_running_loop()
    violations: set[str] = set()
    served = {
        name: len(site.upstreams[name].requests) for name in (DRAINED, REMOVED)
    }
    while loop.time() - returned_s < WATCH_S:
        for name, count in served.items():
            if len(site.upstreams[name].requests) > count:
                violations.add(f"{name} got new work")
        for host in site.hosts:
            reply = await host.get("/new/x", request_id="probe")
            if isinstance(reply, messages.Reply) and reply.status == 404:
                violations.add(f"{host.name} reverted the configuration")
        await asyncio.sleep(_POLL_S)
    return sorted(violations)


def _recovery_began_s(host: gateway_site.HostProcess) -> float:
    """Returns the time of day at which a host began its recovery."""
    return next(
        (
            datetime.datetime.strptime(
                line["time"], _LOG_TIME_FORMAT
            ).timestamp()
            for line in host.json_log_lines()
            if line["message"].startswith("store came back")
        ),
        float("inf"),
    )


def main(
    copy_age_s: Annotated[float, typer.Option(help="Age of the copy.")] = 5.0,
    away_s: Annotated[float, typer.Option(help="Time away.")] = 2.0,
    cut: Annotated[bool, typer.Option(help="Cut calls while away.")] = True,
    keep: Annotated[
        pathlib.Path | None, typer.Option(help="Directory for logs.")
    ] = None,
) -> None:
    """Run one drill and print what it showed."""
    drill = gateway_store.Drill(copy_age_s, away_s, is_cut=cut)
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(scratch) if keep is None else keep
        folder.mkdir(parents=True, exist_ok=True)
        result = loops.run(run_drill(folder, drill))
    for name, value in result._asdict().items():
        typer.echo(f"{name}: {value}")
    if result.violations:
        raise typer.Exit(_EXIT_VIOLATIONS)


if __name__ == "__main__":
    app = typer.Typer(pretty_exceptions_enable=False)
    app.command()(main)
    app()
