"""How soon a lost host is gone from locate answers, and who else is."""

from collections.abc import Callable, Iterable
import signal
import time
from typing import NamedTuple

from bench import cases
from standins import deployments

_HARMED = 2
_FREEZE_S = 10.0
_BOUND_MS = 2000.0
_POLL_S = 0.02
_MS_PER_S = 1000.0


class Harm(NamedTuple):
    """What is done to a host, and what undoes it."""

    name: str
    begin: Callable[[deployments.Deployment], None]
    end: Callable[[deployments.Deployment], None]


class Hosts(cases.Case):
    """A host is frozen, cut each way or killed; then a quiet time.

    The duration is that of the quiet time; 600 s is the long run.
    """

    name = "hosts"
    seeds = (1,)

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Measures one harm after another on one deployment."""
        service = context.shape.main_service
        deployment = context.deployment(proxied=True)
        try:
            deployment.start(service=service)
            for harm in _harms():
                yield self._row(context, harm.name, _measure(deployment, harm))
            quiet = _Watch(deployment, set())
            quiet.watch(context.duration_s)
            yield self._row(context, "quiet", quiet.figures())
            yield self._row(context, "killed", _measure(deployment, _KILL))
        finally:
            deployment.stop()

    def _row(
        self, context: cases.Context, policy: str, figures: dict[str, float]
    ) -> cases.Row:
        gone_ms = figures.get("gone_ms", 0.0)
        return cases.Row(
            self.name,
            context.shape.name,
            policy,
            context.seed,
            figures,
            "gone within 2000 ms, no false removals",
            gone_ms <= _BOUND_MS and figures["false_removals"] == 0,
        )


class _Watch:
    """Asks the healthy hosts all the time whom they locate."""

    def __init__(
        self, deployment: deployments.Deployment, harmed: set[str]
    ) -> None:
        self._deployment = deployment
        self._hosts = [
            host
            for host in deployment.shape.entry_hosts()
            if host.name not in harmed
        ]
        self._healthy = {host.name for host in self._hosts}
        self._harmed = harmed
        self._started_s = time.monotonic()
        self._missing: set[tuple[str, str]] = set()
        self._removals = 0
        self.gone_ms: float | None = None

    def watch(self, for_s: float) -> None:
        """Watches on."""
        until_s = time.monotonic() + for_s
        while time.monotonic() < until_s:
            self._look()
            time.sleep(_POLL_S)

    def figures(self) -> dict[str, float]:
        """Returns what was seen."""
        found = {
            "watched_s": time.monotonic() - self._started_s,
            "false_removals": float(self._removals),
        }
        if self._harmed:
            found["gone_ms"] = self.gone_ms or float("inf")
        return found

    def _look(self) -> None:
        named = {
            host.name: set(self._deployment.located_hosts(host))
            for host in self._hosts
        }
        missing = {
            (asked, other)
            for asked, names in named.items()
            for other in self._healthy - names
        }
        self._removals += len(missing - self._missing)
        self._missing = missing
        gone = not any(names & self._harmed for names in named.values())
        if gone and self.gone_ms is None:
            self.gone_ms = (time.monotonic() - self._started_s) * _MS_PER_S


def _measure(
    deployment: deployments.Deployment, harm: Harm
) -> dict[str, float]:
    harmed = deployment.host(_HARMED).name
    watch = _Watch(deployment, {harmed})
    harm.begin(deployment)
    watch.watch(_FREEZE_S)
    harm.end(deployment)
    figures = watch.figures()
    if harm is _KILL:
        return figures
    healed_s = time.monotonic()
    deployment.wait_ready()
    figures["back_ms"] = (time.monotonic() - healed_s) * _MS_PER_S
    return figures


def _others(deployment: deployments.Deployment) -> list[int]:
    count = len(deployment.shape.entry_hosts())
    return [n for n in range(1, count + 1) if n != _HARMED]


def _freeze(deployment: deployments.Deployment) -> None:
    deployment.signal(deployment.host(_HARMED).name, signal.SIGSTOP)


def _thaw(deployment: deployments.Deployment) -> None:
    deployment.signal(deployment.host(_HARMED).name, signal.SIGCONT)


def _cut_out(deployment: deployments.Deployment) -> None:
    deployment.cut_links(*((_HARMED, other) for other in _others(deployment)))


def _cut_in(deployment: deployments.Deployment) -> None:
    deployment.cut_links(*((other, _HARMED) for other in _others(deployment)))


def _heal(deployment: deployments.Deployment) -> None:
    deployment.cut_links()


def _kill(deployment: deployments.Deployment) -> None:
    deployment.kill(deployment.host(_HARMED).name)


_KILL = Harm("killed", _kill, lambda deployment: None)


def _harms() -> list[Harm]:
    return [
        Harm("frozen", _freeze, _thaw),
        Harm("cut_out", _cut_out, _heal),
        Harm("cut_in", _cut_in, _heal),
    ]
