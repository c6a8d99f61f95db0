"""Comparison of two routing policies under the same load.

Half of the hosts of one deployment run each policy, at the same time.
"""

import asyncio
from collections.abc import Coroutine, Iterable, Mapping
import contextlib
import logging
import pathlib
import re
from typing import Any, NamedTuple, Self

from prometheus_client import parser

from bench import cases
from greengagedale import loops
from proofs import checkers
from proofs import history as history_lib
from standins import deployments
from standins import httpcalls
from standins import load_generator

log = logging.getLogger(__name__)

POLICIES = ("plain", "adaptive")
WORKSPACE = "bench"
TIMEOUT_MS = 4000
RATE_PER_S = 40.0
WARM_UP_S = 4.0
_WORK_MS = 20.0
_HITS_LIMIT = 10
_MAX_LOGGED_VIOLATIONS = 5
_ATTEMPTS_METRIC = "greengagedale_attempts_total"
_EVENTS_METRIC = "greengagedale_search_events_total"


class PolicyResult(NamedTuple):
    """Results of one policy under one load.

    Attributes:
        samples: Requests and their replies.
        attempts: Number of attempts that its hosts sent to upstreams.
        events: Number of search events by kind.
    """

    samples: list[load_generator.Sample]
    attempts: int
    events: Mapping[str, int]

    @property
    def summary(self) -> load_generator.Summary:
        """Summary of the latencies and outcomes."""
        return load_generator.Summary.from_samples(self.samples)

    def extra_load(self, ranges: int) -> float:
        """Returns the attempts beyond one per range, as a fraction."""
        return self.attempts / (len(self.samples) * ranges) - 1.0


class PolicyComparison:
    """A deployment whose hosts run one policy in each half."""

    def __init__(self, context: cases.Context) -> None:
        self._context = context
        self.service = context.shape.main_service
        path = _write_slowed_shape(context.shape_path, context.folder)
        self.deployment = deployments.Deployment(
            context.folder, path, context.base_port
        )
        [shape] = [
            s for s in self.deployment.shape.services if s.name == self.service
        ]
        self.ranges = shape.instances
        names = [h.name for h in self.deployment.shape.entry_hosts()]
        half = len(names) // 2
        self._hosts_by_policy = {
            POLICIES[0]: names[:half],
            POLICIES[1]: names[half:],
        }

    def start(self, **workspace_settings: Any) -> Self:
        """Starts and warms up the deployment.

        Args:
            **workspace_settings: Further settings of the workspace.
        """
        self.deployment.start(
            service=self.service,
            host_settings={
                name: f'\n[routing]\npolicy = "{policy}"\n'
                for policy, names in self._hosts_by_policy.items()
                for name in names
            },
        )
        self.deployment.apply_workspace(
            WORKSPACE,
            "member-a",
            self.service,
            timeout_ms=TIMEOUT_MS,
            **workspace_settings,
        )
        self.offer_load(WARM_UP_S)
        return self

    def stop(self) -> None:
        """Stops the deployment."""
        self.deployment.stop()

    def control_upstreams(self, **faults: Any) -> None:
        """Sets the faults of all upstreams of the service."""
        for placed in self.deployment.shape.upstreams():
            if placed.shape.name == self.service:
                self.deployment.control_upstream(placed.upstream.name, **faults)

    def offer_load(
        self, duration_s: float, *background: Coroutine[Any, Any, Any]
    ) -> dict[str, PolicyResult]:
        """Offers the same load to both halves; returns results by policy.

        Args:
            duration_s: Duration of the load, in seconds.
            *background: Coroutines that run during the load; they are
                cancelled when it ends.
        """
        before = {policy: self._read_counters(policy) for policy in POLICIES}
        samples = loops.run(self._offer_load(duration_s, background))
        results = {}
        for policy, policy_samples in zip(POLICIES, samples, strict=True):
            counts = self._read_counters(policy)
            increases = {
                k: v - before[policy].get(k, 0) for k, v in counts.items()
            }
            attempts = increases.pop(_ATTEMPTS_METRIC, 0)
            results[policy] = PolicyResult(policy_samples, attempts, increases)
        return results

    async def _offer_load(
        self, duration_s: float, background: Iterable[Coroutine[Any, Any, Any]]
    ) -> list[list[load_generator.Sample]]:
        tasks = [asyncio.create_task(work) for work in background]
        loads = (
            load_generator.offer(
                load_generator.LoadPlan(
                    self._callers(policy),
                    WORKSPACE,
                    RATE_PER_S,
                    duration_s,
                    self._context.seed,
                    TIMEOUT_MS,
                    _HITS_LIMIT,
                )
            )
            for policy in POLICIES
        )
        samples = await asyncio.gather(*loads)
        for task in tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        return list(samples)

    def _callers(self, policy: str) -> list[str]:
        return [
            self.deployment.caller_address(host)
            for host in self.deployment.shape.entry_hosts()
            if host.name in self._hosts_by_policy[policy]
        ]

    def _read_counters(self, policy: str) -> dict[str, int]:
        counts: dict[str, int] = {}
        for caller in self._callers(policy):
            text = httpcalls.get(caller, "/metrics").body
            for family in parser.text_string_to_metric_families(text):
                for sample in family.samples:
                    name = {
                        _ATTEMPTS_METRIC: _ATTEMPTS_METRIC,
                        _EVENTS_METRIC: sample.labels.get("event"),
                    }.get(sample.name)
                    if name is not None:
                        counts[name] = counts.get(name, 0) + int(sample.value)
        return counts


def summarize(result: PolicyResult, ranges: int) -> dict[str, float]:
    """Returns the figures of one policy for a result row."""
    summary = result.summary
    return {
        "requests": summary.requests,
        "ran": summary.ran,
        "full": summary.full,
        "p50_ms": summary.p50_ms,
        "p99_ms": summary.p99_ms,
        "p999_ms": summary.p999_ms,
        "extra_load": result.extra_load(ranges),
        **{
            name: float(count) for name, count in result.events.items() if count
        },
    }


def _write_slowed_shape(
    path: pathlib.Path, folder: pathlib.Path
) -> pathlib.Path:
    """Writes a copy of the shape with longer work.

    Longer work keeps the noise of the machine small beside the latencies.
    """
    text = path.read_text(encoding="utf-8")
    slowed_text = re.sub(
        r"^connect_ms = .*$",
        lambda match: f"{match[0]}\nwork_ms = {_WORK_MS}",
        text,
        flags=re.MULTILINE,
    )
    slowed_path = folder / path.name
    slowed_path.write_text(slowed_text, encoding="utf-8")
    return slowed_path


def count_violations(
    comparison: PolicyComparison,
    result: PolicyResult,
    published: frozenset[int] = frozenset({1}),
) -> int:
    """Counts answers that mix snapshots or state false coverage or hits."""
    paths = sorted(comparison.deployment.folder.glob("*.jsonl"))
    history = history_lib.History(
        calls=[_call(sample) for sample in result.samples],
        upstream_events=history_lib.upstream_events(paths),
        index_versions=published,
    )
    checks = (
        checkers.one_snapshot,
        checkers.true_coverage,
        checkers.whole_and_own,
        checkers.not_run_is_true,
    )
    all_violations = [item for check in checks for item in check(history)]
    for violation in all_violations[:_MAX_LOGGED_VIOLATIONS]:
        log.error("%s: %s", *violation)
    return len(all_violations)


def _call(sample: load_generator.Sample) -> history_lib.Call:
    return history_lib.Call(
        sample.sent_ms,
        sample.sent_ms + sample.latency_ms,
        "",
        "search",
        sample.text,
        _HITS_LIMIT,
        "",
        sample.status,
        sample.body,
        "",
    )
