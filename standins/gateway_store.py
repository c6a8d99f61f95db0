"""Stand-in for the store of the users' platform, with its HTTP protocol.

Stores objects by kind and name and serves lists and watches. Tests can make it
slow, silent or unavailable, make it lose its history, or make it come back from
a copy that is some seconds old.
"""

import asyncio
from typing import Any, NamedTuple
import urllib.parse

import msgspec

from greengagedale import clocks
from greengagedale.http1 import messages
from greengagedale.http1 import server

_PREFIX = "/-/objects/"
PAGE_SIZE = 50
_MS_PER_S = 1000.0
_KIND_UPSTREAMS = "servers"


class Drill(NamedTuple):
    """A return of the store from an older copy.

    Attributes:
        copy_age_s: Age of the copy when the store goes away.
        away_s: Time for which the store is away.
        is_cut: Whether it refuses connections while it is away; otherwise it
            answers each call with status 503.
        are_watches_cut: Whether waiting watches are cut; otherwise they go on
            waiting, and are answered after the return.
        rewrite_after_s: Time after the return at which operators and upstreams
            write again what was lost; None if they don't.
        expire_after_s: Time after the return at which the entries of upstreams
            are removed that were removed before it.
    """

    copy_age_s: float
    away_s: float
    is_cut: bool = True
    are_watches_cut: bool = True
    rewrite_after_s: float | None = 1.0
    expire_after_s: float = 3.6


class _Change(NamedTuple):
    at_s: float
    revision: int
    kind: str
    name: str
    # The object since the change; None if it was deleted.
    item: dict[str, Any] | None
    # Whether a host wrote it, and not an operator or an upstream.
    is_from_host: bool


class GatewayStore(server.Handler):
    """An in-memory object store that serves HTTP requests.

    Attributes:
        mode: `up`, `busy` (every call gets status 503), `silent` (calls are
            never answered) or `gone` (watches get status 410).
        delay_ms: Delay before each answer.
        raw_values: Bytes that take the place of string values in answers, by
            these strings; for entries that other writers wrote.
        calls: Number of calls received.
        revision: Revision of the latest change.
        era: Era in the header of all answers; None omits the header.
        lost: Names of the objects whose last change the latest drill undid, by
            kind.
    """

    def __init__(self, clock: clocks.Clock | None = None) -> None:
        self.mode = "up"
        self.delay_ms = 0.0
        self.raw_values: dict[str, bytes] = {}
        self.calls = 0
        self.revision = 1
        self.era: int | None = None
        self.lost: dict[str, set[str]] = {}
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._journal: list[_Change] = []
        self._clock = clock or clocks.MonotonicClock()
        # Changes that the latest drill undid, and the journal's length then.
        self._undone: list[_Change] = []
        self._returned_at = 0
        self._changed = asyncio.Event()
        self._server = server.Server(self, self._clock)
        self._endpoint = ("", 0)

    async def start(self, address: str, port: int) -> None:
        """Starts to listen."""
        self._endpoint = (address, port)
        await self._server.start(address, port)

    def close(self) -> None:
        """Stops the server."""
        self._server.close()

    def put(
        self, kind: str, name: str, spec: Any, is_from_host: bool = False
    ) -> int:
        """Writes an object and returns its new revision."""
        self.revision += 1
        meta = {"name": name, "revision": self.revision}
        item = {"meta": meta, "spec": spec, "status": None}
        self._objects.setdefault(kind, {})[name] = item
        self._record_change(kind, item, deleted=False)
        self._note(kind, name, item, is_from_host)
        return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Deletes an object."""
        self.revision += 1
        item = self._objects[kind].pop(name)
        self._record_change(kind, item, deleted=True)
        self._note(kind, name, None, is_from_host=False)

    def drop_history(self) -> None:
        """Drops the change history, so that older watches get status 410."""
        self._history.clear()

    async def drill(self, drill: Drill) -> None:
        """Goes away and comes back from an older copy, with what follows."""
        await self.go_away(drill)
        await asyncio.sleep(drill.away_s)
        await self.return_older(drill)
        await self.write_again(drill)

    async def go_away(self, drill: Drill) -> None:
        """Stops to answer, as the drill says."""
        if drill.is_cut:
            self._server.close()
            return
        self.mode = "busy"
        if drill.are_watches_cut:
            for connection in list(self._server.connections):
                connection.close()

    async def return_older(self, drill: Drill) -> None:
        """Answers again, in a new era and without the latest changes."""
        self.restore(
            self._clock.now_ms() / _MS_PER_S - drill.away_s - drill.copy_age_s
        )
        self.mode = "up"
        if drill.is_cut:
            await self._server.start(*self._endpoint)

    def restore(self, at_s: float) -> None:
        """Takes the state of a time, by the monotonic clock, in a new era."""
        kept = [change for change in self._journal if change.at_s <= at_s]
        undone = self._journal[len(kept) :]
        self._journal = kept
        self._objects = {}
        for change in kept:
            stored = self._objects.setdefault(change.kind, {})
            if change.item is None:
                stored.pop(change.name, None)
            else:
                stored[change.name] = change.item
        self.revision = kept[-1].revision if kept else 1
        self._history = [
            event for event in self._history if event[0] <= self.revision
        ]
        self._undone = [each for each in undone if not each.is_from_host]
        self.lost = {}
        for change in undone:
            self.lost.setdefault(change.kind, set()).add(change.name)
        self._returned_at = len(kept)
        self.era = (self.era or 0) + 1
        self._wake_watches()

    async def write_again(self, drill: Drill) -> None:
        """Lets operators and upstreams write again what was lost.

        What they wrote since the return stands.
        """
        if drill.rewrite_after_s is None:
            return
        last = {(each.kind, each.name): each for each in self._undone}
        await asyncio.sleep(drill.rewrite_after_s)
        for (kind, name), change in last.items():
            if change.item is not None and not self._is_written(kind, name):
                spec = dict(change.item["spec"])
                if kind == _KIND_UPSTREAMS:
                    spec["sequence"] += 1
                self.put(kind, name, spec)
        removed = [key for key, change in last.items() if change.item is None]
        if not removed:
            return
        await asyncio.sleep(
            max(0.0, drill.expire_after_s - drill.rewrite_after_s)
        )
        for kind, name in removed:
            is_listed = name in self._objects.get(kind, {})
            if is_listed and not self._is_written(kind, name):
                self.delete(kind, name)

    def _is_written(self, kind: str, name: str) -> bool:
        """Returns whether an object has been written since the last return."""
        return any(
            (each.kind, each.name) == (kind, name)
            for each in self._journal[self._returned_at :]
        )

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers one call according to the current mode."""
        response = await self._answer(request)
        for mark, value in self.raw_values.items():
            body = response.body.replace(msgspec.json.encode(mark), value)
            response = response._replace(body=body)
        if self.era is None:
            return response
        era = (b"Store-Era", str(self.era).encode())
        return response._replace(headers=(*response.headers, era))

    async def _answer(self, request: messages.Request) -> messages.Response:
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
        self.put(kind, name, document["spec"], is_from_host=True)
        return _json(self._objects[kind][name])

    def _list(self, kind: str, after: str) -> messages.Response:
        stored = self._objects.get(kind, {})
        names = sorted(name for name in stored if name > after)
        return _json(
            {
                "items": [stored[name] for name in names[:PAGE_SIZE]],
                "more": len(names) > PAGE_SIZE,
                "storeRevision": self.revision,
            }
        )

    async def _watch(
        self, kind: str, revision: int, wait_ms: int
    ) -> messages.Response:
        deadline_s = asyncio.get_running_loop().time() + wait_ms / _MS_PER_S
        while True:
            oldest = self._history[0][0] if self._history else self.revision
            is_unknown = revision > self.revision or revision < oldest - 1
            if self.mode == "gone" or is_unknown:
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
        self._wake_watches()

    def _note(
        self,
        kind: str,
        name: str,
        item: dict[str, Any] | None,
        is_from_host: bool,
    ) -> None:
        """Notes a change, from which older copies are made."""
        at_s = self._clock.now_ms() / _MS_PER_S
        self._journal.append(
            _Change(at_s, self.revision, kind, name, item, is_from_host)
        )

    def _wake_watches(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


def _json(document: Any, status: int = 200) -> messages.Response:
    return messages.Response(
        status,
        ((b"Content-Type", b"application/json"),),
        msgspec.json.encode(document),
    )
