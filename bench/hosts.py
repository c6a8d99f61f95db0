"""Time until locate replies omit a failed host, and false removals."""

from collections.abc import Callable, Iterable
import signal
import time
from typing import NamedTuple

from bench import cases
from standins import deployments

_FAULTY_HOST = 2
_FAULT_S = 10.0
_MAX_REMOVAL_MS = 2000.0
_POLL_S = 0.02
_MS_PER_S = 1000.0


class HostFault(NamedTuple):
    """A fault of a host, with the functions that inject and clear it."""

    name: str
    inject: Callable[[deployments.Deployment], None]
    clear: Callable[[deployments.Deployment], None]


class Hosts(cases.Case):
    """A host is frozen, cut off in each direction, and finally killed.

    Before the kill comes a period without faults, in which no host may be
    removed. The duration is that of this period; the long run has 600 s.
    """

    name = "hosts"
    seeds = (1,)

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Measures one fault after another on one deployment."""
        service = context.shape.main_service
        deployment = context.deployment(proxied=True)
        try:
            deployment.start(service=service)
            for fault in _temporary_faults():
                yield self._row(
                    context, fault.name, _measure(deployment, fault)
                )
            quiet_monitor = _LocateMonitor(deployment, set())
            quiet_monitor.run_for(context.duration_s)
            yield self._row(context, "quiet", quiet_monitor.figures())
            yield self._row(context, "killed", _measure(deployment, _KILL))
        finally:
            deployment.stop()

    def _row(
        self, context: cases.Context, policy: str, figures: dict[str, float]
    ) -> cases.Row:
        removal_ms = figures.get("gone_ms", 0.0)
        return cases.Row(
            self.name,
            context.shape.name,
            policy,
            context.seed,
            figures,
            "gone within 2000 ms, no false removals",
            removal_ms <= _MAX_REMOVAL_MS and figures["false_removals"] == 0,
        )


class _LocateMonitor:
    """Polls the locate replies of the healthy hosts.

    Attributes:
        removal_ms: Time until no healthy host located a faulty one, in ms; None
            while one still does.
    """

    def __init__(
        self, deployment: deployments.Deployment, faulty: set[str]
    ) -> None:
        self._deployment = deployment
        self._hosts = [
            host
            for host in deployment.shape.entry_hosts()
            if host.name not in faulty
        ]
        self._healthy = {host.name for host in self._hosts}
        self._faulty = faulty
        self._started_s = time.monotonic()
        self._missing: set[tuple[str, str]] = set()
        self._removals = 0
        self.removal_ms: float | None = None

    def run_for(self, duration_s: float) -> None:
        """Polls for a number of seconds."""
        until_s = time.monotonic() + duration_s
        while time.monotonic() < until_s:
            self._poll()
            time.sleep(_POLL_S)

    def figures(self) -> dict[str, float]:
        """Returns the figures of all polls so far."""
        result = {
            "watched_s": time.monotonic() - self._started_s,
            "false_removals": float(self._removals),
        }
        if self._faulty:
            result["gone_ms"] = self.removal_ms or float("inf")
        return result

    def _poll(self) -> None:
        located_by_host = {
            host.name: set(self._deployment.located_hosts(host))
            for host in self._hosts
        }
        missing = {
            (asked_host, other)
            for asked_host, names in located_by_host.items()
            for other in self._healthy - names
        }
        self._removals += len(missing - self._missing)
        self._missing = missing
        is_removed = not any(
            names & self._faulty for names in located_by_host.values()
        )
        if is_removed and self.removal_ms is None:
            self.removal_ms = (time.monotonic() - self._started_s) * _MS_PER_S


def _measure(
    deployment: deployments.Deployment, fault: HostFault
) -> dict[str, float]:
    faulty = deployment.host(_FAULTY_HOST).name
    monitor = _LocateMonitor(deployment, {faulty})
    fault.inject(deployment)
    monitor.run_for(_FAULT_S)
    fault.clear(deployment)
    figures = monitor.figures()
    if fault is _KILL:
        return figures
    cleared_s = time.monotonic()
    deployment.wait_ready()
    figures["back_ms"] = (time.monotonic() - cleared_s) * _MS_PER_S
    return figures


def _other_hosts(deployment: deployments.Deployment) -> list[int]:
    count = len(deployment.shape.entry_hosts())
    return [n for n in range(1, count + 1) if n != _FAULTY_HOST]


def _freeze(deployment: deployments.Deployment) -> None:
    deployment.signal(deployment.host(_FAULTY_HOST).name, signal.SIGSTOP)


def _resume(deployment: deployments.Deployment) -> None:
    deployment.signal(deployment.host(_FAULTY_HOST).name, signal.SIGCONT)


def _cut_outbound(deployment: deployments.Deployment) -> None:
    deployment.cut_links(
        *((_FAULTY_HOST, other) for other in _other_hosts(deployment))
    )


def _cut_inbound(deployment: deployments.Deployment) -> None:
    deployment.cut_links(
        *((other, _FAULTY_HOST) for other in _other_hosts(deployment))
    )


def _restore_links(deployment: deployments.Deployment) -> None:
    deployment.cut_links()


def _kill_host(deployment: deployments.Deployment) -> None:
    deployment.kill(deployment.host(_FAULTY_HOST).name)


_KILL = HostFault("killed", _kill_host, lambda deployment: None)


def _temporary_faults() -> list[HostFault]:
    return [
        HostFault("frozen", _freeze, _resume),
        HostFault("cut_out", _cut_outbound, _restore_links),
        HostFault("cut_in", _cut_inbound, _restore_links),
    ]
