"""Schedulers that crash, hang, stop and restart while requests queue and run."""

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
MEMBER_COUNT_PATTERN = re.compile(
    r'^carawayhitch_members\{state="(\w+)"\} (\d+)', re.MULTILINE
)
CALLERS_PER_ENTRY = 6
SHORT_STREAM_TOKENS, LONG_STREAM_TOKENS = 20, 500


class Answer(NamedTuple):
    """Outcome of one request.

    Parameters
    ----------
    length : int
        Number of tokens that were requested.
    whole : bool
        Whether all tokens arrived once, in order, up to the end of the stream.
    """

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
    return {state: int(value) for state, value in MEMBER_COUNT_PATTERN.findall(text)}


class MembershipProcessesTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(SETTINGS)
        self.addCleanup(self.fleet.stop)
        self.fleet.start_platform()
        # A low running limit, so that requests always queue at the scheduler.
        self.fleet.start_engine("engine-1", "--running-limit", "4")
        self.fleet.put_defaults()
        for entry in ENTRIES:
            self.fleet.start_entry(entry)
        self.wait_for_members(ENTRIES, {"alive": 3})
        self.scheduler, *self.others = order_by_rendezvous(CELL_ID, ENTRIES)
        self.lock = threading.Lock()
        self.answers = []
        self.load_running = threading.Event()

    def wait_for_members(self, entries, expected, timeout=30.0):
        """Wait until all entries count these members; return the time in seconds."""
        started = time.monotonic()
        while time.monotonic() - started < timeout:
            counts = [member_counts(self.fleet, entry) for entry in entries]
            if all(found == expected for found in counts):
                return time.monotonic() - started
            time.sleep(0.05)
        self.fail(f"expected {expected}, found {counts}")

    def _call_while_load_runs(self, entry):
        while self.load_running.is_set():
            answer = generate(self.fleet, entry, SHORT_STREAM_TOKENS)
            with self.lock:
                self.answers.append(answer)

    def run_under_load(self, inject_fault, seconds=8.0):
        """Inject a fault under load; return the longest short request in seconds.

        Callers of the two other entries keep the queue full, and two long streams run
        during the fault. Without a fault, a short request takes about 1.7 s, because
        twelve callers share the two running slots that the streams leave free.
        """
        self.load_running.set()
        with ThreadPoolExecutor(2 * CALLERS_PER_ENTRY + 2) as pool:
            streams = [
                pool.submit(generate, self.fleet, entry, LONG_STREAM_TOKENS)
                for entry in self.others
            ]
            call_loops = [
                pool.submit(self._call_while_load_runs, entry)
                for entry in self.others
                for _ in range(CALLERS_PER_ENTRY)
            ]
            time.sleep(2.0)
            inject_fault()
            time.sleep(seconds)
            self.load_running.clear()
            for call_loop in call_loops:
                call_loop.result()
            self.answers.extend(stream.result() for stream in streams)
        return max(
            answer.finished_at - answer.started_at
            for answer in self.answers
            if answer.length == SHORT_STREAM_TOKENS
        )

    def assert_all_complete(self):
        incomplete_answers = [
            answer
            for answer in self.answers
            if answer.status != 200 or not answer.whole
        ]
        self.assertEqual(incomplete_answers, [])

    def print_duration(self, description, seconds):
        print(f"{description}: {seconds:.2f} s, {len(self.answers)} answers")

    def test_scheduler_is_killed(self):
        """Guards against queued requests that stay with a dead scheduler."""
        longest = self.run_under_load(lambda: self.fleet.kill(self.scheduler))
        self.print_duration("longest request after SIGKILL", longest)
        self.assert_all_complete()
        self.assertLess(longest, 5.5)
        self.wait_for_members(self.others, {"alive": 2, "dead": 1})

    def test_scheduler_is_suspended_and_resumed(self):
        """Guards against a resumed scheduler that disrupts requests moved elsewhere."""

        def suspend_and_resume():
            self.fleet.send_signal(self.scheduler, signal.SIGSTOP)
            time.sleep(9.0)
            self.fleet.send_signal(self.scheduler, signal.SIGCONT)

        longest = self.run_under_load(suspend_and_resume, seconds=4.0)
        self.print_duration("longest request around SIGSTOP and SIGCONT", longest)
        self.assert_all_complete()
        self.assertLess(longest, 5.5)
        self.wait_for_members(ENTRIES, {"alive": 3})

    def test_scheduler_is_stopped(self):
        """Guards against a planned stop that interrupts queued or running requests."""
        longest = self.run_under_load(
            lambda: self.fleet.send_signal(self.scheduler, signal.SIGTERM)
        )
        self.print_duration("longest request after SIGTERM", longest)
        self.assertEqual(self.fleet.wait_exit(self.scheduler), 0)
        self.assert_all_complete()
        self.assertLess(longest, 4.0)
        self.wait_for_members(self.others, {"alive": 2, "left": 1}, timeout=3.0)

    def test_scheduler_process_restarts_at_once(self):
        """Guards against losing the queue when a scheduler process restarts at once."""

        def restart():
            self.fleet.kill(self.scheduler)
            self.fleet.start_entry(self.scheduler)

        longest = self.run_under_load(restart)
        self.print_duration("longest request around a restart", longest)
        self.assert_all_complete()
        self.assertLess(longest, 5.5)
        self.wait_for_members(ENTRIES, {"alive": 3})

    def test_half_of_the_entries_is_suspended_and_resumed(self):
        """Guards against a membership that stays split after a zone outage."""
        self.fleet.start_entry("entry-4")
        all_entries = (*ENTRIES, "entry-4")
        self.wait_for_members(all_entries, {"alive": 4})
        for entry in all_entries[:2]:
            self.fleet.send_signal(entry, signal.SIGSTOP)
        self.wait_for_members(all_entries[2:], {"alive": 2, "dead": 2})
        self.assertEqual(generate(self.fleet, "entry-4", 5).status, 200)
        for entry in all_entries[:2]:
            self.fleet.send_signal(entry, signal.SIGCONT)
        recovery_seconds = self.wait_for_members(all_entries, {"alive": 4})
        self.print_duration("time until all members are alive again", recovery_seconds)

    def test_malformed_datagrams_are_discarded(self):
        """Guards against unauthenticated datagrams that reach a controller."""
        port = self.fleet.entry_ports["entry-1"][1]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unknown_sender:
            for size in range(0, 1400, 7):
                unknown_sender.sendto(bytes([size % 251]) * size, ("127.0.0.1", port))
        text = call("GET", self.fleet.url("entry-1") + "/metrics")[1].decode()
        self.assertRegex(text, r'name="PEER_MESSAGE_MALFORMED",rank=""\} \d+')
        self.assertEqual(generate(self.fleet, "entry-1", 5).status, 200)
        self.wait_for_members(ENTRIES, {"alive": 3})


class SeedsFromVmListTest(unittest.TestCase):
    def test_entries_find_each_other_through_the_vm_list(self):
        """Guards against replaced VMs that cannot join.

        No settings file names replaced VMs as seeds; the VM list has to.
        """
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
