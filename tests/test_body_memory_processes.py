"""Memory of an entry process while clients or servers send large bodies."""

from __future__ import annotations

import collections
import http.client
import threading
import time
import unittest
from pathlib import Path

from fakes.platform_fleet import (
    HOST,
    KEY,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    PlatformFleet,
)

# Memory of a machine of the smallest deployment.
LIMIT_MEGABYTES = 136
BODY_BYTES = 4_194_304
SETTINGS = f"""
[limits]
memory_megabytes = {LIMIT_MEGABYTES}
"""
CALLERS = 40


class BodyMemoryProcessTest(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet(SETTINGS)
        self.addCleanup(self.fleet.stop)
        self.fleet.start_store()
        self.fleet.configure(limits={"bodyBytes": BODY_BYTES})
        self.peak_megabytes = 0.0
        self.stopped = threading.Event()

    def watch_memory(self):
        process = self.fleet.processes_by_name["entry-1"]
        status = Path(f"/proc/{process.pid}/status")
        while not self.stopped.is_set():
            lines = status.read_text().splitlines()
            (size,) = [line.split()[1] for line in lines if line.startswith("VmRSS:")]
            self.peak_megabytes = max(self.peak_megabytes, int(size) / 1000)
            time.sleep(0.02)

    def send_chunks(self, path, parts):
        """Make a call whose body has no length; return its status and answer."""
        port = self.fleet.ports_by_name["entry-1"]
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=30.0)
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
        connection.request(
            "POST", path, body=iter(parts), headers=headers, encode_chunked=True
        )
        answer = connection.getresponse()
        received = (answer.status, answer.read())
        connection.close()
        return received

    def call_in_turn(self, path, body, interval_seconds=0.0):
        """Make overlapping calls and return the number of answers by status."""
        statuses = collections.Counter()

        def call():
            try:
                if isinstance(body, list):
                    statuses[self.send_chunks(path, body)[0]] += 1
                else:
                    statuses[self.fleet.ask("entry-1", path, body=body)[0]] += 1
            except (OSError, http.client.HTTPException) as error:
                statuses[type(error).__name__] += 1

        watch = threading.Thread(target=self.watch_memory)
        watch.start()
        callers = [threading.Thread(target=call) for _ in range(CALLERS)]
        for caller in callers:
            caller.start()
            time.sleep(interval_seconds)
        for caller in callers:
            caller.join()
        self.stopped.set()
        watch.join()
        return statuses

    def test_large_requests_do_not_exceed_the_memory(self):
        """Guards against a process that bodies within the limit of callers end."""
        self.fleet.start_server("engine-1", MODEL_SERVICE, "a", 0.05)
        self.fleet.start_gateway("entry-1")
        statuses = self.call_in_turn("/draft/1?events=40", bytes(BODY_BYTES), 0.1)
        self.assertLess(self.peak_megabytes, LIMIT_MEGABYTES)
        self.assertLessEqual(set(statuses), {200, 503})
        # The bodies of begun streams make room for those that wait.
        self.assertGreater(statuses[200], 8)

    def test_large_requests_at_one_moment_do_not_exceed_the_memory(self):
        """Guards against a burst that is received before any of it is sent on."""
        self.fleet.start_server("engine-1", MODEL_SERVICE, "a", 0.05)
        self.fleet.start_gateway("entry-1")
        statuses = self.call_in_turn("/draft/1?events=40", bytes(BODY_BYTES))
        self.assertLess(self.peak_megabytes, LIMIT_MEGABYTES)
        self.assertLessEqual(set(statuses), {200, 503})
        self.assertTrue(statuses[200])

    def test_small_bodies_without_a_length_are_taken_beside_large_ones(self):
        """Guards against orders in chunks that count as if they were large."""
        self.fleet.start_server("plain-1", PLAIN_SERVICE, "a", 0.3)
        self.fleet.start_server("engine-1", MODEL_SERVICE, "a", 0.05)
        self.fleet.start_gateway("entry-1")
        large = threading.Thread(
            target=self.call_in_turn, args=("/draft/1?events=60", bytes(BODY_BYTES))
        )
        large.start()
        time.sleep(1.0)
        received = self.send_chunks("/order/1", [b"an ", b"order"])
        large.join()
        self.assertEqual(received, (200, b"an order"))

    def test_large_bodies_without_a_length_do_not_exceed_the_memory(self):
        """Guards against bodies in chunks that are not counted."""
        self.fleet.start_server("engine-1", MODEL_SERVICE, "a", 0.05)
        self.fleet.start_gateway("entry-1")
        part = bytes(BODY_BYTES // 16)
        statuses = self.call_in_turn("/draft/1?events=40", [part] * 16)
        self.assertLess(self.peak_megabytes, LIMIT_MEGABYTES)
        self.assertLessEqual(set(statuses), {200, 503})
        self.assertTrue(statuses[200])

    def test_answers_without_end_do_not_exceed_the_memory(self):
        """Guards against a process that a faulty server ends by endless bodies."""
        self.fleet.start_server("plain-1", PLAIN_SERVICE, "a", 0.0)
        self.fleet.server_faults("plain-1", endless=True)
        self.fleet.start_gateway("entry-1")
        statuses = self.call_in_turn("/order/1", b"order")
        self.assertLess(self.peak_megabytes, LIMIT_MEGABYTES)
        self.assertLessEqual(set(statuses), {502, 503})


if __name__ == "__main__":
    unittest.main()
