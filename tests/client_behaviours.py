"""Behaviours of clients that don't keep to the limits, and what must hold."""

import asyncio
from collections.abc import Iterator
import contextlib
import resource

from standins import crowds

CLIENTS = 60
# As many bytes as a client without limits would send in a moment.
ENDLESS_BYTES = 8 * 1024 * 1024
# The default limits of requests.
MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 1024 * 1024
# A host that hangs answers nothing for much longer.
ANSWER_TIMEOUT_S = 60.0
_POLL_S = 0.1


def endless_requests(target):
    """Returns requests without end, by what it is that does not end."""
    line = b"POST %s HTTP/1.1\r\nHost: a.example\r\n" % target
    chunked = line + b"Transfer-Encoding: chunked\r\n\r\n"
    return {
        name: crowds.Behaviour(opening, repeated, ENDLESS_BYTES)
        for name, (opening, repeated) in {
            "fields": (line, b"a:\r\n"),
            "trailers": (chunked + b"0\r\n", b"a:\r\n"),
            "empty lines": (b"", b"\r\n"),
            "one-byte chunks": (chunked, b"1\r\nx\r\n"),
            "chunk extension": (chunked + b"1;", b"x"),
            "field name": (line, b"a"),
            "field value": (line + b"a: ", b"b"),
            "target": (b"GET /", b"x"),
        }.items()
    }


def held_body(target, body_bytes=MAX_BODY_BYTES):
    """Returns a request without the last byte of its body."""
    opening = b"POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % (
        target,
        body_bytes,
    )
    sent_bytes = len(opening) + body_bytes - 1
    return crowds.Behaviour(opening, b"b", sent_bytes)


def requests_in_a_row(target, count, body=b""):
    """Returns whole requests, sent without reading any answer."""
    request = b"POST %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: p1\r\n" % (
        target
    )
    request += b"Content-Length: %d\r\n\r\n" % len(body) + body
    return crowds.Behaviour(request, request, count * len(request))


def held_head(target):
    """Returns a head inside the limits, of many fields, without its end."""
    opening = b"GET %s HTTP/1.1\r\nHost: a.example\r\n" % target
    # A field counts for its separator and line end, too: 8 bytes instead of 7.
    return crowds.Behaviour(
        opening, b"ab:cd\r\n", MAX_HEADER_BYTES * 7 // 8 - 200
    )


async def until(check, timeout_s=ANSWER_TIMEOUT_S):
    """Waits until an asynchronous check returns true; a failed one is not."""
    async with asyncio.timeout(timeout_s):
        while True:
            try:
                if await check():
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(_POLL_S)


async def until_steady(count, for_s=1.0, timeout_s=ANSWER_TIMEOUT_S):
    """Waits until a count has not changed for a while."""
    async with asyncio.timeout(timeout_s):
        last = None
        while last != (last := count()):
            await asyncio.sleep(for_s)


@contextlib.contextmanager
def descriptor_limit(count: int) -> Iterator[None]:
    """Limits the open descriptors of processes that are started meanwhile."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
