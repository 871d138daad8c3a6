"""Calls that crash the servers of a plain service, tested with separate processes."""

from __future__ import annotations

import time
import unittest

from fakes.platform_fleet import PLAIN_SERVICE, PlatformFleet

ENTRIES = ("entry-0", "entry-1", "entry-2")
SERVERS = tuple(f"plain-{index}" for index in range(8))
# The start-up of a fleet ends before entries know each other.
MEMBERSHIP_SECONDS = 2.0
# Callers return after a round trip at least; a record reaches the other entries after
# the check of the server, which follows 0.05 s after the crash.
RESEND_PAUSE_SECONDS = 0.2


class CrashingCallTest(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet()
        self.addCleanup(self.fleet.stop)
        self.fleet.start_store()
        self.fleet.configure()
        for name in SERVERS:
            self.fleet.start_server(name, PLAIN_SERVICE)
            self.fleet.server_faults(name, crash_on="crashing")
        for name in ENTRIES:
            self.fleet.start_gateway(name, wait=False)
        for name in ENTRIES:
            self.fleet.wait_gateway(name)
        time.sleep(MEMBERSHIP_SECONDS)

    def crashed_servers(self):
        processes = self.fleet.processes_by_name
        return [name for name in SERVERS if processes[name].poll() is not None]

    def resend(self, path, method):
        """Send a call twice through each entry; return the last three statuses."""
        statuses = []
        for entry in ENTRIES * 2:
            statuses.append(self.fleet.ask(entry, path, method, body=b"same")[0])
            time.sleep(RESEND_PAUSE_SECONDS)
        return statuses[-3:]

    def test_lookup_resent_at_any_entry_crashes_at_most_three_servers(self):
        """Guards against a lookup that crashes one server of a service after another.

        Each entry chooses the servers of a plain service by itself.
        """
        refused = self.resend("/look/crashing", "GET")
        self.assertLessEqual(len(self.crashed_servers()), 3)
        self.assertEqual(refused, [503] * 3)
        self.assertEqual(self.fleet.ask("entry-0", "/look/sound", "GET")[0], 200)

    def test_order_resent_at_any_entry_crashes_at_most_three_servers(self):
        """Guards against an order that crashes one server after another."""
        refused = self.resend("/order/crashing", "POST")
        self.assertLessEqual(len(self.crashed_servers()), 3)
        self.assertEqual(refused, [503] * 3)
        self.assertEqual(self.fleet.ask("entry-0", "/order/sound")[0], 200)


if __name__ == "__main__":
    unittest.main()
