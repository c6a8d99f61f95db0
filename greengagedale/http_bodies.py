"""Reading bodies of HTTP answers that may have no end."""

import aiohttp

# Largest answer of an upstream: as much as a caller may send by default.
MAX_UPSTREAM_BODY_BYTES = 1024 * 1024
# Largest answer of the store or of a host: pages of the store have about 1 MB,
# documents of large services several.
MAX_DOCUMENT_BODY_BYTES = 32 * 1024 * 1024


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """More came than an answer may have; its connection must be closed."""


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Returns the body of an answer.

    Raises:
        BodyTooLargeError: It is longer than allowed. The connection is closed.
        aiohttp.ClientError: It did not come to its end.
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
    raise BodyTooLargeError(f"the answer has over {max_bytes} bytes")
