"""Faults that strike a deployment on a schedule made from a seed."""

import abc
import asyncio
from collections.abc import Sequence
import random
import signal
import time
from typing import ClassVar

from proofs import history as history_lib
from standins import deployments

_MS_PER_S = 1000.0
_QUIET_S = (0.5, 1.5)
_EXIT_TIMEOUT_S = 40.0
_POLL_S = 0.05


class Fault(abc.ABC):
    """One kind of fault.

    Attributes:
        name: Its kind in the history.
        lasts_s: How long it is left in place.
    """

    name: ClassVar[str]
    lasts_s: ClassVar[float] = 2.0

    @abc.abstractmethod
    def target(
        self, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        """Chooses what to strike; empty if it strikes no one process."""

    @abc.abstractmethod
    async def strike(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Puts the fault in place."""

    @abc.abstractmethod
    async def heal(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Takes the fault back."""


class _HostFault(Fault):
    def target(
        self, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        return rng.choice(deployment.shape.entry_hosts()).name


class _ReplacedHostFault(_HostFault):
    async def heal(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Starts a fresh host of that name."""
        _restart(deployment, target)


class KillHost(_ReplacedHostFault):
    """An entry host is killed and replaced."""

    name = "kill"

    async def strike(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Kills the host."""
        deployment.kill(target)


class FreezeHost(_HostFault):
    """An entry host is stopped for a while and goes on."""

    name = "freeze"

    async def strike(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Stops the process."""
        deployment.signal(target, signal.SIGSTOP)

    async def heal(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Lets it go on."""
        deployment.signal(target, signal.SIGCONT)


class StopHost(_ReplacedHostFault):
    """An entry host is shut down gracefully and replaced."""

    name = "stop"
    lasts_s = 0.0

    async def strike(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Asks the process to end and waits until it has."""
        deployment.signal(target, signal.SIGTERM)
        process = deployment.processes.pop(target)
        until_s = time.monotonic() + _EXIT_TIMEOUT_S
        while process.poll() is None:
            if time.monotonic() > until_s:
                process.kill()
                raise TimeoutError(f"{target} did not end")
            await asyncio.sleep(_POLL_S)


class _UpstreamFault(Fault):
    def target(
        self, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        names = [p.upstream.name for p in deployment.shape.upstreams()]
        return rng.choice([n for n in names if n in deployment.processes])


class KillUpstream(_UpstreamFault):
    """An upstream is killed and replaced."""

    name = "kill_upstream"

    async def strike(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Kills the upstream."""
        deployment.kill(target)

    async def heal(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Starts it again."""
        deployment.start_upstream(target)


class DrainUpstream(_UpstreamFault):
    """An upstream drains and comes back."""

    name = "drain"
    lasts_s = 4.0

    async def strike(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Tells the upstream to drain."""
        await _control_upstream(deployment, target, draining=True)

    async def heal(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Tells it to take work again."""
        await _control_upstream(deployment, target, draining=False)


class _ProxyFault(_UpstreamFault):
    fault: ClassVar[dict[str, object]]

    async def strike(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Puts the fault on the route to the upstream."""
        listen = _listen_of(deployment, target)
        await asyncio.to_thread(
            deployment.control_proxy, [listen], **self.fault
        )

    async def heal(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Takes the fault off the route."""
        listen = _listen_of(deployment, target)
        await asyncio.to_thread(deployment.control_proxy, [listen])


class SilentUpstream(_ProxyFault):
    """All connections to an upstream go silent."""

    name = "silent"
    fault = {"silent": True}


class ResetUpstream(_ProxyFault):
    """Connections to an upstream are reset, and new ones refused."""

    name = "reset"
    fault = {"reset": True, "refuse": True}


class LostAnswers(_ProxyFault):
    """Requests reach an upstream, its answers are lost."""

    name = "one_way"
    fault = {"drop_to_caller": True}


class SlowUpstream(_ProxyFault):
    """The link to an upstream is slow."""

    name = "drip"
    fault = {"delay_ms": 100.0, "drip_bytes_per_s": 20_000}


class _PlatformFault(Fault):
    faults: ClassVar[dict[str, object]]

    def target(
        self, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        return ""

    async def strike(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Makes the platform misbehave."""
        await asyncio.to_thread(deployment.control_platform, **self.faults)

    async def heal(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Makes the platform behave."""
        await asyncio.to_thread(deployment.control_platform)


class PlatformDown(_PlatformFault):
    """The platform refuses all calls."""

    name = "platform_down"
    faults = {"down": True}


class PlatformSlow(_PlatformFault):
    """The platform answers late."""

    name = "platform_slow"
    faults = {"delay_ms": 400.0}


class PlatformLosesReplies(_PlatformFault):
    """Writes take effect and their replies are lost."""

    name = "lost_replies"
    faults = {"lose_replies": 3}


class PlatformStale(_PlatformFault):
    """Reads give the version before the newest."""

    name = "stale_reads"
    faults = {"stale_reads": True}


class PlatformWatchesSilent(_PlatformFault):
    """Watches never answer."""

    name = "silent_watches"
    faults = {"silent_watches": True}


ALL: tuple[type[Fault], ...] = (
    KillHost,
    FreezeHost,
    StopHost,
    KillUpstream,
    DrainUpstream,
    SilentUpstream,
    ResetUpstream,
    LostAnswers,
    SlowUpstream,
    PlatformDown,
    PlatformSlow,
    PlatformLosesReplies,
    PlatformStale,
    PlatformWatchesSilent,
)


class Nemesis:
    """Strikes a deployment with faults, never twice at one target at once.

    Attributes:
        windows: The faults so far and when they were in place.
    """

    def __init__(self, deployment: deployments.Deployment) -> None:
        self._deployment = deployment
        self._busy: set[str] = set()
        self.windows: list[history_lib.FaultWindow] = []

    async def strike_until(
        self, stop: asyncio.Event, kinds: Sequence[type[Fault]], seed: int
    ) -> None:
        """Strikes with one fault after another until told to stop."""
        rng = random.Random(seed)
        while not stop.is_set():
            # Every kind comes up once before any comes up again.
            for kind in rng.sample(kinds, len(kinds)):
                await self._strike(kind(), rng)
                await asyncio.sleep(rng.uniform(*_QUIET_S))
                if stop.is_set():
                    return

    async def _strike(self, fault: Fault, rng: random.Random) -> None:
        target = fault.target(self._deployment, rng)
        if target in self._busy:
            return
        self._busy.add(target)
        from_ms = time.monotonic() * _MS_PER_S
        try:
            await fault.strike(self._deployment, target)
            await asyncio.sleep(fault.lasts_s)
        finally:
            await fault.heal(self._deployment, target)
            to_ms = time.monotonic() * _MS_PER_S
            self._busy.discard(target)
            self.windows.append(
                history_lib.FaultWindow(from_ms, to_ms, fault.name, target)
            )


def _restart(deployment: deployments.Deployment, name: str) -> None:
    hosts = deployment.shape.entry_hosts()
    deployment.start_host(next(h for h in hosts if h.name == name))


def _listen_of(deployment: deployments.Deployment, name: str) -> str:
    placed = deployment.shape.upstreams()
    return next(p.listen_endpoint for p in placed if p.upstream.name == name)


async def _control_upstream(
    deployment: deployments.Deployment, name: str, **control: object
) -> None:
    until_s = time.monotonic() + _EXIT_TIMEOUT_S
    while True:
        try:
            await asyncio.to_thread(
                deployment.control_upstream, name, **control
            )
        except OSError:
            # It may have been started just now and not listen yet.
            if time.monotonic() > until_s:
                raise
            await asyncio.sleep(_POLL_S)
        else:
            return
