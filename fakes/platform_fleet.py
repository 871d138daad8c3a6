"""Starts entries and the fakes of the users' platform as processes on loopback."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import Any

from fakes.processes import START_TIMEOUT_SECONDS, Fleet, call

HOST = "shop.example"
KEY = "key-of-hotel"
MODEL_SERVICE, PLAIN_SERVICE = "model", "orders"
OBJECTS = "/carawayhitch/objects"
ZONE_DRAIN_KIND = "evacuations"
# Every entry watches the store by itself, with short pauses.
STORE_TEXT = """
scopes = ["configuration", "upstreams", "entries"]
watch_timeout_seconds = 1.0
timeout_seconds = 0.5
watch_pause_seconds = 0.0
watchers_per_zone = 100
retry_limit_seconds = 0.5
lapse_grace_seconds = 1.0
"""


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route in the format of the configuration object."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 5000,
        "goalMs": 1000,
        "priority": 1,
        "maxAttempts": 2 if kind == "safe" else 1,
        "public": False,
        **fields,
    }


DEFAULT_ROUTES = (
    route("look", "safe", PLAIN_SERVICE),
    route("order", "unsafe", PLAIN_SERVICE),
    route("draft", "streaming", MODEL_SERVICE, timeoutMs=30000, goalMs=4000),
    route(
        "ask", "streaming", MODEL_SERVICE, timeoutMs=6000, resumable=True, maxAttempts=2
    ),
)


class PlatformFleet(Fleet):
    """Processes of one test on the fake of the users' platform.

    Parameters
    ----------
    drain_limit_seconds : float
        Longest time that a stop of an entry takes.
    store_text : str
        Settings of the entries for the store, without its address.
    """

    def __init__(
        self,
        settings_text: str = "",
        drain_limit_seconds: float = 20.0,
        store_text: str = STORE_TEXT,
    ) -> None:
        super().__init__(settings_text)
        self.store_text = store_text
        self.drain_limit_seconds = drain_limit_seconds
        self.gateways_by_name: dict[str, dict[str, int]] = {}
        self.version = 0
        self.slots = 8
        self.warm_up_fields_by_service: dict[str, dict[str, float]] = {}

    def start_store(self) -> None:
        """Start the store."""
        self.start_module("store", "fakes.platform_store")

    def store_call(
        self, method: str, path: str, body: Any = None
    ) -> tuple[int, dict[str, Any]]:
        """Call the store; return status and decoded body."""
        status, answer, _ = call(method, self.url("store") + path, body)
        return status, json.loads(answer)

    def configure(
        self,
        routes: tuple[dict[str, Any], ...] = DEFAULT_ROUTES,
        keys: tuple[str, ...] = (KEY,),
        limits: dict[str, int] | None = None,
    ) -> bool:
        """Write the next configuration version; return whether it was accepted."""
        self.version += 1
        warm_up_fields = self.warm_up_fields_by_service
        spec = {
            "version": self.version,
            "routes": list(routes),
            "services": [
                {
                    "name": PLAIN_SERVICE,
                    "healthPath": "/health",
                    "maxConns": 100,
                    **warm_up_fields.get(PLAIN_SERVICE, {}),
                },
                {
                    "name": MODEL_SERVICE,
                    "healthPath": "/health",
                    "maxConns": 100,
                    "engine": {
                        "slots": self.slots,
                        "kvCapacityTokens": 100_000,
                        "kvTokenBytes": 1000,
                        "linkMbps": 10_000.0,
                        "moves": True,
                        "stride": 1,
                    },
                    **warm_up_fields.get(MODEL_SERVICE, {}),
                },
            ],
            "limits": {
                "bodyBytes": 100_000,
                "idleTimeoutMs": 15000,
                **(limits or {}),
            },
            "tenants": [{"name": "hotel", "apiKeys": list(keys)}],
        }
        body = {"metadata": {"name": "main"}, "spec": spec}
        status, _ = self.store_call("POST", f"{OBJECTS}/config", body)
        if status == 409:
            status, _ = self.store_call("PUT", f"{OBJECTS}/config/main", body)
        return status in (200, 201)

    def start_server(
        self, name: str, service: str, zone: str = "a", event_seconds: float = 0.02
    ) -> None:
        """Start a server and register it."""
        self.start_module(
            name,
            "fakes.platform_server",
            "--name",
            name,
            "--event-seconds",
            str(event_seconds),
            *self.server_arguments(name),
        )
        self.register(name, service, zone)

    def server_arguments(self, name: str) -> tuple[str, ...]:
        """Return additional command-line options of a server, set by subclasses."""
        return ()

    def cold_seconds(self, name: str) -> float:
        """Return for how long a server is cold, set by subclasses."""
        return 0.0

    def server_port(self, name: str) -> int:
        """Return the port through which entries reach a server."""
        return self.ports_by_name[name]

    def store_url(self, entry: str) -> str:
        """Return the URL through which an entry reaches the store."""
        return self.url("store")

    def register(
        self,
        name: str,
        service: str,
        zone: str = "a",
        state: str = "ready",
        born: int = 1000,
    ) -> None:
        """Create or replace the registration of a server."""
        spec: dict[str, Any] = {
            "service": service,
            "address": f"127.0.0.1:{self.server_port(name)}",
            "zone": zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "sequence": 1,
            "coldLeftMs": self.cold_seconds(name) * 1000.0,
            "born": born,
        }
        if service == MODEL_SERVICE:
            spec["models"] = [{"name": "m", "version": 1}]
        body = {"metadata": {"name": name}, "spec": spec}
        status, _ = self.store_call("POST", f"{OBJECTS}/servers", body)
        if status == 409:
            self.store_call("PUT", f"{OBJECTS}/servers/{name}", body)

    def server_faults(self, name: str, **faults: Any) -> None:
        """Inject faults into a server."""
        call("POST", self.url(name) + "/fake/faults", faults)

    def cool_server(self, name: str, seconds: float) -> None:
        """Make a server cold; its faults stay."""
        call("POST", self.url(name) + "/fake/cold", {"seconds": seconds})

    def server_call_record(self, name: str) -> dict[str, Any]:
        """Return the calls that a server received, and its counters."""
        return json.loads(call("GET", self.url(name) + "/fake/seen")[1])

    def start_gateway(
        self,
        name: str,
        zone: str = "a",
        wait: bool = True,
        output: int | None = None,
    ) -> None:
        """Start an entry; if `wait` is true, wait until it is ready.

        Parameters
        ----------
        output : int, optional
            File descriptor for standard output; by default, the log file.
        """
        if name not in self.gateways_by_name:
            parts = ("callers", "readiness", "metrics", "own")
            self.gateways_by_name[name] = {part: self.reserve_port() for part in parts}
        ports = self.gateways_by_name[name]
        self.ports_by_name[name] = ports["callers"]
        text = f"""
[node]
id = "{name}"
zone = "{zone}"
region = "r1"
http_port = {ports["own"]}
peer_port = {ports["own"]}
[gateway]
address = "127.0.0.1:{ports["callers"]}"
readiness_address = "127.0.0.1:{ports["readiness"]}"
metrics_address = "127.0.0.1:{ports["metrics"]}"
[gateway.regions_by_zone]
a = "r1"
b = "r1"
[peers]
[platform]
[store]
url = "{self.store_url(name)}"
{self.store_text}
[retries]
backoff_base_seconds = 0.005
[drain]
readiness_grace_seconds = 0.3
limit_seconds = {self.drain_limit_seconds}
[scheduling]
cache_events = false
{self.settings_text}
"""
        path = Path(self.folder.name) / f"{name}.toml"
        path.write_text(text)
        self._spawn(
            name,
            [sys.executable, "-m", "carawayhitch", "serve", "--settings", str(path)],
            output,
        )
        if wait:
            self.wait_gateway(name)

    def is_ready(self, name: str) -> bool:
        """Return whether an entry accepts new connections."""
        port = self.gateways_by_name[name]["readiness"]
        url = f"http://127.0.0.1:{port}/carawayhitch/readiness"
        try:
            return call("GET", url, timeout=2.0)[0] == 200
        except OSError:
            return False

    def wait_gateway(self, name: str) -> None:
        """Wait until an entry is ready."""
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            if self.is_ready(name):
                return
            time.sleep(0.05)
        raise RuntimeError(self.describe_failed_start(name, "is not ready"))

    def ask(
        self,
        entry: str,
        path: str,
        method: str = "POST",
        body: bytes = b"body",
        key: str = KEY,
        **headers: str,
    ) -> tuple[int, bytes, dict[str, str]]:
        """Make a call through an entry; return status, body and headers."""
        sent = {
            "Host": HOST,
            "Authorization": f"Bearer {key}",
            "Carawayhitch-Deadline-Ms": "30000",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        url = self.url(entry) + path
        return call(method, url, body if method != "GET" else None, sent)
