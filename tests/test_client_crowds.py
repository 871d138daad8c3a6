"""Memory, descriptors and life of an entry process that crowds of clients press.

The bounds are those of the smallest machine; no time and no share of served requests
is checked.
"""

from __future__ import annotations

import json
import resource
import signal
import socket
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

from fakes.platform_fleet import KEY, MODEL_SERVICE, PLAIN_SERVICE, PlatformFleet
from fakes.processes import ACCOUNT_TOKENS, Fleet, call, token_hash
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
# The largest body that the fake service of `ForwardedCrowdTest` takes is 1 MiB.
FORWARDED_BODY_BYTES = 1_000_000
FORWARDED_CROWD = 100
# The key of the callers is also the operators' token.
OPERATOR_SETTINGS = f"""
[admin]
token_sha256 = "{token_hash(KEY)}"
"""
OBJECT_PATH = "/admin/v1/objects/binding/odd"
# Listener, request and status of calls without a valid key, token or signature.
UNKNOWN_CALLERS = (
    ("callers", "POST", "/order/1", 401),
    ("own", "POST", "/services/orders/1", 401),
    ("own", "POST", "/v1/completions", 401),
    ("own", "POST", "/v1/idempotency-keys", 401),
    ("own", "POST", "/peer/v1/forwarded/orders/1", 403),
    ("own", "PUT", OBJECT_PATH, 403),
    ("metrics", "PUT", OBJECT_PATH, 403),
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

    def test_bodies_to_the_operators_interface_with_its_token(self):
        """Guards against a valid token that lifts the limits."""
        self.start(OPERATOR_SETTINGS)
        for missing in (0, 1):
            parts = body_with_length("PUT", OBJECT_PATH, BODY_BYTES, missing)
            self.send_crowd(parts, "metrics", count=CROWD // 2)
        self.assert_ordinary_calls_are_answered()

    def test_answers_of_the_operators_interface_that_nobody_reads(self):
        """Guards against status pages that wait in the memory for their readers."""
        self.start(OPERATOR_SETTINGS)
        for path in ("/metrics", "/status", "/admin/v1/status"):
            parts = [request_head("GET", path) * 100]
            self.send_crowd(parts, "metrics", reads=False, wait=False)
        self.assert_ordinary_calls_are_answered()

    def test_unfinished_bodies_with_an_unknown_key(self):
        """Guards against callers without a valid key whose bodies are received."""
        self.start()
        head, *parts = body_with_length("POST", "/order/1", BODY_BYTES, 1)
        self.send_crowd([head.replace(KEY.encode(), b"unknown"), *parts])
        self.assert_ordinary_calls_are_answered()

    def test_refused_bodies_that_trickle_take_all_places(self):
        """Guards against refused callers that keep their places byte by byte."""
        self.start("connections = 60\n")
        head, *_ = body_with_length("POST", "/order/1", BODY_BYTES, 1)
        parts = [head.replace(KEY.encode(), b"unknown"), *[b"x"] * 1000]
        self.send_crowd(
            parts, count=LARGE_CROWD, wait=False, pause_seconds=0.1, reconnects=True
        )
        self.assert_ordinary_calls_are_answered()

    def test_unknown_callers_are_refused_before_their_body(self):
        """Guards against a refusal that waits for the body of the call."""
        self.start("receive_timeout_seconds = 3.0\n" + OPERATOR_SETTINGS)
        for listener, method, path, expected in UNKNOWN_CALLERS:
            with self.subTest(listener=listener, path=path):
                port = self.fleet.gateways_by_name["entry-1"][listener]
                head = request_head(method, path, f"Content-Length: {BODY_BYTES}")
                head = head.replace(KEY.encode(), b"unknown")
                for body in (b"", bytes(BODY_BYTES)):
                    status, _ = exchange_slowly(port, [head, body], 20 * BODY_BYTES)
                    self.assertEqual(status, expected)

    def test_refused_body_that_trickles_ends(self):
        """Guards against refused callers whose every byte renews their time."""
        self.start("receive_timeout_seconds = 3.0\n")
        with self.send_unknown_call(BODY_BYTES) as connection, suppress(OSError):
            for _ in range(600):
                connection.sendall(b"x")
                time.sleep(0.1)
            self.fail("the connection is still open")

    def test_refusal_of_an_unknown_call_is_alone_and_complete(self):
        """Guards against a refusal with leave to send the body, or lost to a reset."""
        self.start()
        for size, line, body in (
            (BODY_BYTES, "Expect: 100-continue", b""),
            (BODY_BYTES, "Expect: 100-continue", bytes(BODY_BYTES)),
            (4 * BODY_BYTES, "Accept: */*", bytes(4 * BODY_BYTES)),
        ):
            with self.subTest(line, size=size, sent=len(body)):
                with self.send_unknown_call(size, line) as connection:
                    connection.sendall(body)
                    self.assertEqual(connection.recv(12), b"HTTP/1.1 401")

    def send_unknown_call(self, size, *lines):
        """Return a connection on which the head of a call with an unknown key is."""
        port = self.fleet.ports_by_name["entry-1"]
        head = request_head("POST", "/order/1", f"Content-Length: {size}", *lines)
        connection = socket.create_connection(("127.0.0.1", port), timeout=60.0)
        connection.sendall(head.replace(KEY.encode(), b"unknown"))
        return connection

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


class ForwardedCrowdTest(unittest.TestCase):
    """Two entries, of which one forwards calls with the other's idempotency keys."""

    def setUp(self):
        self.fleet = Fleet(SETTINGS)
        self.addCleanup(self.fleet.stop)
        self.fleet.start_platform()
        self.fleet.put_defaults()
        self.fleet.start_service("register-1", "register")
        names = ("entry-1", "entry-2")
        for name in names:
            self.fleet.reserve_entry_ports(name)
        for name in names:
            self.fleet.start_entry(name)
        self.watches_by_name = {
            name: ProcessWatch(self.fleet.processes_by_name[name].pid) for name in names
        }
        for watch in self.watches_by_name.values():
            self.addCleanup(watch.stop)
        self.crowds: list[Crowd] = []
        self.addCleanup(self.stop_crowds)

    def stop_crowds(self):
        for crowd in self.crowds:
            crowd.stop()
        self.crowds = []

    def issue_keys(self, count):
        """Return keys that are bound to the second entry."""
        url = self.fleet.url("entry-2") + "/v1/idempotency-keys"
        token = {"Authorization": f"Bearer {ACCOUNT_TOKENS['hotel']}"}
        status, body, _ = call("POST", url, {"count": count}, token)
        self.assertEqual(status, 200, body)
        return json.loads(body)["keys"]

    def send_crowd(self, sent_bytes, **options):
        """Send a call for each of many keys to the first entry."""
        port = self.fleet.ports_by_name["entry-1"]
        for key in self.issue_keys(FORWARDED_CROWD):
            head = request_head(
                "POST",
                "/services/register/guides",
                f"Idempotency-Key: {key}",
                f"Content-Length: {FORWARDED_BODY_BYTES}",
            ).replace(KEY.encode(), ACCOUNT_TOKENS["hotel"].encode())
            self.crowds.append(Crowd(port, 1, [head, b"x" * sent_bytes], **options))
        for crowd in self.crowds:
            crowd.wait_until_sent()

    def ask(self):
        """Make an ordinary call that the first entry forwards."""
        headers = {
            "Authorization": f"Bearer {ACCOUNT_TOKENS['hotel']}",
            "Idempotency-Key": self.issue_keys(1)[0],
        }
        url = self.fleet.url("entry-1") + "/services/register/guides"
        return call("POST", url, b"a guide", headers)

    def assert_ordinary_calls_are_answered(self):
        for watch in self.watches_by_name.values():
            watch.wait_until_steady()
        with self.subTest("beside the crowd"):
            self.assertEqual(wait_for_success(self.ask)[0], 200)
        self.stop_crowds()
        with self.subTest("after the crowd"):
            self.assertEqual(wait_for_success(self.ask)[0], 200)
        for name, watch in self.watches_by_name.items():
            watch.stop()
            with self.subTest(name):
                self.assertIsNone(self.fleet.processes_by_name[name].poll())
                self.assertLess(watch.peak_megabytes, LIMIT_MEGABYTES)
                self.assertLess(watch.peak_descriptors, DESCRIPTOR_LIMIT)

    def test_signed_forwards_with_large_bodies(self):
        """Guards against bodies that both entries hold, and answers nobody reads."""
        url = self.fleet.url("register-1") + "/fake/faults"
        call("POST", url, {"delay_seconds": 3.0})
        self.send_crowd(FORWARDED_BODY_BYTES, reads=False)
        call("POST", url, {"delay_seconds": 0.0})
        self.assert_ordinary_calls_are_answered()

    def test_unfinished_bodies_of_calls_to_forward(self):
        """Guards against unfinished calls that hold the way between two entries."""
        self.send_crowd(FORWARDED_BODY_BYTES - 1)
        self.assert_ordinary_calls_are_answered()


if __name__ == "__main__":
    unittest.main()
