"""Entries as processes beside odd registrations that another writer left."""

from __future__ import annotations

import json
import time
import unittest

from fakes.platform_fleet import (
    DEFAULT_ROUTES,
    HOST,
    KEY,
    OBJECTS,
    PLAIN_SERVICE,
    PlatformFleet,
    route,
)
from fakes.processes import call

ENTRIES = ("entry-1", "entry-2")
DEEP_VALUE = "[" * 3000 + "]" * 3000
ODD_ITEMS = (
    DEEP_VALUE,
    '{"metadata":{"name":"odd-1","revision":3},"spec":' + DEEP_VALUE + "}",
    '{"metadata":{"name":"odd-2","revision":1e400},"spec":{}}',
    '{"metadata":{"name":"odd-3","revision":3},"spec":{"slots":1e400}}',
    '{"metadata":{"name":"odd-4","revision":3},"spec":null}',
)
# Registrations of the right form with values out of range, by kind.
ODD_SPECS = {
    "servers": {
        "service": PLAIN_SERVICE,
        "address": "127.0.0.1:99999",
        "zone": "a",
        "state": "ready",
        "slots": 8,
    },
    "carawayhitch-entries": {
        "address": "127.0.0.1",
        "peer_port": 99999,
        "http_port": 99999,
        "zone": "a",
        "region": "r1",
    },
}
PROPAGATION_SECONDS = 8.0


class OddRegistrationsTest(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet()
        self.addCleanup(self.fleet.stop)
        self.fleet.start_store()
        self.fleet.configure()
        self.fleet.start_server("plain-1", PLAIN_SERVICE)

    def call_status(self, entry, path):
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
        headers |= {"Carawayhitch-Request-Id": f"call-{time.time_ns()}"}
        url = self.fleet.url(entry) + path
        return call("GET", url, None, headers)[0]

    def assert_served(self, path):
        deadline = time.monotonic() + PROPAGATION_SECONDS
        statuses = {}
        while time.monotonic() < deadline:
            statuses = {entry: self.call_status(entry, path) for entry in ENTRIES}
            if set(statuses.values()) == {200}:
                return
            time.sleep(0.1)
        self.fail(f"{path}: statuses {statuses}")

    def add_odd_registrations(self):
        url = self.fleet.url("store") + "/fake/faults"
        call("POST", url, {"odd_items": list(ODD_ITEMS)})
        for kind, spec in ODD_SPECS.items():
            body = {"metadata": {"name": "another-writer"}, "spec": spec}
            self.fleet.store_call("POST", f"{OBJECTS}/{kind}", body)

    def assert_still_followed(self):
        """Check that later changes of routes and servers reach every entry."""
        added = route("added", "safe", PLAIN_SERVICE)
        self.assertTrue(self.fleet.configure((*DEFAULT_ROUTES, added)))
        self.assert_served("/added/x")
        self.fleet.start_server("plain-2", PLAIN_SERVICE)
        self.fleet.store_call("DELETE", f"{OBJECTS}/servers/plain-1")
        self.fleet.kill("plain-1")
        self.assert_served("/look/x")
        for entry in ENTRIES:
            self.assertIsNone(self.fleet.processes_by_name[entry].poll())

    def test_entries_keep_following_the_store(self):
        """Guards against entries that end, or follow no more changes.

        The odd registrations appear while the entries watch the store.
        """
        for entry in ENTRIES:
            self.fleet.start_gateway(entry)
        self.assert_served("/look/x")
        self.add_odd_registrations()
        self.assert_still_followed()
        log = self.fleet.log_text(ENTRIES[0])
        self.assertIn("STORE_OBJECT_UNREADABLE", log)
        self.assertIn("another-writer", log)
        self.assertNotIn("task failed", log)

    def test_entries_start_beside_odd_registrations(self):
        """Guards against entries that never become ready, since their lists fail."""
        self.add_odd_registrations()
        for entry in ENTRIES:
            self.fleet.start_gateway(entry)
        self.assert_still_followed()

    def test_odd_registration_is_logged_once(self):
        """Guards against a log that fills with the same odd registrations."""
        for entry in ENTRIES:
            self.fleet.start_gateway(entry)
        self.add_odd_registrations()
        self.assert_still_followed()
        lines = [
            json.loads(line)
            for line in self.fleet.log_text(ENTRIES[0]).splitlines()
            if "another-writer" in line
        ]
        by_problem = [line["problem"] for line in lines if "problem" in line]
        self.assertEqual(len(by_problem), len(set(by_problem)))


if __name__ == "__main__":
    unittest.main()
