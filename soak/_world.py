"""Processes and links of one soak run."""

from __future__ import annotations

import math
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from fakes.link import FakeLink
from fakes.platform_fleet import (
    KEY,
    MODEL_SERVICE,
    OBJECTS,
    PLAIN_SERVICE,
    STORE_TEXT,
    ZONE_DRAIN_KIND,
    PlatformFleet,
    route,
)
from soak._board import COLD_OVERAGE, COLD_SLACK, RunRow, SoakBoard, ValidityRow

EVENT_SECONDS = 0.05
ZONES = "ab"
STORE_TEXT_WITH_ZONE_DRAINS = STORE_TEXT.replace(
    '"entries"]', '"entries", "zone_drains"]\nconsistent_scopes = ["zone_drains"]'
)
WARM_UP_SECONDS = 4.0
# Below the rate of the clients' calls, so that the limit of cold servers binds.
COLD_RATES_BY_SERVICE = {PLAIN_SERVICE: 6, MODEL_SERVICE: 3}
# A cold server crashes well above its bound.
COLD_CRASH_FACTOR = 2
COLD_SETTINGS_TEXT = f"cold_overage = {COLD_OVERAGE}\ncold_slack = {COLD_SLACK}\n"
SERVING_LOG_FIELD = '"event":"serving"'
# Routes that exist for the whole run. Clients wait longer than their timeouts.
PERMANENT_ROUTES = (
    route("look", "safe", PLAIN_SERVICE, timeoutMs=2000),
    route("order", "unsafe", PLAIN_SERVICE, timeoutMs=2000),
    route("draft", "streaming", MODEL_SERVICE, timeoutMs=6000, goalMs=4000),
    route(
        "ask", "streaming", MODEL_SERVICE, timeoutMs=6000, resumable=True, maxAttempts=2
    ),
)


class SoakFleet(PlatformFleet):
    """Fleet with a link to each server, and one between each entry and the store.

    Parameters
    ----------
    uses_zones : bool
        Whether servers are in several zones, which may be taken out of use.
    limits_cold_servers : bool
        Whether servers that start during traffic are cold, and entries spare them.
    """

    def __init__(
        self,
        board: SoakBoard,
        uses_zones: bool = False,
        limits_cold_servers: bool = False,
    ) -> None:
        store_text = STORE_TEXT_WITH_ZONE_DRAINS if uses_zones else STORE_TEXT
        # The settings end with those of scheduling.
        settings_text = COLD_SETTINGS_TEXT if limits_cold_servers else ""
        super().__init__(settings_text, store_text=store_text)
        if limits_cold_servers:
            self.warm_up_fields_by_service = {
                service: {"warmupS": WARM_UP_SECONDS, "coldPerS": rate}
                for service, rate in COLD_RATES_BY_SERVICE.items()
            }
        self.limits_cold_servers = limits_cold_servers
        self.has_traffic = False
        self.cold_until_by_server: dict[str, float] = {}
        self.board = board
        self.uses_zones = uses_zones
        self.links_by_subject: dict[str, FakeLink] = {}
        self.services_by_server: dict[str, str] = {}
        self.started_at_ms_by_server: dict[str, int] = {}
        self.zones_by_entry: dict[str, str] = {}
        self.serving_lines_by_entry: dict[str, int] = {}
        self.change_count = 0
        self.server_count = 0

    def start_all(self, entry_count: int, engine_count: int, plain_count: int) -> None:
        """Start all processes and wait until the entries are ready."""
        self.start_store()
        self.change_configuration()
        for _ in range(engine_count):
            self.start_additional_server(MODEL_SERVICE)
        for _ in range(plain_count):
            self.start_additional_server(PLAIN_SERVICE)
        names = [f"entry-{index}" for index in range(entry_count)]
        for index, name in enumerate(names):
            self.links_by_subject[name] = FakeLink(self.ports_by_name["store"])
            self.zones_by_entry[name] = ZONES[index % 2]
            self.launch_gateway(name)
        for name in names:
            self.wait_gateway(name)
        self.has_traffic = True

    def store_url(self, entry: str) -> str:
        """Return the address of the link between an entry and the store."""
        return f"http://127.0.0.1:{self.links_by_subject[entry].port}"

    def server_port(self, name: str) -> int:
        """Return the port of the link in front of a server."""
        return self.links_by_subject[name].port

    def server_arguments(self, name: str) -> tuple[str, ...]:
        """Return the options for the run file and the start time of a server."""
        born = self.started_at_ms_by_server[name]
        bound = self.board.cold_bounds_by_server[name]
        return (
            *("--run-file", str(self._run_file(name)), "--born", str(born)),
            *("--cold-seconds", str(self.cold_seconds(name))),
            *("--cold-limit", str(COLD_CRASH_FACTOR * bound)),
        )

    def cold_seconds(self, name: str) -> float:
        """Return for how long a server is cold from now on."""
        return max(0.0, self.cold_until_by_server.get(name, 0.0) - time.time())

    def _run_file(self, name: str) -> Path:
        return Path(self.folder.name) / f"{name}.runs"

    def register(
        self,
        name: str,
        service: str,
        zone: str = "a",
        state: str = "ready",
        born: int = 0,
    ) -> None:
        """Register a server with its start time; `born` is ignored."""
        if name not in self.links_by_subject:
            self.links_by_subject[name] = FakeLink(self.ports_by_name[name])
        super().register(name, service, zone, state, self.started_at_ms_by_server[name])

    def start_additional_server(self, service: str) -> None:
        """Start a server under a new id."""
        self.server_count += 1
        name = f"{service}-{self.server_count}"
        self.services_by_server[name] = service
        zone = ZONES[self.server_count % 2] if self.uses_zones else "a"
        self.board.zones_by_server[name] = zone
        rate = COLD_RATES_BY_SERVICE[service]
        bound = math.floor(rate * COLD_OVERAGE + COLD_SLACK)
        self.board.cold_bounds_by_server[name] = bound
        self.restart_server(name)

    def restart_server(self, name: str) -> None:
        """Start a server under a known id, without any earlier state."""
        self.started_at_ms_by_server[name] = int(time.time() * 1000)
        if self.limits_cold_servers and self.has_traffic:
            self.cold_until_by_server[name] = time.time() + WARM_UP_SECONDS
        zone = self.board.zones_by_server[name]
        self.start_server(name, self.services_by_server[name], zone, EVENT_SECONDS)

    def restart_servers(self, names: list[str]) -> None:
        """Start several servers at the same time."""
        with ThreadPoolExecutor() as pool:
            list(pool.map(self.restart_server, names))

    def cool_zone(self, zone: str) -> None:
        """Have all servers of a zone become cold, and say so in their registrations."""
        if not self.limits_cold_servers:
            return
        for name, service in self.services_by_server.items():
            if self.board.zones_by_server[name] == zone and self.is_in_service(name):
                self.cold_until_by_server[name] = time.time() + WARM_UP_SECONDS
                self.cool_server(name, WARM_UP_SECONDS)
                self.register(name, service, zone)

    def launch_gateway(self, name: str) -> None:
        """Start an entry; record how often its log already reports that it serves."""
        if name in self.processes_by_name:
            self.serving_lines_by_entry[name] = self.log_text(name).count(
                SERVING_LOG_FIELD
            )
        self.start_gateway(name, self.zones_by_entry[name], wait=False)

    def has_become_ready(self, name: str) -> bool:
        """Return whether the latest process of an entry has started to serve."""
        known = self.serving_lines_by_entry.get(name, 0)
        return self.log_text(name).count(SERVING_LOG_FIELD) > known

    def is_running(self, name: str) -> bool:
        """Return whether a process has not exited."""
        return self.exit_status(name) is None

    def is_in_service(self, server: str) -> bool:
        """Return whether a server is running and not drained."""
        return self.is_running(server) and server not in self.board.drained_at_by_server

    def change_configuration(self) -> bool:
        """Replace the extra route and key; return whether the store accepted them."""
        count = self.change_count + 1
        name, key = f"extra-{count}", f"key-{count}"
        extra = route(name, "safe", PLAIN_SERVICE, timeoutMs=2000)
        if not self.configure((*PERMANENT_ROUTES, extra), (KEY, key)):
            return False
        now = time.time()
        self.change_count = count
        for rows, text in (
            (self.board.routes_by_name, name),
            (self.board.keys_by_text, key),
        ):
            for known in rows.values():
                if known.removed_at > now:
                    rows[known.name] = known._replace(removed_at=now)
            rows[text] = ValidityRow(text, now)
        return True

    def drain_server(self, name: str) -> bool:
        """Mark a server as draining; return whether the store accepted it."""
        zone = self.board.zones_by_server[name]
        self.register(name, self.services_by_server[name], zone, state="draining")
        status, stored = self.store_call("GET", f"{OBJECTS}/servers/{name}")
        return status == 200 and stored["spec"]["state"] == "draining"

    def take_out_zone(self, zone: str) -> bool:
        """Take a zone out of use; return whether the store accepted it."""
        body = {"metadata": {"name": zone}, "spec": {}}
        path = f"{OBJECTS}/{ZONE_DRAIN_KIND}"
        return self.store_call("POST", path, body)[0] in (200, 201, 409)

    def take_back_zone(self, zone: str) -> bool:
        """Take a zone back into use; return whether the store accepted it."""
        path = f"{OBJECTS}/{ZONE_DRAIN_KIND}/{zone}"
        return self.store_call("DELETE", path)[0] in (200, 204, 404)

    def read_runs(self) -> None:
        """Read the run files of all servers into the board."""
        for name in self.services_by_server:
            if self._run_file(name).exists():
                self._parse_run_file(name, self._run_file(name).read_text())

    def _parse_run_file(self, name: str, text: str) -> None:
        runs_by_id = self.board.runs_by_request_id
        for line in text.splitlines():
            at, event_kind, request_id = line.split(" ")
            if event_kind == "cold":
                arrivals = self.board.cold_arrivals_by_server.setdefault(name, [])
                arrivals.append(float(at))
                continue
            runs = runs_by_id.setdefault(request_id, [])
            if event_kind != "end":
                continued = event_kind == "continue"
                runs.append(RunRow(request_id, name, float(at), continued=continued))
                continue
            for index, run in enumerate(runs):
                if run.server == name and run.ended_at > float(at):
                    runs[index] = run._replace(ended_at=float(at))
                    break

    def stop(self) -> None:
        """Stop all processes and links of this run."""
        super().stop()
        for link in self.links_by_subject.values():
            link.stop()

    def exit_status(self, name: str) -> int | None:
        """Return the exit status of a process, or None while it runs."""
        return self.processes_by_name[name].poll()
