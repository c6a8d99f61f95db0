"""Injects faults into a deployment, on a schedule derived from a seed."""

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
_PAUSE_RANGE_S = (0.5, 1.5)
_EXIT_TIMEOUT_S = 40.0
_POLL_S = 0.05


class Fault(abc.ABC):
    """One kind of fault.

    Attributes:
        name: Kind of the fault in the history.
        duration_s: Time between injecting and reverting the fault.
    """

    name: ClassVar[str]
    duration_s: ClassVar[float] = 2.0

    @abc.abstractmethod
    def target(
        self, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        """Chooses the process to affect; empty if there is no single one."""

    @abc.abstractmethod
    async def inject(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Injects the fault."""

    @abc.abstractmethod
    async def revert(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Removes the fault."""


class _HostFault(Fault):
    def target(
        self, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        return rng.choice(deployment.shape.entry_hosts()).name


class _HostReplacementFault(_HostFault):
    async def revert(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Starts a new host with the same name."""
        _start_host(deployment, target)


class KillHost(_HostReplacementFault):
    """An entry host is killed and replaced."""

    name = "kill"

    async def inject(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Kills the host."""
        deployment.kill(target)


class FreezeHost(_HostFault):
    """An entry host is suspended for a while, then resumed."""

    name = "freeze"

    async def inject(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Suspends the process."""
        deployment.signal(target, signal.SIGSTOP)

    async def revert(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Resumes the process."""
        deployment.signal(target, signal.SIGCONT)


class StopHost(_HostReplacementFault):
    """An entry host is shut down gracefully and replaced."""

    name = "stop"
    duration_s = 0.0

    async def inject(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Sends SIGTERM to the process and waits until it has ended."""
        deployment.signal(target, signal.SIGTERM)
        process = deployment.processes.pop(target)
        deadline_s = time.monotonic() + _EXIT_TIMEOUT_S
        while process.poll() is None:
            if time.monotonic() > deadline_s:
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

    async def inject(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Kills the upstream."""
        deployment.kill(target)

    async def revert(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Restarts the upstream."""
        deployment.start_upstream(target)


class DrainUpstream(_UpstreamFault):
    """An upstream drains and then accepts requests again."""

    name = "drain"
    duration_s = 4.0

    async def inject(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Tells the upstream to drain."""
        await _control_upstream(deployment, target, draining=True)

    async def revert(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Tells the upstream to accept requests again."""
        await _control_upstream(deployment, target, draining=False)


class _ProxyFault(_UpstreamFault):
    proxy_options: ClassVar[dict[str, object]]

    async def inject(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Makes the proxy disturb connections to the upstream."""
        listen = _listen_address(deployment, target)
        await asyncio.to_thread(
            deployment.control_proxy, [listen], **self.proxy_options
        )

    async def revert(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Makes the proxy forward normally again."""
        listen = _listen_address(deployment, target)
        await asyncio.to_thread(deployment.control_proxy, [listen])


class SilentUpstream(_ProxyFault):
    """Connections to an upstream stay open but carry no data."""

    name = "silent"
    proxy_options = {"silent": True}


class ResetUpstream(_ProxyFault):
    """Connections to an upstream are reset, and new ones refused."""

    name = "reset"
    proxy_options = {"reset": True, "refuse": True}


class LostAnswers(_ProxyFault):
    """Requests reach an upstream, but its answers are lost."""

    name = "one_way"
    proxy_options = {"drop_to_caller": True}


class SlowUpstream(_ProxyFault):
    """The connections to an upstream are slow."""

    name = "drip"
    proxy_options = {"delay_ms": 100.0, "drip_bytes_per_s": 20_000}


class _PlatformFault(Fault):
    platform_options: ClassVar[dict[str, object]]

    def target(
        self, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        return ""

    async def inject(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Switches the misbehaviour of the platform on."""
        await asyncio.to_thread(
            deployment.control_platform, **self.platform_options
        )

    async def revert(
        self, deployment: deployments.Deployment, target: str
    ) -> None:
        """Switches the misbehaviour of the platform off."""
        await asyncio.to_thread(deployment.control_platform)


class PlatformDown(_PlatformFault):
    """The platform refuses all calls."""

    name = "platform_down"
    platform_options = {"down": True}


class PlatformSlow(_PlatformFault):
    """The platform answers late."""

    name = "platform_slow"
    platform_options = {"delay_ms": 400.0}


class PlatformLosesReplies(_PlatformFault):
    """Writes take effect, but their replies are lost."""

    name = "lost_replies"
    platform_options = {"lose_replies": 3}


class PlatformStale(_PlatformFault):
    """Reads return the version before the newest."""

    name = "stale_reads"
    platform_options = {"stale_reads": True}


class PlatformWatchesSilent(_PlatformFault):
    """Watches never answer."""

    name = "silent_watches"
    platform_options = {"silent_watches": True}


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


class FaultInjector:
    """Injects faults, at most one at a time for each target.

    Attributes:
        fault_windows: Faults injected so far and the period of each.
    """

    def __init__(self, deployment: deployments.Deployment) -> None:
        self._deployment = deployment
        self._active_targets: set[str] = set()
        self.fault_windows: list[history_lib.FaultWindow] = []

    async def inject_until(
        self, stop: asyncio.Event, kinds: Sequence[type[Fault]], seed: int
    ) -> None:
        """Injects faults one at a time until `stop` is set."""
        rng = random.Random(seed)
        while not stop.is_set():
            # Each round injects every kind once, in random order.
            for kind in rng.sample(kinds, len(kinds)):
                await self._inject(kind(), rng)
                await asyncio.sleep(rng.uniform(*_PAUSE_RANGE_S))
                if stop.is_set():
                    return

    async def _inject(self, fault: Fault, rng: random.Random) -> None:
        target = fault.target(self._deployment, rng)
        if target in self._active_targets:
            return
        self._active_targets.add(target)
        from_ms = time.monotonic() * _MS_PER_S
        try:
            await fault.inject(self._deployment, target)
            await asyncio.sleep(fault.duration_s)
        finally:
            await fault.revert(self._deployment, target)
            to_ms = time.monotonic() * _MS_PER_S
            self._active_targets.discard(target)
            self.fault_windows.append(
                history_lib.FaultWindow(from_ms, to_ms, fault.name, target)
            )


def _start_host(deployment: deployments.Deployment, name: str) -> None:
    hosts = deployment.shape.entry_hosts()
    deployment.start_host(next(h for h in hosts if h.name == name))


def _listen_address(deployment: deployments.Deployment, name: str) -> str:
    placements = deployment.shape.upstreams()
    return next(
        p.listen_endpoint for p in placements if p.upstream.name == name
    )


async def _control_upstream(
    deployment: deployments.Deployment, name: str, **control: object
) -> None:
    deadline_s = time.monotonic() + _EXIT_TIMEOUT_S
    while True:
        try:
            await asyncio.to_thread(
                deployment.control_upstream, name, **control
            )
        except OSError:
            # A process that was just started may not listen yet.
            if time.monotonic() > deadline_s:
                raise
            await asyncio.sleep(_POLL_S)
        else:
            return
