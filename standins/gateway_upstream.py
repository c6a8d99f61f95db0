"""A back end of the users' platform, by its published protocol."""

import asyncio
import collections

from greengagedale import clocks
from greengagedale.http1 import messages
from greengagedale.http1 import server

_MS_PER_S = 1000.0


class GatewayUpstream(server.Handler):
    """A back end that runs any request and can be made to misbehave.

    Attributes:
        name: Its id; requests for another one are refused.
        service: What it belongs to.
        mode: `ok`, `full` (refuses), `failing` (runs and fails), `unsigned`
            (no signature), `foreign` (answers with another request's id) or
            `lost` (runs and closes the connection).
        delay_ms: Time that a request runs.
        is_leaving: Whether its answers say that it leaves.
        hold_ms: Time in which it wants nothing, told when it is full.
        leaving_told_ms: When it first said so, by the monotonic clock.
        holds_told_ms: When it told such times, and until when each lasts.
        runs: Requests that it ran, by id.
        requests: All requests that came.
    """

    def __init__(self, name: str, service: str, body: bytes = b"") -> None:
        self.name = name
        self.service = service
        self.body = body
        self.mode = "ok"
        self.delay_ms = 0.0
        self.is_leaving = False
        self.backoff_ms = 0.0
        self.leaving_sent_ms: float | None = None
        self.backoffs_sent_ms: list[tuple[float, float]] = []
        self.runs: collections.Counter[str] = collections.Counter()
        self.requests: list[messages.Request] = []
        self.port = 0
        self._sequence = 0
        self._clock = clocks.MonotonicClock()
        self._server = server.Server(self, self._clock)

    async def start(self, address: str, port: int) -> None:
        """Begins to listen."""
        self.port = port
        await self._server.start(address, port)

    def close(self) -> None:
        """Stops at once."""
        self._server.close()

    def next_entry(self, address: str, state: str) -> dict[str, object]:
        """Returns what it writes to the store next."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": f"{address}:{self.port}",
            "zone": "here",
            "version": "v1",
            "slots": 4,
            "state": state,
            "warmupLeftMs": 0,
            "sequence": self._sequence,
            "born": 1,
        }

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers a request."""
        self.requests.append(request)
        response = await self._respond(request)
        if not self.is_leaving:
            return response
        if self.leaving_sent_ms is None:
            self.leaving_sent_ms = self._clock.now_ms()
        headers = (*response.headers, (b"Server-Leaving", b"1"))
        return response._replace(headers=headers)

    async def _respond(self, request: messages.Request) -> messages.Response:
        expected = (request.header(b"target-instance") or b"").decode()
        request_id = (request.header(b"request-id") or b"").decode()
        if expected != self.name:
            return messages.Response(421, _named(request_id))
        if self.mode == "full":
            return self._turn_away(request_id)
        self.runs[request_id] += 1
        await asyncio.sleep(self.delay_ms / _MS_PER_S)
        if self.mode == "lost":
            for connection in list(self._server.connections):
                connection.close()
        told = "another" if self.mode == "foreign" else request_id
        headers = [(b"Request-Id", told.encode()), (b"Server-Load", b"1,0,4")]
        if self.mode != "unsigned":
            signature = f"{self.name}.{request_id}"
            headers.append((b"Server-Seal", signature.encode()))
        status = 500 if self.mode == "failing" else 200
        return messages.Response(status, tuple(headers), self.body)

    def _turn_away(self, request_id: str) -> messages.Response:
        headers = [*_named(request_id), (b"Not-Executed", b"1")]
        if self.backoff_ms > 0.0:
            now_ms = self._clock.now_ms()
            self.backoffs_sent_ms.append((now_ms, now_ms + self.backoff_ms))
            told = b"%.3f" % (self.backoff_ms / _MS_PER_S)
            headers.append((b"Retry-After", told))
        return messages.Response(503, tuple(headers))


def _named(request_id: str) -> messages.Headers:
    return ((b"Request-Id", request_id.encode()),)
