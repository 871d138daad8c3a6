"""Processor time and memory of one entry: tokens, whole answers, refusals.

The load comes from processes of its own, so that only the entry is measured: a paced
engine that sends every stream one token each 35 ms, and callers that discard them.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import re
import time
from typing import Any

import uvloop

from experiments._processes import cpu_seconds, resident_bytes
from fakes.processes import ACCOUNT_TOKENS, Fleet, call, token_hash

INTERVAL_SECONDS = 0.035
# Callers that arrive together while the scheduler settles would exceed the queue limit
# of their account, which is 500.
CALLER_INTERVAL_SECONDS = 0.005
SETTINGS = "[limits]\nopen_requests = 4000\n[streams]\nstall_timeout_seconds = 30.0\n"
AUTHORIZATION = f"Authorization: Bearer {ACCOUNT_TOKENS['hotel']}\r\n"
QUEUED_TOKEN = "queued-token"
WHOLE = json.dumps(
    {"id": "g-1", "choices": [{"text": "a"}], "usage": {"completion_tokens": 1}}
).encode()


class PacedEngine(asyncio.Protocol):
    """One connection of an engine that paces its streams by a shared timer."""

    def __init__(self, streams: list[PacedEngine], running_limit: int) -> None:
        self.streams, self.running_limit = streams, running_limit
        self.sequence = 0
        self.received = b""

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer a request as soon as it is complete."""
        self.received += data
        head, _, body = self.received.partition(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: (\d+)", head)
        if not head or (length and len(body) < int(length[1])):
            return
        self.received = b""
        self.transport.write(self.answer(head, body))

    def answer(self, head: bytes, body: bytes) -> bytes:
        """Return the bytes of an answer and start a stream if one is asked for."""
        if b'"stream":true' in body.replace(b" ", b""):
            self.streams.append(self)
            return (
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                b"X-Generation-Id: g-1\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
        if head.startswith(b"GET /load"):
            body = json.dumps(
                {
                    "memory_capacity": 10**9,
                    "memory_used": 0,
                    "running": 0,
                    "running_limit": self.running_limit,
                    "waiting": 0,
                    "preemptions": 0,
                    "age_seconds": 0.0,
                    "leaving": False,
                }
            ).encode()
        elif head.startswith(b"POST"):
            body = WHOLE
        else:
            body = b'{"events": []}'
        return (
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        )

    def send_token(self) -> None:
        """Send the next token."""
        self.sequence += 1
        event = (
            b'id: %d\ndata: {"id":"g-1","choices":[{"index":0,"text":"word ",'
            b'"finish_reason":null}]}\n\n' % self.sequence
        )
        self.transport.write(b"%x\r\n%b\r\n" % (len(event), event))

    def connection_lost(self, error: Exception | None) -> None:
        """Stop the stream."""
        if self in self.streams:
            self.streams.remove(self)


def run_engine(port: int, running_limit: int = 4000) -> None:
    """Serve a paced engine; tokens of the streams are spread over the interval."""

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        streams: list[PacedEngine] = []
        await loop.create_server(
            lambda: PacedEngine(streams, running_limit), "127.0.0.1", port
        )
        slots, slot = 35, 0
        next_at = loop.time()
        while True:
            for stream in streams[slot % slots :: slots]:
                if not stream.transport.is_closing():
                    stream.send_token()
            slot += 1
            next_at += INTERVAL_SECONDS / slots
            await asyncio.sleep(max(0.0, next_at - loop.time()))

    uvloop.run(serve())


class DiscardingCaller(asyncio.Protocol):
    """Sends one request and counts the events of its answer."""

    def __init__(self, request: bytes, counts: list[int]) -> None:
        self.request, self.counts = request, counts
        self.has_stream = False

    def connection_made(self, transport: Any) -> None:
        """Send the request."""
        transport.write(self.request)

    def data_received(self, data: bytes) -> None:
        """Count events and callers whose stream has begun."""
        self.counts[0] += data.count(b"\ndata: ")
        if not self.has_stream and b"\ndata: " in data:
            self.has_stream = True
            self.counts[1] += 1


def run_callers(
    port: int, count: int, connection: Any, request: bytes | None = None
) -> None:
    """Hold streams open and answer each message with the counts so far.

    The counts are those of received events and of streams that have begun.
    """

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        counts = [0, 0]
        body = {"model": "quotes", "prompt": "a", "stream": True}
        sent = request or encode_completion_request(body)
        for _ in range(count):
            await loop.create_connection(
                lambda: DiscardingCaller(sent, counts), "127.0.0.1", port
            )
            await asyncio.sleep(CALLER_INTERVAL_SECONDS)
        while await loop.run_in_executor(None, connection.recv):
            connection.send(tuple(counts))

    uvloop.run(serve())


def encode_completion_request(body: Any, authorization: str = AUTHORIZATION) -> bytes:
    """Return the bytes of a call."""
    data = json.dumps(body).encode()
    head = f"POST /v1/completions HTTP/1.1\r\nHost: a\r\n{authorization}"
    head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    return head.encode() + data


def run_requests(port: int, request: bytes, count: int, connection: Any) -> None:
    """Send requests one after the other over four connections each kept open."""

    async def send(share: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for _ in range(share):
            writer.write(request)
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"(?i)content-length: (\d+)", head)
            assert length is not None
            await reader.readexactly(int(length[1]))
        writer.close()

    async def serve() -> None:
        await asyncio.gather(*(send(count // 4) for _ in range(4)))

    uvloop.run(serve())
    connection.send(count)


class CopyingSide(asyncio.Protocol):
    """One side of a relay that copies bytes and checks nothing: the lower bound."""

    def __init__(self, engine_port: int, peer: CopyingSide | None = None) -> None:
        self.engine_port, self.peer = engine_port, peer
        self.transport: Any = None
        self.waiting = b""

    def connection_made(self, transport: Any) -> None:
        """Connect to the engine if this is the caller's side."""
        self.transport = transport
        if self.peer is None:
            asyncio.get_running_loop().create_task(self.connect())
        else:
            transport.write(self.peer.waiting)

    async def connect(self) -> None:
        """Open the engine's side."""
        loop = asyncio.get_running_loop()
        peer = self.peer = CopyingSide(self.engine_port, self)
        await loop.create_connection(lambda: peer, "127.0.0.1", self.engine_port)

    def data_received(self, data: bytes) -> None:
        """Copy bytes to the other side."""
        if self.peer is not None and self.peer.transport is not None:
            if not self.peer.transport.is_closing():
                self.peer.transport.write(data)
        else:
            self.waiting += data


def run_copy(port: int, engine_port: int) -> None:
    """Serve the copying relay."""

    async def serve() -> None:
        server = await asyncio.get_running_loop().create_server(
            lambda: CopyingSide(engine_port), "127.0.0.1", port, backlog=1024
        )
        await server.serve_forever()

    uvloop.run(serve())


class MeasuredEntry:
    """One entry process with a paced engine."""

    def __init__(self, copy_only: bool = False) -> None:
        self.fleet = Fleet(SETTINGS)
        self.fleet.start_platform()
        self.fleet.put_defaults()
        port = self.fleet.ports_by_name["engine-1"] = self.fleet.reserve_port()
        self.engine = multiprocessing.Process(target=run_engine, args=(port,))
        self.engine.start()
        self.copy: multiprocessing.Process | None = None
        if copy_only:
            self.port = self.fleet.reserve_port()
            self.copy = multiprocessing.Process(target=run_copy, args=(self.port, port))
            self.copy.start()
            assert self.copy.pid is not None
            self.pid: int = self.copy.pid
            time.sleep(1.0)
            return
        self.fleet.add_vm_to_list("engine-1", "engine", {"model": "quotes"}, "a")
        self.add_full_engine()
        self.fleet.start_entry("entry-1")
        # The first load report tells the scheduler the engine's running limit.
        time.sleep(3.0)
        self.port = self.fleet.ports_by_name["entry-1"]
        self.pid = self.fleet.processes_by_name["entry-1"].pid

    def add_full_engine(self) -> None:
        """Add an engine for one generation and an account that may queue one call."""
        port = self.fleet.ports_by_name["engine-2"] = self.fleet.reserve_port()
        self.full_engine = multiprocessing.Process(target=run_engine, args=(port, 1))
        self.full_engine.start()
        self.fleet.add_vm_to_list("engine-2", "engine", {"model": "full"}, "a")
        self.fleet.put_object("serving_group", "full", {"selector": {"model": "full"}})
        binding = {
            "group": "full",
            "rank": "patient",
            "request_selector": {"model": "full"},
            "precedence": 30,
        }
        self.fleet.put_object("binding", "full", binding)
        account = {
            "token_sha256s": [token_hash(QUEUED_TOKEN)],
            "queue_limit": 1,
        }
        self.fleet.put_object("client_account", "queued", account)

    def measure_full_queue(self, count: int) -> dict[str, Any]:
        """Return the cost of a refusal because of a full queue, and its result code."""
        authorization = f"Authorization: Bearer {QUEUED_TOKEN}\r\n"
        body = {"model": "full", "prompt": "a", "stream": True}
        request = encode_completion_request(body, authorization)
        ours, theirs = multiprocessing.Pipe()
        callers = multiprocessing.Process(
            target=run_callers, args=(self.port, 2, theirs, request)
        )
        callers.start()
        time.sleep(3.0)
        url = self.fleet.url("entry-1") + "/v1/completions"
        name, _, value = authorization.strip().partition(": ")
        headers = {name: value, "Content-Type": "application/json"}
        _, answer, _ = call("POST", url, body, headers)
        cost = self.measure_requests(request, count)
        callers.kill()
        callers.join()
        code = json.loads(answer)["error"]["name"]
        return {"full_queue_microseconds": cost, "full_queue_code": code}

    def entry_cpu_seconds(self) -> float:
        """Return user and system time of the entry so far."""
        return cpu_seconds(self.pid)

    def resident_megabytes(self) -> float:
        """Return the resident memory of the entry."""
        return resident_bytes(self.pid) / 2**20

    def idle_share(self, seconds: float) -> float:
        """Return the share of a core that the entry uses without calls."""
        before = self.entry_cpu_seconds()
        time.sleep(seconds)
        return (self.entry_cpu_seconds() - before) / seconds

    def measure_streams(self, count: int, seconds: float) -> dict[str, float]:
        """Return the cost of each token with ``count`` streams."""
        ours, theirs = multiprocessing.Pipe()
        callers = multiprocessing.Process(
            target=run_callers, args=(self.port, count, theirs)
        )
        callers.start()
        time.sleep(4.0 + 1.6 * CALLER_INTERVAL_SECONDS * count)
        ours.send(True)
        (tokens_before, _), before = ours.recv(), self.entry_cpu_seconds()
        started_at = time.monotonic()
        time.sleep(seconds)
        ours.send(True)
        tokens_after, begun = ours.recv()
        tokens, used = tokens_after - tokens_before, self.entry_cpu_seconds() - before
        elapsed = time.monotonic() - started_at
        megabytes = self.resident_megabytes()
        callers.kill()
        callers.join()
        time.sleep(2.0)
        return {
            "streams": begun,
            "tokens_per_second": round(tokens / elapsed),
            "microseconds_per_token": round(1e6 * used / max(1, tokens), 1),
            "core_share": round(used / elapsed, 2),
            "resident_megabytes": round(megabytes, 1),
        }

    def measure_requests(self, request: bytes, count: int) -> float:
        """Return microseconds of processor time for each request."""
        ours, theirs = multiprocessing.Pipe()
        before = self.entry_cpu_seconds()
        process = multiprocessing.Process(
            target=run_requests, args=(self.port, request, count, theirs)
        )
        process.start()
        ours.recv()
        process.join()
        return round(1e6 * (self.entry_cpu_seconds() - before) / count, 1)

    def stop(self) -> None:
        """End the processes."""
        if self.copy is not None:
            self.copy.kill()
            self.copy.join()
        else:
            self.full_engine.kill()
            self.full_engine.join()
        self.engine.kill()
        self.engine.join()
        self.fleet.stop()


def main() -> None:
    """Measure and print one JSON line for each figure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, nargs="*", default=[50, 1000])
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--requests", type=int, default=4000)
    parser.add_argument(
        "--copy", action="store_true", help="measure a relay that only copies bytes"
    )
    arguments = parser.parse_args()
    entry = MeasuredEntry(arguments.copy)
    try:
        idle = {
            "idle_megabytes": round(entry.resident_megabytes(), 1),
            "idle_core_share": round(entry.idle_share(3.0), 4),
        }
        print(json.dumps(idle), flush=True)
        for count in arguments.streams:
            figures = entry.measure_streams(count, arguments.seconds)
            print(json.dumps(figures), flush=True)
        if arguments.requests and not arguments.copy:
            whole = encode_completion_request({"model": "quotes", "prompt": "a"})
            unknown = encode_completion_request({"model": "quotes", "prompt": "a"}, "")
            costs: dict[str, Any] = {
                "whole_answer_microseconds": entry.measure_requests(
                    whole, arguments.requests
                ),
                "unknown_account_microseconds": entry.measure_requests(
                    unknown, arguments.requests
                ),
            }
            costs.update(entry.measure_full_queue(arguments.requests))
            url = entry.fleet.url("entry-1")
            status, _, _ = call("GET", url + "/healthz")
            print(json.dumps({**costs, "health_status": status}), flush=True)
    finally:
        entry.stop()


if __name__ == "__main__":
    main()
