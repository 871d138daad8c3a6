"""Streaming through real processes while links, engines, entries and callers fail."""

from __future__ import annotations

import json
import re
import time
import unittest
from pathlib import Path

from fakes.link import FakeLink
from fakes.processes import ACCOUNT_TOKENS, Fleet, call
from fakes.stream_caller import Received, StreamCaller

HEADERS = {
    "Authorization": f"Bearer {ACCOUNT_TOKENS['hotel']}",
    "Content-Type": "application/json",
}
SETTINGS = """
[streams]
stall_timeout_seconds = 0.5
first_byte_timeout_seconds = 1.5
[retries]
backoff_limit_seconds = 0.1
"""
COUNTER = r'carawayhitch_results_total{{code="\d+",name="{}",rank="[a-z]*"}} ([\d.]+)'


def wait_until(condition, timeout=10.0):
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"condition not met within {timeout} s")
        time.sleep(0.02)


class StreamTestCase(unittest.TestCase):
    """Starts the platform services; each test adds its own upstreams and entries."""

    settings_text = SETTINGS

    def setUp(self) -> None:
        # Entries must learn of an engine that a test adds before the call times out.
        self.fleet = Fleet(self.settings_text, vm_list_interval_seconds=0.3)
        self.addCleanup(self.fleet.stop)
        self.fleet.start_platform()
        self.fleet.put_defaults()

    def start_linked_engine(self, name: str, *arguments: str) -> FakeLink:
        """Start an engine that entries reach only through a fault-injecting proxy."""
        self.fleet.start_module(name, "fakes.engine", *arguments)
        link = FakeLink(self.fleet.ports_by_name[name])
        self.addCleanup(link.stop)
        port, self.fleet.ports_by_name[name] = self.fleet.ports_by_name[name], link.port
        self.fleet.add_vm_to_list(name, "engine", {"model": "quotes"}, "a")
        self.fleet.ports_by_name[name] = port
        return link

    def stream(self, length, entry="entry-1", headers=(), **fields) -> StreamCaller:
        body = {"model": "quotes", "prompt": f"length={length}", "stream": True}
        caller = StreamCaller(
            self.fleet.url(entry),
            "/v1/completions",
            {**body, **fields},
            {**HEADERS, **dict(headers)},
        )
        self.addCleanup(caller.close)
        return caller

    def resume(self, token, last_sequence, entry, account="hotel") -> StreamCaller:
        headers = {
            "Authorization": f"Bearer {ACCOUNT_TOKENS[account]}",
            "Carawayhitch-Resume": token,
            "Last-Event-ID": str(last_sequence),
        }
        caller = StreamCaller(
            self.fleet.url(entry), "/v1/streams/resume", None, headers
        )
        self.addCleanup(caller.close)
        return caller

    def inject_fault(self, engine, fault, **body) -> None:
        call("POST", f"{self.fleet.url(engine)}/fake/{fault}", body)

    def state(self, engine):
        return json.loads(call("GET", self.fleet.url(engine) + "/fake/state")[1])

    def result_count(self, name, entry="entry-1") -> float:
        text = call("GET", self.fleet.url(entry) + "/metrics")[1].decode()
        return sum(map(float, re.findall(COUNTER.format(name), text)))

    def assert_complete(self, received: Received, length: int, first: int = 1) -> None:
        """Check that one complete generation arrived in order and ended cleanly."""
        self.assertEqual(received.status, 200, received.text)
        numbers = [number for _, number in received.tokens]
        self.assertEqual(numbers, list(range(first, length + 1)))
        self.assertEqual(len({name for name, _ in received.tokens}), 1)
        self.assertIn("data: [DONE]\n\n", received.text)
        self.assertTrue(received.ended_cleanly)


class EngineConnectionTest(StreamTestCase):
    def test_connection_reset_loses_and_repeats_no_token(self):
        """Guards against lost or repeated tokens after a reset of the connection."""
        link = self.start_linked_engine("engine-1")
        self.fleet.start_entry("entry-1")
        caller = self.stream(100)
        for count in (10, 40, 70):
            caller.read_tokens(count)
            link.cut()
        self.assert_complete(caller.finish(), 100)
        self.assertEqual(self.state("engine-1")["started"], 1)
        self.assertGreaterEqual(self.result_count("RESUME_LINK_LOST"), 3)

    def test_naive_relay_mixes_generations_after_a_reset(self):
        """Shows the baseline: a relay that only retries starts a second generation."""
        link = self.start_linked_engine("engine-1")
        ports = [str(link.port), str(self.fleet.ports_by_name["engine-1"])]
        self.fleet.start_module(
            "relay", "fakes.naive_relay", "--upstream-ports", *ports
        )
        caller = self.stream(60, entry="relay")
        caller.read_tokens(10)
        link.cut()
        received = caller.finish()
        self.assertTrue(received.ended_cleanly)
        self.assertEqual(len({name for name, _ in received.tokens}), 2)

    def test_reset_inside_an_event_resumes_after_the_last_complete_event(self):
        """Guards against a truncated event in front of its retransmission.

        The connection is reset in the middle of an event.
        """
        link = self.start_linked_engine("engine-1")
        self.fleet.start_entry("entry-1")
        link.cut_answers(after_bytes=1500, count=1)
        self.assert_complete(self.stream(60).finish(), 60)

    def test_stalled_connection_is_replaced(self):
        """Guards against waiting forever on a stalled connection that stays open."""
        link = self.start_linked_engine("engine-1")
        self.fleet.start_entry("entry-1")
        caller = self.stream(100)
        caller.read_tokens(10)
        link.stall()
        wait_until(lambda: self.result_count("RESUME_STALLED") >= 1)
        link.flow()
        self.assert_complete(caller.finish(), 100)
        self.assertEqual(self.state("engine-1")["started"], 1)


class EngineFailureTest(StreamTestCase):
    def test_engine_killed_before_the_first_token_is_replaced(self):
        """Guards against a failed call that could have been retried.

        No token had been delivered when the engine was killed.
        """
        self.fleet.start_engine("engine-1")
        self.fleet.start_entry("entry-1")
        self.inject_fault("engine-1", "stall")
        caller = self.stream(30)
        wait_until(lambda: self.state("engine-1")["started"] == 1)
        self.fleet.start_engine("engine-2")
        self.fleet.kill("engine-1")
        self.assert_complete(caller.finish(), 30)
        self.assertEqual(self.state("engine-2")["started"], 1)

    def test_engine_killed_after_the_first_token_is_reported(self):
        """Guards against mixed generations and truncated streams that look complete."""
        self.fleet.start_engine("engine-1")
        self.fleet.start_engine("engine-2")
        self.fleet.start_entry("entry-1")
        caller = self.stream(500)
        caller.read_tokens(10)
        started = [name for name in ("engine-1", "engine-2") if self.started(name)]
        self.fleet.kill(started[0])
        received = caller.finish()
        self.assertFalse(received.ended_cleanly)
        self.assertIn('event: error\ndata: {"error":{"code":2002', received.text)
        self.assertNotIn("[DONE]", received.text)
        self.assertEqual(len({name for name, _ in received.tokens}), 1)
        numbers = [number for _, number in received.tokens]
        self.assertEqual(numbers, list(range(1, len(numbers) + 1)))
        self.assertEqual(self.result_count("STREAM_LOST"), 1)

    def started(self, name):
        return self.state(name)["started"]

    def test_leaving_engine_gets_no_new_stream(self):
        """Guards against passing a leaving engine's refusals on to the caller."""
        self.fleet.start_engine("engine-1")
        self.fleet.start_entry("entry-1")
        running = self.stream(60)
        running.read_tokens(5)
        self.inject_fault("engine-1", "leaving")
        self.fleet.start_engine("engine-2")
        self.assert_complete(self.stream(20).finish(), 20)
        self.assert_complete(running.finish(), 60)
        self.assertEqual(self.state("engine-1")["started"], 1)

    def test_lost_generation_is_not_replaced_by_another(self):
        """Guards against resuming a lost generation with tokens of another one."""
        link = self.start_linked_engine("engine-1")
        self.fleet.start_entry("entry-1")
        caller = self.stream(200)
        caller.read_tokens(10)
        link.stall()
        self.inject_fault("engine-1", "forget")
        link.cut()
        link.flow()
        received = caller.finish()
        self.assertFalse(received.ended_cleanly)
        self.assertIn("STREAM_LOST", received.text)
        self.assertEqual(self.state("engine-1")["started"], 1)

    def test_engine_without_a_first_byte_is_replaced(self):
        """Guards against the wrong timeout before the first byte of a stream.

        An engine that sends nothing is given up, but only after the first-byte timeout
        and not after the shorter stall timeout.
        """
        self.fleet.start_engine("engine-1")
        self.fleet.start_entry("entry-1")
        self.inject_fault("engine-1", "silent")
        started_at = time.monotonic()
        caller = self.stream(20)
        wait_until(lambda: self.state("engine-1")["started"] == 1)
        self.fleet.start_engine("engine-2")
        self.assert_complete(caller.finish(), 20)
        self.assertGreater(time.monotonic() - started_at, 1.4)
        self.assertEqual(self.result_count("RETRY_BEFORE_FIRST_TOKEN"), 1)

    def test_last_attempt_without_a_first_byte_is_reported_as_unknown(self):
        """Guards against ``ran: no`` for a call that an engine has accepted."""
        self.fleet.start_engine("engine-1")
        self.fleet.start_entry("entry-1")
        self.inject_fault("engine-1", "silent")
        headers = {"Carawayhitch-Wait-Seconds": "3"}
        received = self.stream(20, headers=headers).finish()
        self.assertGreaterEqual(received.status, 500)
        self.assertEqual(json.loads(received.text)["error"]["ran"], "unknown")


class ResumeAtAnotherEntryTest(StreamTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet.start_engine("engine-1")
        self.fleet.start_entry("entry-1")
        self.fleet.start_entry("entry-2")

    def test_stream_of_a_killed_entry_resumes_at_another(self):
        """Guards against losing the stream when its entry is killed."""
        caller = self.stream(300)
        token = caller.open().headers["Carawayhitch-Resume"]
        caller.read_tokens(20)
        self.fleet.kill("entry-1")
        first = caller.finish()
        self.assertFalse(first.ended_cleanly)
        last = first.tokens[-1][1]
        second = self.resume(token, last, "entry-2").finish()
        self.assert_complete(second, 300, last + 1)
        self.assertEqual(first.tokens[0][0], second.tokens[0][0])
        self.assertEqual(self.state("engine-1")["started"], 1)

    def test_tokens_of_other_accounts_and_forged_tokens_are_refused(self):
        """Guards against reading another account's stream with its resume token."""
        caller = self.stream(300)
        token = caller.open().headers["Carawayhitch-Resume"]
        forged = ("A" if token[0] != "A" else "B") + token[1:]
        cases = [
            (token, "5", "inspection", "RESUME_INVALID"),
            (forged, "5", "hotel", "RESUME_INVALID"),
            ("", "5", "hotel", "RESUME_INVALID"),
            (token, "-5", "hotel", "MALFORMED_REQUEST"),
            (token, "1e3", "hotel", "MALFORMED_REQUEST"),
        ]
        for text, last, account, name in cases:
            received = self.resume(text, last, "entry-2", account).finish()
            self.assertEqual(json.loads(received.text)["error"]["name"], name)

    def test_resume_of_an_unknown_generation_is_reported(self):
        """Guards against restarting a generation that the engine no longer has."""
        caller = self.stream(300)
        token = caller.open().headers["Carawayhitch-Resume"]
        self.inject_fault("engine-1", "forget")
        received = self.resume(token, 5, "entry-2").finish()
        self.assertEqual(received.status, 502)
        self.assertEqual(json.loads(received.text)["error"]["name"], "STREAM_LOST")
        self.assertEqual(self.state("engine-1")["started"], 1)


class SlowCallerTest(StreamTestCase):
    def resident_kilobytes(self) -> int:
        process = self.fleet.processes_by_name["entry-1"]
        status = Path(f"/proc/{process.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+) kB", status)[1])

    def test_slow_caller_uses_bounded_memory_and_causes_no_resume(self):
        """Guards against unbounded buffering and false stall detection.

        While the caller does not read, the entry must stop reading from the engine, and
        must not take this pause for a stalled connection.
        """
        link = self.start_linked_engine("engine-1", "--step-seconds", "0.0005")
        self.fleet.start_entry("entry-1")
        self.assert_complete(self.stream(50).finish(), 50)
        before = self.resident_kilobytes()
        slow = StreamCaller(
            self.fleet.url("entry-1"),
            "/v1/completions",
            {"model": "quotes", "prompt": "length=4000 padding=4000", "stream": True},
            HEADERS,
            receive_buffer_bytes=4096,
        )
        self.addCleanup(slow.close)
        slow.read_tokens(1)
        wait_until(lambda: self.state("engine-1")["running"] == 0, 60.0)
        time.sleep(1.2)
        self.assertLess(link.answer_bytes, 8_000_000)
        self.assert_complete(self.stream(200).finish(), 200)
        self.assertLess(self.resident_kilobytes() - before, 2048)
        self.assert_complete(slow.finish(), 4000)
        self.assertGreater(link.answer_bytes, 16_000_000)
        self.assertEqual(self.result_count("RESUME_STALLED"), 0)
        self.assertEqual(self.result_count("RESUME_LINK_LOST"), 0)


class CallerDisconnectTest(StreamTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet.start_engine(
            "engine-1", "--step-seconds", "0.0005", "--running-limit", "3"
        )
        self.fleet.start_entry("entry-1")

    def test_disconnect_during_a_stream_frees_the_engine(self):
        """Guards against generations that continue after their caller disconnected."""
        caller = self.stream(40_000)
        caller.read_tokens(10)
        caller.close()
        wait_until(lambda: self.state("engine-1")["memory_used"] == 0)
        self.assertEqual(self.state("engine-1")["cancelled"], 1)
        wait_until(lambda: self.open_requests() == 0)

    def test_disconnect_before_the_headers_frees_the_engine(self):
        """Guards against not cancelling a generation whose id arrives too late."""
        self.inject_fault("engine-1", "silent")
        caller = self.stream(40_000)
        wait_until(lambda: self.state("engine-1")["started"] == 1)
        caller.close()
        wait_until(lambda: self.open_requests() == 0)
        self.inject_fault("engine-1", "speak")
        wait_until(lambda: self.state("engine-1")["memory_used"] == 0, 3.0)

    def test_queued_call_of_a_disconnected_caller_never_runs(self):
        """Guards against running queued calls whose callers have disconnected."""
        # The scheduler learns the engine's running limit from its first load report.
        time.sleep(1.2)
        running = [self.stream(40_000) for _ in range(3)]
        for caller in running:
            caller.read_tokens(1)
        # Sanic pauses reading for bodies above 64 KB, which hides the disconnect.
        queued = [self.stream(5), self.stream(5, user="x" * 200_000)]
        wait_until(lambda: self.open_requests() == 5)
        for caller in queued:
            caller.close()
        wait_until(lambda: self.open_requests() == 3)
        for caller in running:
            caller.close()
        wait_until(lambda: self.open_requests() == 0)
        self.assertEqual(self.state("engine-1")["started"], 3)

    def open_requests(self) -> int:
        text = call("GET", self.fleet.url("entry-1") + "/metrics")[1].decode()
        return int(float(re.search(r"carawayhitch_open_requests ([\d.]+)", text)[1]))
