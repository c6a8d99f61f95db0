"""Requests as the gateway sees them, and how upstreams answer them."""

import abc
from collections.abc import Awaitable
from typing import NamedTuple

import xxhash

from greengagedale import outcomes
from greengagedale.gateway import upstream_entries
from greengagedale.http1 import messages


class Call(NamedTuple):
    """A caller's request, passed on as it is.

    Attributes:
        request_id: The caller's id of this attempt of its own.
        host: Host name without a port, in lower case.
        path: Path without the query.
        message: The request as received.
        received_ms: When it began to arrive, by the clock of the process.
        deadline_ms: When the caller stops waiting, by the same clock; None
            if it did not say.
    """

    request_id: str
    host: str
    path: str
    message: messages.Request
    received_ms: float
    deadline_ms: float | None


def fingerprint_of(call: Call) -> int:
    """Names a request whoever sends it, how often and with which id."""
    message = call.message
    whole = b"\0".join(
        (call.host.encode(), message.method, message.target, message.body)
    )
    return xxhash.xxh3_64_intdigest(whole)


class Load(NamedTuple):
    """What an upstream says of its load; it may lag or mislead.

    Attributes:
        running: Requests that run.
        waiting: Requests that wait.
        slots: Requests that it can run at once.
    """

    running: int
    waiting: int
    slots: int


class Answer(NamedTuple):
    """A whole answer of an upstream that ran the request.

    Attributes:
        status: As the upstream gave it.
        signature: The upstream's signature; an answer without one is not a
            success.
        headers: To be passed on.
        body: As the upstream gave it.
        load: The upstream's load, if told.
    """

    status: int
    signature: str | None
    headers: messages.Headers
    body: bytes
    load: Load | None

    @property
    def is_success(self) -> bool:
        """Whether it may be passed on as a success."""
        return self.status // 100 == 2 and self.signature is not None


class MergedAnswer(NamedTuple):
    """The merged answer of a fan-out.

    Attributes:
        signatures: Signatures of the parts that are in it.
        missing: Number of shards that are not.
        body: The greatest records, greatest first.
    """

    signatures: tuple[str, ...]
    missing: int
    body: bytes


class Attempt(NamedTuple):
    """One send of a call to one upstream.

    Attributes:
        call: What to send.
        upstream: Where to.
        deadline_ms: When the answer is no longer of use, by the clock of the
            process.
        is_repeatable: Whether the request may run more than once.
    """

    call: Call
    upstream: upstream_entries.Upstream
    deadline_ms: float
    is_idempotent: bool


class UpstreamClient(abc.ABC):
    """Carries attempts to upstreams.

    Nothing is raised for what upstreams or the network do. Cancelling a send
    closes its connection, which stops most upstreams.
    """

    @abc.abstractmethod
    def send(
        self, attempt: Attempt
    ) -> Awaitable[Answer | outcomes.AttemptFailure]:
        """Sends an attempt and returns how it ended."""
