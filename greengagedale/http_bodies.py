"""Reading bodies of HTTP answers that may have no end."""

import aiohttp

# Largest answer of an upstream: as much as a caller may send by default.
MOST_UPSTREAM_BYTES = 1024 * 1024
# Largest answer of the store or of a host: pages of the store have about 1 MB,
# documents of large services several.
MOST_DOCUMENT_BYTES = 32 * 1024 * 1024


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """More came than an answer may have; its connection must be closed."""


async def read_whole(
    response: aiohttp.ClientResponse, most_bytes: int
) -> bytes:
    """Returns the body of an answer.

    Raises:
        BodyTooLargeError: It is longer than allowed. The connection is closed.
        aiohttp.ClientError: It did not come to its end.
    """
    body = bytearray()
    length = response.content_length
    if length is None or length <= most_bytes:
        async for piece in response.content.iter_any():
            body += piece
            if len(body) > most_bytes:
                break
        else:
            return bytes(body)
    response.close()
    raise BodyTooLargeError(f"the answer has over {most_bytes} bytes")
