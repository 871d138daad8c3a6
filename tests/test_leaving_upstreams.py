"""A leaving upstream gets no new requests, and its running requests finish."""

from __future__ import annotations

import json
import threading
import time
import unittest

from fakes.processes import ACCOUNT_TOKENS, Fleet, call

HEADERS = {
    "Authorization": f"Bearer {ACCOUNT_TOKENS['hotel']}",
    "Content-Type": "application/json",
}
# The requirement is "a few seconds" after the platform or the engine reports it.
WITHDRAWAL_LIMIT_SECONDS = 5.0
LIST_LAG_SECONDS = 1.0
OBSERVATION_SECONDS = 2.0


def received_count(fleet: Fleet, name: str) -> int:
    """Return the number of requests an engine has received, including refused ones."""
    state = json.loads(call("GET", fleet.url(name) + "/fake/state")[1])
    return state["started"] + state["refused"]


def generate(fleet: Fleet, entry: str, length: int) -> int:
    """Return the number of events, or the negated status code of an error response."""
    body = {"model": "quotes", "prompt": f"length={length}", "stream": True}
    status, answer, _ = call(
        "POST", fleet.url(entry) + "/v1/completions", body, HEADERS
    )
    return answer.decode().count("data: ") if status == 200 else -status


class LeavingUpstreamTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()
        self.addCleanup(self.fleet.stop)
        self.fleet.start_platform(vm_list_lag_seconds=LIST_LAG_SECONDS)
        self.fleet.start_engine("engine-1")
        self.fleet.start_engine("engine-2", zone="b")
        self.fleet.put_defaults()
        for name in ("entry-1", "entry-2"):
            self.fleet.start_entry(name)
        self.stop = threading.Event()
        self.short_results: list[int] = []
        self.long_results: list[int] = []

    def run_load(self) -> list[threading.Thread]:
        def short_streams(entry: str) -> None:
            while not self.stop.is_set():
                self.short_results.append(generate(self.fleet, entry, 5))

        def long_stream(entry: str) -> None:
            self.long_results.append(generate(self.fleet, entry, 600))

        entries = ("entry-1", "entry-2")
        threads = [threading.Thread(target=long_stream, args=(e,)) for e in entries * 4]
        # More short streams than long ones, so that both engines always receive some.
        threads += [
            threading.Thread(target=short_streams, args=(e,)) for e in entries * 8
        ]
        for thread in threads:
            thread.start()
        return threads

    def check_withdrawal(self, start_leaving) -> None:
        threads = self.run_load()
        time.sleep(1.0)
        self.assertGreater(received_count(self.fleet, "engine-1"), 4)
        start_leaving()
        time.sleep(WITHDRAWAL_LIMIT_SECONDS)
        before = received_count(self.fleet, "engine-1")
        other_before = received_count(self.fleet, "engine-2")
        time.sleep(OBSERVATION_SECONDS)
        after = received_count(self.fleet, "engine-1")
        other_after = received_count(self.fleet, "engine-2")
        self.stop.set()
        for thread in threads:
            thread.join()
        self.assertEqual(after, before)
        self.assertGreater(other_after, other_before)
        self.assertEqual(set(self.long_results), {601})
        self.assertEqual(set(self.short_results), {6})

    def test_vm_list_marks_an_engine_as_leaving(self):
        """Guards against sending work to a VM that a delayed list marks as leaving."""

        def mark_as_leaving() -> None:
            for vm in self.fleet.vms:
                vm["leaving"] = vm["leaving"] or vm["id"] == "engine-1"
            self.fleet.publish_vms()

        self.check_withdrawal(mark_as_leaving)

    def test_vm_is_removed_from_the_list(self):
        """Guards against sending work to a VM that was removed from the list."""

        def remove() -> None:
            self.fleet.vms = [vm for vm in self.fleet.vms if vm["id"] != "engine-1"]
            self.fleet.publish_vms()

        self.check_withdrawal(remove)

    def test_engine_reports_leaving_before_the_list(self):
        """Guards against refused calls while the list does not show the change yet."""

        def set_engine_leaving() -> None:
            call("POST", self.fleet.url("engine-1") + "/fake/leaving")

        self.check_withdrawal(set_engine_leaving)
