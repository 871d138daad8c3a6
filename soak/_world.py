"""The processes and links of one run."""

from __future__ import annotations

import time
from pathlib import Path

from fakes.link import FakeLink
from fakes.platform_fleet import (
    KEY,
    MODEL_SERVICE,
    OBJECTS,
    PLAIN_SERVICE,
    PlatformFleet,
    route,
)
from soak._board import RunRow, SoakBoard, ValidityRow

EVENT_SECONDS = 0.05
SERVING_LOG_FIELD = '"event": "serving"'
# Routes that are there for the whole run. Callers wait longer than the route allows.
PERMANENT_ROUTES = (
    route("look", "safe", PLAIN_SERVICE, timeoutMs=2000),
    route("order", "unsafe", PLAIN_SERVICE, timeoutMs=2000),
    route("draft", "streaming", MODEL_SERVICE, timeoutMs=6000, goalMs=4000),
    route(
        "ask", "streaming", MODEL_SERVICE, timeoutMs=6000, resumable=True, maxAttempts=2
    ),
)


class SoakFleet(PlatformFleet):
    """Entries, servers and a store with a link in front of each server and store."""

    def __init__(self, board: SoakBoard) -> None:
        super().__init__()
        self.board = board
        self.links_by_subject: dict[str, FakeLink] = {}
        self.services_by_server: dict[str, str] = {}
        self.started_at_ms_by_server: dict[str, int] = {}
        self.zones_by_entry: dict[str, str] = {}
        self.serving_lines_by_entry: dict[str, int] = {}
        self.change_count = 0
        self.server_count = 0

    def start_all(self, entry_count: int, engine_count: int, plain_count: int) -> None:
        """Start everything and wait until the entries are ready."""
        self.start_store()
        self.change_configuration()
        for _ in range(engine_count):
            self.start_additional_server(MODEL_SERVICE)
        for _ in range(plain_count):
            self.start_additional_server(PLAIN_SERVICE)
        names = [f"entry-{index}" for index in range(entry_count)]
        for index, name in enumerate(names):
            self.links_by_subject[name] = FakeLink(self.ports_by_name["store"])
            self.zones_by_entry[name] = "ab"[index % 2]
            self.launch_gateway(name)
        for name in names:
            self.wait_gateway(name)

    def store_url(self, entry: str) -> str:
        """Return the address of the link between an entry and the store."""
        return f"http://127.0.0.1:{self.links_by_subject[entry].port}"

    def server_port(self, name: str) -> int:
        """Return the port of the link in front of a server."""
        return self.links_by_subject[name].port

    def server_arguments(self, name: str) -> tuple[str, ...]:
        """Return the file in which a server notes its runs, and its start."""
        born = self.started_at_ms_by_server[name]
        return "--run-file", str(self._run_file(name)), "--born", str(born)

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
        """Write the registration of a server, with its start."""
        if name not in self.links_by_subject:
            self.links_by_subject[name] = FakeLink(self.ports_by_name[name])
        super().register(name, service, zone, state, self.started_at_ms_by_server[name])

    def start_additional_server(self, service: str) -> None:
        """Start a server that was not there before."""
        self.server_count += 1
        name = f"{service}-{self.server_count}"
        self.services_by_server[name] = service
        self.restart_server(name)

    def restart_server(self, name: str) -> None:
        """Start a server under its id; it knows nothing of before."""
        self.started_at_ms_by_server[name] = int(time.time() * 1000)
        self.start_server(name, self.services_by_server[name], "a", EVENT_SECONDS)

    def launch_gateway(self, name: str) -> None:
        """Start an entry, and note how often it has logged that it serves."""
        if name in self.processes_by_name:
            self.serving_lines_by_entry[name] = self.log_text(name).count(
                SERVING_LOG_FIELD
            )
        self.start_gateway(name, self.zones_by_entry[name], wait=False)

    def has_become_ready(self, name: str) -> bool:
        """Return whether the newest process of an entry got ready to serve."""
        known = self.serving_lines_by_entry.get(name, 0)
        return self.log_text(name).count(SERVING_LOG_FIELD) > known

    def is_running(self, name: str) -> bool:
        """Return whether a process has not ended."""
        return self.exit_status(name) is None

    def is_in_service(self, server: str) -> bool:
        """Return whether a server runs and was not asked to leave."""
        return self.is_running(server) and server not in self.board.drained_at_by_server

    def change_configuration(self) -> bool:
        """Write a version with another route and key; tell whether it is taken."""
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
        """Write that a server leaves; tell whether the store took it."""
        self.register(name, self.services_by_server[name], state="draining")
        status, held = self.store_call("GET", f"{OBJECTS}/servers/{name}")
        return status == 200 and held["spec"]["state"] == "draining"

    def read_runs(self) -> None:
        """Take what the servers noted to the board."""
        for name in self.services_by_server:
            if self._run_file(name).exists():
                self._read_runs_of(name, self._run_file(name).read_text())

    def _read_runs_of(self, name: str, text: str) -> None:
        runs_by_id = self.board.runs_by_request_id
        for line in text.splitlines():
            at, what, request_id = line.split(" ")
            runs = runs_by_id.setdefault(request_id, [])
            if what != "end":
                continued = what == "continue"
                runs.append(RunRow(request_id, name, float(at), continued=continued))
                continue
            for index, run in enumerate(runs):
                if run.server == name and run.ended_at > float(at):
                    runs[index] = run._replace(ended_at=float(at))
                    break

    def stop(self) -> None:
        """End every process and link that this run started."""
        super().stop()
        for link in self.links_by_subject.values():
            link.stop()

    def exit_status(self, name: str) -> int | None:
        """Return the exit status of a process, or None while it runs."""
        return self.processes_by_name[name].poll()
