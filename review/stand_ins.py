"""Stand-ins for the scripts of this review: platform store, servers, clients, entries.

Everything but the entries runs in the process of the script, on loopback addresses and
the real clock, with the standard library only. The entries are separate processes, with
the command of the deploy file and settings rendered from its template. The stand-ins
follow ``PROTOCOL.md``, ``DEPLOY.md`` and the letters of the users.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from fakes.platform_template import render  # noqa: E402

HOST = "shop.example"
KEY = "key-of-hotel"
TENANT = "hotel"
MODEL_SERVICE, PLAIN_SERVICE = "lm-quote", "spares-app"
OBJECTS = "/carawayhitch/objects/"
ZONES = {"cairo-a": "cairo", "cairo-b": "cairo", "cairo-c": "cairo"}
# Bounds and limits of prism-hub, as DEPLOY.md shows them.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configMs": 2000,
    "downgradeMs": 250,
    "stretchMaxMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "retrySlack": 113,
    "recoveryS": 12,
    "passMs": 120,
    "reuseWindowS": 5.3,
}
LIMITS = {
    "cpuShare": 0.731,
    "cores": 1,
    "memoryMb": 136,
    "maxFds": 1535,
    "linkMbps": 350.0,
    "diskMb": 0,
}
READY_SECONDS = 30.0

Headers = dict[str, str]


class Request(NamedTuple):
    """A request as it was read from a connection; header names are in lower case."""

    method: str
    path: str
    headers: Headers
    body: bytes


class Connection(NamedTuple):
    """Both directions of a connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Response(NamedTuple):
    """What a client received.

    Parameters
    ----------
    status : int
        0 if the connection ended before a status line.
    complete : bool
        Whether the framing says that the response is whole.
    """

    status: int
    headers: Headers
    body: bytes
    complete: bool
    seconds: float


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Read a start line and headers; raise IncompleteReadError at the end."""
    data = await reader.readuntil(b"\r\n\r\n")
    start, *lines = data.decode("latin-1").split("\r\n")
    headers: Headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return start, headers


async def read_chunks(reader: asyncio.StreamReader, body: bytearray) -> None:
    """Append a chunked body; raise IncompleteReadError if it is cut off."""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, or None at its end."""
    try:
        start, headers = await read_head(reader)
        method, path, _ = start.split(" ")
        body = bytearray()
        if headers.get("transfer-encoding", "") == "chunked":
            await read_chunks(reader, body)
        elif length := int(headers.get("content-length", "0")):
            body += await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return None
    return Request(method, path, headers, bytes(body))


def encode_response(
    status: int, body: bytes = b"", headers: Headers | None = None
) -> bytes:
    """Return a response with a length."""
    sent = {"Content-Length": str(len(body)), **(headers or {})}
    lines = "".join(f"{name}: {value}\r\n" for name, value in sent.items())
    return f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode() + body


def encode_json(status: int, body: Any, more: Headers | None = None) -> bytes:
    """Return a response with a JSON body."""
    headers = {"Content-Type": "application/json", **(more or {})}
    return encode_response(status, json.dumps(body).encode(), headers)


Handle = Callable[[Request, Connection], Awaitable[bool]]


class Listener:
    """A TCP listener whose requests go to a function.

    Parameters
    ----------
    handle : callable
        Answers one request; returns whether the connection may be used again.
    """

    def __init__(self, address: str, handle: Handle) -> None:
        self.host = address
        self.handle = handle
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """``IP:PORT``."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen on a free port, or on the earlier one after a stop."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the listener and reset its connections, as the end of a process."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.handle(request, Connection(reader, writer)):
                    break
                await writer.drain()
        except OSError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Change(NamedTuple):
    """One change of the store; the object as it was, if it was deleted."""

    at: float
    revision: int
    kind: str
    name: str
    stored: dict[str, Any]
    deleted: bool


class Store:
    """The platform's store: objects by kind and name under one revision.

    Parameters
    ----------
    stale_seconds : float
        Age of the data that calls with ``serializable`` get.
    """

    def __init__(self, address: str) -> None:
        self.listener = Listener(address, self.handle)
        self.stale_seconds = 0.0
        self.changes: list[Change] = []
        self.revision = 1

    def _view(self, age: float) -> tuple[int, list[Change]]:
        """Return the revision and the changes as they were some seconds ago."""
        moment = time.monotonic() - age
        seen = [change for change in self.changes if change.at <= moment]
        return (seen[-1].revision if seen else 1), seen

    def _objects(self, kind: str, age: float) -> dict[str, dict[str, Any]]:
        objects: dict[str, dict[str, Any]] = {}
        for change in self._view(age)[1]:
            if change.kind == kind:
                objects.pop(change.name, None)
                if not change.deleted:
                    objects[change.name] = change.stored
        return objects

    def write(
        self, kind: str, name: str, spec: Any, deleted: bool = False
    ) -> dict[str, Any]:
        """Create, replace or delete an object; return it."""
        known = self._objects(kind, 0.0).get(name)
        if known is not None and not deleted and known["spec"] == spec:
            return known
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": known["metadata"]["created"] if known else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self.changes.append(
            Change(time.monotonic(), self.revision, kind, name, stored, deleted)
        )
        return stored

    async def handle(self, request: Request, connection: Connection) -> bool:
        """Answer one call."""
        path, _, query_text = request.path.partition("?")
        query = dict(part.split("=", 1) for part in query_text.split("&") if part)
        kind, _, name = path.removeprefix(OBJECTS).partition("/")
        age = self.stale_seconds if query.get("serializable") == "1" else 0.0
        if request.method == "GET":
            if "watch" in query:
                answer = await self._watch(kind, query, age)
            else:
                answer = self._read(kind, name, query, age)
        else:
            answer = self._change(request, kind, name)
        connection.writer.write(answer)
        return True

    def _read(self, kind: str, name: str, query: Headers, age: float) -> bytes:
        objects = self._objects(kind, age)
        if name:
            known = objects.get(name)
            return encode_json(200, known) if known else encode_json(404, {})
        names = sorted(key for key in objects if key > query.get("after", ""))
        page = names[:500]
        return encode_json(
            200,
            {
                "items": [objects[key] for key in page],
                "hasMore": len(page) < len(names),
                "at": self._view(age)[0],
            },
        )

    async def _watch(self, kind: str, query: Headers, age: float) -> bytes:
        since, wait = int(query["watch"]), int(query["waitMs"]) / 1000
        deadline = time.monotonic() + min(wait, 30.0)
        while True:
            revision, seen = self._view(age)
            events = [
                {"object": change.stored, "deleted": change.deleted}
                for change in seen
                if change.kind == kind and change.revision > since
            ]
            if events or time.monotonic() >= deadline:
                return encode_json(200, {"events": events, "at": max(since, revision)})
            await asyncio.sleep(0.004)

    def _change(self, request: Request, kind: str, name: str) -> bytes:
        body = json.loads(request.body or b"{}")
        name = name or body["metadata"]["name"]
        known = self._objects(kind, 0.0).get(name)
        if request.method == "POST" and known is not None:
            return encode_json(409, known)
        if request.method != "POST" and known is None:
            return encode_json(404, {})
        expected = body.get("metadata", {}).get("revision")
        if known and expected and expected != known["metadata"]["revision"]:
            return encode_json(409, known)
        deleted = request.method == "DELETE"
        return encode_json(200, self.write(kind, name, body.get("spec"), deleted))


class Run(NamedTuple):
    """A request that a server began to work on."""

    at: float
    request_id: str
    path: str
    continued: bool


class Generation:
    """A running generation: the events it has made and whether it was stopped."""

    def __init__(self, made: int, total: int) -> None:
        self.made = made
        self.total = total
        self.stopped = False


class Server:
    """A server of the platform: plain service or model engine.

    A path that ends in ``?events=N`` gets a stream of N events. A stream has neither a
    length nor chunks if `unframed` is set, and then ends with its connection.
    """

    def __init__(
        self,
        store: Store,
        address: str,
        name: str,
        service: str,
        record: Callable[[str], None],
        event_seconds: float = 0.05,
        work_seconds: float = 0.045,
    ) -> None:
        self.store = store
        self.name = name
        self.service = service
        self.record = record
        self.event_seconds = event_seconds
        self.work_seconds = work_seconds
        self.first_seconds = 0.0
        self.listener = Listener(address, self.handle)
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.leaves_at = 0.0
        self.draining_at = 0.0
        self.unframed = False
        self.slots = 24
        self.runs: list[Run] = []
        self.generations: dict[str, Generation] = {}
        self.copies: dict[str, tuple[int, int]] = {}
        self.servers_by_address: dict[str, Server] = {}
        self.cut_head_of: set[str] = set()
        self.zone = "cairo-a"

    async def start(self) -> None:
        """Listen and register."""
        await self.listener.start()
        self.register()

    def register(self) -> None:
        """Write the entry of this server to the store."""
        spec: dict[str, Any] = {
            "service": self.service,
            "address": self.listener.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": 1,
            "born": self.born,
        }
        if self.service == MODEL_SERVICE:
            spec["stage"] = "colocated"
            spec["models"] = [{"name": "m", "version": 1, "adapters": []}]
        self.store.write("servers", self.name, spec)

    def drain(self, seconds: float) -> None:
        """Report ``draining``; the server ends after the given time."""
        self.state = "draining"
        self.draining_at = time.monotonic()
        self.leaves_at = self.draining_at + seconds
        self.register()
        self.record(f"{self.name} reports draining; the store has accepted it")

    def end(self) -> None:
        """End as a process does and remove the entry."""
        self.record(f"{self.name} ends")
        self.listener.stop()
        self.store.write("servers", self.name, None, deleted=True)

    async def handle(self, request: Request, connection: Connection) -> bool:
        """Answer one request."""
        path = request.path.partition("?")[0]
        if path == "/health":
            healthy = self.state == "ready"
            headers = {"Carawayhitch-Instance-Id": self.name}
            answer = encode_response(200 if healthy else 503, b"", headers)
        elif path == "/carawayhitch/report":
            answer = encode_json(200, self._report(), self._leaving_headers())
        elif path == "/carawayhitch/kv-move":
            answer = await self._move(json.loads(request.body))
        elif path.startswith("/carawayhitch/kv-handle/"):
            self.copies.pop(path.rpartition("/")[2], None)
            answer = encode_json(200, {}, self._leaving_headers())
        else:
            return await self._serve(request, connection)
        connection.writer.write(answer)
        return True

    def _report(self) -> dict[str, Any]:
        body: dict[str, Any] = {
            "stage": "colocated",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 1,
            "queued": 0,
            "active": len(self.generations),
            "kvUsed": 100 * len(self.generations),
            "kvTotal": 34326,
            "handles": len(self.copies),
            "state": self.state,
            "born": self.born,
            "nextToken": 0,
            "runs": [],
        }
        if self.leaves_at:
            body["leaves_ms"] = int((self.leaves_at - time.monotonic()) * 1000)
        return body

    async def _move(self, body: dict[str, Any]) -> bytes:
        generation = self.generations.get(body["id"])
        if generation is None:
            return encode_json(404, {}, self._leaving_headers())
        if body.get("last"):
            # The run stops first, and its stream is closed without its end.
            generation.stopped = True
        await asyncio.sleep(0.05)
        handle = f"h{len(self.runs)}-{body['id']}-{int(bool(body.get('last')))}"
        target = self.servers_by_address[body["target"]]
        target.copies[handle] = (generation.made, generation.total)
        answer = {"handle": handle, "created": generation.made}
        return encode_json(200, answer, self._leaving_headers())

    def _headers(self, request: Request) -> Headers:
        headers = {
            "Carawayhitch-Request-Id": request.headers["carawayhitch-request-id"],
            "Carawayhitch-Server-Seal": f"seal-of-{self.name}",
        }
        return headers | self._leaving_headers()

    def _leaving_headers(self) -> Headers:
        """Return what a server that leaves says in all its answers."""
        return {"Server-Leaving": "1"} if self.state == "draining" else {}

    async def _serve(self, request: Request, connection: Connection) -> bool:
        request_id = request.headers.get("carawayhitch-request-id", "")
        expected = request.headers.get("carawayhitch-expect-instance", self.name)
        if expected != self.name:
            headers = {"Carawayhitch-Instance-Id": self.name}
            connection.writer.write(encode_response(421, b"", headers))
            return True
        source = request.headers.get("kv-from", "")
        copied = self.copies.pop(source.rpartition("/")[2], None) if source else None
        if source and copied is None:
            headers = {"Carawayhitch-Not-Executed": "1"}
            connection.writer.write(encode_response(503, b"", headers))
            return True
        run = Run(time.monotonic(), request_id, request.path, bool(source))
        self.runs.append(run)
        since = f", {run.at - self.draining_at:.2f} s after" if self.draining_at else ""
        going_on = " (goes on)" if source else ""
        self.record(f"{self.name} runs {request_id}{going_on}{since}")
        total = request.path.partition("?events=")[2]
        if total:
            return await self._stream(request, connection, int(total))
        await asyncio.sleep(self.work_seconds)
        connection.writer.write(encode_response(200, b"answer", self._headers(request)))
        return True

    async def _stream(
        self, request: Request, connection: Connection, total: int
    ) -> bool:
        request_id = request.headers["carawayhitch-request-id"]
        made = int(request.headers.get("last-event-id", "0"))
        generation = self.generations[request_id] = Generation(made, total)
        headers = {**self._headers(request), "Content-Type": "text/event-stream"}
        headers |= (
            {"Connection": "close"}
            if self.unframed
            else {"Transfer-Encoding": "chunked"}
        )
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer = connection.writer
        try:
            # A request starts to run with its first token.
            await asyncio.sleep(self.first_seconds)
            writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
            while generation.made < generation.total:
                await asyncio.sleep(self.event_seconds)
                if generation.stopped or writer.is_closing():
                    return False
                generation.made += 1
                text = f"id: {generation.made}\ndata: {self.name} {request_id}\n\n"
                event = text.encode()
                if not self.unframed:
                    event = b"%x\r\n%b\r\n" % (len(event), event)
                writer.write(event)
                await writer.drain()
            if not self.unframed:
                writer.write(b"0\r\n\r\n")
            return not self.unframed
        finally:
            self.generations.pop(request_id, None)


class Entry:
    """One machine of the system with its process, started as the deploy file says."""

    def __init__(self, case: Case, index: int, zone: str) -> None:
        self.case = case
        self.name = f"frontend-{zone}-{index}"
        self.ip = f"{case.network}.{10 + index}"
        self.zone = zone
        self.ports = [free_port(self.ip) for _ in range(3)]
        self.process: subprocess.Popen[bytes] | None = None
        self.log_path = case.folder / f"{self.name}.log"
        self.starts = 0

    @property
    def address(self) -> str:
        """Address for clients."""
        return f"{self.ip}:{self.ports[0]}"

    @property
    def metrics(self) -> str:
        """Address of metrics and status."""
        return f"{self.ip}:9109"

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        system = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = system["roles"]["entry"]
        fields = {
            "nodeName": self.name,
            "role": "entry",
            "machineClass": "frontend",
            "serves": ["frontend"],
            "ip": self.ip,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "zones": ZONES,
            "bind": {
                "frontend": self.address,
                "readiness": f"{self.ip}:{self.ports[1]}",
            },
            "internalPorts": [self.ports[2], self.ports[2]],
            "seeds": [],
            "bootstrap": True,
            "lossCounts": False,
            "limits": LIMITS,
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "bounds": BOUNDS,
            "platform": {
                "address": self.case.store.listener.address,
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }
        settings = self.case.folder / f"{self.name}.toml"
        settings.write_text(render((ROOT / role["template"]).read_text(), fields))
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        program, *arguments = role["run"].split()
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable if program == "python3" else program, *arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **kept,
                    **role.get("env", {}),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "CARAWAYHITCH_SETTINGS": str(settings),
                },
            )
        self.starts += 1

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)
        self.case.record(f"{self.name} gets {number.name}")

    def kill(self) -> None:
        """End the process and wait for it."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, signal.SIGKILL)
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the readiness address answers 200."""
        address = f"{self.ip}:{self.ports[1]}"
        path = "/carawayhitch/readiness"
        return (await fetch(address, "GET", path, {}, timeout=2.0)).status == 200

    async def status(self) -> dict[str, Any]:
        """Return the status that the process reports at its metrics address."""
        answer = await fetch(self.metrics, "GET", "/status", {}, timeout=2.0)
        return json.loads(answer.body) if answer.status == 200 else {}

    def resident_mb(self) -> float:
        """Return the resident memory of the process in MB."""
        assert self.process is not None
        try:
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        except OSError:
            return 0.0
        sizes = [line.split()[1] for line in lines if line.startswith("VmRSS:")]
        return int(sizes[0]) / 1024 if sizes else 0.0


def free_port(ip: str) -> int:
    """Return a port that is free on an address for TCP and UDP."""
    while True:
        with socket.socket() as tcp:
            tcp.bind((ip, 0))
            port = tcp.getsockname()[1]
            with socket.socket(type=socket.SOCK_DGRAM) as udp:
                try:
                    udp.bind((ip, port))
                except OSError:
                    continue
                return port


async def open_connection(address: str) -> Connection:
    """Connect to ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    return Connection(*await asyncio.open_connection(host, int(port), limit=1 << 20))


def encode_request(method: str, path: str, headers: Headers, body: bytes) -> bytes:
    """Return a request with a length, if it has a body."""
    sent = {"Host": HOST, **headers}
    if body or method == "POST":
        sent["Content-Length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in sent.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


async def exchange(connection: Connection, request: bytes, timeout: float) -> Response:
    """Send a request on a connection and read its response."""
    started_at = time.monotonic()
    status, headers, body, complete = 0, {}, bytearray(), False

    async def read() -> None:
        nonlocal status, headers, complete
        connection.writer.write(request)
        await connection.writer.drain()
        start, headers = await read_head(connection.reader)
        status = int(start.split(" ")[1])
        if headers.get("transfer-encoding") == "chunked":
            await read_chunks(connection.reader, body)
        else:
            length = int(headers.get("content-length", "0"))
            while len(body) < length:
                data = await connection.reader.read(length - len(body))
                if not data:
                    return
                body.extend(data)
        complete = True

    try:
        await asyncio.wait_for(read(), timeout)
    except (TimeoutError, asyncio.IncompleteReadError, OSError):
        complete = False
    seconds = time.monotonic() - started_at
    return Response(status, headers, bytes(body), complete, seconds)


async def fetch(
    address: str,
    method: str,
    path: str,
    headers: Headers,
    body: bytes = b"",
    timeout: float = 30.0,
) -> Response:
    """Make a call on a new connection."""
    try:
        connection = await open_connection(address)
    except OSError:
        return Response(0, {}, b"", False, 0.0)
    try:
        request = encode_request(method, path, headers, body)
        return await exchange(connection, request, timeout)
    finally:
        connection.writer.close()


def event_ids(body: bytes) -> list[int]:
    """Return the ids of the whole events of a stream."""
    whole = body.decode().rpartition("\n\n")[0]
    return [int(line[4:]) for line in whole.split("\n") if line.startswith("id: ")]


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "priority": 2,
        "maxAttempts": 1,
        "public": False,
        **fields,
    }


ROUTES = (
    route("hold", "unsafe", PLAIN_SERVICE, timeoutMs=1000, goalMs=150),
    route("look", "safe", PLAIN_SERVICE, timeoutMs=1000, goalMs=150, maxAttempts=2),
    route(
        "draft",
        "streaming",
        MODEL_SERVICE,
        timeoutMs=39000,
        goalMs=4000,
        gapGoalMs=180,
        sticky=True,
        resumable=False,
    ),
    route(
        "ask",
        "streaming",
        MODEL_SERVICE,
        timeoutMs=6000,
        goalMs=1500,
        gapGoalMs=180,
        sticky=True,
        resumable=True,
        maxAttempts=2,
        priority=0,
    ),
)


class Case:
    """One play of a case: store, servers, entries and the record.

    Parameters
    ----------
    folder : Path
        Folder of the case, in which ``record.txt`` is written.
    """

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started_at = time.monotonic()
        self.record_file = (folder / "record.txt").open("w", buffering=1)
        self.folder_holder = tempfile.TemporaryDirectory()
        self.folder = Path(self.folder_holder.name)
        pid = os.getpid()
        self.network = f"127.{100 + pid % 100}.{pid // 100 % 250}"
        self.store = Store(f"{self.network}.1")
        self.engine_figures: dict[str, Any] = {}
        self.servers: list[Server] = []
        self.entries: list[Entry] = []
        self.version = 0
        self.request_count = 0
        self.record(f"trouble: {'on' if self.trouble else 'off'}")

    def record(self, text: str) -> None:
        """Write a line to the record."""
        elapsed = time.monotonic() - self.started_at
        self.record_file.write(f"{elapsed:8.3f} s  {text}\n")

    def configure(self, routes: tuple[dict[str, Any], ...] = ROUTES) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        figures = {
            "slots": 24,
            "kvCapacityTokens": 34326,
            "kvTokenBytes": 96256,
            "linkMbps": 14000.0,
            "moves": True,
            "backups": True,
            "stride": 4,
            "handleS": 5.0,
            "models": [{"name": "m"}],
            **self.engine_figures,
        }
        spec = {
            "version": self.version,
            "routes": list(routes),
            "services": [
                {
                    "name": MODEL_SERVICE,
                    "healthPath": "/health",
                    "maxConns": 503,
                    "engine": figures,
                },
                {"name": PLAIN_SERVICE, "healthPath": "/health", "maxConns": 208},
            ],
            "limits": {
                "headerBytes": 16384,
                "bodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
        }
        self.store.write("config", "main", spec)

    async def start(
        self, zones: list[str], services: list[str], event_seconds: float = 0.05
    ) -> None:
        """Start the store, the servers and the entries; wait until all are ready."""
        await self.store.listener.start()
        self.configure()
        for service in services:
            await self.add_server(service, event_seconds)
        self.entries = [Entry(self, index, zone) for index, zone in enumerate(zones)]
        for entry in self.entries:
            entry.start()
        await self.wait_ready()

    async def add_server(
        self, service: str, event_seconds: float = 0.05, zone: str = "cairo-a"
    ) -> Server:
        """Start a further server and register it."""
        index = len(self.servers)
        server = Server(
            self.store,
            f"{self.network}.{100 + index}",
            f"i-{index:02d}",
            service,
            self.record,
            event_seconds,
        )
        server.zone = zone
        self.servers.append(server)
        await server.start()
        addresses = {one.listener.address: one for one in self.servers}
        for known in self.servers:
            known.servers_by_address = addresses
        return server

    async def wait_ready(self) -> None:
        """Wait until all entries are ready and know each other."""
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            if all([await entry.is_ready() for entry in self.entries]):
                statuses = [await entry.status() for entry in self.entries]
                counts = [
                    sum(row["state"] == "alive" for row in status.get("members", ()))
                    for status in statuses
                ]
                if min(counts) >= len(self.entries):
                    self.record("all entries are ready and know each other")
                    return
            await asyncio.sleep(0.1)
        raise CouldNotRunError("the entries did not become ready")

    def call_headers(self, deadline_ms: int, **more: str) -> Headers:
        """Return the headers of a new client attempt, with an id of its own."""
        self.request_count += 1
        return {
            "Carawayhitch-Request-Id": f"{self.request_count:016x}",
            "Carawayhitch-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {KEY}",
            **{name.replace("_", "-"): value for name, value in more.items()},
        }

    def prompt_headers(self, deadline_ms: int, tokens: int, output: int) -> Headers:
        """Return the headers of a new generation."""
        headers = self.call_headers(deadline_ms)
        own = f"{self.request_count:08x}:{tokens - 79}"
        return headers | {
            "Carawayhitch-Model": "m",
            "Carawayhitch-Token-Count": f"{tokens},{output}",
            "Carawayhitch-Prompt-Prefix": f"5c1e07a2:79,{own}",
        }

    def stop(self) -> None:
        """End all processes that this case started."""
        for entry in self.entries:
            entry.kill()
        for server in self.servers:
            server.listener.stop()
        self.store.listener.stop()
        self.folder_holder.cleanup()


class CouldNotRunError(Exception):
    """The case could not run; says nothing of the rule."""


def run(folder: Path, play: Callable[[Case], Awaitable[bool]]) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 otherwise."""

    async def main() -> int:
        case = Case(folder)
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            broken = await asyncio.wait_for(play(case), 110.0)
        except Exception as error:
            # An error of the script says nothing of the rule.
            case.record(f"could not run: {error!r}")
            return 2
        except asyncio.CancelledError:
            case.record("stopped from outside")
            return 2
        finally:
            case.stop()
        case.record("the rule was broken" if broken else "the rule held")
        return 1 if broken else 0

    sys.exit(asyncio.run(main()))
