"""Entries as processes with the deployed store settings, while zones are taken out."""

from __future__ import annotations

import contextlib
import json
import threading
import time
import unittest

from fakes.platform_fleet import (
    MODEL_SERVICE,
    OBJECTS,
    PLAIN_SERVICE,
    ZONE_DRAIN_KIND,
    PlatformFleet,
)
from fakes.processes import call
from tests.test_deploy import TEMPLATE_FIELDS, read_rendered_settings
from tests.test_platform_path import becomes_true_within

# Older than the bound, so that nothing in time rests on stale reads.
STALE_SECONDS = 6.0
EVACUATE_MILLISECONDS = 5000
# Pushes of the watchers arrive far earlier than the bound demands.
LIMIT_SECONDS = 2.5
SETTLED_SECONDS = 1.0
ENTRIES = {"entry-0": "a", "entry-1": "a", "entry-2": "a", "entry-3": "b"}
SERVERS = {"plain-a": "a", "plain-b": "b"}
CALL_INTERVAL_SECONDS = 0.02
DRAIN = f"{OBJECTS}/{ZONE_DRAIN_KIND}"


def deployed_store_text() -> str:
    """Return the store settings of a deployment with a bound for zone drains."""
    bounds = {**TEMPLATE_FIELDS["bounds"], "evacuateMs": EVACUATE_MILLISECONDS}
    store = read_rendered_settings({**TEMPLATE_FIELDS, "bounds": bounds}).store
    values = store._replace(url="")._asdict()
    return "\n".join(
        f"{key} = {json.dumps(value)}" for key, value in values.items() if key != "url"
    )


class ZoneDrainTest(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet(store_text=deployed_store_text())
        self.addCleanup(self.fleet.stop)
        self.fleet.start_store()
        self.fleet.configure()
        for name, zone in SERVERS.items():
            self.fleet.start_server(name, PLAIN_SERVICE, zone)
        self.fleet.start_server("engine-a", MODEL_SERVICE, "a")
        for name, zone in ENTRIES.items():
            self.fleet.start_gateway(name, zone, wait=False)
        for name in ENTRIES:
            self.fleet.wait_gateway(name)
        # The entries find each other and the watchers of their zones.
        time.sleep(3.0)
        faults = {"stale_seconds": STALE_SECONDS}
        call("POST", self.fleet.url("store") + "/fake/faults", faults)
        self.stopped = threading.Event()

    def load(self, entry):
        while not self.stopped.wait(CALL_INTERVAL_SECONDS):
            # An entry that is restarted refuses connections.
            with contextlib.suppress(OSError):
                self.fleet.ask(entry, "/look/1")

    def start_load(self):
        threads = [threading.Thread(target=self.load, args=(e,)) for e in ENTRIES]
        for thread in threads:
            thread.start()
        self.addCleanup(lambda: [thread.join() for thread in threads])
        self.addCleanup(self.stopped.set)

    def run_count(self, name):
        return len(self.fleet.server_call_record(name)["seen"])

    def take_out(self, zone):
        status, _ = self.fleet.store_call(
            "POST", DRAIN, {"metadata": {"name": zone}, "spec": {}}
        )
        self.assertIn(status, (200, 201))

    def take_back(self, zone):
        self.fleet.store_call("DELETE", f"{DRAIN}/{zone}")

    def assert_idle(self, name):
        before = self.run_count(name)
        time.sleep(SETTLED_SECONDS)
        self.assertEqual(self.run_count(name), before)

    def test_zone_is_out_of_use_in_time_and_comes_back(self):
        """Guards against calls to a drained zone, as old data lacks the drain."""
        self.start_load()
        time.sleep(0.5)
        self.assertGreater(self.run_count("plain-a"), 0)
        self.take_out("a")
        time.sleep(LIMIT_SECONDS)
        self.assert_idle("plain-a")
        # A restarted entry knows the drain although stale reads may lack it.
        self.fleet.kill("entry-0")
        self.fleet.start_gateway("entry-0")
        self.assert_idle("plain-a")
        before = self.run_count("plain-a")
        self.take_back("a")
        self.assertTrue(
            becomes_true_within(
                LIMIT_SECONDS, lambda: self.run_count("plain-a") > before
            )
        )

    def test_call_without_a_zone_in_use_is_refused_in_time(self):
        """Guards against calls that wait for engines that are all out of use."""
        self.take_out("a")
        time.sleep(LIMIT_SECONDS)
        for entry in ENTRIES:
            started = time.monotonic()
            status, body, headers = self.fleet.ask(entry, "/draft/1")
            self.assertEqual((status, body), (503, b"ZONE_DRAINED\n"))
            self.assertLess(time.monotonic() - started, 1.0)
            self.assertGreaterEqual(float(headers["Retry-After"]), 1.0)


if __name__ == "__main__":
    unittest.main()
