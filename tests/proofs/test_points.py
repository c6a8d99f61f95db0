"""Tests that each guarantee holds under its fault, and that its check works.

Every scenario runs twice with real processes behind the fault proxy. With the
unmodified product no check may fail. With the protecting mechanism disabled,
the check of the guarantee must fail.
"""

import asyncio
import pathlib
import random
from typing import NamedTuple

import pytest

from proofs import checkers
from proofs import nemesis
from proofs import runs
from standins import deployments
from standins import ports

MUTANTS = pathlib.Path(__file__).parents[1] / "mutants.py"
SEED = 1
RESETS = 4
RESET_INTERVAL_S = 0.4


class MisbehavingUpstreams(nemesis.Fault):
    """Several upstreams are told to misbehave.

    Attributes:
        control: Options set while the fault is active.
        name_suffixes: Name endings of the upstreams affected.
    """

    control: dict[str, object]
    name_suffixes: tuple[str, ...] = ("-1",)

    def target(
        self, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        return ""

    async def inject(self, deployment, target):
        await self._control_all(deployment, **self.control)

    async def revert(self, deployment, target):
        await self._control_all(
            deployment, **dict.fromkeys(self.control, False)
        )

    async def _control_all(self, deployment, **control):
        for placed in deployment.shape.upstreams():
            if placed.upstream.name.endswith(self.name_suffixes):
                await asyncio.to_thread(
                    deployment.control_upstream, placed.upstream.name, **control
                )


class StaleVersionAnswers(MisbehavingUpstreams):
    """One replica of each range answers from an older index version."""

    name = "old_answers"
    control = {"wrong_echo": True}


class SwappedAnswers(MisbehavingUpstreams):
    """One replica of each range swaps answers between requests."""

    name = "swapped_answers"
    control = {"swap_answers": True}


class DrainedReplicas(MisbehavingUpstreams):
    """One replica of each range drains."""

    name = "drain"
    duration_s = 4.0
    control = {"draining": True}


class LostRange(nemesis.Fault):
    """All replicas of a range are unreachable."""

    name = "lost_range"

    def target(self, deployment, rng):
        return ""

    async def inject(self, deployment, target):
        await self._set(deployment, refuse=True, reset=True)

    async def revert(self, deployment, target):
        await self._set(deployment)

    async def _set(self, deployment, **fault):
        listens = [
            placed.listen_endpoint
            for placed in deployment.shape.upstreams()
            if placed.group == 0
        ]
        await asyncio.to_thread(deployment.control_proxy, listens, **fault)


class LostAnswers(LostRange):
    """The answers of all replicas of a range are lost."""

    name = "lost_answers"

    async def inject(self, deployment, target):
        await self._set(deployment, drop_to_caller=True)


class CutAnswers(LostAnswers):
    """Answers are lost, and their connections are reset repeatedly."""

    name = "cut_answers"

    async def inject(self, deployment, target):
        await super().inject(deployment, target)
        for _ in range(RESETS):
            await asyncio.sleep(RESET_INTERVAL_S)
            await self._set(deployment, drop_to_caller=True, reset=True)


class StopHostUnderLoad(nemesis.StopHost):
    """A host is shut down while upstreams are slow."""

    async def inject(self, deployment, target):
        for placed in deployment.shape.upstreams():
            await asyncio.to_thread(
                deployment.control_upstream,
                placed.upstream.name,
                straggler_share=1.0,
                straggler_factor=(50.0, 50.0),
            )
        await super().inject(deployment, target)


class Scenario(NamedTuple):
    """A guarantee, a fault that tests it and a mutation that breaks it."""

    checker: checkers.Checker
    mutation: str
    fault: type[nemesis.Fault]
    duration_s: float = 2.5
    search_share: float = 0.5


SCENARIOS = [
    Scenario(checkers.one_snapshot, "accept_any_echo", StaleVersionAnswers),
    Scenario(checkers.true_coverage, "claim_full_coverage", LostRange),
    Scenario(checkers.whole_and_own, "accept_any_echo", SwappedAnswers),
    Scenario(
        checkers.not_run_is_true,
        "call_lost_replies_not_run",
        CutAnswers,
        search_share=0.0,
    ),
    Scenario(checkers.at_most_once, "forget_keys", nemesis.SlowUpstream),
    Scenario(checkers.at_most_once, "send_again", CutAnswers, search_share=0.0),
    Scenario(checkers.no_work_to_leaving, "ignore_drains", DrainedReplicas),
    Scenario(
        checkers.shutdown_cuts_nothing, "leave_at_once", StopHostUnderLoad
    ),
    Scenario(
        checkers.configuration_holds,
        "ignore_conflicts",
        nemesis.PlatformSlow,
    ),
]


@pytest.fixture
def run_scenario(tmp_path):
    def run(scenario, host_command):
        deployment = deployments.Deployment(
            tmp_path,
            base_port=ports.base_port() + 400,
            proxied=True,
            host_command=host_command,
        )
        try:
            deployment.start()
            plan = runs.RunPlan(
                "places",
                SEED,
                scenario.duration_s,
                (scenario.fault,),
                search_share=scenario.search_share,
            )
            return runs.run(deployment, plan)
        finally:
            deployment.stop()

    return run


def scenario_id(scenario):
    return f"{scenario.checker.__name__}-{scenario.mutation}"


@pytest.mark.parametrize("scenario", SCENARIOS, ids=scenario_id)
def test_check_passes(run_scenario, scenario):
    history = run_scenario(scenario, ("-m", "greengagedale", "serve"))
    assert history.faults
    assert checkers.check(history) == []


@pytest.mark.parametrize("scenario", SCENARIOS, ids=scenario_id)
def test_check_fails_without_the_mechanism(run_scenario, scenario):
    command = (str(MUTANTS), scenario.mutation, "serve")
    history = run_scenario(scenario, command)
    assert scenario.checker(history)
