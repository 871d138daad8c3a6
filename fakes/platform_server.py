"""Fake server of the users' platform: plain service or model engine.

An engine streams ``events`` events, one per ``--event-seconds``, each with ``padding``
bytes more, and can move running generations to other engines. Another answer has
``bytes`` bytes, or repeats the body of its call. Paths below ``/fake/`` inject faults
and list the calls received.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections import Counter, deque
from typing import Any, TextIO
from uuid import uuid4

from aiohttp import web

from fakes.serving import new_parser, serve

HANDLE_HEADER = "Kv-From"
CRASH_STATUS = 70
ARRIVAL_SECONDS = 1.0
REQUEST_BYTES_LIMIT = 16_777_216
ENDLESS_PART = bytes(65_536)


class UnframedResponse(web.StreamResponse):
    """Response with neither a length nor chunks, which ends with its connection."""

    # aiohttp sends a body of unknown length in chunks if it checks the length.
    _length_check = False


class RunningGeneration:
    """One running generation."""

    def __init__(self, made: int, total: int) -> None:
        self.made = made
        self.total = total
        self.stopped = asyncio.Event()


class FakePlatformServer:
    """One server process.

    Parameters
    ----------
    name : str
        Id of the registration.
    event_seconds : float
        Interval of stream events, and duration of a non-streamed call.
    born : int
        Start time as registered, in Unix milliseconds.
    run_file : TextIO, optional
        Receives the start and end of each run, and each request that arrives while
        the server is cold, so that these survive a kill.
    cold_limit : int
        While the server is cold, it crashes on more requests than that in a second.
    """

    def __init__(
        self,
        name: str,
        event_seconds: float,
        born: int,
        run_file: TextIO | None = None,
        cold_limit: int = 0,
    ) -> None:
        self.name = name
        self.cold_limit = cold_limit
        self.cold_until = 0.0
        self.arrivals: deque[float] = deque()
        self.run_file = run_file
        self.born = born
        self.event_seconds = event_seconds
        self.generations_by_id: dict[str, RunningGeneration] = {}
        self.copies_by_handle: dict[str, tuple[str, int, int]] = {}
        self.counts: Counter[str] = Counter()
        self.seen: list[dict[str, Any]] = []
        self.failures = 0
        self.cut_after = 0
        self.refusals = 0
        self.retry_after = 0.0
        self.state = "ready"
        self.announces_leaving = False
        self.move_status = 0
        self.crash_on = ""
        self.crash_on_part = ""
        self.unframed = False
        self.endless = False

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=REQUEST_BYTES_LIMIT)
        application.add_routes(
            [
                web.get("/carawayhitch/report", self.report),
                web.post("/carawayhitch/kv-move", self.move),
                web.delete("/carawayhitch/kv-handle/{handle}", self.free),
                web.post("/fake/copies", self.receive_copy),
                web.post("/fake/faults", self.inject),
                web.post("/fake/cold", self.cool),
                web.get("/fake/seen", self.list_calls),
                web.route("*", "/{path:.*}", self.serve),
            ]
        )
        return application

    def _response_headers(self, request: web.Request) -> dict[str, str]:
        request_id = request.headers.get("Carawayhitch-Request-Id", "")
        leaving = {"Server-Leaving": "1"} if self.announces_leaving else {}
        return {
            "Carawayhitch-Request-Id": request_id,
            "Carawayhitch-Server-Seal": f"seal-of-{self.name}",
            **leaving,
        }

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Execute a call, unless it is refused or meant for another server."""
        body = await request.read()
        expected = request.headers.get("Carawayhitch-Expect-Instance", self.name)
        if expected != self.name:
            return web.Response(status=421)
        self._count_arrival(request)
        if self.refusals:
            self.refusals -= 1
            self.counts["refusals"] += 1
            headers = {"Carawayhitch-Not-Executed": "1"}
            if self.retry_after:
                headers["Retry-After"] = str(self.retry_after)
            return web.Response(status=503, headers=headers)
        self.seen.append(
            {
                "method": request.method,
                "path": request.path_qs,
                "headers": {k.lower(): v for k, v in request.headers.items()},
                "length": len(body),
            }
        )
        self.counts["runs"] += 1
        self._write_run_event(
            "continue" if HANDLE_HEADER in request.headers else "run", request
        )
        try:
            return await self._run(request, body)
        finally:
            self._write_run_event("end", request)

    def _count_arrival(self, request: web.Request) -> None:
        """Count a request to a cold server, which crashes on too many of them."""
        now = time.time()
        if now >= self.cold_until:
            return
        self._write_run_event("cold", request)
        self.arrivals.append(now)
        while self.arrivals[0] <= now - ARRIVAL_SECONDS:
            self.arrivals.popleft()
        if len(self.arrivals) > self.cold_limit:
            os._exit(CRASH_STATUS)

    def _write_run_event(self, what: str, request: web.Request) -> None:
        if self.run_file is None:
            return
        request_id = request.headers.get("Carawayhitch-Request-Id", "")
        self.run_file.write(f"{time.time():.4f} {what} {request_id}\n")

    async def _run(self, request: web.Request, body: bytes) -> web.StreamResponse:
        if self.crash_on and self.crash_on in request.path_qs:
            # The process ends at once, as in a crash: no answer, no clean-up.
            os._exit(CRASH_STATUS)
        if self.failures:
            self.failures -= 1
            return web.Response(status=500, headers=self._response_headers(request))
        events = int(request.query.get("events", "0"))
        if not events and self.endless:
            return await self._send_without_end(request)
        if not events:
            await asyncio.sleep(self.event_seconds)
            size = int(request.query.get("bytes", "0"))
            return web.Response(
                body=bytes(size) or body or b"answer",
                headers=self._response_headers(request),
            )
        return await self._stream(request, events)

    async def _send_without_end(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(headers=self._response_headers(request))
        await response.prepare(request)
        while True:
            await response.write(ENDLESS_PART)

    async def _stream(self, request: web.Request, total: int) -> web.StreamResponse:
        request_id = request.headers.get("Carawayhitch-Request-Id", "")
        made = int(request.headers.get("Last-Event-Id", "0"))
        source = request.headers.get(HANDLE_HEADER, "")
        if source:
            copied = self.copies_by_handle.pop(source.rpartition("/")[2], None)
            if copied is None:
                return web.Response(
                    status=503, headers={"Carawayhitch-Not-Executed": "1"}
                )
            total = copied[2]
            self.counts["continued"] += 1
        generation = self.generations_by_id[request_id] = RunningGeneration(made, total)
        padding = "x" * int(request.query.get("padding", "0"))
        headers = {
            **self._response_headers(request),
            "Content-Type": "text/event-stream",
        }
        if self.unframed:
            response: web.StreamResponse = UnframedResponse(headers=headers)
            response.force_close()
        else:
            response = web.StreamResponse(headers=headers)
            response.enable_chunked_encoding()
        await response.prepare(request)
        parts = request.headers.get("Carawayhitch-Prompt-Prefix", "")
        if self.crash_on_part and f"{self.crash_on_part}:" in parts:
            await asyncio.sleep(self.event_seconds)
            os._exit(CRASH_STATUS)
        try:
            while generation.made < generation.total:
                try:
                    await asyncio.wait_for(
                        generation.stopped.wait(), self.event_seconds
                    )
                    break
                except TimeoutError:
                    generation.made += 1
                data = f"id: {generation.made}\ndata: {request_id}{padding}\n\n"
                await response.write(data.encode())
                if self.cut_after and generation.made >= self.cut_after:
                    self.cut_after = 0
                    generation.stopped.set()
            if generation.made < generation.total:
                # An interrupted stream ends without its terminating chunk, if it has
                # chunks.
                assert request.transport is not None
                request.transport.close()
                return response
            await response.write_eof()
            return response
        finally:
            self.generations_by_id.pop(request_id, None)

    async def move(self, request: web.Request) -> web.Response:
        """Copy a generation to another engine; with ``last``, stop it first."""
        body = await request.json()
        self.counts["moves"] += 1
        if self.move_status:
            return web.json_response({}, status=self.move_status)
        generation = self.generations_by_id.get(body["id"])
        if generation is None:
            return web.json_response({}, status=404)
        if body.get("last"):
            generation.stopped.set()
        handle = uuid4().hex[:8] if not body.get("last") else f"last-{uuid4().hex[:8]}"
        copied = {"handle": handle, "id": body["id"], "made": generation.made}
        async with request.app["session"].post(
            f"http://{body['target']}/fake/copies",
            json={**copied, "total": generation.total},
        ) as answer:
            await answer.read()
        return web.json_response({"handle": handle, "created": generation.made})

    async def receive_copy(self, request: web.Request) -> web.Response:
        """Store the copy of a generation from another engine."""
        body = await request.json()
        generation_copy = (body["id"], body["made"], body["total"])
        self.copies_by_handle[body["handle"]] = generation_copy
        return web.json_response({})

    async def free(self, request: web.Request) -> web.Response:
        """Release a copy."""
        self.copies_by_handle.pop(request.match_info["handle"], None)
        self.counts["freed"] += 1
        return web.json_response({})

    async def report(self, request: web.Request) -> web.Response:
        """Return the load and state."""
        return web.json_response(
            {
                "queued": 0,
                "active": len(self.generations_by_id),
                "kvUsed": 10 * len(self.generations_by_id),
                "kvTotal": 100_000,
                "state": self.state,
                "born": self.born,
                "coldLeftMs": max(0.0, self.cold_until - time.time()) * 1000.0,
                "runs": [],
            }
        )

    async def inject(self, request: web.Request) -> web.Response:
        """Set faults.

        ``failures``: number of calls to fail with 500; ``refusals``: number of calls to
        refuse with 503, not executed; ``retry_after``: ``Retry-After`` of refusals in
        seconds, 0 for none; ``cut_after``: event after which the next stream
        is interrupted; ``move_status``: status of all moves; 0 for the default;
        ``state``: state in the load report; ``announces_leaving``: whether all answers
        say that the server is leaving; ``crash_on``: part of the paths whose calls end
        the process as they begin to run, empty for none; ``crash_on_part``: id of the
        prompt part whose streams end the process after the head of the answer;
        ``unframed``: whether streams have neither a length nor chunks; ``endless``:
        whether the bodies of other answers have no end.
        """
        faults = await request.json()
        self.failures = faults.get("failures", 0)
        self.refusals = faults.get("refusals", 0)
        self.retry_after = faults.get("retry_after", 0.0)
        self.cut_after = faults.get("cut_after", 0)
        self.move_status = faults.get("move_status", 0)
        self.state = faults.get("state", "ready")
        self.announces_leaving = faults.get("announces_leaving", False)
        self.crash_on = faults.get("crash_on", "")
        self.crash_on_part = faults.get("crash_on_part", "")
        self.unframed = faults.get("unframed", False)
        self.endless = faults.get("endless", False)
        return web.json_response({})

    async def cool(self, request: web.Request) -> web.Response:
        """Make the server cold for some ``seconds`` from now on; keep its faults."""
        self.cold_until = time.time() + (await request.json())["seconds"]
        return web.json_response({})

    async def list_calls(self, request: web.Request) -> web.Response:
        """Return the calls received and the counters."""
        return web.json_response({"seen": self.seen, "counts": dict(self.counts)})


async def _open_session(application: web.Application) -> Any:
    import aiohttp

    async with aiohttp.ClientSession() as session:
        application["session"] = session
        yield


def main() -> None:
    """Run one server."""
    parser = new_parser(__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--event-seconds", type=float, default=0.02)
    parser.add_argument("--born", type=int, default=1000)
    parser.add_argument("--run-file", default="")
    parser.add_argument("--cold-seconds", type=float, default=0.0)
    parser.add_argument("--cold-limit", type=int, default=0)
    arguments = parser.parse_args()
    run_file = (
        open(arguments.run_file, "a", buffering=1) if arguments.run_file else None
    )
    server = FakePlatformServer(
        arguments.name,
        arguments.event_seconds,
        arguments.born,
        run_file,
        arguments.cold_limit,
    )
    server.cold_until = time.time() + arguments.cold_seconds
    application = server.application()
    application.cleanup_ctx.append(_open_session)
    serve(application, arguments.port)


if __name__ == "__main__":
    main()
