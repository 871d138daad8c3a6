"""Record the traces of incidents that `tests/test_traces.py` replays.

Run ``python -m experiments.record_traces [NAME ...]`` after an intended change of
decisions, and compare the new outcomes with those that the test expects.
"""

from __future__ import annotations

import argparse
import signal
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager
from typing import Any
from uuid import uuid4

from fakes.link import FakeLink
from fakes.platform_fleet import MODEL_SERVICE, PLAIN_SERVICE, PlatformFleet
from fakes.processes import ACCOUNT_TOKENS, Fleet, call
from fakes.stream_caller import StreamCaller

# Relative to the repository root, so that traces contain no machine-specific path.
TRACE_FOLDER = "tests/traces"
HEADERS = {
    "Authorization": f"Bearer {ACCOUNT_TOKENS['hotel']}",
    "Content-Type": "application/json",
}
SETTINGS = """
[idempotency]
claim_timeout_seconds = 0.5
answer_timeout_seconds = 1.0
journal_shards = 2
[drain]
readiness_grace_seconds = 0.3
[logs]
trace_file = "{folder}/{name}.jsonl"
"""


class FleetRecording:
    """A fleet of processes with one entry that writes a trace."""

    def __init__(self, name: str, fleet: Fleet, pool: ThreadPoolExecutor) -> None:
        self.name, self.fleet, self.pool = name, fleet, pool
        self.recorded_entry = "entry-1"

    def start(self, engine_count: int = 2) -> None:
        """Start engines, a service and the entry under recording."""
        for number in range(1, engine_count + 1):
            self.fleet.start_engine(f"engine-{number}")
        self.fleet.start_service("service-1", "register")
        self.start_recorded_entry()

    def start_recorded_entry(self) -> None:
        """Start the entry under recording and let it discover the upstreams."""
        text = SETTINGS.format(folder=TRACE_FOLDER, name=self.name)
        self.fleet.settings_text = text
        self.fleet.start_entry(self.recorded_entry)
        time.sleep(0.6)

    def stop(self) -> None:
        """Stop the entry under recording and wait, so that its trace is complete."""
        self.fleet.send_signal(self.recorded_entry, signal.SIGTERM)
        self.fleet.send_signal(self.recorded_entry, signal.SIGTERM)
        self.fleet.wait_exit(self.recorded_entry)

    def fault(self, name: str, fault: str, **fields: Any) -> None:
        """Inject a fault into a fake process."""
        call("POST", f"{self.fleet.url(name)}/fake/{fault}", fields)

    def start_generation(self, prompt: str) -> Future[Any]:
        """Start a generation call without streaming."""
        body = {"model": "quotes", "prompt": prompt}
        url = self.fleet.url(self.recorded_entry) + "/v1/completions"
        return self.pool.submit(call, "POST", url, body, HEADERS)

    def stream(self, prompt: str) -> StreamCaller:
        """Start a streamed generation call."""
        body = {"model": "quotes", "prompt": prompt, "stream": True}
        url = self.fleet.url(self.recorded_entry)
        return StreamCaller(url, "/v1/completions", body, HEADERS)

    def start_guide(self, key: str) -> Future[Any]:
        """Start an at-most-once call of the service with an idempotency key."""
        headers = {**HEADERS, "Idempotency-Key": key}
        url = self.fleet.url(self.recorded_entry) + "/services/register/guides"
        return self.pool.submit(call, "POST", url, {"lot": 1}, headers)

    def find_running_engine(self) -> str:
        """Wait for an engine to run a generation and return its name."""
        deadline = time.monotonic() + 5.0
        while time.monotonic() < deadline:
            for name in self.fleet.processes_by_name:
                if name.startswith("engine-") and self.has_started(name):
                    return name
            time.sleep(0.02)
        raise RuntimeError("no engine runs a generation")

    def has_started(self, engine: str) -> bool:
        """Return whether an engine has started a generation."""
        _, body, _ = call("GET", self.fleet.url(engine) + "/fake/state")
        return b'"started": 0' not in body


def store_outage(recording: FleetRecording) -> None:
    """Make the store unavailable during an at-most-once call whose answer is cut."""
    recording.start()
    recording.fault("service-1", "faults", delay_seconds=0.5, cut_answers=1)
    running = recording.start_guide("guide-1")
    time.sleep(0.3)
    recording.fault("store", "faults", down=True)
    running.result()
    recording.start_guide("guide-1").result()
    recording.start_guide("guide-2").result()


def killed_before_first_token(recording: FleetRecording) -> None:
    """Kill an engine before it sends the first token of a stream."""
    recording.start()
    for engine in ("engine-1", "engine-2"):
        recording.fault(engine, "silent")
    caller = recording.stream("length=10")
    used_engine = recording.find_running_engine()
    recording.fault("engine-2" if used_engine == "engine-1" else "engine-1", "speak")
    recording.fleet.kill(used_engine)
    caller.finish()
    caller.close()


def killed_after_first_token(recording: FleetRecording) -> None:
    """Kill an engine during a stream."""
    recording.start()
    caller = recording.stream("length=200")
    caller.read_tokens(5)
    recording.fleet.kill(recording.find_running_engine())
    caller.finish()
    caller.close()


def link_cut(recording: FleetRecording) -> None:
    """Cut the network link to an engine during a stream."""
    fleet = recording.fleet
    fleet.start_module("engine-1", "fakes.engine")
    link = FakeLink(fleet.ports_by_name["engine-1"])
    try:
        port, fleet.ports_by_name["engine-1"] = (
            fleet.ports_by_name["engine-1"],
            link.port,
        )
        fleet.add_vm_to_list("engine-1", "engine", {"model": "quotes"}, "a")
        fleet.ports_by_name["engine-1"] = port
        recording.start_recorded_entry()
        caller = recording.stream("length=30")
        caller.read_tokens(10)
        link.cut()
        caller.finish()
        caller.close()
        recording.stop()
    finally:
        link.stop()


def scheduler_killed(recording: FleetRecording) -> None:
    """Kill the scheduling entry while requests of another entry wait in its queue."""
    fleet = recording.fleet
    fleet.start_engine("engine-1", "--running-limit", "1")
    # Rendezvous hashing assigns the cell to entry-1 among entry-1 and entry-2.
    fleet.start_entry("entry-1")
    recording.recorded_entry = "entry-2"
    recording.start_recorded_entry()
    time.sleep(2.0)
    first = recording.start_generation("length=100")
    # The long request has to run first; otherwise no short one would wait when the
    # entry is killed.
    recording.find_running_engine()
    waiting = [recording.start_generation(f"length={number}") for number in (5, 6, 7)]
    time.sleep(0.5)
    fleet.kill("entry-1")
    for future in (first, *waiting):
        future.result()


def upstream_leaving(recording: FleetRecording) -> None:
    """Have an engine report that it is leaving while it serves a stream."""
    recording.start()
    caller = recording.stream("length=60")
    caller.read_tokens(3)
    used_engine = recording.find_running_engine()
    recording.fault(used_engine, "leaving")
    time.sleep(1.0)
    recording.start_generation("length=4").result()
    caller.finish()
    caller.close()


def crashing_request(recording: FleetRecording) -> None:
    """Repeat a request that crashes each engine that runs it."""
    recording.start(engine_count=3)
    for number in (1, 2, 3):
        recording.fault(f"engine-{number}", "crash_on", text="poison")
    for _ in range(3):
        recording.start_generation("poison").result()
    recording.start_generation("length=4").result()


def graceful_stop(recording: FleetRecording) -> None:
    """Stop the entry under recording gracefully while it serves calls."""
    recording.start()
    # Long enough that the stream outlasts both refused calls, even on a fast machine.
    caller = recording.stream("length=150")
    caller.read_tokens(3)
    running = recording.start_guide("guide-1")
    recording.fleet.send_signal(recording.recorded_entry, signal.SIGTERM)
    time.sleep(0.1)
    recording.start_generation("length=3").result()
    time.sleep(0.4)
    recording.start_generation("length=3").result()
    recording.start_guide("guide-2").result()
    running.result()
    caller.finish()
    caller.close()
    recording.fleet.wait_exit(recording.recorded_entry)


def rejected_change(recording: FleetRecording) -> None:
    """Write a declaration to the store that entries reject as invalid."""
    recording.start()
    broken = {"group": "no-such-group", "rank": "urgent", "precedence": 30}
    recording.fleet.put_object("binding", "broken", broken)
    time.sleep(1.0)
    recording.start_generation("length=4").result()


class PlatformRecording(FleetRecording):
    """A fleet on fakes of the users' platform with one entry that writes a trace."""

    fleet: PlatformFleet

    def start(self, engine_count: int = 2) -> None:
        """Start engines, services and the entry under recording."""
        self.fleet.start_store()
        self.fleet.configure()
        for number in range(1, engine_count + 1):
            self.fleet.start_server(f"plain-{number}", PLAIN_SERVICE)
            name = f"engine-{number}"
            self.fleet.start_server(name, MODEL_SERVICE, event_seconds=0.05)
        trace_file = f"{TRACE_FOLDER}/{self.name}.jsonl"
        # The report interval of the platform, which charges for each report.
        self.fleet.settings_text = (
            f'load_interval_seconds = 4.0\n[logs]\ntrace_file = "{trace_file}"\n'
        )
        self.fleet.start_gateway(self.recorded_entry)

    def ask(self, path: str, method: str = "POST") -> Future[Any]:
        """Start a call of a path through the entry under recording."""
        headers = {
            "Carawayhitch_Request_Id": uuid4().hex,
            "Carawayhitch_Token_Count": "100,2000",
        }
        return self.pool.submit(
            self.fleet.ask, self.recorded_entry, path, method, b"", **headers
        )

    def has_started(self, engine: str) -> bool:
        """Return whether an engine has run a call."""
        return bool(self.fleet.server_call_record(engine)["seen"])


def engine_reclaimed(recording: PlatformRecording) -> None:
    """Reclaim an engine during a stream after a notice in the store."""
    recording.start()
    stream = recording.ask("/draft/1?events=40")
    used_engine = recording.find_running_engine()
    time.sleep(0.5)
    recording.fleet.register(used_engine, MODEL_SERVICE, state="draining")
    time.sleep(1.0)
    recording.fleet.kill(used_engine)
    stream.result()


def notice_in_report(recording: PlatformRecording) -> None:
    """Reclaim an engine while the store does not answer.

    The notice is only in the load report of the engine.
    """
    recording.start()
    stream = recording.ask("/draft/1?events=90")
    used_engine = recording.find_running_engine()
    recording.fault("store", "faults", silent=True)
    time.sleep(1.8)
    recording.fleet.server_faults(used_engine, state="draining")
    time.sleep(1.5)
    recording.fleet.kill(used_engine)
    stream.result()


def failing_upstreams(recording: PlatformRecording) -> None:
    """Have both upstreams of a service fail a safe call, which is attempted twice."""
    recording.start()
    for number in (1, 2):
        recording.fleet.server_faults(f"plain-{number}", failures=1)
    recording.ask("/look/1", "GET").result()
    recording.ask("/order/1").result()


PLATFORM_INCIDENTS: dict[str, Callable[[PlatformRecording], None]] = {
    incident.__name__: incident
    for incident in (engine_reclaimed, notice_in_report, failing_upstreams)
}
INCIDENTS: dict[str, Callable[[FleetRecording], None]] = {
    incident.__name__: incident
    for incident in (
        store_outage,
        killed_before_first_token,
        killed_after_first_token,
        link_cut,
        scheduler_killed,
        upstream_leaving,
        crashing_request,
        graceful_stop,
        rejected_change,
    )
}


@contextmanager
def new_fleet_recording(name: str) -> Iterator[FleetRecording]:
    """Start a fleet with defaults, and end every process afterwards."""
    with Fleet() as fleet, ThreadPoolExecutor(8) as pool:
        fleet.start_platform()
        fleet.put_defaults()
        yield FleetRecording(name, fleet, pool)


@contextmanager
def new_platform_recording(name: str) -> Iterator[PlatformRecording]:
    """Prepare a fleet on the users' platform, and end every process afterwards."""
    with PlatformFleet() as fleet, ThreadPoolExecutor(8) as pool:
        yield PlatformRecording(name, fleet, pool)


def record(name: str) -> None:
    """Record the trace of one incident."""
    if name in INCIDENTS:
        with new_fleet_recording(name) as recording:
            INCIDENTS[name](recording)
            if (
                recording.fleet.processes_by_name[recording.recorded_entry].poll()
                is None
            ):
                recording.stop()
        return
    with new_platform_recording(name) as platform_recording:
        PLATFORM_INCIDENTS[name](platform_recording)
        platform_recording.stop()


def main() -> None:
    """Record the named incidents, or all if none is named."""
    parser = argparse.ArgumentParser(description=__doc__)
    incident_names = [*INCIDENTS, *PLATFORM_INCIDENTS]
    parser.add_argument("names", nargs="*", help=", ".join(incident_names))
    for name in parser.parse_args().names or incident_names:
        record(name)
        print(f"{TRACE_FOLDER}/{name}.jsonl", flush=True)


if __name__ == "__main__":
    main()
