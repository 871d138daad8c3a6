"""Calls that crash plain servers or engines, tested with separate processes."""

from __future__ import annotations

import time
import unittest

from fakes.platform_fleet import MODEL_SERVICE, PLAIN_SERVICE, PlatformFleet

ENTRIES = ("entry-0", "entry-1", "entry-2")
SERVERS = tuple(f"plain-{index}" for index in range(8))
# The start-up of a fleet ends before entries know each other.
MEMBERSHIP_SECONDS = 2.0
# Callers return after a round trip at least; a record reaches the other entries after
# the check of the server, which follows 0.05 s after the crash.
RESEND_PAUSE_SECONDS = 0.2
ENGINES = tuple(f"engine-{index}" for index in range(8))


def started_fleet(test, servers, service, **faults):
    """Return a fleet of three entries whose servers have a fault."""
    fleet = PlatformFleet()
    test.addCleanup(fleet.stop)
    fleet.start_store()
    fleet.configure()
    for name in servers:
        fleet.start_server(name, service)
        fleet.server_faults(name, **faults)
    for name in ENTRIES:
        fleet.start_gateway(name, wait=False)
    for name in ENTRIES:
        fleet.wait_gateway(name)
    time.sleep(MEMBERSHIP_SECONDS)
    return fleet


def crashed_servers(fleet, servers):
    """Return the servers whose processes have ended."""
    processes = fleet.processes_by_name
    return [name for name in servers if processes[name].poll() is not None]


class CrashingCallTest(unittest.TestCase):
    def setUp(self):
        self.fleet = started_fleet(self, SERVERS, PLAIN_SERVICE, crash_on="crashing")

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
        self.assertLessEqual(len(crashed_servers(self.fleet, SERVERS)), 3)
        self.assertEqual(refused, [503] * 3)
        self.assertEqual(self.fleet.ask("entry-0", "/look/sound", "GET")[0], 200)

    def test_order_resent_at_any_entry_crashes_at_most_three_servers(self):
        """Guards against an order that crashes one server after another."""
        refused = self.resend("/order/crashing", "POST")
        self.assertLessEqual(len(crashed_servers(self.fleet, SERVERS)), 3)
        self.assertEqual(refused, [503] * 3)
        self.assertEqual(self.fleet.ask("entry-0", "/order/sound")[0], 200)


class DeadlyPromptPartTest(unittest.TestCase):
    def setUp(self):
        self.fleet = started_fleet(self, ENGINES, MODEL_SERVICE, crash_on_part="dead")

    def draft(self, entry, number, *parts):
        """Stream a draft; return the status."""
        prefix = ",".join((*parts, f"own{number}:50"))
        return self.fleet.ask(
            entry,
            f"/draft/{number}?events=3",
            body=f"draft {number}".encode(),
            Carawayhitch_Token_Count="100,20",
            Carawayhitch_Prompt_Prefix=prefix,
        )[0]

    def test_unlike_requests_with_one_part_crash_at_most_three_engines(self):
        """Guards against prompts that share a part and crash all engines in turn."""
        deadly, sound = [], []
        for number in range(8):
            entry = ENTRIES[number % 3]
            deadly.append(self.draft(entry, f"a{number}", "root:20", "dead:30"))
            time.sleep(RESEND_PAUSE_SECONDS)
            sound.append(self.draft(entry, f"b{number}", "root:20"))
        self.assertLessEqual(len(crashed_servers(self.fleet, ENGINES)), 3, deadly)
        self.assertEqual(deadly[-3:], [503] * 3)
        self.assertEqual(sound, [200] * 8)


if __name__ == "__main__":
    unittest.main()
