"""Ports of fleets that run at the same time."""

from __future__ import annotations

import os
import subprocess
import sys
import unittest
from pathlib import Path

from fakes.processes import PORT_BLOCK, PORT_COUNT, Fleet, call

ROOT = Path(__file__).parent.parent.parent
# Process ids with this difference start the search at the same port.
CLASHING_ID_DIFFERENCE = PORT_COUNT // PORT_BLOCK + 1
RESERVATIONS = 20
RESERVE_PORTS = f"""
import os, sys
os.getpid = lambda: int(sys.argv[1])
from fakes import processes
fleet = processes.Fleet()
print(*(fleet.reserve_port() for _ in range({RESERVATIONS})), flush=True)
sys.stdin.read()
fleet.stop()
"""


def start_reserving(process_id: int) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-c", RESERVE_PORTS, str(process_id)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


class PortReservationTest(unittest.TestCase):
    def test_concurrent_runs_reserve_different_ports(self):
        """Guards against two test runs that use the same ports.

        Process ids that start the search at overlapping ports got the same ports while
        no process listened on them yet, so one of two fleets failed to bind or received
        the calls of the other.
        """
        process_id = os.getpid()
        processes = [
            start_reserving(process_id),
            start_reserving(process_id + CLASHING_ID_DIFFERENCE),
        ]
        reserved = [
            {int(port) for port in process.stdout.readline().split()}
            for process in processes
        ]
        for process in processes:
            process.communicate("")
        self.assertEqual([len(ports) for ports in reserved], [RESERVATIONS] * 2)
        self.assertFalse(reserved[0] & reserved[1])

    def test_failed_start_tells_an_exit_from_a_slow_start(self):
        """Guards against failures of which the time and the exit are unknown."""
        with Fleet() as fleet:
            with self.assertRaisesRegex(RuntimeError, r"exited with status 1, load"):
                fleet.start_module("absent", "fakes.absent")
            fleet.start_module("store", "fakes.object_store")
            described = fleet.describe_failed_start("store", "is not ready")
            self.assertRegex(described, r"is not ready \d+\.\d s after .*, runs, load")

    def test_process_restarts_on_its_reserved_port(self):
        """Guards against a reservation that keeps its own process from listening."""
        with Fleet() as fleet:
            for _ in range(2):
                fleet.start_module("store", "fakes.platform_store")
                status, _, _ = call("GET", fleet.url("store") + "/fake/calls")
                self.assertEqual(status, 200)
                fleet.kill("store")

    def test_stopped_fleet_releases_its_ports(self):
        """Guards against a run that uses up the ports of its block."""
        fleet = Fleet()
        port = fleet.reserve_port()
        holders = fleet.port_holders
        fleet.stop()
        self.assertGreater(port, 0)
        self.assertTrue(all(holder.fileno() < 0 for holder in holders))


if __name__ == "__main__":
    unittest.main()
