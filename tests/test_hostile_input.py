"""Malformed and abusive requests are refused and do not affect other calls."""

from __future__ import annotations

import json
import re
import socket
import time
import unittest
from contextlib import ExitStack

from fakes.processes import ACCOUNT_TOKENS, Fleet, call
from fakes.stream_caller import StreamCaller
from tests.test_streams import COUNTER, HEADERS, wait_until

SETTINGS = """
[limits]
body_bytes = 65536
receive_timeout_seconds = 1.0
receiving_requests = 4
connections = 40
"""
TOKEN = ACCOUNT_TOKENS["hotel"].encode()
BODY = b'{"model":"quotes","prompt":"length=3"}'
LENGTH = b"Content-Length: %d\r\n" % len(BODY)
POST = b"POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
AUTHORIZATION = b"Authorization: Bearer " + TOKEN + b"\r\n"
KEY = b"Idempotency-Key: k\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
NESTED_BODY = b'{"model":"quotes","prompt":' + b"[" * 30_000 + b"]" * 30_000 + b"}"
NESTED_UNUSED_FIELD_BODY = NESTED_BODY.replace(b'"prompt"', b'"prompt":"a","other"')


def request_with_body(head: bytes, body: bytes) -> bytes:
    return head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


CASES = [
    ("no account", "UNKNOWN_ACCOUNT", request_with_body(POST, BODY)),
    (
        "wrong token",
        "UNKNOWN_ACCOUNT",
        request_with_body(POST + b"Authorization: Bearer x\r\n", BODY),
    ),
    (
        "two Authorization headers",
        "MALFORMED_REQUEST",
        request_with_body(POST + AUTHORIZATION * 2, BODY),
    ),
    (
        "two Idempotency-Key headers",
        "MALFORMED_REQUEST",
        request_with_body(POST + AUTHORIZATION + KEY * 2, BODY),
    ),
    (
        "header that is not ASCII",
        "MALFORMED_REQUEST",
        request_with_body(POST + b"Authorization: Bearer \xff\xfe\r\n", BODY),
    ),
    (
        "Content-Length and Transfer-Encoding",
        "MALFORMED_REQUEST",
        POST + AUTHORIZATION + LENGTH + CHUNKED + b"\r\n" + BODY,
    ),
    (
        "two Content-Length headers",
        "MALFORMED_REQUEST",
        POST + AUTHORIZATION + LENGTH * 2 + b"\r\n" + BODY,
    ),
    (
        "whitespace before the colon",
        "MALFORMED_REQUEST",
        POST + AUTHORIZATION + b"Content-Length : 5\r\n\r\n12345",
    ),
    (
        "bare line feed",
        "MALFORMED_REQUEST",
        request_with_body(POST + b"X: a\nAuthorization: b\r\n" + AUTHORIZATION, BODY),
    ),
    (
        "folded header",
        "MALFORMED_REQUEST",
        request_with_body(POST + AUTHORIZATION + b"X: a\r\n b: c\r\n", BODY),
    ),
    (
        "negative length",
        "MALFORMED_REQUEST",
        POST + AUTHORIZATION + b"Content-Length: -5\r\n\r\n",
    ),
    (
        "unknown transfer coding",
        "MALFORMED_REQUEST",
        POST + AUTHORIZATION + b"Transfer-Encoding: gzip, chunked\r\n\r\n",
    ),
    (
        "invalid chunk size",
        "MALFORMED_REQUEST",
        POST + AUTHORIZATION + CHUNKED + b"\r\nzz\r\n" + b"a" * 100,
    ),
    (
        "HTTP/1.0",
        "HTTP_VERSION_REFUSED",
        request_with_body(b"POST /v1/completions HTTP/1.0\r\n" + AUTHORIZATION, BODY),
    ),
    ("TLS", "MALFORMED_REQUEST", b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n"),
    ("no HTTP request line", "MALFORMED_REQUEST", b"hello\r\n\r\n"),
    (
        "oversized headers",
        "HEADERS_TOO_LARGE",
        POST + b"X: " + b"a" * 20_000 + b"\r\n\r\n",
    ),
    (
        "oversized body",
        "BODY_TOO_LARGE",
        POST + AUTHORIZATION + b"Content-Length: 104857600\r\n\r\n" + b"a" * 65536,
    ),
    (
        "endless chunks",
        "BODY_TOO_LARGE",
        POST
        + AUTHORIZATION
        + CHUNKED
        + b"\r\n"
        + b"1000\r\n%b\r\n" % (b"a" * 4096) * 20,
    ),
    (
        "truncated JSON",
        "MALFORMED_REQUEST",
        request_with_body(POST + AUTHORIZATION, BODY[:-3]),
    ),
    (
        "deeply nested JSON",
        "MALFORMED_REQUEST",
        request_with_body(POST + AUTHORIZATION, NESTED_BODY),
    ),
    (
        "deeply nested JSON in an unused field",
        "MALFORMED_REQUEST",
        request_with_body(POST + AUTHORIZATION, NESTED_UNUSED_FIELD_BODY),
    ),
    (
        "JSON array",
        "MALFORMED_REQUEST",
        request_with_body(POST + AUTHORIZATION, b"[1]"),
    ),
    ("path", "NOT_FOUND", b"GET /v2/none HTTP/1.1\r\nHost: a\r\n\r\n"),
    (
        "method",
        "METHOD_NOT_ALLOWED",
        b"GET /v1/completions HTTP/1.1\r\nHost: a\r\n\r\n",
    ),
    ("slow headers", "REQUEST_TIMEOUT", POST + b"X: "),
    (
        "slow body",
        "REQUEST_TIMEOUT",
        POST + AUTHORIZATION + b"Content-Length: 500\r\n\r\n{",
    ),
]


class HostileInputTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = Fleet(SETTINGS)
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start_platform()
        cls.fleet.start_engine("engine-1")
        cls.fleet.put_defaults()
        cls.fleet.start_entry("entry-1")

    def connect(self) -> socket.socket:
        address = ("127.0.0.1", self.fleet.ports_by_name["entry-1"])
        connection = socket.create_connection(address, timeout=8.0)
        self.addCleanup(connection.close)
        return connection

    def read_error_response(self, connection) -> tuple[int, dict]:
        received = b""
        while b"\r\n\r\n" not in received:
            received += (part := connection.recv(65536))
            self.assertTrue(part, received)
        head, _, body = received.partition(b"\r\n\r\n")
        length = int(re.search(rb"(?i)content-length: (\d+)", head)[1])
        while len(body) < length:
            body += connection.recv(65536)
        return int(head.split()[1]), json.loads(body[:length])["error"]

    def read_result_count(self, name) -> float:
        text = call("GET", self.fleet.url("entry-1") + "/metrics")[1].decode()
        return sum(map(float, re.findall(COUNTER.format(name), text)))

    def assert_call_succeeds(self) -> None:
        url = self.fleet.url("entry-1") + "/v1/completions"
        self.assertEqual(call("POST", url, BODY, HEADERS)[0], 200)

    def test_hostile_requests_are_refused_while_a_stream_continues(self):
        """Guards against hostile requests that run, hang or disturb other calls."""
        body = {"model": "quotes", "prompt": "length=2000", "stream": True}
        url = self.fleet.url("entry-1")
        stream = StreamCaller(url, "/v1/completions", body, HEADERS)
        self.addCleanup(stream.close)
        stream.read_tokens(5)
        engine = self.fleet.url("engine-1") + "/fake/state"
        started = json.loads(call("GET", engine)[1])["started"]
        for label, name, sent in CASES:
            with self.subTest(label):
                before = self.read_result_count(name)
                connection = self.connect()
                connection.sendall(sent)
                status, error = self.read_error_response(connection)
                self.assertEqual(error["name"], name)
                self.assertEqual(error["ran"], "no")
                self.assertGreaterEqual(status, 400)
                self.assertNotIn("Traceback", json.dumps(error))
                self.assertEqual(self.read_result_count(name), before + 1)
        self.assertEqual(json.loads(call("GET", engine)[1])["started"], started)
        received = stream.finish()
        self.assertTrue(received.ended_cleanly)
        self.assertEqual([number for _, number in received.tokens][-1], 2000)
        self.assertNotIn("Traceback", self.fleet.log_text("entry-1"))

    def test_slow_headers_do_not_extend_the_timeout(self):
        """Guards against a timeout that each byte restarts, as that of sanic does."""
        connection = self.connect()
        started_at = time.monotonic()
        connection.sendall(POST + b"X: ")
        with self.assertRaises(OSError):
            while time.monotonic() - started_at < 6.0:
                connection.sendall(b"a")
                time.sleep(0.2)
        self.assertLess(time.monotonic() - started_at, 5.0)

    def test_concurrent_slow_bodies_are_limited(self):
        """Guards against memory use by the bodies of many slow senders."""
        head = POST + AUTHORIZATION + b"Content-Length: 500\r\n\r\n{"
        connections = [self.connect() for _ in range(5)]
        for connection in connections:
            connection.sendall(head)
        names = [
            self.read_error_response(connection)[1]["name"]
            for connection in connections
        ]
        self.assertEqual(names.count("ENTRY_OVERLOADED"), 1)
        self.assertEqual(names.count("REQUEST_TIMEOUT"), 4)
        self.assert_call_succeeds()

    def test_connections_are_limited(self):
        """Guards against idle connections that use up all file descriptors."""
        before = self.read_result_count("ENTRY_OVERLOADED")
        with ExitStack() as stack:
            address = ("127.0.0.1", self.fleet.ports_by_name["entry-1"])
            connections = [
                stack.enter_context(socket.create_connection(address, timeout=8.0))
                for _ in range(45)
            ]
            _, error = self.read_error_response(connections[-1])
            self.assertEqual(error["name"], "ENTRY_OVERLOADED")
        wait_until(self.call_succeeds)
        self.assertGreaterEqual(self.read_result_count("ENTRY_OVERLOADED"), before + 5)

    def call_succeeds(self) -> bool:
        url = self.fleet.url("entry-1") + "/v1/completions"
        return call("POST", url, BODY, HEADERS)[0] == 200
