"""Blocking HTTP requests for tests that run no event loop."""

import http.client
import json
from typing import Any, NamedTuple

STATUS_OK = 200


class Answer(NamedTuple):
    """A response; JSON bodies are decoded."""

    status: int
    headers: dict
    body: Any


def call(
    method: str,
    endpoint: str,
    path: str,
    body: Any = None,
    timeout_s: float = 15.0,
    headers: dict[str, str] | None = None,
) -> Answer:
    """Sends one request; a `bytes` body is sent unchanged, others as JSON.

    Raises:
        OSError: The endpoint does not answer.
    """
    address, _, port = endpoint.rpartition(":")
    connection = http.client.HTTPConnection(
        address, int(port), timeout=timeout_s
    )
    if body is not None and not isinstance(body, bytes):
        body = json.dumps(body).encode()
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        text = response.read()
    finally:
        connection.close()
    is_json = response.headers.get_content_type() == "application/json"
    return Answer(
        response.status,
        dict(response.headers),
        json.loads(text) if is_json else text.decode(),
    )


def get(endpoint: str, path: str) -> Answer:
    """Sends a GET request."""
    return call("GET", endpoint, path)
