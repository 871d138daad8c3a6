"""Entries with the deployed store settings while stale reads are seconds old."""

from __future__ import annotations

import json
import threading
import time
import tomllib
import unittest
from pathlib import Path

from fakes.platform_fleet import (
    DEFAULT_ROUTES,
    PLAIN_SERVICE,
    PlatformFleet,
    route,
)
from fakes.platform_template import render
from fakes.processes import call
from tests.test_deploy import TEMPLATE_FIELDS
from tests.test_platform_path import CHANGE_LIMIT_SECONDS, becomes_true_within

TEMPLATE_PATH = Path(__file__).parent.parent / "deploy" / "settings.toml"
STALE_SECONDS = 3.0
ENTRIES = tuple(f"entry-{index}" for index in range(5))
CALL_INTERVAL_SECONDS = 0.05


def deployed_store_text() -> str:
    """Return the store settings of the deployment, without the address."""
    settings = tomllib.loads(render(TEMPLATE_PATH.read_text(), TEMPLATE_FIELDS))
    values = {k: v for k, v in settings["store"].items() if k != "url"}
    return "\n".join(f"{key} = {json.dumps(value)}" for key, value in values.items())


class StaleReadsTest(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet(store_text=deployed_store_text())
        self.addCleanup(self.fleet.stop)
        self.fleet.start_store()
        self.fleet.configure()
        for index in range(3):
            self.fleet.start_server(f"plain-{index}", PLAIN_SERVICE)
        for name in ENTRIES:
            self.fleet.start_gateway(name, wait=False)
        for name in ENTRIES:
            self.fleet.wait_gateway(name)
        # The entries find each other and the watchers of their zone.
        time.sleep(3.0)
        faults = {"stale_seconds": STALE_SECONDS}
        call("POST", self.fleet.url("store") + "/fake/faults", faults)
        self.stopped = False

    def load(self, entry):
        while not self.stopped:
            self.fleet.ask(entry, "/order/1")
            time.sleep(CALL_INTERVAL_SECONDS)

    def run_count(self, name):
        return len(self.fleet.server_call_record(name)["seen"])

    def test_leaving_server_gets_no_work_after_the_limit(self):
        """Guards against calls to a server that left, as old data still lists it."""
        threads = [threading.Thread(target=self.load, args=(e,)) for e in ENTRIES]
        for thread in threads:
            thread.start()
        try:
            time.sleep(0.5)
            for name in ("plain-0", "plain-1"):
                self.assertGreater(self.run_count(name), 0)
                self.fleet.register(name, PLAIN_SERVICE, state="draining")
                time.sleep(CHANGE_LIMIT_SECONDS)
                before = self.run_count(name)
                time.sleep(STALE_SECONDS - CHANGE_LIMIT_SECONDS + 0.5)
                self.assertEqual(self.run_count(name), before)
        finally:
            self.stopped = True
            for thread in threads:
                thread.join()

    def check_change(self, name, padding_routes):
        padding = tuple(
            route(f"{name}-{index}", "safe", PLAIN_SERVICE)
            for index in range(padding_routes)
        )
        added = route(name, "safe", PLAIN_SERVICE)
        self.fleet.configure((*DEFAULT_ROUTES, added, *padding))
        changed_at = time.monotonic()
        for entry in ENTRIES:
            remaining = changed_at + CHANGE_LIMIT_SECONDS - time.monotonic()
            self.assertTrue(
                becomes_true_within(
                    remaining,
                    lambda entry=entry: self.fleet.ask(entry, f"/{name}/1")[0] == 200,
                ),
                entry,
            )

    def test_large_configuration_is_in_force_in_time(self):
        """Guards against a configuration that peers only announce, read seconds late.

        The second change follows while stale reads still deliver the first.
        """
        for name in ("first", "second", "third"):
            self.check_change(name, padding_routes=100)
            time.sleep(0.5)

    def test_small_configuration_is_in_force_in_time(self):
        """Guards against a configuration that reaches only some entries in time."""
        for name in ("first", "second"):
            self.check_change(name, padding_routes=0)
            time.sleep(0.5)


if __name__ == "__main__":
    unittest.main()
