"""Baseline entry without scheduling: forwards each call to the least loaded engine.

The load of an engine is its last report plus the calls that this entry sent since.
Several such entries do not coordinate. Lookups get the highest priority, so that
engines order their queues as they do under the scheduler.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

import aiohttp
from aiohttp import web

from fakes.serving import new_parser, serve

POLL_SECONDS = 0.5
PRIORITIES_BY_LABELS = {"work=lookup": 0}
DEFAULT_PRIORITY = 10


class LeastLoadedEntry:
    """One entry that forwards to several engines."""

    def __init__(self, upstream_ports: list[int]) -> None:
        self.loads_by_port = dict.fromkeys(upstream_ports, 0)

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application()
        application.add_routes([web.post("/{path:.*}", self.relay)])
        application.cleanup_ctx.append(self._run)
        return application

    async def _run(self, application: web.Application) -> Any:
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=None)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as self.session:
            poll_task = asyncio.create_task(self._poll_loads())
            yield
            poll_task.cancel()

    async def _poll_loads(self) -> None:
        while True:
            for port in self.loads_by_port:
                url = f"http://127.0.0.1:{port}/load"
                async with self.session.get(url) as response:
                    load = await response.json()
                self.loads_by_port[port] = load["running"] + load["waiting"]
            await asyncio.sleep(POLL_SECONDS)

    async def relay(self, request: web.Request) -> web.StreamResponse:
        """Forward a call to the least loaded engine and relay its response."""
        body = json.loads(await request.read())
        labels = request.headers.get("Carawayhitch-Labels", "")
        body["priority"] = PRIORITIES_BY_LABELS.get(labels, DEFAULT_PRIORITY)
        port = min(self.loads_by_port, key=self.loads_by_port.__getitem__)
        self.loads_by_port[port] += 1
        url = f"http://127.0.0.1:{port}{request.path}"
        async with self.session.post(url, json=body) as upstream_response:
            response = web.StreamResponse(status=upstream_response.status)
            response.content_type = upstream_response.content_type
            await response.prepare(request)
            async for chunk in upstream_response.content.iter_any():
                await response.write(chunk)
            return response


def main() -> None:
    """Run one entry."""
    parser = new_parser(__doc__)
    parser.add_argument("--upstream-ports", type=int, nargs="+", required=True)
    arguments = parser.parse_args()
    serve(LeastLoadedEntry(arguments.upstream_ports).application(), arguments.port)


if __name__ == "__main__":
    main()
