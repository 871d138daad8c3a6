"""Non-streamed responses that arrive truncated, late or from another request."""

from __future__ import annotations

import json
import re
import socket
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from fakes.processes import ACCOUNT_TOKENS, Fleet, call
from tests.test_streams import COUNTER, HEADERS

SETTINGS = """
[streams]
stall_timeout_seconds = 0.5
first_byte_timeout_seconds = 2.0
[retries]
backoff_limit_seconds = 0.1
[limits]
default_deadline_seconds = 4.0
"""


class NonStreamedResponseTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = Fleet(SETTINGS)
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start_platform()
        cls.fleet.start_engine("engine-1", "--step-seconds", "0.002")
        cls.fleet.start_engine("engine-2", "--step-seconds", "0.002")
        cls.fleet.start_service("service-1", "register")
        cls.fleet.put_defaults()
        cls.fleet.start_entry("entry-1")

    def start_relay(self, name) -> str:
        """Start a naive relay, used as the baseline, in front of one engine."""
        port = str(self.fleet.ports_by_name["engine-1"])
        self.fleet.start_module(name, "fakes.naive_relay", "--upstream-ports", port)
        return name

    def generate(self, length=20, target="entry-1"):
        body = {"model": "quotes", "prompt": f"length={length}"}
        url = self.fleet.url(target) + "/v1/completions"
        status, answer, _ = call("POST", url, body, HEADERS)
        return status, answer

    def inject_fault(self, engine, fault, **body) -> None:
        call("POST", f"{self.fleet.url(engine)}/fake/{fault}", body)

    def result_count(self, name) -> float:
        text = call("GET", self.fleet.url("entry-1") + "/metrics")[1].decode()
        return sum(map(float, re.findall(COUNTER.format(name), text)))

    def assert_complete_response(self, status, answer, length=20) -> None:
        self.assertEqual(status, 200, answer)
        decoded = json.loads(answer)
        self.assertEqual(decoded["usage"]["completion_tokens"], length)
        expected = "".join(f"{decoded['id']}:{n + 1} " for n in range(length))
        self.assertEqual(decoded["choices"][0]["text"], expected)

    def test_faulty_response_is_retried(self):
        """Guards against returning a partial response, or one of another request."""
        for fault in ("cut", "unframed", "short_length", "invalid", "foreign"):
            with self.subTest(fault):
                before = self.result_count("RETRY_BEFORE_FIRST_TOKEN")
                # The fault lasts for all three attempts that the retry limit allows.
                self.inject_fault("engine-1", "answers", faults=[fault] * 3)
                self.inject_fault("engine-2", "answers", faults=[fault] * 3)
                status, answer = self.generate_with_limit()
                self.assertGreaterEqual(status, 500, answer)
                self.assertEqual(json.loads(answer)["error"]["ran"], "unknown")
                after = self.result_count("RETRY_BEFORE_FIRST_TOKEN")
                self.assertGreaterEqual(after - before, 1)
                self.inject_fault("engine-1", "answers", faults=[fault])
                self.inject_fault("engine-2", "answers", faults=[])
                self.assert_complete_response(*self.generate())
                self.assert_complete_response(*self.generate())

    def generate_with_limit(self):
        body = {"model": "quotes", "prompt": "length=20"}
        url = self.fleet.url("entry-1") + "/v1/completions"
        headers = {**HEADERS, "Carawayhitch-Wait-Seconds": "1.5"}
        status, answer, _ = call("POST", url, body, headers)
        return status, answer

    def test_naive_relay_returns_faulty_responses(self):
        """Shows the baseline: a relay that copies cannot detect a faulty response."""
        relay = self.start_relay("relay-1")
        self.inject_fault(
            "engine-1", "answers", faults=["foreign", "invalid", "unframed"]
        )
        status, answer = self.generate(target=relay)
        self.assertEqual((status, json.loads(answer)["id"]), (200, "g-other"))
        for _ in ("invalid", "unframed"):
            status, answer = self.generate(target=relay)
            self.assertEqual(status, 200)
            self.assertRaises(ValueError, json.loads, answer)

    def test_stale_response_reaches_no_other_call(self):
        """Guards against reading a stale response from a reused connection."""
        for engine in ("engine-1", "engine-2"):
            self.inject_fault(engine, "answers", faults=["leftover"])
        found = set()
        for _ in range(6):
            status, answer = self.generate()
            self.assert_complete_response(status, answer)
            found.add(json.loads(answer)["id"])
            time.sleep(0.1)
        self.assertEqual(len(found), 6)

    def test_naive_relay_returns_a_stale_response_to_the_next_call(self):
        """Shows the baseline: the HTTP library reads leftover bytes as a response."""
        relay = self.start_relay("relay-2")
        self.inject_fault("engine-1", "answers", faults=["leftover"])
        self.generate(target=relay)
        time.sleep(0.2)
        _, answer = self.generate(target=relay)
        self.assertEqual(json.loads(answer)["id"], "g-other")

    def test_concurrent_calls_get_their_own_responses(self):
        """Guards against responses that are swapped between concurrent calls."""
        lengths = [1 + number % 37 for number in range(150)]
        with ThreadPoolExecutor(20) as pool:
            answers = list(pool.map(self.generate, lengths))
        for length, (status, answer) in zip(lengths, answers, strict=True):
            self.assert_complete_response(status, answer, length)
        self.assertEqual(len({json.loads(answer)["id"] for _, answer in answers}), 150)

    def test_truncated_service_response_is_an_error(self):
        """Guards against a success status for a truncated plain-service response."""
        call(
            "POST",
            self.fleet.url("service-1") + "/fake/faults",
            {"cut_answers": 3, "cut_inside": True},
        )
        url = self.fleet.url("entry-1") + "/services/register/suppliers/7"
        headers = {**HEADERS, "Carawayhitch-Wait-Seconds": "1"}
        status, answer, _ = call("GET", url, None, headers)
        self.assertGreaterEqual(status, 500)
        self.assertEqual(json.loads(answer)["error"]["ran"], "unknown")
        self.assertEqual(call("GET", url, None, HEADERS)[0], 200)

    def test_service_path_is_forwarded_as_checked(self):
        """Guards against a path that passes the check but reaches another route.

        A dot segment that is resolved later could turn an idempotent call into a
        non-idempotent one.
        """
        url = self.fleet.url("entry-1") + "/services/register/a%2Fb%20c"
        _, answer, _ = call("GET", url, None, HEADERS)
        self.assertEqual(json.loads(answer)["path"], "/a/b c")
        for path in ("search/../guides", "search/%2e%2E/guides", "..", "./guides"):
            raw = self.raw_request("POST", f"/services/register/{path}")
            self.assertTrue(raw.startswith(b"HTTP/1.1 400 "), raw)

    def raw_request(self, method, path) -> bytes:
        head = f"{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n"
        head += f"Authorization: Bearer {ACCOUNT_TOKENS['hotel']}\r\n"
        address = ("127.0.0.1", self.fleet.ports_by_name["entry-1"])
        with socket.create_connection(address, timeout=5.0) as connection:
            connection.sendall(head.encode() + b"Connection: close\r\n\r\n")
            received = b""
            while part := connection.recv(65536):
                received += part
        return received

    def test_unresponsive_engine_does_not_block_a_call(self):
        """Guards against waiting without a limit for a non-streamed response."""
        for engine in ("engine-1", "engine-2"):
            self.inject_fault(engine, "silent")
            self.addCleanup(self.inject_fault, engine, "speak")
        started_at = time.monotonic()
        status, answer = self.generate_with_limit()
        self.assertEqual(status, 504, answer)
        self.assertEqual(json.loads(answer)["error"]["name"], "STALLED")
        self.assertLess(time.monotonic() - started_at, 10.0)
