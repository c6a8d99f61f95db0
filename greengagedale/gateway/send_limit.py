"""Limits on what this host may send to an upstream at the moment."""

import abc
from collections.abc import Callable, Collection

from greengagedale import outcomes
from greengagedale.gateway import upstream_entries

# Ends a permit to send; to be called once, when the attempt has ended.
EndPermit = Callable[[], None]


class SendLimit(abc.ABC):
    """Decides which upstreams may get another request from this host."""

    @property
    @abc.abstractmethod
    def reason(self) -> outcomes.Reason:
        """Why upstreams are withheld."""

    @abc.abstractmethod
    def available(
        self, upstreams: list[upstream_entries.Upstream]
    ) -> list[upstream_entries.Upstream]:
        """Returns the given upstreams that this host may send to now."""

    @abc.abstractmethod
    def available_in_ms(
        self, upstreams: list[upstream_entries.Upstream]
    ) -> float:
        """Returns the time until this host may send to one, or infinity."""

    @abc.abstractmethod
    def try_send(self, upstream: upstream_entries.Upstream) -> EndPermit | None:
        """Returns a permit to send one request now, or None."""

    @abc.abstractmethod
    def retain_only(
        self, incarnations: Collection[upstream_entries.UpstreamIncarnation]
    ) -> None:
        """Discards the state of all other upstreams."""


def no_permit_to_end() -> None:
    """Ends a permit to send to an upstream without a limit."""
