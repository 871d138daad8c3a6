"""Fake model engine over HTTP: OpenAI-compatible, with resumable streams.

Tokens carry their number and the id of their generation, so that a response shows lost,
repeated and foreign tokens. Paths below ``/fake/`` inject faults.
"""

from __future__ import annotations

import asyncio
import json
import re
import time
from hashlib import sha256
from typing import Any
from uuid import uuid4

from aiohttp import web

from fakes import engine_model
from fakes.engine_model import EngineLimits
from fakes.serving import new_parser, serve

LENGTH_HINT = re.compile(r"length=(\d+)")
PADDING_HINT = re.compile(r"padding=(\d+)")
STREAM_RETENTION_SECONDS = 30.0
PREFIX_BLOCK_BYTES = 256


class Stream:
    """Events of one generation, retained so that a client can resume the stream."""

    def __init__(self, generation_id: str, streamed: bool) -> None:
        self.generation_id = generation_id
        self.streamed = streamed
        self.padding = ""
        self.events: list[bytes] = []
        self.finished = False
        self.changed = asyncio.Event()
        self.reader_count = 0
        self.abandoned_at = 0.0

    def append(self, event: bytes, finished: bool = False) -> None:
        """Append an event and notify the readers."""
        self.events.append(event)
        self.finished = finished
        self.changed.set()
        self.changed = asyncio.Event()


class OrderedState:
    """State of an engine that orders change."""

    def __init__(self) -> None:
        self.models = {"base-v1"}
        self.adapters: set[str] = set()
        self.role = "serve"

    def apply(self, kind: str, subject: str) -> None:
        """Apply one order."""
        if kind == "set_role":
            self.role = subject
            return
        verb, _, noun = kind.partition("_")
        held = self.models if noun == "model" else self.adapters
        (held.add if verb == "load" else held.discard)(subject)


class FakeEngine:
    """One engine process with its model and injected faults."""

    def __init__(self, limits: EngineLimits, load_lag_seconds: float = 0.2) -> None:
        self.model = engine_model.new_engine(limits)
        self.load_lag_seconds = load_lag_seconds
        self.streams_by_id: dict[str, Stream] = {}
        self.started_at = time.monotonic()
        self.started_count = 0
        self.cancelled_count = 0
        self.refused_count = 0
        self.leaving = False
        self.stalled = False
        self.silent = False
        self.answer_faults: list[str] = []
        self.crash_text = ""
        self.fencing_enforced = True
        self.fencing_number = 0
        self.orders: list[dict[str, Any]] = []
        self.ordered_state = OrderedState()
        self.loads: list[tuple[float, dict[str, Any]]] = []
        self._work_added = asyncio.Event()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=8 * 1024 * 1024)
        application.add_routes(
            [
                web.post("/v1/completions", self.generate),
                web.post("/v1/chat/completions", self.generate),
                web.get("/v1/generations/{id}/stream", self.resume),
                web.delete("/v1/generations/{id}", self.cancel),
                web.get("/load", self.load),
                web.get("/cache_events", self.cache_events),
                web.post("/orders", self.order),
                web.get("/orders", self.list_orders),
                web.get("/orders/state", self.order_state),
                web.post("/fake/{fault}", self.inject),
                web.get("/fake/state", self.state),
            ]
        )
        application.cleanup_ctx.append(self._run_step_loop)
        return application

    async def _run_step_loop(self, application: web.Application) -> Any:
        task = asyncio.create_task(self._step_loop())
        yield
        task.cancel()

    async def _step_loop(self) -> None:
        while True:
            if not self.model.waiting_by_id and not self.model.running_count:
                self._work_added.clear()
                self._record_load()
                await self._work_added.wait()
            if self.stalled:
                await asyncio.sleep(0.02)
                continue
            result = engine_model.step(self.model)
            finished = set(result.finished_ids)
            for generation_id in result.produced_ids:
                self._publish(generation_id, generation_id in finished)
            self._record_load()
            self._remove_abandoned_streams()
            await asyncio.sleep(result.seconds)

    def _publish(self, generation_id: str, finished: bool) -> None:
        stream = self.streams_by_id.get(generation_id)
        if stream is None:
            return
        index = len(stream.events) + 1
        choice = {"index": 0, "text": f"{generation_id}:{index} "}
        choice["finish_reason"] = "stop" if finished else None
        event = {"id": generation_id, "choices": [choice], "padding": stream.padding}
        body = json.dumps(event)
        stream.append(f"id: {index}\ndata: {body}\n\n".encode())
        if finished:
            stream.append(f"id: {index + 1}\ndata: [DONE]\n\n".encode(), True)

    def _remove_abandoned_streams(self) -> None:
        limit = time.monotonic() - STREAM_RETENTION_SECONDS
        for generation_id, stream in list(self.streams_by_id.items()):
            if stream.reader_count == 0 and 0 < stream.abandoned_at < limit:
                self._remove_generation(generation_id)

    def _remove_generation(self, generation_id: str) -> None:
        self.streams_by_id.pop(generation_id, None)
        engine_model.cancel_generation(self.model, generation_id)

    async def generate(self, request: web.Request) -> web.StreamResponse:
        """Start a generation and return it as one JSON body or as a stream."""
        if self.leaving:
            self.refused_count += 1
            return web.json_response({"error": "leaving"}, status=503)
        text = await request.text()
        if self.crash_text and self.crash_text in text:
            raise SystemExit(13)
        body = json.loads(text)
        prompt = body.get("messages", body.get("prompt"))
        prompt_text = json.dumps(prompt, separators=(",", ":"), ensure_ascii=False)
        hint = LENGTH_HINT.search(prompt_text)
        length = int(hint[1]) if hint else 1 + len(text) % 40
        generation_id = f"g-{uuid4().hex[:12]}"
        limit = body.get("max_completion_tokens") or body.get("max_tokens") or length
        self.started_count += 1
        stream = Stream(generation_id, bool(body.get("stream")))
        padding = PADDING_HINT.search(prompt_text)
        stream.padding = "x" * int(padding[1]) if padding else ""
        self.streams_by_id[generation_id] = stream
        engine_model.add_generation(
            self.model,
            generation_id,
            max(1, len(prompt_text) // 4),
            min(length, limit),
            int(body.get("priority", 0)),
            _prefix_blocks(prompt_text.encode()),
        )
        self._work_added.set()
        while self.silent:
            await asyncio.sleep(0.02)
        if stream.streamed:
            return await self._send_stream(request, stream, 0)
        return await self._send_json(request, stream)

    async def _send_json(
        self, request: web.Request, stream: Stream
    ) -> web.StreamResponse:
        try:
            while not stream.finished:
                await stream.changed.wait()
        except asyncio.CancelledError:
            self.cancelled_count += 1
            self._remove_generation(stream.generation_id)
            raise
        token_count = len(stream.events) - 1
        text = "".join(
            f"{stream.generation_id}:{index + 1} " for index in range(token_count)
        )
        answer = {
            "id": stream.generation_id,
            "choices": [{"index": 0, "text": text, "finish_reason": "stop"}],
            "usage": {"completion_tokens": token_count},
        }
        self._remove_generation(stream.generation_id)
        if self.answer_faults:
            fault = self.answer_faults.pop(0)
            await _send_faulty(request, stream.generation_id, answer, fault)
        headers = {"X-Generation-Id": stream.generation_id}
        return web.json_response(answer, headers=headers)

    async def _send_stream(
        self, request: web.Request, stream: Stream, sent: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Generation-Id": stream.generation_id,
            }
        )
        await response.prepare(request)
        stream.reader_count += 1
        try:
            while True:
                changed = stream.changed
                if sent < len(stream.events):
                    block = b"".join(stream.events[sent:])
                    sent = len(stream.events)
                    await response.write(block)
                if stream.finished and sent == len(stream.events):
                    break
                await changed.wait()
            await response.write_eof()
        finally:
            stream.reader_count -= 1
            stream.abandoned_at = time.monotonic()
        return response

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """Resume a stream after ``Last-Event-ID``."""
        stream = self.streams_by_id.get(request.match_info["id"])
        if stream is None:
            return web.json_response({"error": "unknown generation"}, status=404)
        last = int(request.headers.get("Last-Event-ID", "0"))
        return await self._send_stream(request, stream, last)

    async def cancel(self, request: web.Request) -> web.Response:
        """Stop a generation and free its memory."""
        generation_id = request.match_info["id"]
        if generation_id in self.streams_by_id:
            self.cancelled_count += 1
        self._remove_generation(generation_id)
        return web.json_response({"cancelled": generation_id})

    def _record_load(self) -> None:
        now = time.monotonic()
        model = self.model
        report = {
            "memory_capacity": model.limits.memory_tokens,
            "memory_used": model.counter.memory_used,
            "running": model.running_count,
            "running_limit": model.limits.running_limit,
            "waiting": len(model.waiting_by_id),
            "preemptions": model.counter.preemption_count,
            "role": self.ordered_state.role,
        }
        self.loads.append((now, report))
        while len(self.loads) > 1 and self.loads[1][0] <= now - self.load_lag_seconds:
            self.loads.pop(0)

    async def load(self, request: web.Request) -> web.Response:
        """Return the load as it was `load_lag_seconds` ago."""
        self._record_load()
        now = time.monotonic()
        taken_at, report = self.loads[0]
        age = min(now - taken_at, self.load_lag_seconds)
        return web.json_response(
            {
                **report,
                "age_seconds": age,
                "leaving": self.leaving,
                "uptime_seconds": now - self.started_at,
            }
        )

    async def cache_events(self, request: web.Request) -> web.Response:
        """Return cache events after a sequence number; every seventh one is lost."""
        since = int(request.query.get("since", "0"))
        events = [
            event._asdict()
            for event in self.model.cache_events[since:]
            if event.sequence % 7
        ]
        return web.json_response({"events": events})

    async def order(self, request: web.Request) -> web.Response:
        """Apply an order; if fencing is enforced, refuse an outdated fencing number."""
        order = await request.json()
        number = int(order.get("fencing_number", 0))
        if self.fencing_enforced and number < self.fencing_number:
            return web.json_response({"error": "old fencing number"}, status=409)
        self.fencing_number = max(number, self.fencing_number)
        self.orders.append({**order, "interrupted": self._interrupted_by(order)})
        self.ordered_state.apply(order["kind"], order["subject"])
        self._record_load()
        return web.json_response({"accepted": True})

    def _interrupted_by(self, order: dict[str, Any]) -> int:
        """Return how many generations an order interrupts."""
        if order["kind"] not in ("load_model", "unload_model"):
            return 0
        return self.model.running_count + len(self.model.waiting_by_id)

    async def list_orders(self, request: web.Request) -> web.Response:
        """Return the accepted orders."""
        return web.json_response({"orders": self.orders})

    async def order_state(self, request: web.Request) -> web.Response:
        """Return the state that orders change, and the load."""
        return web.json_response(
            {
                "models": sorted(self.ordered_state.models),
                "adapters": sorted(self.ordered_state.adapters),
                "role": self.ordered_state.role,
                "running": self.model.running_count,
                "waiting": len(self.model.waiting_by_id),
            }
        )

    async def inject(self, request: web.Request) -> web.Response:
        """Inject a fault.

        ``leaving``: refuse new generations; ``stall`` and ``unstall``: stop and resume
        decoding; ``silent`` and ``speak``: withhold and send responses to generations;
        ``forget``: drop all generations; ``answers``: faults of the next JSON
        responses, see `_send_faulty`; ``crash_on``: exit on a request that contains a
        text; ``fencing``: whether outdated fencing numbers are refused.
        """
        fault = request.match_info["fault"]
        body = await request.json() if request.can_read_body else {}
        if fault == "leaving":
            self.leaving = True
        elif fault in ("stall", "unstall"):
            self.stalled = fault == "stall"
        elif fault in ("silent", "speak"):
            self.silent = fault == "silent"
        elif fault == "forget":
            for generation_id in list(self.streams_by_id):
                self._remove_generation(generation_id)
        elif fault == "answers":
            self.answer_faults = list(body["faults"])
        elif fault == "crash_on":
            self.crash_text = body["text"]
        elif fault == "fencing":
            self.fencing_enforced = body["enforced"]
        else:
            raise web.HTTPNotFound
        return web.json_response({"fault": fault})

    async def state(self, request: web.Request) -> web.Response:
        """Return counters for assertions."""
        return web.json_response(
            {
                "started": self.started_count,
                "cancelled": self.cancelled_count,
                "refused": self.refused_count,
                "running": self.model.running_count,
                "waiting": len(self.model.waiting_by_id),
                "memory_used": self.model.counter.memory_used,
                "preemptions": self.model.counter.preemption_count,
            }
        )


async def _send_faulty(
    request: web.Request, generation_id: str, answer: dict[str, Any], fault: str
) -> None:
    """Write a faulty JSON response to the socket and close the connection.

    Bypasses aiohttp, which would not send these. ``cut``: truncated body;
    ``unframed``: truncated body without a ``Content-Length``; ``short_length``: too
    small a ``Content-Length``; ``invalid``: malformed JSON; ``foreign``: body of
    another generation; ``leftover``: followed by an unrequested second response.
    """
    transport = request.transport
    assert transport is not None
    body = json.dumps(answer).encode()
    other = json.dumps({**answer, "id": "g-other"}).encode()
    complete_response = _encode_response(generation_id, body, len(body))
    written = {
        "cut": complete_response[: -len(body) // 2],
        "unframed": _encode_response(generation_id, body, None)[: -len(body) // 2],
        "short_length": _encode_response(generation_id, body, len(body) - 5),
        "invalid": _encode_response(generation_id, body[:-2], len(body) - 2),
        "foreign": _encode_response(generation_id, other, len(other)),
        "leftover": complete_response,
    }
    transport.write(written[fault])
    if fault == "leftover":
        await asyncio.sleep(0.05)
        transport.write(_encode_response("g-other", other, len(other)))
        await asyncio.sleep(STREAM_RETENTION_SECONDS)
    transport.close()


def _encode_response(generation_id: str, body: bytes, length: int | None) -> bytes:
    head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    head += f"X-Generation-Id: {generation_id}\r\n"
    head += f"Content-Length: {length}\r\n" if length is not None else ""
    return head.encode() + b"\r\n" + body


def _prefix_blocks(text: bytes, limit: int = 16) -> tuple[str, ...]:
    blocks: list[str] = []
    chained_hash = b""
    for index in range(min(limit, len(text) // PREFIX_BLOCK_BYTES)):
        block = text[index * PREFIX_BLOCK_BYTES : (index + 1) * PREFIX_BLOCK_BYTES]
        chained_hash = sha256(chained_hash + block).digest()[:8]
        blocks.append(chained_hash.hex())
    return tuple(blocks)


def main() -> None:
    """Run one engine."""
    parser = new_parser(__doc__)
    parser.add_argument("--memory-tokens", type=int, default=60_000)
    parser.add_argument("--running-limit", type=int, default=64)
    parser.add_argument("--step-seconds", type=float, default=0.012)
    parser.add_argument("--load-lag-seconds", type=float, default=0.2)
    arguments = parser.parse_args()
    limits = EngineLimits(
        memory_tokens=arguments.memory_tokens,
        running_limit=arguments.running_limit,
        step_seconds=arguments.step_seconds,
    )
    engine = FakeEngine(limits, arguments.load_lag_seconds)
    serve(engine.application(), arguments.port)


if __name__ == "__main__":
    main()
