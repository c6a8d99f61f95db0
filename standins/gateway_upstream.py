"""Stand-in for an upstream of the users' platform, with its HTTP protocol."""

import asyncio
import collections

from greengagedale import clocks
from greengagedale.http1 import messages
from greengagedale.http1 import server

_MS_PER_S = 1000.0


class GatewayUpstream(server.Handler):
    """An upstream that accepts any request and can inject faults.

    Attributes:
        name: Instance name; requests for another instance get status 421.
        service: Name of the service that the upstream belongs to.
        body: Body of every answer to a request that ran.
        mode: `ok`, `full` (refuses requests), `failing` (runs requests and
            answers 500), `unsigned` (omits the signature), `foreign` (answers
            with another request's id) or `lost` (runs requests and closes the
            connection).
        delay_ms: Run time of each request.
        is_leaving: Whether answers announce that the upstream is leaving.
        backoff_ms: `Retry-After` time sent with refusals in mode `full`; 0
            omits the header.
        warm_up_ms: Remaining warm-up time in answers and entries; 0 if none.
        limit_per_s: Limit that answers announce; None if they announce none.
        data_centre: Data centre in its entries.
        leaving_sent_ms: Monotonic time of the first answer that announced
            leaving, or None.
        backoffs_sent_ms: For each `Retry-After` sent, the monotonic times at
            which it was sent and at which it expires.
        limited_answers: Times and request ids of answers that announce a limit
            and belong to their request.
        runs: Number of runs by request id.
        requests: All requests received.
        port: Port that store entries advertise.
    """

    def __init__(self, name: str, service: str, body: bytes = b"") -> None:
        self.name = name
        self.service = service
        self.body = body
        self.mode = "ok"
        self.delay_ms = 0.0
        self.is_leaving = False
        self.backoff_ms = 0.0
        self.warm_up_ms = 0
        self.limit_per_s: float | None = None
        self.data_centre = "here"
        self.leaving_sent_ms: float | None = None
        self.backoffs_sent_ms: list[tuple[float, float]] = []
        self.limited_answers: list[tuple[float, str]] = []
        self.runs: collections.Counter[str] = collections.Counter()
        self.requests: list[messages.Request] = []
        self.port = 0
        self._sequence = 0
        self._clock = clocks.MonotonicClock()
        self._server = server.Server(self, self._clock)

    async def start(self, address: str, port: int) -> None:
        """Starts to listen."""
        self.port = port
        await self._server.start(address, port)

    def close(self) -> None:
        """Stops the server immediately."""
        self._server.close()

    def next_store_entry(self, address: str, state: str) -> dict[str, object]:
        """Returns the next entry that the upstream writes to the store."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": f"{address}:{self.port}",
            "zone": self.data_centre,
            "version": "v1",
            "slots": 4,
            "state": state,
            "warmupLeftMs": self.warm_up_ms,
            "sequence": self._sequence,
            "born": 1,
        }

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers one request according to the current mode."""
        self.requests.append(request)
        response = await self._respond(request)
        if self.warm_up_ms > 0:
            warm_up = (b"Warmup-Ms", b"%d" % self.warm_up_ms)
            response = response._replace(headers=(*response.headers, warm_up))
        if self.limit_per_s is not None:
            limit = (b"Server-Limit", str(self.limit_per_s).encode())
            response = response._replace(headers=(*response.headers, limit))
            if self.mode not in ("foreign", "lost"):
                request_id = (request.header(b"request-id") or b"").decode()
                self.limited_answers.append((self._clock.now_ms(), request_id))
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
            return messages.Response(421, _request_id_header(request_id))
        if self.mode == "full":
            return self._refuse(request_id)
        self.runs[request_id] += 1
        await asyncio.sleep(self.delay_ms / _MS_PER_S)
        if self.mode == "lost":
            for connection in list(self._server.connections):
                connection.close()
        echoed_id = "another" if self.mode == "foreign" else request_id
        headers = [
            (b"Request-Id", echoed_id.encode()),
            (b"Server-Load", b"1,0,4"),
        ]
        if self.mode != "unsigned":
            signature = f"{self.name}.{request_id}"
            headers.append((b"Server-Seal", signature.encode()))
        status = 500 if self.mode == "failing" else 200
        return messages.Response(status, tuple(headers), self.body)

    def _refuse(self, request_id: str) -> messages.Response:
        headers = [*_request_id_header(request_id), (b"Not-Executed", b"1")]
        if self.backoff_ms > 0.0:
            now_ms = self._clock.now_ms()
            self.backoffs_sent_ms.append((now_ms, now_ms + self.backoff_ms))
            retry_after = b"%.3f" % (self.backoff_ms / _MS_PER_S)
            headers.append((b"Retry-After", retry_after))
        return messages.Response(503, tuple(headers))


def _request_id_header(request_id: str) -> messages.Headers:
    return ((b"Request-Id", request_id.encode()),)
