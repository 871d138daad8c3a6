"""A request that crashes engines, through separate processes."""

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

    def lost_engines(self):
        processes = self.fleet.processes_by_name
        return [name for name in ENGINES if processes[name].poll() is not None]

    def test_resent_request_takes_down_two_engines_at_most(self):
        """Guards against a caller that resends until no engine is left."""
        names = []
        with ThreadPoolExecutor(6) as pool:
            for _ in range(3):
                sent = [pool.submit(self.post, "poison", True) for _ in range(3)]
                beside = [
                    pool.submit(self.post, f"length={20 + index}", False)
                    for index in range(3)
                ]
                answers = [future.result() for future in sent]
                names += [json.loads(body)["error"]["name"] for _, body in answers]
                self.assertEqual([future.result()[0] for future in beside], [200] * 3)
        self.assertLessEqual(len(self.lost_engines()), 2, names)
        self.assertEqual(names[-3:], ["SUSPECT_REFUSED"] * 3)
        self.assertEqual(self.post("length=5", False)[0], 200)

    def test_resends_through_other_entries_are_recognized(self):
        """Guards against a caller that the balancer sends to another entry."""
        entries = ("entry-1", "entry-2", "entry-3")
        for name in entries[1:]:
            self.fleet.start_entry(name)
        names = [
            json.loads(self.post("poison", False, entry)[1])["error"]["name"]
            for entry in entries * 3
        ]
        self.assertLessEqual(len(self.lost_engines()), 2, names)
        self.assertEqual(names[-3:], ["SUSPECT_REFUSED"] * 3)

    def test_record_outlives_the_scheduler(self):
        """Guards against a scheduler whose crash records end with its process."""
        entries = ("entry-1", "entry-2", "entry-3")
        for name in entries[1:]:
            self.fleet.start_entry(name)
        self.post("poison", False)
        scheduler = self.scheduler_of(entries)
        # Crash records travel with the probes, one a second.
        time.sleep(4.0)
        self.fleet.kill(scheduler)
        others = [name for name in entries if name != scheduler]
        time.sleep(6.0)
        names = [
            json.loads(self.post("poison", False, entry)[1])["error"]["name"]
            for entry in others * 3
        ]
        self.assertLessEqual(len(self.lost_engines()), 2, names)
        self.assertEqual(names[-1], "SUSPECT_REFUSED")
        self.assertEqual(self.post("length=5", False, others[0])[0], 200)

    def scheduler_of(self, entries):
        """Return the entry whose log tells of the engine that died."""
        for name in entries:
            if "upstream died" in self.fleet.log_text(name):
                return name
        raise AssertionError("no entry has seen the crash")
