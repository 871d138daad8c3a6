"""Schedulers that die, freeze, leave and return while requests wait and run."""

from __future__ import annotations

import re
import signal
import socket
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from carawayhitch.controllers._cells import order_by_rendezvous
from fakes.processes import ACCOUNT_TOKENS, Fleet, call

HEADERS = {
    "Authorization": f"Bearer {ACCOUNT_TOKENS['hotel']}",
    "Content-Type": "application/json",
}
ENTRIES = ("entry-1", "entry-2", "entry-3")
CELL_ID = "quotes/r1/0"
SETTINGS = "[drain]\nreadiness_grace_seconds = 1.0\n"
MEMBERS = re.compile(r'^carawayhitch_members\{state="(\w+)"\} (\d+)', re.MULTILINE)
CLIENTS_PER_ENTRY = 6
SHORT, LONG = 20, 500


class Answer(NamedTuple):
    """What one caller received."""

    length: int
    status: int
    started_at: float
    finished_at: float
    whole: bool


def generate(fleet, entry, length):
    started_at = time.monotonic()
    body = {"model": "quotes", "prompt": f"length={length}", "stream": True}
    status, answer, _ = call(
        "POST", fleet.url(entry) + "/v1/completions", body, HEADERS, timeout=60.0
    )
    lines = answer.decode().splitlines()
    sequences = [int(line[4:]) for line in lines if line.startswith("id: ")]
    whole = sequences == list(range(1, length + 2)) and lines[-2] == "data: [DONE]"
    return Answer(length, status, started_at, time.monotonic(), whole)


def member_counts(fleet, entry):
    text = call("GET", fleet.url(entry) + "/metrics")[1].decode()
    return {state: int(value) for state, value in MEMBERS.findall(text)}


class MembershipProcessesTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(SETTINGS)
        self.addCleanup(self.fleet.stop)
        self.fleet.start_platform()
        # Few places, so that requests always wait at the scheduler.
        self.fleet.start_engine("engine-1", "--running-limit", "4")
        self.fleet.put_defaults()
        for entry in ENTRIES:
            self.fleet.start_entry(entry)
        self.wait_for_members(ENTRIES, {"alive": 3})
        self.scheduler, *self.others = order_by_rendezvous(CELL_ID, ENTRIES)
        self.lock = threading.Lock()
        self.answers = []
        self.loading = threading.Event()

    def wait_for_members(self, entries, expected, timeout=30.0):
        """Return the time in seconds until all entries count these members."""
        started = time.monotonic()
        while time.monotonic() - started < timeout:
            counts = [member_counts(self.fleet, entry) for entry in entries]
            if all(found == expected for found in counts):
                return time.monotonic() - started
            time.sleep(0.05)
        self.fail(f"expected {expected}, found {counts}")

    def _call_in_a_loop(self, entry):
        while self.loading.is_set():
            answer = generate(self.fleet, entry, SHORT)
            with self.lock:
                self.answers.append(answer)

    def run_under_load(self, disturb, seconds=8.0):
        """Return the longest time in seconds that a short request took.

        Callers of the two other entries keep the queue full, and two long streams run
        through the disturbance. Undisturbed, a short request takes about 1.7 s,
        because twelve share the two places that the streams leave.
        """
        self.loading.set()
        with ThreadPoolExecutor(2 * CLIENTS_PER_ENTRY + 2) as pool:
            streams = [
                pool.submit(generate, self.fleet, entry, LONG) for entry in self.others
            ]
            loops = [
                pool.submit(self._call_in_a_loop, entry)
                for entry in self.others
                for _ in range(CLIENTS_PER_ENTRY)
            ]
            time.sleep(2.0)
            disturb()
            time.sleep(seconds)
            self.loading.clear()
            for loop in loops:
                loop.result()
            self.answers.extend(stream.result() for stream in streams)
        return max(
            answer.finished_at - answer.started_at
            for answer in self.answers
            if answer.length == SHORT
        )

    def assert_all_whole(self):
        wrong = [
            answer
            for answer in self.answers
            if answer.status != 200 or not answer.whole
        ]
        self.assertEqual(wrong, [])

    def report(self, what, seconds):
        print(f"{what}: {seconds:.2f} s, {len(self.answers)} answers")

    def test_scheduler_is_killed(self):
        """Guards against waiting requests that stay with a dead scheduler."""
        longest = self.run_under_load(lambda: self.fleet.kill(self.scheduler))
        self.report("longest request after SIGKILL", longest)
        self.assert_all_whole()
        self.assertLess(longest, 5.5)
        self.wait_for_members(self.others, {"alive": 2, "dead": 1})

    def test_scheduler_is_frozen_and_wakes(self):
        """Guards against a woken scheduler that breaks what moved away from it."""

        def freeze_and_wake():
            self.fleet.send_signal(self.scheduler, signal.SIGSTOP)
            time.sleep(9.0)
            self.fleet.send_signal(self.scheduler, signal.SIGCONT)

        longest = self.run_under_load(freeze_and_wake, seconds=4.0)
        self.report("longest request around SIGSTOP and SIGCONT", longest)
        self.assert_all_whole()
        self.assertLess(longest, 5.5)
        self.wait_for_members(ENTRIES, {"alive": 3})

    def test_scheduler_leaves(self):
        """Guards against a planned stop that interrupts waiting or running work."""
        longest = self.run_under_load(
            lambda: self.fleet.send_signal(self.scheduler, signal.SIGTERM)
        )
        self.report("longest request after SIGTERM", longest)
        self.assertEqual(self.fleet.wait_exit(self.scheduler), 0)
        self.assert_all_whole()
        self.assertLess(longest, 4.0)
        self.wait_for_members(self.others, {"alive": 2, "left": 1}, timeout=3.0)

    def test_scheduler_restarts_at_once(self):
        """Guards against a new process that lacks what the old one had queued."""

        def restart():
            self.fleet.kill(self.scheduler)
            self.fleet.start_entry(self.scheduler)

        longest = self.run_under_load(restart)
        self.report("longest request around a restart", longest)
        self.assert_all_whole()
        self.assertLess(longest, 5.5)
        self.wait_for_members(ENTRIES, {"alive": 3})

    def test_half_of_the_entries_stops_and_returns(self):
        """Guards against a zone cut that leaves two parts after it has healed."""
        self.fleet.start_entry("entry-4")
        everyone = (*ENTRIES, "entry-4")
        self.wait_for_members(everyone, {"alive": 4})
        for entry in everyone[:2]:
            self.fleet.send_signal(entry, signal.SIGSTOP)
        self.wait_for_members(everyone[2:], {"alive": 2, "dead": 2})
        self.assertEqual(generate(self.fleet, "entry-4", 5).status, 200)
        for entry in everyone[:2]:
            self.fleet.send_signal(entry, signal.SIGCONT)
        healed = self.wait_for_members(everyone, {"alive": 4})
        self.report("both halves complete again", healed)

    def test_garbage_disturbs_nothing(self):
        """Guards against datagrams of strangers reaching a controller."""
        port = self.fleet.entry_ports["entry-1"][1]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            for size in range(0, 1400, 7):
                stranger.sendto(bytes([size % 251]) * size, ("127.0.0.1", port))
        text = call("GET", self.fleet.url("entry-1") + "/metrics")[1].decode()
        self.assertRegex(text, r'name="PEER_MESSAGE_MALFORMED",rank=""\} \d+')
        self.assertEqual(generate(self.fleet, "entry-1", 5).status, 200)
        self.wait_for_members(ENTRIES, {"alive": 3})


class SeedsFromVmListTest(unittest.TestCase):
    def test_entries_find_each_other_by_the_list(self):
        """Guards against replaced VMs that no settings file names as seeds."""
        fleet = Fleet(vm_list_interval_seconds=0.3, seeds_from_vm_list=True)
        self.addCleanup(fleet.stop)
        fleet.start_platform()
        fleet.start_engine("engine-1")
        fleet.put_defaults()
        for name in ENTRIES:
            fleet.start_entry(name)
        deadline = time.monotonic() + 20.0
        while time.monotonic() < deadline:
            counts = [alive_count(fleet, name) for name in ENTRIES]
            if counts == [len(ENTRIES)] * len(ENTRIES):
                return
            time.sleep(0.1)
        self.fail(f"members alive as seen by each entry: {counts}")


def alive_count(fleet: Fleet, name: str) -> int:
    text = call("GET", fleet.url(name) + "/metrics")[1].decode()
    found = re.search(r'carawayhitch_members\{state="alive"\} (\d+)', text)
    return int(found[1]) if found else 0
