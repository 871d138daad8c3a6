"""Planned stops of entries: nothing that runs is lost, new work goes elsewhere."""

from __future__ import annotations

import http.client
import json
import signal
import socket
import threading
import time
import unittest

from fakes.processes import Fleet, call
from fakes.stream_caller import StreamCaller
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

    def test_steps_of_a_stop(self):
        """Guards against stops that cut calls or take new work to the end."""
        self.start()
        idle = socket.create_connection(
            ("127.0.0.1", self.fleet.ports_by_name["entry-1"]), timeout=10.0
        )
        self.addCleanup(idle.close)
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
        self.assertEqual(idle.recv(1), b"")
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
        """Guards against an exit between the last token and its transmission."""
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

    def test_second_signal_stops_at_once(self):
        """Guards against a process that an operator cannot end."""
        self.start()
        stream = self.stream(20_000)
        stream.read_tokens(3)
        self.fleet.send_signal("entry-1", signal.SIGTERM)
        time.sleep(0.2)
        self.fleet.send_signal("entry-1", signal.SIGTERM)
        started_at = time.monotonic()
        self.fleet.wait_exit("entry-1")
        self.assertLess(time.monotonic() - started_at, 2.0)
        self.assertFalse(stream.finish().ended_cleanly)

    def test_limit_ends_a_drain_and_is_logged(self):
        """Guards against a stop that one endless stream holds up."""
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


class LoadCaller(threading.Thread):
    """Calls ready entries one after the other, like a caller behind a balancer.

    A refusal with ``ran: no`` is tried at the next entry; anything else but success
    counts as lost.
    """

    def __init__(self, fleet: Fleet, kind: str, ready: list[str]) -> None:
        super().__init__()
        self.fleet, self.kind, self.ready = fleet, kind, ready
        self.lost: list[object] = []
        self.refused_count = self.done_count = 0
        self.stopping = False

    def run(self) -> None:
        number = 0
        while not self.stopping:
            number += 1
            self.call_once(number)

    def call_once(self, number: int) -> None:
        for attempt in range(12):
            entries = list(self.ready)
            if not entries:
                time.sleep(0.05)
                continue
            entry = entries[(number + attempt) % len(entries)]
            try:
                failure = getattr(self, self.kind)(entry)
            except ConnectionRefusedError:
                failure = "no"
            except (OSError, http.client.HTTPException) as error:
                failure = f"{entry}: {error!r}"
            if failure == "no":
                self.refused_count += 1
                continue
            self.done_count += 1
            if failure:
                self.lost.append(failure)
            return
        self.lost.append("no entry takes the call")

    def stream(self, entry):
        body = {"model": "quotes", "prompt": "length=60", "stream": True}
        url = self.fleet.url(entry)
        caller = StreamCaller(url, "/v1/completions", body, HEADERS)
        try:
            received = caller.finish()
        finally:
            caller.close()
        if received.status != 200:
            return self.judge(entry, received.status, received.text)
        numbers = [number for _, number in received.tokens]
        whole = received.ended_cleanly and numbers == list(range(1, 61))
        return "" if whole else f"{entry}: stream ended after {numbers[-1:]}"

    def whole(self, entry):
        body = json.dumps({"model": "quotes", "prompt": "length=30"}).encode()
        return self.exchange(entry, "POST", "/v1/completions", body)

    def service(self, entry):
        return self.exchange(entry, "GET", "/services/register/suppliers/7", None)

    def exchange(self, entry, method, path, body):
        port = self.fleet.ports_by_name[entry]
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=20.0)
        try:
            connection.request(method, path, body, HEADERS)
            response = connection.getresponse()
            return self.judge(entry, response.status, response.read().decode())
        finally:
            connection.close()

    def judge(self, entry, status, text):
        if status == 200:
            return ""
        try:
            ran = json.loads(text)["error"]["ran"]
        except ValueError:
            ran = ""
        return "no" if ran == "no" else f"{entry}: {status} {text}"


class RollingRestartTest(unittest.TestCase):
    def test_rolling_restart_loses_no_call(self):
        """Guards against calls of any kind that a planned restart interrupts."""
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
        callers = [
            LoadCaller(fleet, kind, ready)
            for kind in ("stream", "whole", "service")
            for _ in range(3)
        ]
        for caller in callers:
            caller.start()
        try:
            time.sleep(0.5)
            for name in names:
                fleet.send_signal(name, signal.SIGTERM)
                time.sleep(0.3)
                ready.remove(name)
                self.assertEqual(fleet.wait_exit(name), 0)
                fleet.start_entry(name)
                ready.append(name)
            time.sleep(0.5)
        finally:
            for caller in callers:
                caller.stopping = True
            for caller in callers:
                caller.join()
        self.assertEqual([lost for caller in callers for lost in caller.lost], [])
        self.assertGreater(sum(caller.done_count for caller in callers), 200)
