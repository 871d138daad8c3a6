"""Fake of the object store of the users' platform.

Stores objects by kind and name under one revision counter, with paged lists, watches
and conditional writes. Paths below ``/fake/`` inject faults.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from typing import Any, NamedTuple

from aiohttp import web

from fakes.serving import new_parser, serve

PAGE_ITEMS = 50
HISTORY_LIMIT = 10_000
MAXIMUM_WAIT_MILLISECONDS = 30_000


class Change(NamedTuple):
    """A change of an object, as watches return it.

    Parameters
    ----------
    changed_at : float
        Time of the change in seconds of the monotonic clock.
    """

    changed_at: float
    revision: int
    kind: str
    name: str
    stored: dict[str, Any]
    deleted: bool


class FakePlatformStore:
    """One store process with its injected faults."""

    def __init__(self) -> None:
        self.revision = 1
        self.objects_by_key: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[Change] = []
        self.forgotten = 0
        self.stale_seconds = 0.0
        self.status = 0
        self.silent = False
        self.refused_zones: set[str] = set()
        self.lost_answers = 0
        self.odd_items: list[str] = []
        self.calls: Counter[str] = Counter()
        self._changed = asyncio.Event()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(middlewares=[self._apply_faults])
        base = "/carawayhitch/objects/{kind}"
        application.add_routes(
            [
                web.get(base, self.list_or_watch),
                web.post(base, self.create),
                web.get(base + "/{name}", self.read),
                web.put(base + "/{name}", self.replace),
                web.delete(base + "/{name}", self.delete),
                web.post("/fake/faults", self.inject),
                web.get("/fake/calls", self.count_calls),
            ]
        )
        return application

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if request.path.startswith("/fake/"):
            return await handler(request)
        is_watch = "watch" in request.query
        self.calls["watch" if is_watch else request.method] += 1
        if self.silent:
            await asyncio.sleep(3600)
        if self.status:
            return web.json_response({}, status=self.status)
        response = await handler(request)
        if request.method in ("POST", "PUT", "DELETE") and self.lost_answers:
            self.lost_answers -= 1
            assert request.transport is not None
            request.transport.abort()
        return response

    def _write(self, kind: str, name: str, spec: Any, deleted: bool = False) -> Any:
        self.revision += 1
        stored_object = self.objects_by_key.get((kind, name))
        created = (
            stored_object["metadata"]["created"] if stored_object else self.revision
        )
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        if deleted:
            del self.objects_by_key[kind, name]
        else:
            self.objects_by_key[kind, name] = stored
        self.history.append(
            Change(time.monotonic(), self.revision, kind, name, stored, deleted)
        )
        while len(self.history) > HISTORY_LIMIT:
            self.forgotten = self.history.pop(0).revision
        self._notify_watches()
        return stored

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _known_until(self, request: web.Request) -> float:
        """Return the time up to which a call sees changes."""
        is_stale = request.query.get("serializable") == "1"
        return time.monotonic() - (self.stale_seconds if is_stale else 0.0)

    def _revision_at(self, known_until: float) -> int:
        unseen = [c.revision for c in self.history if c.changed_at > known_until]
        return min(unseen) - 1 if unseen else self.revision

    def _objects_at(self, kind: str, known_until: float) -> dict[str, Any]:
        """Return the objects of a kind by name, as they were at a time.

        Changes of a history that was discarded are always seen.
        """
        objects = {
            name: stored
            for (object_kind, name), stored in self.objects_by_key.items()
            if object_kind == kind
        }
        changes = [change for change in self.history if change.kind == kind]
        unseen = {c.name for c in changes if c.changed_at > known_until}
        if not unseen:
            return objects
        for name in unseen:
            objects.pop(name, None)
        for change in changes:
            if change.name not in unseen or change.changed_at > known_until:
                continue
            objects.pop(change.name, None)
            if not change.deleted:
                objects[change.name] = change.stored
        return objects

    async def list_or_watch(self, request: web.Request) -> web.Response:
        """Return a page of objects of a kind, or its changes after a revision."""
        kind = request.match_info["kind"]
        if "watch" in request.query:
            return await self._watch(kind, request)
        after = request.query.get("after", "")
        known_until = self._known_until(request)
        objects = self._objects_at(kind, known_until)
        names = sorted(name for name in objects if name > after)
        page = names[:PAGE_ITEMS]
        text = json.dumps(
            {
                "items": [objects[name] for name in page],
                "hasMore": len(names) > len(page),
                "at": self._revision_at(known_until),
            }
        )
        return self._with_odd_items(text, "items", self.odd_items)

    async def _watch(self, kind: str, request: web.Request) -> web.Response:
        since = int(request.query["watch"])
        wait_ms = min(int(request.query["waitMs"]), MAXIMUM_WAIT_MILLISECONDS)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_ms / 1000
        while True:
            if since < self.forgotten:
                return web.json_response({}, status=410)
            changed = self._changed
            known_until = self._known_until(request)
            later = [c for c in self.history if c.kind == kind and c.revision > since]
            found = [c for c in later if c.changed_at <= known_until]
            left = deadline - loop.time()
            if found or left <= 0:
                break
            # A stale watch sees a change when it is old enough.
            unseen = [c.changed_at - known_until for c in later]
            try:
                await asyncio.wait_for(changed.wait(), min([left, *unseen]))
            except TimeoutError:
                continue
        revision = max(since, self._revision_at(known_until))
        changes_found = [{"object": c.stored, "deleted": c.deleted} for c in found]
        text = json.dumps({"events": changes_found, "at": revision})
        changes = [f'{{"object":{item},"deleted":false}}' for item in self.odd_items]
        return self._with_odd_items(text, "events", changes if found else [])

    def _with_odd_items(
        self, text: str, list_name: str, odd_items: list[str]
    ) -> web.Response:
        """Return a response whose list begins with the injected odd items."""
        start = f'"{list_name}": ['
        assert start in text
        rest = text.split(start, 1)[1]
        separator = ", " if odd_items and not rest.startswith("]") else ""
        text = text.replace(start, start + ", ".join(odd_items) + separator, 1)
        return web.Response(text=text, content_type="application/json")

    async def create(self, request: web.Request) -> web.Response:
        """Create an object; 409 with the stored object if it exists."""
        body = await request.json()
        kind, name = request.match_info["kind"], body["metadata"]["name"]
        stored_object = self.objects_by_key.get((kind, name))
        if stored_object is not None:
            return web.json_response(stored_object, status=409)
        return web.json_response(self._write(kind, name, body.get("spec")))

    async def read(self, request: web.Request) -> web.Response:
        """Return one object."""
        kind, name = self._key(request)
        stored_object = self._objects_at(kind, self._known_until(request)).get(name)
        if stored_object is None:
            return web.json_response({}, status=404)
        return web.json_response(stored_object)

    async def replace(self, request: web.Request) -> web.Response:
        """Replace an object; 409 if the request names another revision."""
        key = self._key(request)
        stored_object = self.objects_by_key.get(key)
        if stored_object is None:
            return web.json_response({}, status=404)
        body = await request.json()
        expected = body.get("metadata", {}).get("revision")
        if expected is not None and expected != stored_object["metadata"]["revision"]:
            return web.json_response(stored_object, status=409)
        if body.get("spec") == stored_object["spec"]:
            return web.json_response(stored_object)
        return web.json_response(self._write(*key, body.get("spec")))

    async def delete(self, request: web.Request) -> web.Response:
        """Delete an object."""
        key = self._key(request)
        stored_object = self.objects_by_key.get(key)
        if stored_object is None:
            return web.json_response({}, status=404)
        return web.json_response(self._write(*key, stored_object["spec"], deleted=True))

    def _key(self, request: web.Request) -> tuple[str, str]:
        return request.match_info["kind"], request.match_info["name"]

    async def inject(self, request: web.Request) -> web.Response:
        """Set faults.

        ``status``: status of all calls; 0 for normal service; ``silent``: whether calls
        get no response; ``forget``: discard the watch history; ``lost_answers``: number
        of writes that take effect but get no response; ``odd_items``: JSON texts that
        every list and every watch with changes contains, whatever its kind;
        ``stale_seconds``: age of the data that calls with ``serializable`` get.
        """
        faults = await request.json()
        self.status = faults.get("status", self.status)
        self.silent = faults.get("silent", self.silent)
        self.lost_answers = faults.get("lost_answers", 0)
        self.odd_items = faults.get("odd_items", self.odd_items)
        self.stale_seconds = faults.get("stale_seconds", self.stale_seconds)
        if faults.get("forget"):
            self.revision += 1
            self.forgotten = self.revision
            self.history.clear()
        self._notify_watches()
        return web.json_response({})

    async def count_calls(self, request: web.Request) -> web.Response:
        """Return the number of calls by method; watches count apart."""
        return web.json_response(dict(self.calls))


def main() -> None:
    """Run one store."""
    parser = new_parser(__doc__)
    arguments = parser.parse_args()
    serve(FakePlatformStore().application(), arguments.port)


if __name__ == "__main__":
    main()
