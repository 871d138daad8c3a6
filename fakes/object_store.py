"""Fake of the platform's object store: versions, conditional writes, watches.

Calls are counted by kind; a watch counts as one call however long it waits. Paths below
``/fake/`` inject outages, delays and lost responses.
"""

from __future__ import annotations

import asyncio
import base64
from collections import Counter
from collections.abc import Sequence
from typing import Any, NamedTuple

from aiohttp import web

from fakes.serving import new_parser, serve

VALUE_LIMIT = 1_000_000
HISTORY_LIMIT = 10_000


class Stored(NamedTuple):
    """One version of an object; for a deleted one, the version of its deletion."""

    kind: str
    name: str
    version: int
    value: bytes
    deleted: bool

    def to_json(self) -> dict[str, Any]:
        """Return the JSON representation, with the value in base64."""
        return {**self._asdict(), "value": base64.b64encode(self.value).decode()}


class FakeObjectStore:
    """One store process with its injected faults."""

    def __init__(self) -> None:
        self.revision = 0
        self.objects_by_key: dict[tuple[str, str], Stored] = {}
        self.history_by_kind: dict[str, list[Stored]] = {}
        self.calls_by_kind: Counter[str] = Counter()
        self.down = False
        self.delay_seconds = 0.0
        self.lost_write_answers = 0
        self.skipped_changes = 0
        self.history_limit = HISTORY_LIMIT
        self.forgotten_by_kind: dict[str, int] = {}
        self.late_writes = 0
        self.late_seconds = 0.0
        self.writes_until_down = 0
        self._late_tasks: set[asyncio.Task[Any]] = set()
        self._changed = asyncio.Event()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(
            client_max_size=2 * VALUE_LIMIT, middlewares=[self._apply_faults]
        )
        application.add_routes(
            [
                web.get("/v1/objects/{kind}/{name}", self.read),
                web.put("/v1/objects/{kind}/{name}", self.write),
                web.delete("/v1/objects/{kind}/{name}", self.delete),
                web.get("/v1/objects", self.list),
                web.get("/v1/watch", self.watch),
                web.post("/fake/faults", self.inject),
                web.get("/fake/calls", self.calls),
            ]
        )
        return application

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if request.path.startswith("/fake/"):
            return await handler(request)
        kind = "list" if request.path == "/v1/objects" else request.path.split("/")[2]
        self.calls_by_kind[f"{request.method} {kind}"] += 1
        if self.delay_seconds:
            await asyncio.sleep(self.delay_seconds)
        if self.down:
            return web.json_response({"error": "unavailable"}, status=503)
        if request.method == "PUT" and self.late_writes > 0:
            self.late_writes -= 1
            return await self._write_late(request)
        response = await handler(request)
        if request.method == "PUT" and self.writes_until_down > 0:
            self.writes_until_down -= 1
            if self.writes_until_down == 0:
                self.down = True
                assert request.transport is not None
                request.transport.abort()
        if request.method in ("PUT", "DELETE") and self.lost_write_answers > 0:
            self.lost_write_answers -= 1
            assert request.transport is not None
            request.transport.abort()
        return response

    async def _write_late(self, request: web.Request) -> web.StreamResponse:
        """Abort the connection at once and apply the write later."""
        await request.read()

        async def write() -> None:
            await asyncio.sleep(self.late_seconds)
            await self.write(request)

        task = asyncio.create_task(write())
        self._late_tasks.add(task)
        task.add_done_callback(self._late_tasks.discard)
        assert request.transport is not None
        request.transport.abort()
        return web.Response(status=503)

    def _store(self, kind: str, name: str, value: bytes, deleted: bool) -> Stored:
        self.revision += 1
        stored = Stored(kind, name, self.revision, value, deleted)
        self.objects_by_key[kind, name] = stored
        history = self.history_by_kind.setdefault(kind, [])
        if self.skipped_changes > 0:
            self.skipped_changes -= 1
        else:
            history.append(stored)
        while len(history) > self.history_limit:
            self.forgotten_by_kind[kind] = history.pop(0).version
        self._changed.set()
        self._changed = asyncio.Event()
        return stored

    def _version(self, kind: str, name: str) -> int:
        stored = self.objects_by_key.get((kind, name))
        return 0 if stored is None or stored.deleted else stored.version

    async def read(self, request: web.Request) -> web.Response:
        """Return one object."""
        key = (request.match_info["kind"], request.match_info["name"])
        stored = self.objects_by_key.get(key)
        if stored is None or stored.deleted:
            return web.json_response({"error": "absent"}, status=404)
        return web.json_response(stored.to_json())

    async def write(self, request: web.Request) -> web.Response:
        """Write an object if ``If-Match`` equals its version; 0 means it is absent."""
        kind, name = request.match_info["kind"], request.match_info["name"]
        value = await request.read()
        if len(value) > VALUE_LIMIT:
            return web.json_response({"error": "value too large"}, status=413)
        return self._update(request, kind, name, value, deleted=False)

    async def delete(self, request: web.Request) -> web.Response:
        """Delete an object if ``If-Match`` equals its version."""
        kind, name = request.match_info["kind"], request.match_info["name"]
        return self._update(request, kind, name, b"", deleted=True)

    def _update(
        self, request: web.Request, kind: str, name: str, value: bytes, deleted: bool
    ) -> web.Response:
        expected = int(request.headers["If-Match"])
        version = self._version(kind, name)
        if version != expected:
            return web.json_response({"version": version}, status=412)
        stored = self._store(kind, name, value, deleted)
        return web.json_response({"version": stored.version})

    async def list(self, request: web.Request) -> web.Response:
        """Return all objects of the requested kinds, and the revision of the store."""
        kinds = set(filter(None, request.query.get("kinds", "").split(",")))
        objects = [
            stored.to_json()
            for stored in self.objects_by_key.values()
            if not kinds or stored.kind in kinds
        ]
        return web.json_response({"revision": self.revision, "objects": objects})

    async def watch(self, request: web.Request) -> web.Response:
        """Wait for changes after a revision; 410 if the history no longer has them."""
        since = int(request.query["since"])
        kinds = set(filter(None, request.query.get("kinds", "").split(",")))
        deadline = asyncio.get_running_loop().time() + float(request.query["timeout"])
        while True:
            watched = kinds or set(self.forgotten_by_kind)
            if any(since < self.forgotten_by_kind.get(kind, 0) for kind in watched):
                return web.json_response({"error": "history passed"}, status=410)
            changed = self._changed
            found = [
                stored.to_json()
                for stored in self._changes_of(kinds or set(self.history_by_kind))
                if stored.version > since
            ]
            remaining = deadline - asyncio.get_running_loop().time()
            if found or remaining <= 0 or self.down:
                break
            try:
                await asyncio.wait_for(changed.wait(), remaining)
            except TimeoutError:
                break
        if self.down:
            return web.json_response({"error": "unavailable"}, status=503)
        return web.json_response({"revision": self.revision, "objects": found})

    def _changes_of(self, kinds: set[str]) -> Sequence[Stored]:
        """Return all changes of the given kinds in order of their version."""
        found = [
            stored for kind in kinds for stored in self.history_by_kind.get(kind, ())
        ]
        return sorted(found, key=lambda stored: stored.version)

    async def inject(self, request: web.Request) -> web.Response:
        """Set faults.

        ``down``: respond to all calls with 503; ``delay_seconds``: delay of all calls;
        ``lost_write_answers``: number of writes that take effect but get no response;
        ``skipped_changes``: number of writes that no watch reports; ``late_writes``:
        number of writes that take effect ``late_seconds`` after their connection is
        aborted; ``writes_until_down``: number of writes before an outage, the last of
        which takes effect but gets no response; ``history_limit``: number of changes
        per kind that a watch can replay; ``forget_all``: clear the store, as a restart
        with data loss would.
        """
        faults = await request.json()
        self.down = faults.get("down", self.down)
        self.delay_seconds = faults.get("delay_seconds", self.delay_seconds)
        self.lost_write_answers = faults.get("lost_write_answers", 0)
        self.skipped_changes = faults.get("skipped_changes", 0)
        self.history_limit = faults.get("history_limit", self.history_limit)
        if faults.get("forget_all"):
            self.revision = 0
            self.forgotten_by_kind.clear()
            self.objects_by_key.clear()
            self.history_by_kind.clear()
        self.late_writes = faults.get("late_writes", 0)
        self.late_seconds = faults.get("late_seconds", 0.0)
        self.writes_until_down = faults.get("writes_until_down", 0)
        self._changed.set()
        self._changed = asyncio.Event()
        return web.json_response({"down": self.down})

    async def calls(self, request: web.Request) -> web.Response:
        """Return the number of calls by kind."""
        return web.json_response(dict(self.calls_by_kind))


def main() -> None:
    """Run one store."""
    parser = new_parser(__doc__)
    arguments = parser.parse_args()
    store = FakeObjectStore()
    serve(store.application(), arguments.port)


if __name__ == "__main__":
    main()
