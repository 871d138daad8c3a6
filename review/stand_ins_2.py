"""Stand-ins and a small deployment on loopback for the cases of the second review.

Only the standard library is used here. The store is the project's own stand-in
(``fakes.platform_store``). Servers and clients are small ones of this file.

    python3 review/stand_ins_2.py server --port P --name ID --log FILE ...
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import http.client
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any
from uuid import uuid4

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))
from fakes.platform_template import render  # noqa: E402

HOST = "shop.example"
KEY = "key-of-hotel"
OBJECTS = "/carawayhitch/objects"
MODEL_SERVICE, PLAIN_SERVICE = "model", "orders"
# Bounds and limits of the site prism-hub.
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


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 1000,
        "goalMs": 200,
        "priority": 2,
        "maxAttempts": 2 if kind == "safe" else 1,
        "public": False,
        **fields,
    }


ROUTES = (
    route("look", "safe", PLAIN_SERVICE),
    route("order", "unsafe", PLAIN_SERVICE),
    route(
        "draft",
        "streaming",
        MODEL_SERVICE,
        timeoutMs=39000,
        goalMs=4000,
        sticky=True,
        gapGoalMs=180,
    ),
    route(
        "ask",
        "streaming",
        MODEL_SERVICE,
        timeoutMs=6000,
        goalMs=1500,
        resumable=True,
        maxAttempts=2,
        sticky=True,
        gapGoalMs=180,
        priority=0,
    ),
)


class Record:
    """The file ``record.txt`` of a case."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", buffering=1)
        self.started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line with the time since the start."""
        line = f"{time.monotonic() - self.started_at:8.3f} {text}"
        self.file.write(line + "\n")
        print(line, flush=True)


class Deployment:
    """Store, servers and entries as processes on loopback addresses."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.holders: list[socket.socket] = []
        self.store_port = self.port()
        self.entries: dict[str, dict[str, Any]] = {}
        self.servers: dict[str, int] = {}
        self.version = 0
        # Entries get addresses of their own, because their metrics port is fixed.
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"

    def port(self, address: str = "127.0.0.1") -> int:
        """Reserve a free port."""
        while True:
            holder = socket.socket()
            number = random.randint(20000, 31000)
            try:
                holder.bind((address, number))
            except OSError:
                holder.close()
                continue
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.holders.append(holder)
            return number

    def spawn(self, name: str, command: list[str], **added: str) -> None:
        """Start a process of the deployment."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": f"{ROOT / 'target' / 'deps'}:{ROOT}",
            **added,
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def start_store(self) -> None:
        """Start the store."""
        command = ["-m", "fakes.platform_store", "--port", str(self.store_port)]
        self.spawn("store", [sys.executable, *command])
        wait_for_port("127.0.0.1", self.store_port)

    def store(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Call the store."""
        connection = http.client.HTTPConnection("127.0.0.1", self.store_port, timeout=5)
        data = None if body is None else json.dumps(body)
        headers = {"Content-Type": "application/json"}
        connection.request(method, path, data, headers)
        answer = connection.getresponse()
        decoded = json.loads(answer.read() or b"{}")
        connection.close()
        return answer.status, decoded

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object of the store."""
        body = {"metadata": {"name": name}, "spec": spec}
        status, _ = self.store("POST", f"{OBJECTS}/{kind}", body)
        if status == 409:
            status, _ = self.store("PUT", f"{OBJECTS}/{kind}/{name}", body)
        if status not in (200, 201):
            raise RuntimeError(f"store answered {status}")

    def configure(self, routes: Any = ROUTES, keys: Any = (KEY,)) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        engine = {
            "slots": 24,
            "kvCapacityTokens": 34326,
            "kvTokenBytes": 96256,
            "linkMbps": 14000.0,
            "moves": True,
            "backups": True,
            "stride": 4,
            "most": 12,
            "pinMs": 4000.0,
            "holdMs": 2000.0,
            "handleS": 5.0,
            "models": [{"name": "m"}],
        }
        services = [
            {"name": MODEL_SERVICE, "healthPath": "/health", "maxConns": 503},
            {"name": PLAIN_SERVICE, "healthPath": "/health", "maxConns": 208},
        ]
        services[0]["engine"] = engine
        spec = {
            "version": self.version,
            "routes": list(routes),
            "services": services,
            "limits": {
                "headerBytes": 16384,
                "bodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": "hotel", "apiKeys": list(keys), "priority": 1}],
        }
        self.put("config", "main", spec)

    def start_server(self, name: str, service: str, *options: str) -> None:
        """Start a server of this file and register it."""
        port = self.servers[name] = self.port()
        command = [sys.executable, str(Path(__file__).resolve()), "server"]
        command += ["--port", str(port), "--name", name, *options]
        self.spawn(name, [*command, "--log", str(self.folder / f"{name}.runs")])
        wait_for_port("127.0.0.1", port)
        self.register(name, service)

    def register(self, name: str, service: str, state: str = "ready") -> None:
        """Write the entry of a server."""
        spec: dict[str, Any] = {
            "service": service,
            "address": f"127.0.0.1:{self.servers[name]}",
            "zone": "cairo-a",
            "version": "v1",
            "slots": 24,
            "state": state,
            "coldLeftMs": 0,
            "sequence": 1,
            "born": 1700000000000,
        }
        if service == MODEL_SERVICE:
            spec["stage"] = "colocated"
            spec["models"] = [{"name": "m", "version": 1, "adapters": []}]
        self.put("servers", name, spec)

    def start_entry(self, name: str, wait: bool = True) -> None:
        """Start an entry as the deploy file says, with rendered settings."""
        if name not in self.entries:
            ip = f"{self.net}.{len(self.entries) + 2}"
            fields = {
                "nodeName": name,
                "role": "entry",
                "machineClass": "frontend",
                "serves": ["frontend"],
                "ip": ip,
                "zone": "cairo-a",
                "region": "cairo",
                "zones": {"cairo-a": "cairo"},
                "bind": {
                    "frontend": f"{ip}:{self.port(ip)}",
                    "readiness": f"{ip}:{self.port(ip)}",
                },
                "internalPorts": [self.port(ip), self.port(ip)],
                "bounds": BOUNDS,
                "limits": LIMITS,
                "platform": {
                    "address": f"127.0.0.1:{self.store_port}",
                    "form": "objects",
                    "writesPerS": 400,
                    "readsPerS": 2000,
                    "historyS": 20,
                    "valueBytes": 1048576,
                },
            }
            self.entries[name] = fields
        template = (ROOT / "deploy" / "settings.toml").read_text()
        path = self.folder / f"{name}.toml"
        path.write_text(render(template, self.entries[name]))
        self.spawn(
            name,
            ["python3", "deploy/entry.py", "serve"],
            CARAWAYHITCH_SETTINGS=str(path),
            SSL_CERT_FILE="/dev/null",
        )
        deadline = time.monotonic() + 20
        while wait and not self.is_ready(name):
            if time.monotonic() > deadline:
                raise RuntimeError(f"{name} is not ready")
            time.sleep(0.05)

    def address(self, name: str, part: str = "frontend") -> tuple[str, int]:
        """Return address and port of an entry."""
        ip, _, port = self.entries[name]["bind"][part].rpartition(":")
        return ip, int(port)

    def is_ready(self, name: str) -> bool:
        """Return whether an entry is ready."""
        ip, port = self.address(name, "readiness")
        connection = http.client.HTTPConnection(ip, port, timeout=1)
        try:
            connection.request("GET", "/carawayhitch/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def memory_mb(self, name: str, field: str = "VmRSS") -> float:
        """Return the memory of a process in millions of bytes."""
        path = Path(f"/proc/{self.processes[name].pid}/status")
        with contextlib.suppress(OSError):
            for line in path.read_text().splitlines():
                if line.startswith(field + ":"):
                    return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def runs(self, name: str) -> list[list[str]]:
        """Return the lines that a server has logged, split into words."""
        path = self.folder / f"{name}.runs"
        if not path.exists():
            return []
        return [line.split() for line in path.read_text().splitlines()]

    def log_text(self, name: str) -> str:
        """Return what a process has written."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def stop(self) -> None:
        """End all processes that this deployment has started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        for holder in self.holders:
            holder.close()
        if os.environ.get("KEEP") != "1":
            for path in self.folder.iterdir():
                path.unlink()
            self.folder.rmdir()


def wait_for_port(address: str, port: int) -> None:
    """Wait until a process listens."""
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        with socket.socket() as probe:
            if probe.connect_ex((address, port)) == 0:
                return
        time.sleep(0.03)
    raise RuntimeError(f"nothing listens on port {port}")


def request_head(
    method: str, path: str, request_id: str = "", deadline_ms: int = 1000, **added: str
) -> bytes:
    """Return the head of a client's request without its last empty line."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Carawayhitch-Request-Id: {request_id or uuid4().hex[:16]}",
        f"Carawayhitch-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {KEY}",
    ]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in added.items()]
    return "".join(line + "\r\n" for line in lines).encode()


class Answer:
    """An answer as a client has read it; status 0 if there was none."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.problem = ""


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read one answer with a length or chunks."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    answer.status = int(first.split()[1])
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            answer.headers[name.strip().lower()] = value.strip()
    if answer.headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readline(), 16):
            answer.body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        length = int(answer.headers.get("content-length", "0"))
        answer.body = await reader.readexactly(length)
    answer.complete = True


async def ask(
    address: tuple[str, int], data: bytes, seconds: float, connect_seconds: float = 1.0
) -> Answer:
    """Send one request on a new connection and read its answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(connect_seconds):
            reader, writer = await asyncio.open_connection(*address)
        async with asyncio.timeout(seconds):
            writer.write(data)
            await read_answer(reader, answer)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        answer.problem = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


class Server:
    """A sound server: one request at a time on a connection, logs what it runs."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.log = Path(options.log).open("a", buffering=1)
        self.born = 1700000000000

    def note(self, what: str, *words: str) -> None:
        """Log a line with the time of day."""
        self.log.write(" ".join([f"{time.time():.4f}", what, *words]) + "\n")

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of a connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self.serve_one(reader, writer):
                pass
        writer.close()

    async def serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve one request; return whether the connection stays open."""
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        method, path, _ = first.split(" ")
        headers = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        if path == "/carawayhitch/report":
            text = {"stage": "colocated", "busy": False, "sequence": 1, "queued": 0}
            text |= {"models": [{"name": "m", "version": 1, "adapters": []}]}
            text |= {"active": 0, "kvUsed": 0, "kvTotal": 34326, "handles": 0}
            text |= {"runs": [], "state": "ready", "born": self.born}
            data = json.dumps(text).encode()
            writer.write(plain_answer(200, data, []))
            return True
        if path == "/health":
            writer.write(
                plain_answer(200, b"", [f"Carawayhitch-Instance-Id: {self.name}"])
            )
            return True
        request_id = headers.get("carawayhitch-request-id", "")
        expected = headers.get("carawayhitch-expect-instance", self.name)
        if expected != self.name:
            writer.write(plain_answer(421, b"", []))
            return True
        self.note("arrives", request_id, method, path, str(len(body)))
        return await self.run(request_id, path, headers, body, reader, writer)

    @property
    def endless_until(self) -> float:
        """Unix time until which streams bring bytes without end."""
        return self.options.endless_from + self.options.endless_seconds

    @property
    def name(self) -> str:
        """Id of the server."""
        return self.options.name

    async def run(
        self,
        request_id: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request and answer it."""
        self.note("run", request_id)
        sealed = [
            f"Carawayhitch-Request-Id: {request_id}",
            f"Carawayhitch-Server-Seal: seal-of-{self.name}",
        ]
        if "events=" in path:
            total = int(path.partition("events=")[2])
            made = int(headers.get("last-event-id", "0"))
            sealed.append("Content-Type: text/event-stream")
            unframed = bool(self.options.unframed)
            sealed.append(
                "Connection: close" if unframed else "Transfer-Encoding: chunked"
            )
            writer.write(head_bytes(200, sealed))
            while made < total:
                if self.options.endless_from <= time.time() < self.endless_until:
                    await self.send_without_end(request_id, writer)
                    return False
                await asyncio.sleep(self.options.event_ms / 1000)
                made += 1
                data = f"id: {made}\ndata: {request_id}\n\n".encode()
                writer.write(data if unframed else b"%x\r\n%b\r\n" % (len(data), data))
                await writer.drain()
            if unframed:
                self.note("end", request_id)
                return False
            writer.write(b"0\r\n\r\n")
        else:
            await asyncio.sleep(self.options.work_ms / 1000)
            data = b"x" * int(path.partition("bytes=")[2] or "800")
            writer.write(plain_answer(200, data, sealed))
            await writer.drain()
        self.note("end", request_id)
        return True

    async def send_without_end(
        self, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Send chunks that are no events, until the caller closes or all is over."""
        size = self.options.endless_chunk
        text = b":\n\n" * 3000
        parts = [text[at : at + size] for at in range(0, len(text), size)]
        part = b"".join(b"%x\r\n%b\r\n" % (len(data), data) for data in parts)
        started_at, sent = time.monotonic(), 0
        try:
            while time.time() < self.endless_until:
                writer.write(part)
                await writer.drain()
                sent += len(part)
                due = started_at + sent / self.options.endless_rate
                if due > time.monotonic():
                    await asyncio.sleep(due - time.monotonic())
        finally:
            self.note("closed", request_id, str(sent))


def head_bytes(status: int, lines: list[str]) -> bytes:
    """Return the head of an answer."""
    return "\r\n".join([f"HTTP/1.1 {status} X", *lines, "", ""]).encode()


def plain_answer(status: int, data: bytes, lines: list[str]) -> bytes:
    """Return an answer with a length."""
    return head_bytes(status, [*lines, f"Content-Length: {len(data)}"]) + data


def server_options(arguments: list[str]) -> argparse.Namespace:
    """Return the options of a server."""
    parser = argparse.ArgumentParser()
    parser.add_argument("what")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--log", required=True)
    parser.add_argument("--work-ms", type=float, default=30.0)
    parser.add_argument("--event-ms", type=float, default=30.0)
    # Whether streams have neither a length nor chunks and end with their connection.
    parser.add_argument("--unframed", type=int, default=0)
    # Unix time from which streams bring bytes without end, the size of their chunks,
    # and bytes a second on the wire of each connection.
    parser.add_argument("--endless-from", type=float, default=float("inf"))
    parser.add_argument("--endless-seconds", type=float, default=6.5)
    parser.add_argument("--endless-chunk", type=int, default=1)
    parser.add_argument("--endless-rate", type=float, default=40_000_000)
    return parser.parse_args(arguments)


async def serve(server: Server) -> None:
    """Serve until the process is ended."""
    listener = await asyncio.start_server(
        server.handle, "127.0.0.1", server.options.port, limit=262144, backlog=1024
    )
    async with listener:
        await listener.serve_forever()


if __name__ == "__main__":
    asyncio.run(serve(Server(server_options(sys.argv[1:]))))
