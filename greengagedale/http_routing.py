"""Routes requests of callers and operators to handlers of single calls."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
import logging
import re
from typing import Any, NamedTuple, Self
import urllib.parse

from greengagedale import exceptions
from greengagedale import http_responses
from greengagedale.http1 import messages
from greengagedale.http1 import server

log = logging.getLogger(__name__)

# Limits of requests beside the size of their bodies.
MAX_HEADER_BYTES = 64 * 1024
HEADER_TIMEOUT_MS = 30_000.0
IDLE_TIMEOUT_MS = 75_000.0
_PARAMETER = re.compile(r"\{(\w+)\}")
_NOT_FOUND = 404
_METHOD_NOT_ALLOWED = 405


class Request(NamedTuple):
    """A request to one of the routes.

    Attributes:
        message: The request as received.
        path: Its path, with escapes decoded.
        parameters: Values of the parameters in the path of the route.
    """

    message: messages.Request
    path: str
    parameters: dict[str, str]

    @property
    def query(self) -> dict[str, str]:
        """The fields of the query; of those with one name, the first one."""
        _, _, query = self.message.target.decode("latin-1").partition("?")
        fields = urllib.parse.parse_qsl(query, keep_blank_values=True)
        return dict(reversed(fields))

    @property
    def headers(self) -> dict[str, str]:
        """The headers, with names such as `If-Match`."""
        return {
            name.decode("latin-1").title(): value.decode("latin-1")
            for name, value in reversed(self.message.headers)
        }


CallHandler = Callable[[Request], Awaitable[messages.Response]]


class Route(NamedTuple):
    """A method and a path, and what handles requests for them.

    Attributes:
        method: HTTP method; routes of GET also get HEAD requests.
        path: Pattern of paths.
        handle: Handles a request.
    """

    method: str
    path: re.Pattern[str]
    handle: CallHandler

    @classmethod
    def from_template(
        cls, method: str, template: str, handle: CallHandler
    ) -> Self:
        """Returns a route for a path with parameters, such as `/a/{name}`."""
        pattern = _PARAMETER.sub(r"(?P<\1>[^/]+)", template)
        return cls(method, re.compile(pattern), handle)


def get(template: str, handle: CallHandler) -> Route:
    """Returns a route for GET and HEAD requests."""
    return Route.from_template("GET", template, handle)


def post(template: str, handle: CallHandler) -> Route:
    """Returns a route for POST requests."""
    return Route.from_template("POST", template, handle)


def put(template: str, handle: CallHandler) -> Route:
    """Returns a route for PUT requests."""
    return Route.from_template("PUT", template, handle)


def delete(template: str, handle: CallHandler) -> Route:
    """Returns a route for DELETE requests."""
    return Route.from_template("DELETE", template, handle)


class Application(server.Handler):
    """Handles requests by their routes; answers errors as typed JSON."""

    def __init__(self, routes: Sequence[Route], max_body_bytes: int) -> None:
        self._routes = routes
        self._limits = server.Limits(
            MAX_HEADER_BYTES, max_body_bytes, HEADER_TIMEOUT_MS, IDLE_TIMEOUT_MS
        )
        self._running: set[asyncio.Task[messages.Response]] = set()

    def limits(self) -> server.Limits:
        """Returns the limits of requests."""
        return self._limits

    def overload_response(self) -> messages.Response:
        """Returns the response to a request for which there is no room."""
        return http_responses.overload_response()

    def refusal_response(self, status: int, reason: str) -> messages.Response:
        """Returns the response to a request that is not received."""
        return http_responses.refusal_response(status, reason)

    async def handle(self, request: messages.Request) -> messages.Response:
        """Handles a request, to its end even if its client disconnects."""
        task = asyncio.create_task(self._respond(request))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return await asyncio.shield(task)

    async def _respond(self, request: messages.Request) -> messages.Response:
        path, _, _ = request.target.decode("latin-1").partition("?")
        try:
            return await self._route(request, path)
        except exceptions.InvalidInputError as invalid:
            return http_responses.error_response(
                400, "invalid_request", str(invalid), invalid.field_errors
            )
        except Exception:
            log.exception("unexpected error in request to %s", path)
            return http_responses.error_response(
                500, "internal", "an internal error; see the host's log"
            )

    async def _route(
        self, request: messages.Request, path: str
    ) -> messages.Response:
        matches = [
            (route, match)
            for route in self._routes
            if (match := route.path.fullmatch(path))
        ]
        method = request.method.decode("latin-1")
        for route, match in matches:
            if method in _methods(route):
                parameters = {
                    name: urllib.parse.unquote(value)
                    for name, value in match.groupdict().items()
                }
                decoded = Request(
                    request, urllib.parse.unquote(path), parameters
                )
                return await route.handle(decoded)
        if not matches:
            return http_responses.error_response(
                _NOT_FOUND, "http", "Not Found"
            )
        allowed = ",".join(
            method for route, _ in matches for method in _methods(route)
        )
        response = http_responses.error_response(
            _METHOD_NOT_ALLOWED, "http", "Method Not Allowed"
        )
        return http_responses.with_header(response, "Allow", allowed)


def _methods(route: Route) -> tuple[Any, ...]:
    return ("GET", "HEAD") if route.method == "GET" else (route.method,)
