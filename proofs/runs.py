"""Runs traffic and faults against a deployment and returns the history."""

import asyncio
import contextlib
from typing import NamedTuple

import aiohttp

from greengagedale import loops
from proofs import history as history_lib
from proofs import nemesis
from proofs import traffic as traffic_lib
from standins import deployments
from standins import index_publisher

_CALLERS = 6
_OPERATORS = 2
_SETTLE_S = 1.5
_PUBLISH_INTERVAL_S = 3.0


class RunPlan(NamedTuple):
    """Parameters of a run.

    Attributes:
        service: Name of the service to search.
        seed: Seed of traffic and faults.
        duration_s: Duration of traffic and faults.
        faults: Kinds of faults to inject; empty for none.
        fault_tasks: Maximum number of faults at the same time.
        search_share: Share of searches among requests; the rest are actions.
        index_changes: Whether new index versions are published, which split
            and merge ranges.
    """

    service: str
    seed: int
    duration_s: float
    faults: tuple[type[nemesis.Fault], ...]
    fault_tasks: int = 1
    search_share: float = 0.5
    index_changes: bool = False


def run(
    deployment: deployments.Deployment, plan: RunPlan
) -> history_lib.History:
    """Runs traffic and faults against a running deployment."""
    deployment.apply_workspace(
        traffic_lib.WORKSPACE, "member-a", plan.service, timeout_ms=1500
    )
    deployment.apply_template(
        traffic_lib.TEMPLATE,
        {
            "parameters": {"weight": {"type": "integer"}},
            "workspace": {"service": plan.service, "weight": "${weight}"},
        },
    )
    return loops.run(_run(deployment, plan))


async def _run(
    deployment: deployments.Deployment, plan: RunPlan
) -> history_lib.History:
    fault_injector = nemesis.FaultInjector(deployment)
    publisher = index_publisher.IndexPublisher(
        deployment.shape, plan.service, plan.seed
    )
    stop = asyncio.Event()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        traffic = traffic_lib.Traffic(
            deployment.shape,
            plan.service,
            session,
            plan.seed,
            plan.search_share,
        )
        async with asyncio.TaskGroup() as tasks:
            for number in range(plan.fault_tasks if plan.faults else 0):
                tasks.create_task(
                    fault_injector.inject_until(
                        stop,
                        plan.faults[number :: plan.fault_tasks],
                        plan.seed + number,
                    )
                )
            if plan.index_changes:
                tasks.create_task(_publish_until(stop, publisher))
            for number in range(_CALLERS):
                tasks.create_task(traffic.send_requests_until(stop, number))
            for number in range(_OPERATORS):
                tasks.create_task(traffic.submit_changes_until(stop, number))
            tasks.create_task(traffic.observe_revisions_until(stop))
            await asyncio.sleep(plan.duration_s)
            stop.set()
        await asyncio.sleep(_SETTLE_S)
    paths = sorted(deployment.folder.glob("*.jsonl"))
    return history_lib.History(
        traffic.calls,
        history_lib.upstream_events(paths),
        traffic.changes,
        traffic.observations,
        fault_injector.fault_windows,
        frozenset(range(1, publisher.newest.index_version + 1)),
        history_lib.change_ids(deployment.folder / "platform.jsonl"),
    )


async def _publish_until(
    stop: asyncio.Event, publisher: index_publisher.IndexPublisher
) -> None:
    """Publishes index versions until stopped.

    A publication may fail because of a fault; the next one follows anyway.
    """
    while not stop.is_set():
        await asyncio.sleep(_PUBLISH_INTERVAL_S)
        with contextlib.suppress(OSError, RuntimeError):
            await asyncio.to_thread(publisher.publish)
