"""Planned stops of entries: running calls finish, new calls go to other entries."""

from __future__ import annotations

import json
import signal
import socket
import threading
import time
import unittest

from fakes.processes import Fleet, call
from fakes.stream_caller import StreamCaller
from tests.load_callers import LoadCaller, load
from tests.test_streams import HEADERS, wait_until

SETTINGS = """
[drain]
readiness_grace_seconds = {grace}
limit_seconds = {limit}
"""


class GracefulStopTest(unittest.TestCase):
    def start(self, grace=1.0, limit=30.0, entries=1) -> None:
        self.fleet = Fleet(SETTINGS.format(grace=grace, limit=limit))
        self.addCleanup(self.fleet.stop)
        self.fleet.start_platform()
        self.fleet.start_engine("engine-1")
        self.fleet.start_engine("engine-2")
        self.fleet.start_service("service-1", "register")
        self.fleet.put_defaults()
        for number in range(entries):
            self.fleet.start_entry(f"entry-{number + 1}")

    def stream(self, length, entry="entry-1") -> StreamCaller:
        body = {"model": "quotes", "prompt": f"length={length}", "stream": True}
        url = self.fleet.url(entry)
        caller = StreamCaller(url, "/v1/completions", body, HEADERS)
        self.addCleanup(caller.close)
        return caller

    def generate(self, length=3):
        body = {"model": "quotes", "prompt": f"length={length}"}
        return call(
            "POST", self.fleet.url("entry-1") + "/v1/completions", body, HEADERS
        )

    def readiness(self) -> int:
        return call("GET", self.fleet.url("entry-1") + "/readyz")[0]

    def test_running_calls_finish_and_new_calls_are_refused(self):
        """Guards against a stop that interrupts calls or keeps accepting new ones."""
        self.start()
        idle_connection = socket.create_connection(
            ("127.0.0.1", self.fleet.ports_by_name["entry-1"]), timeout=10.0
        )
        self.addCleanup(idle_connection.close)
        stream = self.stream(300)
        stream.read_tokens(3)
        results = []
        whole = threading.Thread(target=lambda: results.append(self.generate(250)))
        whole.start()
        faults = {"delay_seconds": 3.0}
        call("POST", self.fleet.url("service-1") + "/fake/faults", faults)
        url = self.fleet.url("entry-1") + "/services/register/suppliers/7"
        service = threading.Thread(
            target=lambda: results.append(call("GET", url, None, HEADERS))
        )
        service.start()
        time.sleep(0.3)
        self.fleet.send_signal("entry-1", signal.SIGTERM)
        stopped_at = time.monotonic()
        wait_until(lambda: self.readiness() == 503, 0.5)
        status, _, headers = self.generate()
        self.assertLess(time.monotonic() - stopped_at, 1.0)
        self.assertEqual((status, headers["connection"]), (200, "close"))
        self.assertEqual(idle_connection.recv(1), b"")
        self.assertGreaterEqual(time.monotonic() - stopped_at, 0.9)
        status, body, headers = self.generate()
        error = json.loads(body)["error"]
        self.assertEqual((status, error["name"], error["ran"]), (503, "DRAINING", "no"))
        self.assertEqual(headers["connection"], "close")
        received = stream.finish()
        self.assertTrue(received.ended_cleanly)
        self.assertEqual(len(received.tokens), 300)
        whole.join()
        service.join()
        self.assertEqual([status for status, _, _ in results], [200, 200])
        self.assertEqual(self.fleet.wait_exit("entry-1"), 0)

    def test_last_bytes_reach_a_slow_caller(self):
        """Guards against an exit before the last token has been transmitted."""
        self.start(grace=0.1)
        body = {"model": "quotes", "prompt": "length=60 padding=20000", "stream": True}
        url = self.fleet.url("entry-1")
        caller = StreamCaller(
            url, "/v1/completions", body, HEADERS, receive_buffer_bytes=4096
        )
        self.addCleanup(caller.close)
        caller.read_tokens(1)
        self.fleet.send_signal("entry-1", signal.SIGTERM)
        time.sleep(2.5)
        received = caller.finish()
        self.assertTrue(received.ended_cleanly)
        self.assertEqual(len(received.tokens), 60)
        self.assertEqual(self.fleet.wait_exit("entry-1"), 0)

    def test_repeated_stop_interrupts_nothing(self):
        """Guards against interrupted calls when the stop signal is sent repeatedly."""
        self.start(grace=0.2)
        stream = self.stream(300)
        stream.read_tokens(3)
        for _ in range(3):
            self.fleet.send_signal("entry-1", signal.SIGTERM)
            time.sleep(0.2)
        received = stream.finish()
        self.assertTrue(received.ended_cleanly)
        self.assertEqual(len(received.tokens), 300)
        self.assertEqual(self.fleet.wait_exit("entry-1"), 0)

    def test_stop_signals_during_the_exit_keep_the_exit_status(self):
        """Guards against a late signal that turns a clean exit into a failure.

        Signal handlers are no longer installed while the interpreter shuts down, which
        takes about 0.1 s.
        """
        self.start(grace=0.2)
        process = self.fleet.processes_by_name["entry-1"]
        while process.poll() is None:
            process.send_signal(signal.SIGTERM)
            time.sleep(0.002)
        self.assertEqual(process.returncode, 0)

    def test_interrupt_during_a_drain_exits_at_once(self):
        """Guards against a draining process that an operator cannot stop."""
        self.start()
        stream = self.stream(20_000)
        stream.read_tokens(3)
        self.fleet.send_signal("entry-1", signal.SIGTERM)
        time.sleep(0.2)
        self.fleet.send_signal("entry-1", signal.SIGINT)
        started_at = time.monotonic()
        self.fleet.wait_exit("entry-1")
        self.assertLess(time.monotonic() - started_at, 2.0)
        self.assertFalse(stream.finish().ended_cleanly)

    def test_drain_ends_at_its_limit_and_logs_it(self):
        """Guards against a stop that one long stream delays without a limit."""
        self.start(grace=0.2, limit=1.5)
        stream = self.stream(20_000)
        stream.read_tokens(3)
        self.fleet.send_signal("entry-1", signal.SIGTERM)
        started_at = time.monotonic()
        self.fleet.wait_exit("entry-1")
        self.assertGreater(time.monotonic() - started_at, 1.3)
        self.assertLess(time.monotonic() - started_at, 4.0)
        self.assertIn("drain limit reached", self.fleet.log_text("entry-1"))
        self.assertFalse(stream.finish().ended_cleanly)


class RollingRestartTest(unittest.TestCase):
    def test_rolling_restart_loses_no_call(self):
        """Guards against calls of any kind that are interrupted by a planned restart.

        Each guide call must run once. A guide call that was only refused must not have
        run, which the callers check against the run counter after each refusal.
        """
        fleet = Fleet(SETTINGS.format(grace=0.6, limit=30.0))
        self.addCleanup(fleet.stop)
        fleet.start_platform()
        fleet.start_engine("engine-1")
        fleet.start_engine("engine-2")
        fleet.start_service("service-1", "register")
        fleet.put_defaults()
        names = ["entry-1", "entry-2", "entry-3"]
        for name in names:
            fleet.start_entry(name)
        ready = list(names)
        kinds = ("stream", "whole", "service", "lookup", "guide", "issued_guide")
        retried: list[LoadCaller] = []
        with load(fleet, kinds, ready, count=3) as callers:
            time.sleep(0.5)
            for name in names:
                # Keeps the entry draining until the calls below have been refused.
                stream = self.open_stream(fleet, name)
                unused_key = self.issue_key(fleet, name)
                fleet.send_signal(name, signal.SIGTERM)
                time.sleep(0.3)
                ready.remove(name)
                time.sleep(0.5)
                retried += self.call_draining(fleet, name, ready[0], unused_key)
                self.assertEqual(len(stream.finish().tokens), 150)
                self.assertEqual(fleet.wait_exit(name), 0)
                fleet.start_entry(name)
                ready.append(name)
            time.sleep(0.5)
        self.assertEqual([lost for caller in callers for lost in caller.lost], [])
        self.assertGreater(sum(caller.completed_count for caller in callers), 200)
        _, body, _ = call("GET", fleet.url("service-1") + "/fake/runs")
        runs = json.loads(body)
        for caller in retried:
            self.assertEqual((caller.lost, caller.completed_count), ([], 1))
            self.assertIn("DRAINING", caller.refusals[0])
        callers += retried
        keys = [key for caller in callers for key in caller.completed_keys]
        self.assertGreater(len(keys), 50)
        self.assertEqual([key for key in keys if runs.get(key) != 1], [])
        refused = [key for caller in callers for key in caller.refused_keys]
        self.assertGreaterEqual(len(refused), len(names))
        # The service counts calls without an idempotency key by their path.
        guides = {key: count for key, count in runs.items() if key[0] != "/"}
        self.assertEqual(set(guides), set(keys))

    def open_stream(self, fleet: Fleet, entry: str) -> StreamCaller:
        body = {"model": "quotes", "prompt": "length=150", "stream": True}
        caller = StreamCaller(fleet.url(entry), "/v1/completions", body, HEADERS)
        self.addCleanup(caller.close)
        caller.read_tokens(1)
        return caller

    def issue_key(self, fleet: Fleet, entry: str) -> str:
        url = fleet.url(entry) + "/v1/idempotency-keys"
        return json.loads(call("POST", url, {}, HEADERS)[1])["keys"][0]

    def call_draining(
        self, fleet: Fleet, draining: str, other: str, unused_key: str
    ) -> list[LoadCaller]:
        """Call a draining entry, then another entry; return the callers.

        Checks also that a key that the draining entry issued before the stop is refused
        at the other entry and does not run.
        """
        headers = {**HEADERS, "Idempotency-Key": unused_key}
        url = fleet.url(other) + "/services/register/guides"
        _, body, _ = call("POST", url, {"lot": 1}, headers)
        error = json.loads(body)["error"]
        self.assertEqual((error["name"], error["ran"]), ("DRAINING", "no"))
        retried = []
        for kind in ("guide", "issued_guide"):
            caller = LoadCaller(fleet, kind, [draining, other])
            caller.call_once(0)
            retried.append(caller)
        self.assertEqual(caller.runs_of(unused_key), 0)
        return retried
