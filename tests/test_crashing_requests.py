"""A request that crashes engines, tested with separate processes."""

from __future__ import annotations

import json
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from fakes.processes import ACCOUNT_TOKENS, Fleet, call

HEADERS = {
    "Authorization": f"Bearer {ACCOUNT_TOKENS['hotel']}",
    "Content-Type": "application/json",
}
ENGINES = [f"engine-{index}" for index in range(5)]


class CrashingRequestTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()
        self.addCleanup(self.fleet.stop)
        self.fleet.start_platform()
        for name in ENGINES:
            self.fleet.start_engine(name)
            url = self.fleet.url(name) + "/fake/crash_on"
            call("POST", url, {"text": "poison"})
        self.fleet.put_defaults()
        self.fleet.start_entry("entry-1")

    def post(self, prompt, stream, entry="entry-1"):
        body = {"model": "quotes", "prompt": prompt, "stream": stream}
        url = self.fleet.url(entry) + "/v1/completions"
        status, answer, _ = call("POST", url, body, HEADERS)
        return status, answer

    def crashed_engines(self):
        processes = self.fleet.processes_by_name
        return [name for name in ENGINES if processes[name].poll() is not None]

    def test_resent_request_crashes_at_most_two_engines(self):
        """Guards against losing all engines to a caller that resends a request."""
        names = []
        with ThreadPoolExecutor(6) as pool:
            for _ in range(3):
                sent = [pool.submit(self.post, "poison", True) for _ in range(3)]
                unaffected = [
                    pool.submit(self.post, f"length={20 + index}", False)
                    for index in range(3)
                ]
                answers = [future.result() for future in sent]
                names += [json.loads(body)["error"]["name"] for _, body in answers]
                self.assertEqual(
                    [future.result()[0] for future in unaffected], [200] * 3
                )
        self.assertLessEqual(len(self.crashed_engines()), 2, names)
        self.assertEqual(names[-3:], ["SUSPECT_REFUSED"] * 3)
        self.assertEqual(self.post("length=5", False)[0], 200)

    def test_resends_through_other_entries_are_recognized(self):
        """Guards against resends that reach another entry through the load balancer."""
        entries = ("entry-1", "entry-2", "entry-3")
        for name in entries[1:]:
            self.fleet.start_entry(name)
        names = [
            json.loads(self.post("poison", False, entry)[1])["error"]["name"]
            for entry in entries * 3
        ]
        self.assertLessEqual(len(self.crashed_engines()), 2, names)
        self.assertEqual(names[-3:], ["SUSPECT_REFUSED"] * 3)

    def test_crash_record_survives_the_scheduler(self):
        """Guards against losing the crash records when the scheduler is killed."""
        entries = ("entry-1", "entry-2", "entry-3")
        for name in entries[1:]:
            self.fleet.start_entry(name)
        self.post("poison", False)
        scheduler = self.scheduler_of(entries)
        # Crash records are sent with the membership probes, one per second.
        time.sleep(4.0)
        self.fleet.kill(scheduler)
        others = [name for name in entries if name != scheduler]
        time.sleep(6.0)
        names = [
            json.loads(self.post("poison", False, entry)[1])["error"]["name"]
            for entry in others * 3
        ]
        self.assertLessEqual(len(self.crashed_engines()), 2, names)
        self.assertEqual(names[-1], "SUSPECT_REFUSED")
        self.assertEqual(self.post("length=5", False, others[0])[0], 200)

    def scheduler_of(self, entries):
        """Return the entry that logged the crash of an engine."""
        for name in entries:
            if "upstream died" in self.fleet.log_text(name):
                return name
        raise AssertionError("no entry logged the crash of an engine")
