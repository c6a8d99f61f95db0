"""The store of the users' platform, by its published protocol.

Holds objects by kind and name, answers lists and watches, and can be made
slow, silent, refusing or forgetful.
"""

import asyncio
from typing import Any
import urllib.parse

import msgspec

from greengagedale import clocks
from greengagedale.http1 import messages
from greengagedale.http1 import server

_PREFIX = "/-/objects/"
_PAGE = 50
_MS_PER_S = 1000.0


class GatewayStore(server.Handler):
    """The store.

    Attributes:
        mode: `up`, `busy` (refuses), `silent` (never answers) or `gone`
            (watches find their history gone).
        delay_ms: Time before each answer.
        calls: Calls that came.
        reads: Calls by kind and whether they were watches.
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
        """Begins to listen."""
        await self._server.start(address, port)

    def close(self) -> None:
        """Stops."""
        self._server.close()

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Writes an object and returns the revision."""
        self.revision += 1
        meta = {"name": name, "revision": self.revision}
        item = {"meta": meta, "spec": spec, "status": None}
        self._objects.setdefault(kind, {})[name] = item
        self._record(kind, item, deleted=False)
        return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Removes an object."""
        self.revision += 1
        item = self._objects[kind].pop(name)
        self._record(kind, item, deleted=True)

    def forget_history(self) -> None:
        """Drops what changed, so that watches must begin again."""
        self._history.clear()

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers a call."""
        self.calls += 1
        await asyncio.sleep(self.delay_ms / _MS_PER_S)
        if self.mode == "silent":
            await asyncio.Event().wait()
        if self.mode == "busy":
            return messages.Response(503)
        path, _, query = request.target.decode().partition("?")
        asked = dict(urllib.parse.parse_qsl(query))
        kind = path.removeprefix(_PREFIX)
        if request.method in (b"POST", b"PUT"):
            return self._write(request, kind)
        if "/" in kind:
            return self._one(*kind.split("/", 1))
        if "watch" in asked:
            return await self._watch(
                kind, int(asked["watch"]), int(asked["waitMs"])
            )
        return self._list(kind, asked.get("after", ""))

    def _one(self, kind: str, name: str) -> messages.Response:
        held = self._objects.get(kind, {}).get(name)
        return messages.Response(404) if held is None else _json(held)

    def _write(self, request: messages.Request, kind: str) -> messages.Response:
        document = msgspec.json.decode(request.body)
        name = document["meta"]["name"]
        kind = kind.partition("/")[0]
        held = self._objects.get(kind, {}).get(name)
        if held is None and request.method == b"PUT":
            return messages.Response(404)
        if held is not None and held["meta"]["revision"] != document[
            "meta"
        ].get("revision"):
            return _json(held, 409)
        self.put(kind, name, document["spec"])
        return _json(self._objects[kind][name])

    def _list(self, kind: str, after: str) -> messages.Response:
        held = self._objects.get(kind, {})
        names = sorted(name for name in held if name > after)
        return _json(
            {
                "items": [held[name] for name in names[:_PAGE]],
                "more": len(names) > _PAGE,
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
                for at, of_kind, item, deleted in self._history
                if at > revision and of_kind == kind
            ]
            left_s = deadline_s - asyncio.get_running_loop().time()
            if events or left_s <= 0.0:
                return _json({"events": events, "storeRevision": self.revision})
            await self._wait(left_s)

    async def _wait(self, left_s: float) -> None:
        changed = self._changed
        try:
            async with asyncio.timeout(left_s):
                await changed.wait()
        except TimeoutError:
            return

    def _record(self, kind: str, item: dict[str, Any], deleted: bool) -> None:
        self._history.append((self.revision, kind, item, deleted))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


def _json(document: Any, status: int = 200) -> messages.Response:
    return messages.Response(
        status,
        ((b"Content-Type", b"application/json"),),
        msgspec.json.encode(document),
    )
