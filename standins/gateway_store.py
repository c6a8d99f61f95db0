"""Stand-in for the store of the users' platform, with its HTTP protocol.

Stores objects by kind and name and serves lists and watches. Tests can make it
slow, silent or unavailable, or make it lose its history.
"""

import asyncio
from typing import Any
import urllib.parse

import msgspec

from greengagedale import clocks
from greengagedale.http1 import messages
from greengagedale.http1 import server

_PREFIX = "/-/objects/"
_PAGE_SIZE = 50
_MS_PER_S = 1000.0


class GatewayStore(server.Handler):
    """An in-memory object store that serves HTTP requests.

    Attributes:
        mode: `up`, `busy` (every call gets status 503), `silent` (calls are
            never answered) or `gone` (watches get status 410).
        delay_ms: Delay before each answer.
        calls: Number of calls received.
        revision: Revision of the latest change.
    """

    def __init__(self) -> None:
        self.mode = "up"
        self.delay_ms = 0.0
        self.calls = 0
        self.revision = 1
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()
        self._server = server.Server(self, clocks.MonotonicClock())

    async def start(self, address: str, port: int) -> None:
        """Starts to listen."""
        await self._server.start(address, port)

    def close(self) -> None:
        """Stops the server."""
        self._server.close()

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Writes an object and returns its new revision."""
        self.revision += 1
        meta = {"name": name, "revision": self.revision}
        item = {"meta": meta, "spec": spec, "status": None}
        self._objects.setdefault(kind, {})[name] = item
        self._record_change(kind, item, deleted=False)
        return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Deletes an object."""
        self.revision += 1
        item = self._objects[kind].pop(name)
        self._record_change(kind, item, deleted=True)

    def drop_history(self) -> None:
        """Drops the change history, so that older watches get status 410."""
        self._history.clear()

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers one call according to the current mode."""
        self.calls += 1
        await asyncio.sleep(self.delay_ms / _MS_PER_S)
        if self.mode == "silent":
            await asyncio.Event().wait()
        if self.mode == "busy":
            return messages.Response(503)
        path, _, query = request.target.decode().partition("?")
        parameters = dict(urllib.parse.parse_qsl(query))
        kind = path.removeprefix(_PREFIX)
        if request.method in (b"POST", b"PUT"):
            return self._write(request, kind)
        if "/" in kind:
            return self._read(*kind.split("/", 1))
        if "watch" in parameters:
            return await self._watch(
                kind, int(parameters["watch"]), int(parameters["waitMs"])
            )
        return self._list(kind, parameters.get("after", ""))

    def _read(self, kind: str, name: str) -> messages.Response:
        stored = self._objects.get(kind, {}).get(name)
        return messages.Response(404) if stored is None else _json(stored)

    def _write(self, request: messages.Request, kind: str) -> messages.Response:
        document = msgspec.json.decode(request.body)
        name = document["meta"]["name"]
        kind = kind.partition("/")[0]
        stored = self._objects.get(kind, {}).get(name)
        if stored is None and request.method == b"PUT":
            return messages.Response(404)
        if stored is not None and stored["meta"]["revision"] != document[
            "meta"
        ].get("revision"):
            return _json(stored, 409)
        self.put(kind, name, document["spec"])
        return _json(self._objects[kind][name])

    def _list(self, kind: str, after: str) -> messages.Response:
        stored = self._objects.get(kind, {})
        names = sorted(name for name in stored if name > after)
        return _json(
            {
                "items": [stored[name] for name in names[:_PAGE_SIZE]],
                "more": len(names) > _PAGE_SIZE,
                "storeRevision": self.revision,
            }
        )

    async def _watch(
        self, kind: str, revision: int, wait_ms: int
    ) -> messages.Response:
        deadline_s = asyncio.get_running_loop().time() + wait_ms / _MS_PER_S
        while True:
            oldest = self._history[0][0] if self._history else self.revision
            if self.mode == "gone" or revision < oldest - 1:
                return messages.Response(410)
            events = [
                {"object": item, "deleted": deleted}
                for event_revision, event_kind, item, deleted in self._history
                if event_revision > revision and event_kind == kind
            ]
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if events or remaining_s <= 0.0:
                return _json({"events": events, "storeRevision": self.revision})
            await self._wait_for_change(remaining_s)

    async def _wait_for_change(self, remaining_s: float) -> None:
        changed = self._changed
        try:
            async with asyncio.timeout(remaining_s):
                await changed.wait()
        except TimeoutError:
            return

    def _record_change(
        self, kind: str, item: dict[str, Any], deleted: bool
    ) -> None:
        self._history.append((self.revision, kind, item, deleted))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


def _json(document: Any, status: int = 200) -> messages.Response:
    return messages.Response(
        status,
        ((b"Content-Type", b"application/json"),),
        msgspec.json.encode(document),
    )
