"""Memory, descriptors and life of an entry process that crowds of clients press.

The bounds are those of the smallest machine; no time and no share of served requests
is checked.
"""

from __future__ import annotations

import resource
import signal
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from fakes.platform_fleet import MODEL_SERVICE, PLAIN_SERVICE, PlatformFleet
from tests.client_crowd import (
    Crowd,
    ProcessWatch,
    body_in_chunks,
    body_with_length,
    exchange_slowly,
    request_head,
    wait_for_success,
)

LIMIT_MEGABYTES = 136
DESCRIPTOR_LIMIT = 400
BODY_BYTES = 4_194_304
# The slowest link of the callers, 5 Mbit/s, at a machine 5.5 times slower.
SLOW_BYTES_PER_SECOND = 5_000_000 / 8 / 5.5
SLOW_BODY_BYTES = 1_000_000
CROWD = 40
LARGE_CROWD = 150
SETTINGS = f"""
[limits]
memory_megabytes = {LIMIT_MEGABYTES}
"""
LONG_ANSWER = request_head("GET", f"/look/1?bytes={BODY_BYTES}")
LONG_STREAM = request_head(
    "POST", "/draft/1?events=1000&padding=32000", "Content-Length: 0"
)


class ClientCrowdTest(unittest.TestCase):
    def setUp(self):
        self.crowds: list[Crowd] = []

    def start(self, added_settings="", slots=8):
        self.fleet = PlatformFleet(SETTINGS + added_settings)
        self.addCleanup(self.fleet.stop)
        self.fleet.slots = slots
        self.fleet.start_store()
        self.fleet.configure(limits={"bodyBytes": BODY_BYTES})
        self.fleet.start_server("plain-1", PLAIN_SERVICE, "a", 0.01)
        self.fleet.start_server("engine-1", MODEL_SERVICE, "a", 0.01)
        self.fleet.start_gateway("entry-1")
        self.process = self.fleet.processes_by_name["entry-1"]
        self.watch = ProcessWatch(self.process.pid)
        self.addCleanup(self.watch.stop)
        # Runs before the processes are stopped, also after a failure.
        self.addCleanup(self.stop_crowds)

    def stop_crowds(self):
        for crowd in self.crowds:
            crowd.stop()
        self.crowds = []

    def send_crowd(self, parts, door="callers", count=CROWD, wait=True, **options):
        port = self.fleet.gateways_by_name["entry-1"][door]
        crowd = Crowd(port, count, parts, **options)
        self.crowds.append(crowd)
        if wait:
            crowd.wait_until_sent()

    def assert_ordinary_calls_are_answered(self):
        """Check one small call beside the crowd and one large call after it."""
        self.watch.wait_until_steady()
        with self.subTest("beside the crowd"):
            answer = wait_for_success(
                lambda: self.fleet.ask("entry-1", "/order/1", body=b"an order")
            )
            self.assertEqual(answer, (200, b"an order"))
        self.stop_crowds()
        with self.subTest("after the crowd"):
            large = bytes(BODY_BYTES)
            status, received = wait_for_success(
                lambda: self.fleet.ask("entry-1", "/order/2", body=large)
            )
            self.assertEqual((status, len(received)), (200, BODY_BYTES))
        self.assert_process_is_sound()

    def assert_process_is_sound(self):
        self.watch.stop()
        self.assertIsNone(self.process.poll(), "the process has ended")
        with self.subTest("memory"):
            self.assertLess(self.watch.peak_megabytes, LIMIT_MEGABYTES)
        with self.subTest("descriptors"):
            self.assertLess(self.watch.peak_descriptors, DESCRIPTOR_LIMIT)

    def test_bodies_that_stop_before_their_length(self):
        """Guards against bodies that fill the memory and never end."""
        self.start()
        self.send_crowd(body_with_length("POST", "/order/1", BODY_BYTES, 1))
        self.assert_ordinary_calls_are_answered()

    def test_bodies_that_stop_before_their_last_chunk(self):
        """Guards against bodies without a length that fill the memory."""
        self.start()
        self.send_crowd(body_in_chunks("POST", "/order/1", BODY_BYTES))
        self.assert_ordinary_calls_are_answered()

    def test_bodies_that_come_piece_by_piece(self):
        """Guards against bodies that move a little and hold much."""
        self.start()
        parts = body_with_length("POST", "/order/1", BODY_BYTES, 1)
        self.send_crowd(parts, wait=False, pause_seconds=0.1)
        self.assert_ordinary_calls_are_answered()

    def test_unfinished_bodies_take_all_places(self):
        """Guards against ordinary callers that find no place to be received."""
        self.start("receiving_requests = 16\n")
        parts = body_with_length("POST", "/order/1", BODY_BYTES, BODY_BYTES - 20_000)
        self.send_crowd(parts, count=LARGE_CROWD, reconnects=True)
        self.assert_ordinary_calls_are_answered()

    def test_unfinished_bodies_on_kept_connections(self):
        """Guards against a crowd that begins with an ordinary call."""
        self.start()
        parts = body_with_length("POST", "/order/1", BODY_BYTES, 1)
        self.send_crowd([request_head("GET", "/look/1"), *parts])
        self.assert_ordinary_calls_are_answered()

    def test_unfinished_bodies_to_the_operators_interface(self):
        """Guards against bodies that are received before the token is checked."""
        self.start()
        path = "/admin/v1/objects/binding/odd"
        self.send_crowd(body_with_length("PUT", path, BODY_BYTES, 1), "metrics")
        self.assert_ordinary_calls_are_answered()

    def test_unfinished_bodies_to_the_readiness_check(self):
        """Guards against bodies to paths that take none."""
        self.start()
        path = "/carawayhitch/readiness"
        self.send_crowd(body_with_length("GET", path, BODY_BYTES, 1), "readiness")
        self.assert_ordinary_calls_are_answered()

    def test_unfinished_bodies_as_if_from_other_entries(self):
        """Guards against forwarded calls and exchanges without a signature."""
        self.start()
        for path in ("/peer/v1/forwarded/orders/1", "/peer/v1/objects"):
            parts = body_with_length("POST", path, BODY_BYTES, 1)
            self.send_crowd(parts, "own", count=CROWD // 2)
        self.assert_ordinary_calls_are_answered()

    def test_long_answers_that_nobody_reads(self):
        """Guards against answers that wait in the memory for their callers."""
        self.start()
        self.send_crowd([LONG_ANSWER], reads=False)
        self.assert_ordinary_calls_are_answered()

    def test_many_calls_on_connections_that_nobody_reads(self):
        """Guards against calls sent ahead whose answers pile up."""
        self.start()
        self.send_crowd([LONG_ANSWER * 8], reads=False)
        self.assert_ordinary_calls_are_answered()

    def test_long_answers_that_are_read_slowly(self):
        """Guards against answers of which each client takes a little."""
        self.start()
        self.send_crowd([LONG_ANSWER], read_bytes=400)
        self.assert_ordinary_calls_are_answered()

    def test_streams_that_are_read_slowly(self):
        """Guards against streams of which each client takes a little."""
        self.start(slots=LARGE_CROWD)
        self.send_crowd([LONG_STREAM], count=LARGE_CROWD, read_bytes=400)
        self.assert_ordinary_calls_are_answered()

    def test_streams_that_nobody_reads(self):
        """Guards against streams that wait in the memory for their callers."""
        self.start(slots=LARGE_CROWD)
        self.send_crowd([LONG_STREAM], count=LARGE_CROWD, reads=False)
        self.assert_ordinary_calls_are_answered()

    def test_bodies_and_answers_at_once(self):
        """Guards against limits that hold for each direction alone."""
        self.start(slots=LARGE_CROWD)
        self.send_crowd([LONG_ANSWER], count=CROWD // 2, reads=False)
        self.send_crowd([LONG_STREAM], reads=False)
        self.send_crowd(body_with_length("POST", "/order/1", BODY_BYTES, 1))
        self.assert_ordinary_calls_are_answered()

    def test_bytes_sent_ahead_of_an_answer(self):
        """Guards against bytes that nobody reads while a call runs."""
        self.start(slots=LARGE_CROWD)
        self.send_crowd(
            [LONG_STREAM + bytes(300_000)], count=LARGE_CROWD, reads=False, wait=False
        )
        self.assert_ordinary_calls_are_answered()

    def test_idle_connections_take_all_places(self):
        """Guards against connections that are opened and left without a request."""
        self.start("connections = 60\n")
        self.send_crowd([], count=LARGE_CROWD, reconnects=True)
        self.assert_ordinary_calls_are_answered()

    def test_idle_connections_take_all_descriptors(self):
        """Guards against a process that cannot open a file or a connection."""
        self.start()
        # For this process alone.
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (300, 300))
        self.send_crowd([], count=2 * LARGE_CROWD, reconnects=True)
        self.assert_ordinary_calls_are_answered()

    def test_slow_body_is_received(self):
        """Guards against honest callers with slow links that are cut off."""
        self.start("receive_timeout_seconds = 3.0\n")
        parts = body_with_length("POST", "/order/1", SLOW_BODY_BYTES, 0)
        status, body = self.exchange_slowly(parts)
        self.assertEqual((status, len(body)), (200, SLOW_BODY_BYTES))

    def test_answer_is_read_slowly_beside_a_crowd(self):
        """Guards against honest readers that are closed in place of stalled ones."""
        self.start()
        self.send_crowd([LONG_ANSWER], count=4, reads=False)
        parts = [request_head("GET", f"/look/1?bytes={SLOW_BODY_BYTES}")]
        with ThreadPoolExecutor(1) as pool:
            slow = pool.submit(self.exchange_slowly, parts)
            time.sleep(1.0)
            self.send_crowd([LONG_ANSWER], reads=False)
            status, body = slow.result()
        self.assertEqual((status, len(body)), (200, SLOW_BODY_BYTES))
        self.assert_ordinary_calls_are_answered()

    def exchange_slowly(self, parts):
        port = self.fleet.ports_by_name["entry-1"]
        return exchange_slowly(port, parts, SLOW_BYTES_PER_SECOND)

    def test_reload_beside_a_crowd(self):
        """Guards against a reload that loses track of what is held."""
        self.start()
        self.send_crowd(body_with_length("POST", "/order/1", BODY_BYTES, 1))
        self.send_crowd([LONG_ANSWER], count=CROWD // 2, reads=False, wait=False)
        self.fleet.send_signal("entry-1", signal.SIGHUP)
        self.assert_ordinary_calls_are_answered()

    def test_stop_beside_a_crowd(self):
        """Guards against a stop that waits for clients which do not move."""
        self.start()
        self.send_crowd(body_with_length("POST", "/order/1", BODY_BYTES, 1))
        self.send_crowd([LONG_ANSWER], count=CROWD // 2, reads=False)
        self.watch.wait_until_steady()
        self.fleet.send_signal("entry-1", signal.SIGTERM)
        self.assertEqual(self.fleet.wait_exit("entry-1", 60.0), 0)
        self.watch.stop()
        self.assertLess(self.watch.peak_megabytes, LIMIT_MEGABYTES)


if __name__ == "__main__":
    unittest.main()
