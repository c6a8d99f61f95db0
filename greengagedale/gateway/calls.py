"""Calls (callers' requests), attempts to run them, and upstreams' answers."""

import abc
from collections.abc import Awaitable
from typing import NamedTuple

import xxhash

from greengagedale import outcomes
from greengagedale.gateway import upstream_entries
from greengagedale.http1 import client
from greengagedale.http1 import messages


class CallerIdentity(NamedTuple):
    """Who sent a call, where the configuration uses keys.

    Attributes:
        workspace: Name of the caller's workspace; None on public routes.
        key_digest: Digest of the caller's key; empty on public routes.
    """

    workspace: str | None
    key_digest: bytes


class Call(NamedTuple):
    """A caller's request, which is forwarded unchanged.

    Attributes:
        request_id: The id that the caller gave to this attempt.
        host: Host name without a port, in lower case.
        path: Path without the query.
        message: The request as received.
        received_ms: Time at which the request began to arrive, by the clock of
            the process.
        deadline_ms: Time at which the caller stops waiting, by the same clock;
            None if the caller set no deadline.
        identity: The identified caller; None where the configuration uses no
            keys, and headers about callers are forwarded like any other.
    """

    request_id: str
    host: str
    path: str
    message: messages.Request
    received_ms: float
    deadline_ms: float | None
    identity: CallerIdentity | None = None


def fingerprint_of(call: Call) -> int:
    """Returns a hash of a request that ignores its sender and request id."""
    message = call.message
    whole = b"\0".join(
        (call.host.encode(), message.method, message.target, message.body)
    )
    return xxhash.xxh3_64_intdigest(whole)


class LoadReport(NamedTuple):
    """An upstream's load report, which may be stale or wrong.

    Attributes:
        running: Number of running requests.
        waiting: Number of queued requests.
        slots: Number of requests that can run at once.
        pace_percent: How long work takes there at the moment, in percent of the
            usual time; None if it says nothing of that.
    """

    running: int
    waiting: int
    slots: int
    pace_percent: int | None = None


class Answer(NamedTuple):
    """A complete answer of an upstream that ran the request.

    Attributes:
        status: HTTP status from the upstream.
        signature: The upstream's signature; an answer without one is not a
            success.
        headers: Headers to forward to the caller.
        body: Body from the upstream.
        load: The upstream's load report, or None.
    """

    status: int
    signature: str | None
    headers: messages.Headers
    body: bytes
    load: LoadReport | None

    @property
    def is_success(self) -> bool:
        """Whether the answer may be forwarded as a success."""
        return self.status // 100 == 2 and self.signature is not None


class MergedAnswer(NamedTuple):
    """The merged answer of a fan-out.

    Attributes:
        signatures: Signatures of the merged parts.
        missing: Number of shards without a part in the answer.
        body: The greatest records, greatest first.
    """

    signatures: tuple[str, ...]
    missing: int
    body: bytes


class Attempt(NamedTuple):
    """One send of a call to one upstream.

    Attributes:
        call: The call to send.
        upstream: The upstream to send it to.
        deadline_ms: Time after which the answer is no longer useful, by the
            clock of the process.
        is_idempotent: Whether the request may run more than once.
        earlier_connections: The connections that the call has been sent on,
            shared by all its attempts at a service. Answers are matched by the
            id of the request, and an upstream may send a copy of an answer late
            on the same connection, so it is sent on each of them only once.
    """

    call: Call
    upstream: upstream_entries.Upstream
    deadline_ms: float
    is_idempotent: bool
    earlier_connections: set[client.Connection]


class UpstreamClient(abc.ABC):
    """Sends attempts to upstreams.

    Failures of upstreams or the network are returned, not raised. Cancelling a
    send closes its connection, which makes most upstreams stop working on the
    request.
    """

    @abc.abstractmethod
    def send(
        self, attempt: Attempt
    ) -> Awaitable[Answer | outcomes.AttemptFailure]:
        """Sends an attempt and returns how it ended."""
