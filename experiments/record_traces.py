"""Records the traces of incidents that `tests/test_traces.py` replays.

Run ``python -m experiments.record_traces [NAME ...]`` after an intended change of
decisions, and compare the outcomes that the test states with the new ones.
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

# Relative to the root, so that no path of a machine gets into a trace.
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


class Scene:
    """A fleet of which one entry is recorded."""

    def __init__(self, name: str, fleet: Fleet, pool: ThreadPoolExecutor) -> None:
        self.name, self.fleet, self.pool = name, fleet, pool
        self.recorded = "entry-1"

    def start(self, engine_count: int = 2) -> None:
        """Start engines, a service and the recorded entry."""
        for number in range(1, engine_count + 1):
            self.fleet.start_engine(f"engine-{number}")
        self.fleet.start_service("service-1", "register")
        self.start_recorded()

    def start_recorded(self) -> None:
        """Start the recorded entry and wait until it knows the upstreams."""
        text = SETTINGS.format(folder=TRACE_FOLDER, name=self.name)
        self.fleet.settings_text = text
        self.fleet.start_entry(self.recorded)
        time.sleep(0.6)

    def stop(self) -> None:
        """End the recorded entry, so that its trace is complete."""
        self.fleet.send_signal(self.recorded, signal.SIGTERM)
        self.fleet.send_signal(self.recorded, signal.SIGTERM)
        self.fleet.wait_exit(self.recorded)

    def fault(self, name: str, fault: str, **fields: Any) -> None:
        """Inject a fault into a stand-in."""
        call("POST", f"{self.fleet.url(name)}/fake/{fault}", fields)

    def generate(self, prompt: str) -> Future[Any]:
        """Start a call with a whole answer."""
        body = {"model": "quotes", "prompt": prompt}
        url = self.fleet.url(self.recorded) + "/v1/completions"
        return self.pool.submit(call, "POST", url, body, HEADERS)

    def stream(self, prompt: str) -> StreamCaller:
        """Start a stream."""
        body = {"model": "quotes", "prompt": prompt, "stream": True}
        url = self.fleet.url(self.recorded)
        return StreamCaller(url, "/v1/completions", body, HEADERS)

    def guide(self, key: str) -> Future[Any]:
        """Start a call that runs at most once."""
        headers = {**HEADERS, "Idempotency-Key": key}
        url = self.fleet.url(self.recorded) + "/services/register/guides"
        return self.pool.submit(call, "POST", url, {"lot": 1}, headers)

    def find_running_engine(self) -> str:
        """Return the engine that runs a generation."""
        deadline = time.monotonic() + 5.0
        while time.monotonic() < deadline:
            for name in self.fleet.processes_by_name:
                if name.startswith("engine-") and self.has_started(name):
                    return name
            time.sleep(0.02)
        raise RuntimeError("no engine runs a generation")

    def has_started(self, engine: str) -> bool:
        """Return whether a generation started at an engine."""
        _, body, _ = call("GET", self.fleet.url(engine) + "/fake/state")
        return b'"started": 0' not in body


def store_outage(scene: Scene) -> None:
    """Take the store away while a guide runs whose answer is cut."""
    scene.start()
    scene.fault("service-1", "faults", delay_seconds=0.5, cut_answers=1)
    running = scene.guide("guide-1")
    time.sleep(0.3)
    scene.fault("store", "faults", down=True)
    running.result()
    scene.guide("guide-1").result()
    scene.guide("guide-2").result()


def killed_before_first_token(scene: Scene) -> None:
    """Kill an engine that has not sent the first token."""
    scene.start()
    for engine in ("engine-1", "engine-2"):
        scene.fault(engine, "silent")
    caller = scene.stream("length=10")
    used = scene.find_running_engine()
    scene.fault("engine-2" if used == "engine-1" else "engine-1", "speak")
    scene.fleet.kill(used)
    caller.finish()
    caller.close()


def killed_after_first_token(scene: Scene) -> None:
    """Kill an engine in the middle of a stream."""
    scene.start()
    caller = scene.stream("length=200")
    caller.read_tokens(5)
    scene.fleet.kill(scene.find_running_engine())
    caller.finish()
    caller.close()


def link_cut(scene: Scene) -> None:
    """Cut the link to an engine in the middle of a stream."""
    fleet = scene.fleet
    fleet.start_module("engine-1", "fakes.engine")
    link = FakeLink(fleet.ports_by_name["engine-1"])
    try:
        port, fleet.ports_by_name["engine-1"] = (
            fleet.ports_by_name["engine-1"],
            link.port,
        )
        fleet.list_vm("engine-1", "engine", {"model": "quotes"}, "a")
        fleet.ports_by_name["engine-1"] = port
        scene.start_recorded()
        caller = scene.stream("length=30")
        caller.read_tokens(10)
        link.cut()
        caller.finish()
        caller.close()
        scene.stop()
    finally:
        link.stop()


def scheduler_killed(scene: Scene) -> None:
    """Kill the entry that schedules while requests of the recorded one wait."""
    fleet = scene.fleet
    fleet.start_engine("engine-1", "--running-limit", "1")
    # Of these two names, rendezvous hashing gives the cell of the engine to entry-1.
    fleet.start_entry("entry-1")
    scene.recorded = "entry-2"
    scene.start_recorded()
    time.sleep(2.0)
    first = scene.generate("length=100")
    # If it came after the short ones, none of them would wait when the entry is killed.
    scene.find_running_engine()
    waiting = [scene.generate(f"length={number}") for number in (5, 6, 7)]
    time.sleep(0.5)
    fleet.kill("entry-1")
    for future in (first, *waiting):
        future.result()


def upstream_leaving(scene: Scene) -> None:
    """Have an engine say that it leaves while it runs a stream."""
    scene.start()
    caller = scene.stream("length=60")
    caller.read_tokens(3)
    used = scene.find_running_engine()
    scene.fault(used, "leaving")
    time.sleep(1.0)
    scene.generate("length=4").result()
    caller.finish()
    caller.close()


def crashing_request(scene: Scene) -> None:
    """Resend a request that crashes each engine that runs it."""
    scene.start(engine_count=3)
    for number in (1, 2, 3):
        scene.fault(f"engine-{number}", "crash_on", text="poison")
    for _ in range(3):
        scene.generate("poison").result()
    scene.generate("length=4").result()


def graceful_stop(scene: Scene) -> None:
    """Stop the recorded entry under load."""
    scene.start()
    # Long enough to run beside both refused calls on a fast machine.
    caller = scene.stream("length=150")
    caller.read_tokens(3)
    running = scene.guide("guide-1")
    scene.fleet.send_signal(scene.recorded, signal.SIGTERM)
    time.sleep(0.1)
    scene.generate("length=3").result()
    time.sleep(0.4)
    scene.generate("length=3").result()
    scene.guide("guide-2").result()
    running.result()
    caller.finish()
    caller.close()
    scene.fleet.wait_exit(scene.recorded)


def rejected_change(scene: Scene) -> None:
    """Write a declaration to the store that fails the checks of entries."""
    scene.start()
    broken = {"group": "no-such-group", "rank": "urgent", "precedence": 30}
    scene.fleet.put_object("binding", "broken", broken)
    time.sleep(1.0)
    scene.generate("length=4").result()


class PlatformRecording(Scene):
    """Entries on the stand-ins of the users' platform, of which one is recorded."""

    fleet: PlatformFleet

    def start(self, engine_count: int = 2) -> None:
        """Start engines, services and the recorded entry."""
        self.fleet.start_store()
        self.fleet.configure()
        for number in range(1, engine_count + 1):
            self.fleet.start_server(f"plain-{number}", PLAIN_SERVICE)
            name = f"engine-{number}"
            self.fleet.start_server(name, MODEL_SERVICE, event_seconds=0.05)
        trace_file = f"{TRACE_FOLDER}/{self.name}.jsonl"
        # Reports as seldom as on the platform, where they are priced.
        self.fleet.settings_text = (
            f'load_interval_seconds = 4.0\n[logs]\ntrace_file = "{trace_file}"\n'
        )
        self.fleet.start_gateway(self.recorded)

    def ask(self, path: str, method: str = "POST") -> Future[Any]:
        """Start a call on a route."""
        headers = {
            "Carawayhitch_Request_Id": uuid4().hex,
            "Carawayhitch_Token_Count": "100,2000",
        }
        return self.pool.submit(
            self.fleet.ask, self.recorded, path, method, b"", **headers
        )

    def has_started(self, engine: str) -> bool:
        """Return whether a generation started at an engine."""
        return bool(self.fleet.seen_by(engine)["seen"])


def engine_reclaimed(scene: PlatformRecording) -> None:
    """Reclaim an engine whose notice is in the store while it runs a stream."""
    scene.start()
    stream = scene.ask("/draft/1?events=40")
    used = scene.find_running_engine()
    time.sleep(0.5)
    scene.fleet.register(used, MODEL_SERVICE, state="draining")
    time.sleep(1.0)
    scene.fleet.kill(used)
    stream.result()


def notice_in_report(scene: PlatformRecording) -> None:
    """Reclaim an engine while the store is silent; only its report tells."""
    scene.start()
    stream = scene.ask("/draft/1?events=90")
    used = scene.find_running_engine()
    scene.fault("store", "faults", silent=True)
    time.sleep(1.8)
    scene.fleet.server_faults(used, state="draining")
    time.sleep(1.5)
    scene.fleet.kill(used)
    stream.result()


def failing_upstreams(scene: PlatformRecording) -> None:
    """Have both upstreams of a service fail a call that may run twice."""
    scene.start()
    for number in (1, 2):
        scene.fleet.server_faults(f"plain-{number}", failures=1)
    scene.ask("/look/1", "GET").result()
    scene.ask("/order/1").result()


PLATFORM_INCIDENTS: dict[str, Callable[[PlatformRecording], None]] = {
    incident.__name__: incident
    for incident in (engine_reclaimed, notice_in_report, failing_upstreams)
}
INCIDENTS: dict[str, Callable[[Scene], None]] = {
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
def new_fleet_recording(name: str) -> Iterator[Scene]:
    """Start a platform, and end every process afterwards."""
    with Fleet() as fleet, ThreadPoolExecutor(8) as pool:
        fleet.start_platform()
        fleet.put_defaults()
        yield Scene(name, fleet, pool)


@contextmanager
def new_platform_recording(name: str) -> Iterator[PlatformRecording]:
    """Prepare a scene, and end every process afterwards."""
    with PlatformFleet() as fleet, ThreadPoolExecutor(8) as pool:
        yield PlatformRecording(name, fleet, pool)


def record(name: str) -> None:
    """Record one incident."""
    if name in INCIDENTS:
        with new_fleet_recording(name) as scene:
            INCIDENTS[name](scene)
            if scene.fleet.processes_by_name[scene.recorded].poll() is None:
                scene.stop()
        return
    with new_platform_recording(name) as platform_scene:
        PLATFORM_INCIDENTS[name](platform_scene)
        platform_scene.stop()


def main() -> None:
    """Record the named incidents, or all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    known = [*INCIDENTS, *PLATFORM_INCIDENTS]
    parser.add_argument("names", nargs="*", help=", ".join(known))
    for name in parser.parse_args().names or known:
        record(name)
        print(f"{TRACE_FOLDER}/{name}.jsonl", flush=True)


if __name__ == "__main__":
    main()
