"""Time until a configuration change is in force on every host."""

import asyncio
from collections.abc import Iterable
import statistics
import time
from typing import Any, ClassVar, NamedTuple

import aiohttp

from bench import cases
from greengagedale import loops
from standins import deployments
from standins import httpcalls
from standins import shapes

NO_SERVICE = ""

_CHANGE_COUNT = 60
_PAUSE_S = 0.05
_POLL_S = 0.003
_PROPAGATION_TIMEOUT_S = 20.0
_MS_PER_S = 1000.0
_NO_FAULT_TARGET_MS = 1000.0
_FAULT_TARGET_MS = 3000.0


class Propagation(NamedTuple):
    """Propagation times of one change.

    Attributes:
        accept_ms: Time from sending until the reply.
        in_force_ms: Time from sending until in force, by host name.
    """

    accept_ms: float
    in_force_ms: dict[str, float]


class OperatorClient:
    """Client of the operator interfaces of a deployment's hosts."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        deployment: deployments.Deployment,
        hosts: list[shapes.EntryHost],
    ) -> None:
        self._session = session
        self._endpoints = {
            h.name: deployment.operator_address(h) for h in hosts
        }

    async def put_template(
        self, host: str, name: str, number: int
    ) -> dict[str, Any]:
        """Stores a template whose content varies with `number`."""
        body = {
            "parameters": {},
            "workspace": {"service": "places", "timeout_ms": 1 + number},
        }
        url = f"http://{self._endpoints[host]}/v1/templates/{name}"
        async with self._session.put(url, json=body) as response:
            return await response.json()

    async def revision(self, host: str) -> int:
        """Returns the revision in force on a host; 0 if it is unreachable."""
        url = f"http://{self._endpoints[host]}/v1/configuration"
        try:
            async with self._session.get(url) as response:
                return (await response.json())["revision"]
        except aiohttp.ClientError:
            return 0

    async def propagation_ms(
        self, host: str, revision: int, start_s: float
    ) -> float:
        """Returns the time from `start_s` until a host has a revision.

        Returns the timeout if the host does not reach the revision in time.
        """
        while await self.revision(host) < revision:
            if time.monotonic() - start_s > _PROPAGATION_TIMEOUT_S:
                return _PROPAGATION_TIMEOUT_S * _MS_PER_S
            await asyncio.sleep(_POLL_S)
        return (time.monotonic() - start_s) * _MS_PER_S

    async def measure_change(self, host: str, number: int) -> Propagation:
        """Makes a change through one host; waits until all have it."""
        start_s = time.monotonic()
        answer = await self.put_template(host, "site", number)
        accept_ms = (time.monotonic() - start_s) * _MS_PER_S
        times = await self.propagation_by_host(answer["revision"], start_s)
        return Propagation(accept_ms, times)

    async def propagation_by_host(
        self, revision: int, start_s: float
    ) -> dict[str, float]:
        """Returns the time until each host has a revision, by host."""
        times = await asyncio.gather(
            *(
                self.propagation_ms(h, revision, start_s)
                for h in self._endpoints
            )
        )
        return dict(zip(self._endpoints, times, strict=True))


async def measure_changes(
    deployment: deployments.Deployment, hosts: list[shapes.EntryHost]
) -> list[Propagation]:
    """Makes changes through each host in turn and measures them."""
    async with aiohttp.ClientSession() as session:
        client = OperatorClient(session, deployment, hosts)
        propagations = []
        for number in range(_CHANGE_COUNT):
            host = hosts[number % len(hosts)]
            propagations.append(await client.measure_change(host.name, number))
            await asyncio.sleep(_PAUSE_S)
        return propagations


def count_platform_calls(deployment: deployments.Deployment) -> dict[str, int]:
    """Returns the number of calls that the platform received, by operation."""
    endpoint = deployment.shape.platform_endpoint
    return httpcalls.get(endpoint, "/control/calls").body


def quantile(values: list[float], fraction: float) -> float:
    """Returns the given quantile of a non-empty list."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


class _ChangeCase(cases.Case):
    """Base of the cases that make changes through every host in turn."""

    target_ms: ClassVar[float]
    shapes: ClassVar[tuple[str, ...]] = ("kodklubben",)

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Measures the propagation of every change to every host."""
        deployment = context.deployment()
        try:
            deployment.start(service=NO_SERVICE)
            self.inject_fault(deployment)
            yield self._row(context, deployment)
        finally:
            deployment.stop()

    def inject_fault(self, deployment: deployments.Deployment) -> None:
        """Injects the fault of the case; none by default."""

    def _row(
        self, context: cases.Context, deployment: deployments.Deployment
    ) -> cases.Row:
        hosts = deployment.shape.entry_hosts()
        before = count_platform_calls(deployment)
        measurement_start_s = time.monotonic()
        propagations = loops.run(measure_changes(deployment, hosts))
        took_s = time.monotonic() - measurement_start_s
        after = count_platform_calls(deployment)
        calls = {key: after[key] - before.get(key, 0) for key in after}
        slowest_ms = [max(item.in_force_ms.values()) for item in propagations]
        p99_ms = max(
            quantile(
                [item.in_force_ms[host.name] for item in propagations], 0.99
            )
            for host in hosts
        )
        figures = {
            "accept_p50_ms": statistics.median(
                i.accept_ms for i in propagations
            ),
            "in_force_p50_ms": statistics.median(slowest_ms),
            "worst_host_p99_ms": p99_ms,
            "most_ms": max(slowest_ms),
            "writes_a_change": calls.get("put", 0) / len(propagations),
            "reads_a_change": calls.get("get", 0) / len(propagations),
            "watches_a_host_s": calls.get("watch", 0) / len(hosts) / took_s,
        }
        return cases.Row(
            self.name,
            deployment.shape.name,
            "",
            context.seed,
            figures,
            f"p99 at most {self.target_ms:.0f} ms on every host",
            p99_ms <= self.target_ms,
        )


class ChangeWithoutFaults(_ChangeCase):
    """Propagation of changes without faults."""

    name = "change_all_well"
    target_ms = _NO_FAULT_TARGET_MS


class ChangeWatchDead(_ChangeCase):
    """Propagation of changes while the watches of one host get no reply."""

    name = "change_watch_dead"
    target_ms = _FAULT_TARGET_MS

    def inject_fault(self, deployment: deployments.Deployment) -> None:
        """Makes the platform ignore the watches of the last host."""
        deployment.control_platform(silent_clients=["entry-4"])


class ChangeOutage(cases.Case):
    """The platform goes down when only one host has received a change."""

    name = "change_outage"
    shapes: ClassVar[tuple[str, ...]] = ("kodklubben",)

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Measures the other hosts, then one restarted during the outage."""
        deployment = context.deployment()
        try:
            deployment.start(service=NO_SERVICE)
            yield self._row(context, deployment)
        finally:
            deployment.stop()

    def _row(
        self, context: cases.Context, deployment: deployments.Deployment
    ) -> cases.Row:
        hosts = deployment.shape.entry_hosts()
        others = [host.name for host in hosts[1:]]
        deployment.control_platform(silent_clients=others)
        times, revision = loops.run(_change_before_outage(deployment, hosts))
        started_host = hosts[-1]
        deployment.kill(started_host.name)
        measurement_start_s = time.monotonic()
        deployment.start_host(started_host)
        started_host_ms = loops.run(
            _wait_for_revision(
                deployment, started_host, revision, measurement_start_s
            )
        )
        deployments.wait_until(
            lambda: started_host.name in deployment.located_hosts(started_host),
            "the restarted host to be ready",
        )
        figures = {
            "most_ms": max(times.values()),
            "fresh_host_ms": started_host_ms,
            "fresh_host_ready_ms": (time.monotonic() - measurement_start_s)
            * _MS_PER_S,
        }
        return cases.Row(
            self.name,
            deployment.shape.name,
            "",
            context.seed,
            figures,
            "at most 3000 ms on all hosts; a fresh host learns it from others",
            figures["most_ms"] <= _FAULT_TARGET_MS
            and started_host_ms < _PROPAGATION_TIMEOUT_S * _MS_PER_S,
        )


async def _change_before_outage(
    deployment: deployments.Deployment, hosts: list[shapes.EntryHost]
) -> tuple[dict[str, float], int]:
    async with aiohttp.ClientSession() as session:
        client = OperatorClient(session, deployment, hosts)
        start_s = time.monotonic()
        answer = await client.put_template(hosts[0].name, "second", 1)
        url = f"http://{deployment.shape.platform_endpoint}/control"
        async with session.post(url, json={"down": True}) as response:
            response.raise_for_status()
        times = await client.propagation_by_host(answer["revision"], start_s)
        return times, answer["revision"]


async def _wait_for_revision(
    deployment: deployments.Deployment,
    host: shapes.EntryHost,
    revision: int,
    start_s: float,
) -> float:
    async with aiohttp.ClientSession() as session:
        client = OperatorClient(session, deployment, [host])
        return await client.propagation_ms(host.name, revision, start_s)
