"""Entries with the deployed store settings while stale reads are seconds old."""

from __future__ import annotations

import json
import threading
import time
import tomllib
import unittest
from pathlib import Path

from fakes.platform_fleet import PLAIN_SERVICE, PlatformFleet
from fakes.platform_template import render
from fakes.processes import call
from tests.test_deploy import TEMPLATE_FIELDS
from tests.test_platform_path import CHANGE_LIMIT_SECONDS

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


if __name__ == "__main__":
    unittest.main()
