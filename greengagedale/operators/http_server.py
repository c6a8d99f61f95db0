"""HTTP server for operators."""

from typing import Any

from greengagedale import configuration
from greengagedale import exceptions
from greengagedale import http_responses
from greengagedale import http_routing
from greengagedale.callers import wire as callers_wire
from greengagedale.catalog import documents
from greengagedale.catalog import edits
from greengagedale.http1 import messages
from greengagedale.operators import base
from greengagedale.operators import preconditions
from greengagedale.operators import wire

_MAX_BODY_BYTES = 256 * 1024
_FIRST_ATTEMPT = "1"
_STATUS_OF_REASON = {
    "invalid": 422,
    "too_large": 413,
    "conflict": 409,
    "expired": 409,
    "unreadable": 500,
}
_RETRY_LATER = ("platform_down", "busy")
_RETRY_AFTER_MS = 1000
_UNKNOWN_STATUS = 502


def application(service: base.OperatorService) -> http_routing.Application:
    """Creates the application that serves operators."""
    handlers = _Handlers(service)
    return http_routing.Application(
        [
            http_routing.get("/v1/templates", handlers.templates),
            http_routing.get("/v1/templates/{name}", handlers.template),
            http_routing.put("/v1/templates/{name}", handlers.put_template),
            http_routing.delete(
                "/v1/templates/{name}", handlers.delete_template
            ),
            http_routing.get("/v1/workspaces", handlers.workspaces),
            http_routing.get("/v1/workspaces/{name}", handlers.workspace),
            http_routing.put("/v1/workspaces/{name}", handlers.put_workspace),
            http_routing.delete(
                "/v1/workspaces/{name}", handlers.delete_workspace
            ),
            http_routing.get("/v1/configuration", handlers.configuration),
            http_routing.post("/v1/changes", handlers.new_change),
            http_routing.get("/v1/changes/{change_id}", handlers.change),
            http_routing.get("/v1/fleet", handlers.fleet),
        ],
        _MAX_BODY_BYTES,
    )


class _Handlers:
    def __init__(self, service: base.OperatorService) -> None:
        self._service = service

    async def templates(
        self, request: http_routing.Request
    ) -> messages.Response:
        """Returns all active templates."""
        del request
        current = self._service.current()
        return _documents_response(current.revision, current.templates)

    async def workspaces(
        self, request: http_routing.Request
    ) -> messages.Response:
        """Returns all active workspaces."""
        del request
        current = self._service.current()
        return _documents_response(current.revision, current.workspaces)

    async def template(
        self, request: http_routing.Request
    ) -> messages.Response:
        """Returns an active template."""
        current = self._service.current()
        return _document_response(
            request, current.templates, current.catalog["templates"]
        )

    async def workspace(
        self, request: http_routing.Request
    ) -> messages.Response:
        """Returns an active workspace."""
        current = self._service.current()
        return _document_response(
            request, current.workspaces, current.catalog["workspaces"]
        )

    async def put_template(
        self, request: http_routing.Request
    ) -> messages.Response:
        """Creates or replaces a template."""
        body = http_responses.read_json(request.message, dict[str, Any])
        template = documents.parse_template(_with_name(request, body))
        return await self._change(request, template=template)

    async def delete_template(
        self, request: http_routing.Request
    ) -> messages.Response:
        """Deletes a template; it must not be used by any workspace."""
        name = request.parameters["name"]
        return await self._change(request, delete_template=name)

    async def put_workspace(
        self, request: http_routing.Request
    ) -> messages.Response:
        """Creates or replaces a workspace."""
        body = http_responses.read_json(request.message, dict[str, Any])
        workspace = documents.parse_workspace(_with_name(request, body))
        return await self._change(request, workspace=workspace)

    async def delete_workspace(
        self, request: http_routing.Request
    ) -> messages.Response:
        """Deletes a workspace."""
        name = request.parameters["name"]
        return await self._change(request, delete_workspace=name)

    async def configuration(
        self, request: http_routing.Request
    ) -> messages.Response:
        """Returns the active revision of this host."""
        del request
        return http_responses.json_response(
            wire.ConfigurationReply(
                revision=self._service.current().revision,
                age_ms=_rounded(self._service.configuration_age_ms()),
            )
        )

    async def new_change(
        self, request: http_routing.Request
    ) -> messages.Response:
        """Returns a new id for a change."""
        del request
        revision = self._service.current().revision
        change_id = edits.new_change_id(revision)
        return http_responses.json_response(
            wire.ChangeIdReply(change_id=change_id, revision=revision)
        )

    async def change(self, request: http_routing.Request) -> messages.Response:
        """Returns whether a change was accepted."""
        change_id = request.parameters["change_id"]
        edits.check_change_id(change_id)
        status = await self._service.change_status(change_id)
        body = wire.ChangeReply(outcome=status.tag, change_id=change_id)
        if isinstance(status, configuration.Accepted):
            body["revision"] = status.revision
        elif isinstance(status, configuration.Absent):
            body["as_of_revision"] = status.as_of_revision
        else:
            body["detail"] = status.detail
            return http_responses.json_response(body, status=_UNKNOWN_STATUS)
        return http_responses.json_response(body)

    async def fleet(self, request: http_routing.Request) -> messages.Response:
        """Returns the status of every host."""
        del request
        hosts = await self._service.fleet()
        ages_ms = await self._service.configuration_ages()
        # A NamedTuple is encoded as an array, so it is converted to an object
        # with field names.
        statuses = [
            {
                **h._asdict(),
                "configuration_age_ms": _rounded(ages_ms.get(h.name)),
            }
            for h in hosts
        ]
        return http_responses.json_response({"hosts": statuses})

    async def _change(
        self, request: http_routing.Request, **parts: Any
    ) -> messages.Response:
        sent_id = request.headers.get(wire.HEADER_CHANGE_ID)
        attempt = request.headers.get(wire.HEADER_CHANGE_ATTEMPT)
        precondition = preconditions.from_headers(request.headers)
        revision = self._service.current().revision
        change_id = sent_id or edits.new_change_id(revision)
        edits.check_change_id(change_id)
        change = edits.Change(
            change_id,
            expected_version=precondition.version,
            expected_revision=precondition.revision,
            **parts,
        )
        result = await self._service.apply_change(
            change, first_attempt=not sent_id or attempt == _FIRST_ATTEMPT
        )
        return _change_response(change_id, result)


def _rounded(duration_ms: float | None) -> float | None:
    return None if duration_ms is None else round(duration_ms, 1)


def _change_response(
    change_id: str, result: configuration.ChangeResult
) -> messages.Response:
    body = wire.ChangeReply(outcome=result.tag, change_id=change_id)
    if isinstance(result, configuration.Accepted):
        body["revision"] = result.revision
        return http_responses.json_response(body)
    body["detail"] = result.detail
    if isinstance(result, configuration.AcceptanceUnknown):
        return http_responses.json_response(body, status=_UNKNOWN_STATUS)
    body["reason"] = result.reason
    body["mistakes"] = [
        callers_wire.FieldErrorReply(**item._asdict())
        for item in result.field_errors
    ]
    body["conflicts"] = [
        wire.ConflictReply(**item._asdict()) for item in result.conflicts
    ]
    if result.reason in _RETRY_LATER:
        return http_responses.retry_later_response(body, _RETRY_AFTER_MS)
    return http_responses.json_response(body, _STATUS_OF_REASON[result.reason])


def _with_name(
    request: http_routing.Request, body: dict[str, Any]
) -> dict[str, Any]:
    name = request.parameters["name"]
    if body.get("name", name) != name:
        raise exceptions.InvalidInputError(
            "request",
            [
                exceptions.FieldError(
                    "name", f"differs from {name!r} in the path"
                )
            ],
        )
    return {**body, "name": name}


def _documents_response(
    revision: int, items: dict[str, Any]
) -> messages.Response:
    return http_responses.json_response(
        wire.DocumentsReply(
            revision=revision,
            items=[item.model_dump() for item in items.values()],
        )
    )


def _document_response(
    request: http_routing.Request,
    items: dict[str, Any],
    versions: dict[str, str],
) -> messages.Response:
    name = request.parameters["name"]
    if name not in items:
        return http_responses.error_response(
            404, "not_found", f"{name!r} is not in the active configuration"
        )
    response = http_responses.json_response(items[name].model_dump())
    return http_responses.with_header(response, "ETag", f'"{versions[name]}"')
