"""Starts the fakes and the entries as separate processes on loopback."""

from __future__ import annotations

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from datetime import UTC, datetime
from hashlib import sha256
from pathlib import Path
from typing import Any, NamedTuple, Self

PEER_SECRET = "loopback-only-secret-of-the-stand-ins"
ACCOUNT_TOKENS = {"hotel": "hotel-token", "inspection": "inspection-token"}
ADMIN_TOKEN = "admin-token"
START_TIMEOUT_SECONDS = 20.0
# Below the ephemeral port range of Linux: an outgoing connection could take such a port
# and keep a process from listening on it again after a restart.
FIRST_PORT, PORT_COUNT = 20_000, 12_000
# Concurrent test runs start their search in different blocks of ports.
PORT_BLOCK = 64
_candidate_ports = (
    FIRST_PORT + (os.getpid() * PORT_BLOCK + index) % PORT_COUNT
    for index in itertools.count()
)


class PortReservation(NamedTuple):
    """A port on the loopback address and the bound socket that reserves it."""

    port: int
    holder: socket.socket


def reserve_port() -> PortReservation:
    """Reserve a port until the returned socket is closed.

    The socket is bound exclusively, so of several concurrent test runs only one gets
    the port. Afterwards it allows address reuse, with which servers bind: Linux lets
    them listen beside a bound socket that does not listen itself. A process can
    therefore restart on its port while the reservation lasts.

    Raises
    ------
    RuntimeError
        If no port is free.
    """
    for port in itertools.islice(_candidate_ports, PORT_COUNT):
        holder = socket.socket()
        try:
            holder.bind(("127.0.0.1", port))
        except OSError:
            holder.close()
            continue
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return PortReservation(port, holder)
    raise RuntimeError("no free port found")


def token_hash(token: str) -> str:
    """Return the SHA-256 of a token as hexadecimal digits."""
    return sha256(token.encode()).hexdigest()


def call(
    method: str,
    url: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 30.0,
) -> tuple[int, bytes, dict[str, str]]:
    """Make an HTTP call; return status, body and headers.

    A body other than bytes is sent as JSON.
    """
    data = body if body is None or isinstance(body, bytes) else json.dumps(body)
    if isinstance(data, str):
        data = data.encode()
    request = urllib.request.Request(url, data=data, method=method)
    for name, value in (headers or {}).items():
        request.add_header(name, value)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read(), dict(response.headers)
    except urllib.error.HTTPError as error:
        return error.code, error.read(), dict(error.headers)


class Fleet:
    """Processes of one test or demo; `stop` kills these and no others.

    Parameters
    ----------
    settings_text : str
        TOML appended to the settings of every entry.
    vm_list_interval_seconds : float
        Interval at which entries read the list of VMs.
    seeds_from_vm_list : bool
        Whether entries find their peers in the list of VMs instead of the settings.
    """

    def __init__(
        self,
        settings_text: str = "",
        vm_list_interval_seconds: float = 2.0,
        seeds_from_vm_list: bool = False,
    ) -> None:
        self.seeds_from_vm_list = seeds_from_vm_list
        self.settings_text = settings_text
        self.vm_list_interval_seconds = vm_list_interval_seconds
        self.peer_keys = [(1, PEER_SECRET)]
        self.admin_token = ADMIN_TOKEN
        self.folder = tempfile.TemporaryDirectory(prefix="carawayhitch-")
        self.processes_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self.spawned_at_by_name: dict[str, float] = {}
        self.ports_by_name: dict[str, int] = {}
        self.vms: list[dict[str, Any]] = []
        self.entry_ports: dict[str, tuple[int, int]] = {}
        self.port_holders: list[socket.socket] = []

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def reserve_port(self) -> int:
        """Reserve a port for a process of this fleet until the fleet stops."""
        reservation = reserve_port()
        self.port_holders.append(reservation.holder)
        return reservation.port

    def url(self, name: str) -> str:
        """Return the base URL of a process."""
        return f"http://127.0.0.1:{self.ports_by_name[name]}"

    def log_text(self, name: str) -> str:
        """Return what a process wrote to standard output and standard error."""
        return (Path(self.folder.name) / f"{name}.log").read_text()

    def start_module(self, name: str, module: str, *arguments: str) -> None:
        """Start ``python -m module --port ...`` and wait until it listens."""
        port = self.ports_by_name.get(name) or self.reserve_port()
        self.ports_by_name[name] = port
        self._spawn(
            name, [sys.executable, "-m", module, "--port", str(port), *arguments]
        )
        self._wait_for_port(name, port)

    def _spawn(self, name: str, command: list[str], output: int | None = None) -> None:
        root = Path(__file__).parent.parent
        self.spawned_at_by_name[name] = time.time()
        with (Path(self.folder.name) / f"{name}.log").open("ab") as log:
            self.processes_by_name[name] = subprocess.Popen(
                command, cwd=root, stdout=output or log, stderr=log
            )

    def _wait_for_port(self, name: str, port: int) -> None:
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            with socket.socket() as probe:
                if probe.connect_ex(("127.0.0.1", port)) == 0:
                    return
            if self.processes_by_name[name].poll() is not None:
                break
            time.sleep(0.03)
        raise RuntimeError(self.describe_failed_start(name, "does not listen"))

    def describe_failed_start(self, name: str, failure: str) -> str:
        """Return why a process is of no use: its exit or the time that it took."""
        spawned_at = self.spawned_at_by_name[name]
        seconds = time.time() - spawned_at
        status = self.processes_by_name[name].poll()
        state = "runs" if status is None else f"exited with status {status}"
        spawned = datetime.fromtimestamp(spawned_at, UTC).isoformat()
        load, _, _ = os.getloadavg()
        return (
            f"{name} {failure} {seconds:.1f} s after its start at {spawned}, {state}, "
            f"load average {load:.1f}:\n{self.log_text(name)}"
        )

    def start_platform(self, vm_list_lag_seconds: float = 0.2) -> None:
        """Start the object store and the VM list."""
        self.start_module("store", "fakes.object_store")
        self.start_module(
            "vm_list", "fakes.vm_list", "--lag-seconds", str(vm_list_lag_seconds)
        )

    def start_engine(self, name: str, *arguments: str, zone: str = "a") -> None:
        """Start an engine and add its VM to the list of VMs."""
        self.start_module(name, "fakes.engine", *arguments)
        self.add_vm_to_list(name, "engine", {"model": "quotes"}, zone)

    def start_service(self, name: str, service: str, zone: str = "a") -> None:
        """Start a plain service and add its VM to the list of VMs."""
        self.start_module(name, "fakes.plain_service")
        self.add_vm_to_list(name, "service", {"service": service}, zone)

    def add_vm_to_list(
        self, name: str, kind: str, labels: dict[str, str], zone: str, port: int = 0
    ) -> None:
        """Add or replace a VM on the platform's list; by default with its HTTP port."""
        self.vms = [vm for vm in self.vms if vm["id"] != name]
        self.vms.append(
            {
                "id": name,
                "address": f"127.0.0.1:{port or self.ports_by_name[name]}",
                "zone": zone,
                "region": "r1",
                "kind": kind,
                "labels": labels,
                "leaving": False,
            }
        )
        self.publish_vms()

    def publish_vms(self) -> None:
        """Send the list of VMs to its fake."""
        call("PUT", self.url("vm_list") + "/fake/vms", self.vms)

    def put_object(
        self, kind: str, name: str, value: dict[str, Any], version: int = 0
    ) -> int:
        """Write a declaration to the store and return its version."""
        url = f"{self.url('store')}/v1/objects/{kind}/{name}"
        status, body, _ = call(
            "PUT", url, {"name": name, **value}, {"If-Match": str(version)}
        )
        if status != 200:
            raise RuntimeError(f"{kind}/{name}: {status} {body!r}")
        return json.loads(body)["version"]

    def put_defaults(self) -> None:
        """Declare two rank classes, an engine group, a service and two accounts."""
        self.put_object(
            "rank_class", "urgent", {"priority": 0, "maximum_wait_seconds": 10.0}
        )
        self.put_object(
            "rank_class",
            "patient",
            {"priority": 10, "floor": 0.1, "maximum_wait_seconds": 120.0},
        )
        self.put_object("serving_group", "quotes", {"selector": {"model": "quotes"}})
        self.put_object(
            "serving_group", "register", {"selector": {"service": "register"}}
        )
        self.put_object(
            "plain_service",
            "register",
            {
                "routes": [
                    {"method": "POST", "path_prefix": "/guides", "idempotent": False},
                    {"method": "POST", "path_prefix": "/search", "idempotent": True},
                ]
            },
        )
        for account, token in ACCOUNT_TOKENS.items():
            self.put_object(
                "client_account", account, {"token_sha256s": [token_hash(token)]}
            )
        self.put_object("binding", "quotes", {"group": "quotes", "rank": "patient"})
        self.put_object(
            "binding",
            "lookups",
            {
                "group": "quotes",
                "rank": "urgent",
                "request_selector": {"work": "lookup"},
                "precedence": 10,
            },
        )
        self.put_object(
            "binding",
            "register",
            {
                "group": "register",
                "rank": "urgent",
                "request_selector": {"service": "register"},
                "precedence": 20,
            },
        )

    def start_entry(self, name: str, zone: str = "a", wait: bool = True) -> None:
        """Start an entry; if `wait` is true, wait until it is ready."""
        ports = self.reserve_entry_ports(name)
        self.ports_by_name[name] = ports[0]
        if self.seeds_from_vm_list:
            self.add_vm_to_list(name, "entry", {}, zone, port=ports[1])
        path = self.write_settings(name, zone)
        self._spawn(
            name,
            [sys.executable, "-m", "carawayhitch", "serve", "--settings", str(path)],
        )
        if wait:
            self.wait_ready(name)

    def reserve_entry_ports(self, name: str) -> tuple[int, int]:
        """Return the HTTP port and the peer port of an entry, reserved at first use."""
        if name not in self.entry_ports:
            self.entry_ports[name] = (self.reserve_port(), self.reserve_port())
        return self.entry_ports[name]

    def write_settings(self, name: str, zone: str = "a", added_text: str = "") -> Path:
        """Replace the settings file of an entry atomically and return its path."""
        path = Path(self.folder.name) / f"{name}.toml"
        written = path.with_suffix(".new")
        written.write_text(self._settings(name, zone) + added_text)
        written.replace(path)
        return path

    def _settings(self, name: str, zone: str) -> str:
        http_port, peer_port = self.entry_ports[name]
        seeds = ", ".join(
            f'{{address = "127.0.0.1", peer_port = {peer}, http_port = {http}}}'
            for other, (http, peer) in self.entry_ports.items()
            if other != name and not self.seeds_from_vm_list
        )
        keys = ", ".join(
            f'{{id = {number}, secret = "{secret}"}}'
            for number, secret in self.peer_keys
        )
        return f"""
[node]
id = "{name}"
zone = "{zone}"
region = "r1"
http_port = {http_port}
peer_port = {peer_port}
[peers]
keys = [{keys}]
seeds = [{seeds}]
[store]
url = "{self.url("store")}"
[platform]
vm_list_url = "{self.url("vm_list")}/v1/vms"
vm_list_interval_seconds = {self.vm_list_interval_seconds}
[admin]
token_sha256 = "{token_hash(self.admin_token)}"
{self.settings_text}
"""

    def wait_ready(self, name: str) -> None:
        """Wait until an entry is ready."""
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            if self.processes_by_name[name].poll() is not None:
                break
            try:
                status, _, _ = call("GET", self.url(name) + "/readyz", timeout=2.0)
            except OSError:
                status = 0
            if status == 200:
                return
            time.sleep(0.05)
        raise RuntimeError(self.describe_failed_start(name, "is not ready"))

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process of this fleet."""
        self.processes_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill one process and wait for its exit."""
        process = self.processes_by_name[name]
        process.kill()
        process.wait()

    def wait_exit(self, name: str, timeout: float = 30.0) -> int:
        """Wait for a process to exit and return its exit status."""
        return self.processes_by_name[name].wait(timeout)

    def stop(self) -> None:
        """Kill every process that this fleet started and delete its folder."""
        for process in self.processes_by_name.values():
            if process.poll() is None:
                # A process suspended by SIGSTOP handles no signal but SIGKILL.
                os.kill(process.pid, signal.SIGKILL)
        for process in self.processes_by_name.values():
            process.wait()
        for holder in self.port_holders:
            holder.close()
        self.folder.cleanup()
