"""Reads the bodies of HTTP responses up to a maximum size."""

import aiohttp

# Maximum body size of upstream responses, equal to the default maximum size of
# a caller's request.
MAX_UPSTREAM_BODY_BYTES = 1024 * 1024
# Maximum body size of responses of the store or of a host. Pages of the store
# have about 1 MB, documents of large services have several MB.
MAX_DOCUMENT_BODY_BYTES = 32 * 1024 * 1024


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """A response body exceeds its limit; the connection must be closed."""


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Returns the body of a response.

    Raises:
        BodyTooLargeError: The body exceeds `max_bytes`. The connection is
            closed.
        aiohttp.ClientError: The body could not be read to its end.
    """
    body = bytearray()
    length = response.content_length
    if length is None or length <= max_bytes:
        async for chunk in response.content.iter_any():
            body += chunk
            if len(body) > max_bytes:
                break
        else:
            return bytes(body)
    response.close()
    raise BodyTooLargeError(f"response body exceeds {max_bytes} bytes")
