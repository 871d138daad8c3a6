"""Orders from real entries to engines that either check or ignore fencing numbers."""

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
CONVERGENCE_TIMEOUT_SECONDS = 25.0
ENTRIES = ("entry-1", "entry-2")
ENGINES = ("engine-1", "engine-2")


def engine_state(fleet: Fleet, name: str) -> dict:
    return json.loads(call("GET", fleet.url(name) + "/orders/state")[1])


def engine_orders(fleet: Fleet, name: str) -> list[dict]:
    return json.loads(call("GET", fleet.url(name) + "/orders")[1])["orders"]


def wait_for_models(fleet: Fleet, models: list[str]) -> bool:
    deadline = time.monotonic() + CONVERGENCE_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        states = [engine_state(fleet, name) for name in ENGINES]
        if all(
            state["models"] == models and state["role"] == "serve" for state in states
        ):
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


def put_engine_order(fleet: Fleet, models: list[str], version: int = 0) -> int:
    value = {"group": "quotes", "models": models}
    return fleet.put_object("engine_order", "quotes", value, version)


def read_lease_holder(fleet: Fleet) -> str:
    status, body, _ = call("GET", fleet.url("store") + "/v1/objects/order_lease/quotes")
    if status != 200:
        return ""
    value = json.loads(body)["value"]
    return json.loads(base64.b64decode(value)).partition(":")[0]


def stream_until_stopped(
    fleet: Fleet, stop_event: threading.Event, results: list[int]
) -> None:
    body = {"model": "quotes", "prompt": "length=40", "stream": True}
    while not stop_event.is_set():
        status, answer, _ = call(
            "POST", fleet.url("entry-1") + "/v1/completions", body, HEADERS
        )
        event_count = answer.decode().count("data: ")
        results.append(event_count if status == 200 else -status)


class OrdersTest(unittest.TestCase):
    def test_model_change_interrupts_no_generation(self):
        """Guards against orders that interrupt engines with running generations."""
        fleet = start_fleet(self, enforced=True)
        stop_event, results = threading.Event(), []
        clients = [
            threading.Thread(
                target=stream_until_stopped, args=(fleet, stop_event, results)
            )
            for _ in range(4)
        ]
        for client in clients:
            client.start()
        put_engine_order(fleet, ["base-v2"])
        has_converged = wait_for_models(fleet, ["base-v2"])
        stop_event.set()
        for client in clients:
            client.join()
        self.assertTrue(has_converged)
        interrupted_counts = [
            order["interrupted"]
            for name in ENGINES
            for order in engine_orders(fleet, name)
        ]
        self.assertEqual(sum(interrupted_counts), 0)
        self.assertEqual(set(results), {41})

    def test_suspended_holder_has_no_lasting_effect(self):
        """Guards against orders from a holder that resumes after its lease expired."""
        for enforced in (True, False):
            with self.subTest(enforced=enforced):
                fleet = start_fleet(self, enforced)
                version = put_engine_order(fleet, ["base-v2"])
                self.assertTrue(wait_for_models(fleet, ["base-v2"]))
                holder = read_lease_holder(fleet)
                fleet.send_signal(holder, signal.SIGSTOP)
                put_engine_order(fleet, ["base-v3"], version)
                self.assertTrue(wait_for_models(fleet, ["base-v3"]))
                self.assertNotEqual(read_lease_holder(fleet), holder)
                order_counts_before = [
                    len(engine_orders(fleet, name)) for name in ENGINES
                ]
                fleet.send_signal(holder, signal.SIGCONT)
                time.sleep(2.0)
                order_counts_after = [
                    len(engine_orders(fleet, name)) for name in ENGINES
                ]
                self.assertEqual(order_counts_before, order_counts_after)
                self.assertTrue(wait_for_models(fleet, ["base-v3"]))
                fleet.stop()

    def test_effect_of_late_order_is_repaired(self):
        """Guards against lasting effects of a late order on an engine without fencing.

        A late order carries the fencing number of an earlier lease.
        """
        fleet = start_fleet(self, enforced=False)
        put_engine_order(fleet, ["base-v2"])
        self.assertTrue(wait_for_models(fleet, ["base-v2"]))
        late_order = {"kind": "load_model", "subject": "base-v1", "fencing_number": 1}
        call("POST", fleet.url("engine-1") + "/orders", late_order)
        self.assertIn("base-v1", engine_state(fleet, "engine-1")["models"])
        self.assertTrue(wait_for_models(fleet, ["base-v2"]))
