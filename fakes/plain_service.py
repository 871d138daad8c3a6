"""Fake plain service over HTTP; counts the executions of each idempotency key."""

from __future__ import annotations

import asyncio
from collections import Counter

from aiohttp import web

from fakes.serving import new_parser, serve


class FakePlainService:
    """One service process.

    A call counts as executed when its body has arrived. The response follows after a
    delay, so that a test can kill either side in between.
    """

    def __init__(self) -> None:
        self.runs_by_key: Counter[str] = Counter()
        self.delay_seconds = 0.0
        self.cut_answers = 0
        self.cut_inside = False

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application()
        application.add_routes(
            [
                web.post("/fake/faults", self.inject),
                web.get("/fake/runs", self.runs),
                web.route("*", "/{path:.*}", self.run),
            ]
        )
        return application

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Execute a call, even if its key was executed before."""
        body = await request.text()
        key = request.headers.get("Idempotency-Key", request.path)
        self.runs_by_key[key] += 1
        run_number = sum(self.runs_by_key.values())
        if self.delay_seconds:
            await asyncio.sleep(self.delay_seconds)
        if self.cut_answers > 0:
            self.cut_answers -= 1
            assert request.transport is not None
            if self.cut_inside:
                request.transport.write(
                    b'HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n{"path": '
                )
                await asyncio.sleep(0.05)
            request.transport.abort()
        return web.json_response(
            {"path": request.path, "run": run_number, "body": body}
        )

    async def inject(self, request: web.Request) -> web.Response:
        """Set faults.

        ``delay_seconds``: delay before responses; ``cut_answers``: number of responses
        to abort; ``cut_inside``: whether to abort within the body or before any byte.
        """
        faults = await request.json()
        self.delay_seconds = faults.get("delay_seconds", self.delay_seconds)
        self.cut_answers = faults.get("cut_answers", self.cut_answers)
        self.cut_inside = faults.get("cut_inside", self.cut_inside)
        return web.json_response(faults)

    async def runs(self, request: web.Request) -> web.Response:
        """Return the number of executions by key."""
        return web.json_response(dict(self.runs_by_key))


def main() -> None:
    """Run one plain service."""
    parser = new_parser(__doc__)
    arguments = parser.parse_args()
    serve(FakePlainService().application(), arguments.port, handler_cancellation=False)


if __name__ == "__main__":
    main()
