"""Overrides of sanic and aiohttp defaults that would cut or delay valid calls."""

from __future__ import annotations

import json
import os
import signal
import time
import unittest
from unittest import mock

from carawayhitch.backends import open_session
from carawayhitch.core import settings as settings_types
from fakes.processes import Fleet, call
from fakes.stream_caller import StreamCaller
from tests.test_streams import HEADERS, wait_until

# sanic reads its default timeouts from these variables. Lowering them spares the tests
# a wait for the library's 60 s and 15 s.
LOW_SANIC_TIMEOUTS = {
    "SANIC_RESPONSE_TIMEOUT": "1",
    "SANIC_GRACEFUL_SHUTDOWN_TIMEOUT": "1",
    "SANIC_GRACEFUL_TCP_CLOSE_TIMEOUT": "1",
}


class LibraryLimitsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = Fleet("[drain]\nreadiness_grace_seconds = 0.2\n")
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start_platform()
        cls.fleet.start_engine("engine-1", "--running-limit", "200")
        cls.fleet.put_defaults()
        with mock.patch.dict(os.environ, LOW_SANIC_TIMEOUTS):
            cls.fleet.start_entry("entry-1")
            cls.fleet.start_entry("entry-2")
        port = str(cls.fleet.ports_by_name["engine-1"])
        cls.fleet.start_module("relay", "fakes.naive_relay", "--upstream-ports", port)

    def open_stream(self, length, entry="entry-1") -> StreamCaller:
        body = {"model": "quotes", "prompt": f"length={length}", "stream": True}
        url = self.fleet.url(entry)
        caller = StreamCaller(url, "/v1/completions", body, HEADERS)
        self.addCleanup(caller.close)
        return caller

    def count_started_generations(self) -> int:
        url = self.fleet.url("engine-1") + "/fake/state"
        return json.loads(call("GET", url)[1])["started"]

    def test_waiting_call_outlives_the_response_timeout(self):
        """Guards against sanic's 503 response to calls that wait longer than 60 s."""
        call("POST", self.fleet.url("engine-1") + "/fake/silent", {})
        caller = self.open_stream(5)
        time.sleep(4.0)
        call("POST", self.fleet.url("engine-1") + "/fake/speak", {})
        received = caller.finish()
        self.assertEqual((received.status, len(received.tokens)), (200, 5))

    def test_stream_outlives_the_shutdown_timeout(self):
        """Guards against streams that sanic aborts 15 s after a stop request."""
        caller = self.open_stream(300, "entry-2")
        caller.read_tokens(5)
        self.fleet.send_signal("entry-2", signal.SIGTERM)
        received = caller.finish()
        self.assertTrue(received.ended_cleanly)
        self.assertEqual(len(received.tokens), 300)
        self.assertEqual(self.fleet.wait_exit("entry-2"), 0)

    def test_large_body_is_refused_with_body_too_large(self):
        """Guards against sanic's limit of 100 MB for bodies and its own error page."""
        body = b"{" + b" " * 5_000_000 + b"}"
        status, answer, headers = call(
            "POST", self.fleet.url("entry-1") + "/v1/completions", body, HEADERS
        )
        self.assertEqual(status, 413)
        self.assertEqual(headers["Carawayhitch-Ran"], "no")
        self.assertEqual(json.loads(answer)["error"]["name"], "BODY_TOO_LARGE")
        text = call("GET", self.fleet.url("entry-1") + "/metrics")[1].decode()
        self.assertRegex(text, r'name="BODY_TOO_LARGE",rank=""} [1-9]')

    def test_entry_opens_more_streams_than_default_connection_limit(self):
        """Guards against aiohttp's limit of 100 connections for a client session.

        A naive relay that keeps the default starts fewer streams than an entry.
        """
        relayed = [self.open_stream(3000, "relay") for _ in range(120)]
        wait_until(lambda: self.count_started_generations() >= 100)
        time.sleep(1.0)
        relayed_start_count = self.count_started_generations()
        for caller in relayed:
            caller.close()
        wait_until(lambda: self.count_running_generations() == 0, 60.0)
        start_count_before = self.count_started_generations()
        direct = [self.open_stream(3000) for _ in range(120)]
        wait_until(lambda: self.count_started_generations() == start_count_before + 120)
        for caller in direct:
            caller.read_tokens(1)
        for caller in direct:
            caller.close()
        self.assertLess(relayed_start_count, start_count_before)

    def count_running_generations(self) -> int:
        text = call("GET", self.fleet.url("engine-1") + "/fake/state")[1]
        return json.loads(text)["running"]


class SessionTest(unittest.IsolatedAsyncioTestCase):
    async def test_session_has_connect_timeout_but_no_total_timeout(self):
        """Guards against aiohttp's 300 s timeout per call, which cuts long streams."""
        settings = settings_types.Settings(
            node=settings_types.NodeSettings("a", "a", "r"),
            peers=settings_types.PeerSettings(keys=()),
            store=settings_types.StoreSettings("http://127.0.0.1:1"),
            platform=settings_types.PlatformSettings("http://127.0.0.1:1"),
        )
        async with open_session(settings, fresh_connections=True) as session:
            self.assertIsNone(session.timeout.total)
            self.assertIsNone(session.timeout.sock_read)
            self.assertEqual(
                session.timeout.sock_connect, settings.streams.connect_timeout_seconds
            )
            self.assertEqual(session.connector.limit, 0)
            self.assertEqual(session.connector.limit_per_host, 0)
