"""HTTP server for callers."""

from greengagedale import exceptions
from greengagedale import http_responses
from greengagedale import http_routing
from greengagedale import outcomes
from greengagedale.callers import base
from greengagedale.callers import wire
from greengagedale.http1 import messages

_MAX_KEY_LENGTH = 200
_CONFLICT_STATUS = 409
_UNKNOWN_STATUS = 502


def application(
    service: base.CallerService, max_body_bytes: int
) -> http_routing.Application:
    """Creates the application that serves callers."""
    handlers = _Handlers(service)
    return http_routing.Application(
        [
            http_routing.get("/v1/locate", handlers.locate),
            http_routing.post(
                "/v1/workspaces/{workspace}/search", handlers.search
            ),
            http_routing.post("/v1/workspaces/{workspace}/act", handlers.act),
            http_routing.get("/v1/explain/{request_id}", handlers.explain),
            http_routing.get("/healthz", handlers.healthz),
            http_routing.get("/readyz", handlers.readyz),
            http_routing.get("/metrics", handlers.metrics),
        ],
        max_body_bytes,
    )


class _Handlers:
    def __init__(self, service: base.CallerService) -> None:
        self._service = service

    async def locate(self, request: http_routing.Request) -> messages.Response:
        """Returns the hosts to use."""
        data_centre = request.query.get("data_centre")
        return http_responses.json_response(self._service.locate(data_centre))

    async def search(self, request: http_routing.Request) -> messages.Response:
        """Runs a search."""
        body = http_responses.read_json(request.message, wire.SearchBody)
        workspace = request.parameters["workspace"]
        if not self._service.has_workspace(workspace):
            return _unknown_workspace_response(workspace)
        limit = _checked_positive("limit", body.get("limit"))
        timeout_ms = _checked_positive("timeout_ms", body.get("timeout_ms"))
        reply = await self._service.search(
            base.SearchCall(workspace, body["text"], limit, timeout_ms)
        )
        if isinstance(reply.outcome, outcomes.Ran):
            answer = reply.outcome.value
            return http_responses.json_response(
                wire.search_reply(reply.request_id, answer)
            )
        return _failure_response(reply, reply.outcome)

    async def act(self, request: http_routing.Request) -> messages.Response:
        """Runs a request that must not run twice."""
        body = http_responses.read_json(request.message, wire.ActionBody)
        workspace = request.parameters["workspace"]
        if not self._service.has_workspace(workspace):
            return _unknown_workspace_response(workspace)
        _check_key(body["key"])
        timeout_ms = _checked_positive("timeout_ms", body.get("timeout_ms"))
        reply = await self._service.act(
            base.ActionCall(
                workspace,
                body["key"],
                body["target"],
                body["body"],
                timeout_ms,
                body.get("first_send", False),
            )
        )
        if isinstance(reply.outcome, outcomes.Ran):
            return http_responses.json_response(
                wire.ActionReply(
                    request_id=reply.request_id,
                    outcome=outcomes.Ran.tag,
                    body=reply.outcome.value,
                )
            )
        return _failure_response(reply, reply.outcome)

    async def explain(self, request: http_routing.Request) -> messages.Response:
        """Returns the record of a request."""
        request_id = request.parameters["request_id"]
        record = await self._service.explain_from_any_host(request_id)
        if record is None:
            return http_responses.error_response(
                404,
                "unknown_request",
                f"no record of {request_id!r}; the host that served it keeps "
                "only recent requests, and loses them when it restarts",
            )
        return http_responses.json_response(record)

    async def healthz(self, request: http_routing.Request) -> messages.Response:
        """Confirms that the process runs."""
        del request
        return http_responses.json_response({"status": "ok"})

    async def readyz(self, request: http_routing.Request) -> messages.Response:
        """Returns whether the host can serve."""
        del request
        if self._service.is_ready():
            return http_responses.json_response({"status": "ready"})
        return http_responses.json_response({"status": "not_ready"}, status=503)

    async def metrics(self, request: http_routing.Request) -> messages.Response:
        """Returns all metrics in the Prometheus text format."""
        del request
        return http_responses.text_response(self._service.metrics())


def _failure_response(
    reply: base.Reply, outcome: outcomes.NotRun | outcomes.Unknown
) -> messages.Response:
    body = wire.failure_reply(reply, outcome)
    if outcome.reason is outcomes.Reason.KEY_CONFLICT:
        return http_responses.json_response(body, status=_CONFLICT_STATUS)
    if isinstance(outcome, outcomes.NotRun):
        return http_responses.retry_later_response(body, outcome.retry_after_ms)
    return http_responses.json_response(body, status=_UNKNOWN_STATUS)


def _unknown_workspace_response(workspace: str) -> messages.Response:
    return http_responses.error_response(
        404, "unknown_workspace", f"no workspace is named {workspace!r}"
    )


def _checked_positive(key: str, value: int | None) -> int | None:
    if value is not None and value < 1:
        raise exceptions.InvalidInputError(
            "request", [exceptions.FieldError(key, "must be at least 1")]
        )
    return value


def _check_key(key: str) -> None:
    if not 0 < len(key) <= _MAX_KEY_LENGTH:
        message = f"must have 1 to {_MAX_KEY_LENGTH} characters"
        raise exceptions.InvalidInputError(
            "request", [exceptions.FieldError("key", message)]
        )
