"""A request that crashes engines, through separate processes."""

from __future__ import annotations

import json
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

    def post(self, prompt, stream):
        body = {"model": "quotes", "prompt": prompt, "stream": stream}
        url = self.fleet.url("entry-1") + "/v1/completions"
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


if __name__ == "__main__":
    unittest.main()
