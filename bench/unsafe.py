"""Resent actions while hosts, upstreams and the platform fail."""

import asyncio
import collections
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
import contextlib
import itertools
import random
import signal
from typing import NamedTuple

from bench import cases
from greengagedale import client as client_lib
from greengagedale import exceptions
from greengagedale import loops
from greengagedale import outcomes
from greengagedale.callers import http_client
from greengagedale.callers import wire
from greengagedale.idempotency import tickets
from greengagedale.query import ranges
from greengagedale.retry import key_retry
from standins import deployments

_WORKSPACE = "bench"
_PATH = f"/v1/workspaces/{_WORKSPACE}/act"
_RATE_PER_S = 100.0
_TIMEOUT_MS = 1500
_COPY_COUNT = 3
_COPY_SPREAD_S = 0.2
_MAX_NEW_KEYS = 3
_FAULT_DURATION_S = (0.5, 1.2)
_FAULT_PAUSE_S = (0.1, 0.4)


class ActionCall(NamedTuple):
    """One action request, as seen by its caller.

    Attributes:
        name: Unique name, which upstreams record with each run.
        policy: Name of the resend policy of the caller.
        reported_outcomes: Outcomes that the caller received.
    """

    name: str
    policy: str
    reported_outcomes: list[outcomes.Outcome]

    @property
    def outcome(self) -> outcomes.Outcome:
        """The combined outcome: ran before unknown before not run."""
        order = (outcomes.Ran, outcomes.Unknown, outcomes.NotRun)
        return min(
            self.reported_outcomes, key=lambda item: order.index(type(item))
        )


class Unsafe(cases.Case):
    """Counts requests that ran twice, or ran despite "not run"."""

    name = "unsafe"
    duration_s = 10.0

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Measures all policies in one load, under one sequence of faults."""
        service = context.shape.main_service
        deployment = deployments.Deployment(
            context.folder, context.shape_path, context.base_port, proxied=True
        )
        try:
            deployment.start(service=service)
            deployment.apply_workspace(_WORKSPACE, "member-a", service)
            actions = loops.run(_offer_load(deployment, service, context))
            runs = _runs_by_name(deployment, service)
        finally:
            deployment.stop()
        for policy in _POLICIES:
            policy_actions = [item for item in actions if item.policy == policy]
            yield _row(self.name, context, policy, policy_actions, runs)


def _row(
    name: str,
    context: cases.Context,
    policy: str,
    actions: list[ActionCall],
    runs: collections.Counter[str],
) -> cases.Row:
    counts = collections.Counter(item.outcome.tag for item in actions)
    ran_twice = sum(runs[item.name] > 1 for item in actions)
    false_not_run = sum(
        runs[item.name] > 0
        for item in actions
        if isinstance(item.outcome, outcomes.NotRun)
    )
    ran_without_run = sum(
        runs[item.name] == 0
        for item in actions
        if isinstance(item.outcome, outcomes.Ran)
    )
    figures = {
        "requests": len(actions),
        "ran": counts["ran"],
        "not_run": counts["not_run"],
        "unknown": counts["unknown"],
        "unknown_share": counts["unknown"] / max(1, len(actions)),
        "ran_twice": ran_twice,
        "not_run_that_ran": false_not_run,
        "ran_without_run": ran_without_run,
    }
    reasons = collections.Counter(
        f"unknown_{item.outcome.reason}"
        for item in actions
        if isinstance(item.outcome, outcomes.Unknown)
    )
    baseline = policy == "new_key"
    return cases.Row(
        name,
        context.shape.name,
        policy,
        context.seed,
        figures | reasons,
        "" if baseline else "0 run twice, 0 not run that ran",
        None
        if baseline
        else ran_twice == false_not_run == ran_without_run == 0,
    )


def _runs_by_name(
    deployment: deployments.Deployment, service: str
) -> collections.Counter[str]:
    names = [
        name for name in deployment.processes if name.startswith(service + "-")
    ]
    return collections.Counter(
        event["asked"]["name"]
        for name in names
        for event in deployment.read_record(name)
        if event["event"] == "act"
    )


async def _offer_load(
    deployment: deployments.Deployment, service: str, context: cases.Context
) -> list[ActionCall]:
    rng = random.Random(context.seed)
    faults = asyncio.create_task(_inject_faults(deployment, service, context))
    tasks = []
    async with _client(deployment) as client:
        for number in itertools.count():
            if faults.done():
                break
            policy = rng.choice(list(_POLICIES))
            target = rng.randrange(ranges.KEY_SPACE.high)
            action = ActionCall(f"{policy}-{number}", policy, [])
            work = _POLICIES[policy](client, deployment, action, target)
            tasks.append(asyncio.create_task(work))
            await asyncio.sleep(rng.expovariate(_RATE_PER_S))
        await faults
        return list(await asyncio.gather(*tasks))


@contextlib.asynccontextmanager
async def _client(
    deployment: deployments.Deployment,
) -> AsyncIterator[client_lib.Client]:
    client = client_lib.Client.from_config(_endpoints(deployment))
    try:
        yield client
    finally:
        await client.close()


def _endpoints(deployment: deployments.Deployment) -> list[str]:
    hosts = deployment.shape.entry_hosts()
    return [deployment.caller_address(host) for host in hosts]


async def _act_with_ticket(
    client: client_lib.Client,
    deployment: deployments.Deployment,
    action: ActionCall,
    target: int,
) -> ActionCall:
    """Acts with an idempotency key from a ticket, the library's default."""
    del deployment
    action.reported_outcomes.append(await _act(client, action, target))
    return action


async def _act_with_claim(
    client: client_lib.Client,
    deployment: deployments.Deployment,
    action: ActionCall,
    target: int,
) -> ActionCall:
    """Acts with the caller's own key, which is claimed in the platform."""
    del deployment
    action.reported_outcomes.append(
        await _act(client, action, target, action.name)
    )
    return action


async def _act_with_new_keys(
    client: client_lib.Client,
    deployment: deployments.Deployment,
    action: ActionCall,
    target: int,
) -> ActionCall:
    """Retries under a new key if the outcome is unknown; the baseline."""
    del deployment
    for _ in range(_MAX_NEW_KEYS):
        action.reported_outcomes.append(await _act(client, action, target))
        if not isinstance(action.reported_outcomes[-1], outcomes.Unknown):
            break
    return action


async def _act_with_copies(
    client: client_lib.Client,
    deployment: deployments.Deployment,
    action: ActionCall,
    target: int,
) -> ActionCall:
    """Sends copies of one action, with one ticket key, to several hosts."""
    rng = random.Random(action.name)
    try:
        ticket = (await client.locate())["ticket"]
    except exceptions.RemoteError:
        ticket = ""
    if not ticket:
        action.reported_outcomes.append(_no_host())
        return action
    body = wire.ActionBody(
        key=tickets.new_key(ticket),
        target=target,
        body={"name": action.name},
        timeout_ms=_TIMEOUT_MS,
    )
    hosts = rng.sample(_endpoints(deployment), _COPY_COUNT)
    host_client = http_client.HostClient.from_config()
    try:
        action.reported_outcomes.extend(
            await asyncio.gather(
                *(_send_copy(host_client, host, body, rng) for host in hosts)
            )
        )
    finally:
        await host_client.close()
    return action


async def _send_copy(
    host_client: http_client.HostClient,
    endpoint: str,
    body: wire.ActionBody,
    rng: random.Random,
) -> outcomes.Outcome:
    await asyncio.sleep(rng.uniform(0, _COPY_SPREAD_S))
    result = await host_client.send(endpoint, _PATH, body, _TIMEOUT_MS)
    if isinstance(result, key_retry.Answered):
        return result.outcome
    return outcomes.Unknown(outcomes.Reason.REPLY_LOST)


async def _act(
    client: client_lib.Client,
    action: ActionCall,
    target: int,
    key: str | None = None,
) -> outcomes.Outcome:
    try:
        return await client.act(
            _WORKSPACE,
            target,
            {"name": action.name},
            key,
            _TIMEOUT_MS,
            first_send=key is not None,
        )
    except exceptions.RemoteError:
        return _no_host()


def _no_host() -> outcomes.NotRun:
    return outcomes.NotRun(outcomes.Reason.CONNECT_FAILED, 0)


_Policy = Callable[
    [client_lib.Client, deployments.Deployment, ActionCall, int],
    Awaitable[ActionCall],
]
_POLICIES: dict[str, _Policy] = {
    "ticket": _act_with_ticket,
    "claim": _act_with_claim,
    "storm": _act_with_copies,
    "new_key": _act_with_new_keys,
}


async def _inject_faults(
    deployment: deployments.Deployment, service: str, context: cases.Context
) -> None:
    rng = random.Random(f"faults/{context.seed}")
    until_s = asyncio.get_running_loop().time() + context.duration_s
    pending_faults = iter(())
    while asyncio.get_running_loop().time() < until_s:
        fault = next(pending_faults, None)
        if fault is None:
            pending_faults = iter(rng.sample(_FAULTS, len(_FAULTS)))
            continue
        clear_fault = await asyncio.to_thread(fault, deployment, service, rng)
        await asyncio.sleep(rng.uniform(*_FAULT_DURATION_S))
        await asyncio.to_thread(clear_fault)
        await asyncio.sleep(rng.uniform(*_FAULT_PAUSE_S))


def _kill_host(
    deployment: deployments.Deployment, service: str, rng: random.Random
) -> Callable[[], None]:
    del service
    host = rng.choice(deployment.shape.entry_hosts())
    deployment.kill(host.name)
    return lambda: deployment.start_host(host)


def _freeze_host(
    deployment: deployments.Deployment, service: str, rng: random.Random
) -> Callable[[], None]:
    del service
    host = rng.choice(deployment.shape.entry_hosts())
    deployment.signal(host.name, signal.SIGSTOP)
    return lambda: deployment.signal(host.name, signal.SIGCONT)


def _kill_upstreams(
    deployment: deployments.Deployment, service: str, rng: random.Random
) -> Callable[[], None]:
    group = rng.choice(["1", "2", "3"])
    name = f"{service}-replica-{group}"
    upstream_names = [
        placed.upstream.name
        for placed in deployment.shape.upstreams()
        if placed.shape.name == service
        and placed.upstream.name.endswith(f"-{group}")
    ]
    deployment.kill(name)
    return lambda: deployment.start_upstream(name, ",".join(upstream_names))


def _drop_replies(
    deployment: deployments.Deployment, service: str, rng: random.Random
) -> Callable[[], None]:
    del service, rng
    deployment.control_proxy(drop_to_caller=True)
    return deployment.control_proxy


def _reset_connections(
    deployment: deployments.Deployment, service: str, rng: random.Random
) -> Callable[[], None]:
    del service, rng
    deployment.control_proxy(reset=True, refuse=True)
    return deployment.control_proxy


def _start_outage(
    deployment: deployments.Deployment, service: str, rng: random.Random
) -> Callable[[], None]:
    del service, rng
    deployment.control_platform(down=True)
    return deployment.control_platform


def _lose_platform_replies(
    deployment: deployments.Deployment, service: str, rng: random.Random
) -> Callable[[], None]:
    del service, rng
    deployment.control_platform(lose_replies=20)
    return deployment.control_platform


_FAULTS = (
    _kill_host,
    _freeze_host,
    _kill_upstreams,
    _drop_replies,
    _reset_connections,
    _start_outage,
    _lose_platform_replies,
)
