"""Orders to engines by real entries, with engines that check fencing or ignore it."""

from __future__ import annotations

import base64
import json
import signal
import threading
import time
import unittest

from fakes.processes import ACCOUNT_TOKENS, Fleet, call

SETTINGS = """
[orders]
interval_seconds = 0.2
lease_lifetime_seconds = 1.5
lease_margin_seconds = 0.5
[scheduling]
load_interval_seconds = 0.2
"""
HEADERS = {
    "Authorization": f"Bearer {ACCOUNT_TOKENS['hotel']}",
    "Content-Type": "application/json",
}
CONVERGE_SECONDS = 25.0
ENTRIES = ("entry-1", "entry-2")
ENGINES = ("engine-1", "engine-2")


def engine_state(fleet: Fleet, name: str) -> dict:
    return json.loads(call("GET", fleet.url(name) + "/orders/state")[1])


def engine_orders(fleet: Fleet, name: str) -> list[dict]:
    return json.loads(call("GET", fleet.url(name) + "/orders")[1])["orders"]


def wait_for_models(fleet: Fleet, models: list[str]) -> bool:
    deadline = time.monotonic() + CONVERGE_SECONDS
    while time.monotonic() < deadline:
        states = [engine_state(fleet, name) for name in ENGINES]
        if all(s["models"] == models and s["role"] == "serve" for s in states):
            return True
        time.sleep(0.1)
    return False


def start_fleet(test: unittest.TestCase, enforced: bool) -> Fleet:
    fleet = Fleet(SETTINGS)
    test.addCleanup(fleet.stop)
    fleet.start_platform()
    for name in ENGINES:
        fleet.start_engine(name)
        call("POST", fleet.url(name) + "/fake/fencing", {"enforced": enforced})
    fleet.put_defaults()
    for name in ENTRIES:
        fleet.start_entry(name)
    return fleet


def want_models(fleet: Fleet, models: list[str], version: int = 0) -> int:
    value = {"group": "quotes", "models": models}
    return fleet.put_object("engine_order", "quotes", value, version)


def holder_of(fleet: Fleet) -> str:
    status, body, _ = call("GET", fleet.url("store") + "/v1/objects/order_lease/quotes")
    if status != 200:
        return ""
    value = json.loads(body)["value"]
    return json.loads(base64.b64decode(value)).partition(":")[0]


def stream_until(fleet: Fleet, stop: threading.Event, results: list[int]) -> None:
    body = {"model": "quotes", "prompt": "length=40", "stream": True}
    while not stop.is_set():
        status, answer, _ = call(
            "POST", fleet.url("entry-1") + "/v1/completions", body, HEADERS
        )
        events = answer.decode().count("data: ")
        results.append(events if status == 200 else -status)


class OrdersTest(unittest.TestCase):
    def test_model_change_interrupts_nothing(self):
        """Guards against orders to engines that still decode."""
        fleet = start_fleet(self, enforced=True)
        stop, results = threading.Event(), []
        readers = [
            threading.Thread(target=stream_until, args=(fleet, stop, results))
            for _ in range(4)
        ]
        for reader in readers:
            reader.start()
        want_models(fleet, ["base-v2"])
        converged = wait_for_models(fleet, ["base-v2"])
        stop.set()
        for reader in readers:
            reader.join()
        self.assertTrue(converged)
        interrupted = [
            order["interrupted"]
            for name in ENGINES
            for order in engine_orders(fleet, name)
        ]
        self.assertEqual(sum(interrupted), 0)
        self.assertEqual(set(results), {41})

    def test_frozen_holder_does_no_lasting_harm(self):
        """Guards against the orders of a holder that wakes up after its lease."""
        for enforced in (True, False):
            with self.subTest(enforced=enforced):
                fleet = start_fleet(self, enforced)
                version = want_models(fleet, ["base-v2"])
                self.assertTrue(wait_for_models(fleet, ["base-v2"]))
                holder = holder_of(fleet)
                fleet.send_signal(holder, signal.SIGSTOP)
                want_models(fleet, ["base-v3"], version)
                self.assertTrue(wait_for_models(fleet, ["base-v3"]))
                self.assertNotEqual(holder_of(fleet), holder)
                before = [len(engine_orders(fleet, name)) for name in ENGINES]
                fleet.send_signal(holder, signal.SIGCONT)
                time.sleep(2.0)
                after = [len(engine_orders(fleet, name)) for name in ENGINES]
                self.assertEqual(before, after)
                self.assertTrue(wait_for_models(fleet, ["base-v3"]))
                fleet.stop()

    def test_stale_order_is_repaired(self):
        """Guards against an engine without fencing keeping a late order's effect."""
        fleet = start_fleet(self, enforced=False)
        want_models(fleet, ["base-v2"])
        self.assertTrue(wait_for_models(fleet, ["base-v2"]))
        late = {"kind": "load_model", "subject": "base-v1", "fencing_number": 1}
        call("POST", fleet.url("engine-1") + "/orders", late)
        self.assertIn("base-v1", engine_state(fleet, "engine-1")["models"])
        self.assertTrue(wait_for_models(fleet, ["base-v2"]))
