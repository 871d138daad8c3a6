"""Streams through real processes while links, engines, entries and callers fail."""

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
            raise AssertionError(f"not reached within {timeout} s")
        time.sleep(0.02)


class StreamTestCase(unittest.TestCase):
    """Starts a platform; each test adds the upstreams and entries it needs."""

    settings_text = SETTINGS

    def setUp(self) -> None:
        # Engines that a test adds must be known before a call has timed out.
        self.fleet = Fleet(self.settings_text, vm_list_interval_seconds=0.3)
        self.addCleanup(self.fleet.stop)
        self.fleet.start_platform()
        self.fleet.put_defaults()

    def start_linked_engine(self, name: str, *arguments: str) -> FakeLink:
        """Start an engine that entries reach only over a link."""
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

    def inject(self, engine, fault, **body) -> None:
        call("POST", f"{self.fleet.url(engine)}/fake/{fault}", body)

    def state(self, engine):
        return json.loads(call("GET", self.fleet.url(engine) + "/fake/state")[1])

    def counter(self, name, entry="entry-1") -> float:
        text = call("GET", self.fleet.url(entry) + "/metrics")[1].decode()
        return sum(map(float, re.findall(COUNTER.format(name), text)))

    def assert_complete(self, received: Received, length: int, first: int = 1) -> None:
        """Check every token once, in order, from one generation, and a clean end."""
        self.assertEqual(received.status, 200, received.text)
        numbers = [number for _, number in received.tokens]
        self.assertEqual(numbers, list(range(first, length + 1)))
        self.assertEqual(len({name for name, _ in received.tokens}), 1)
        self.assertIn("data: [DONE]\n\n", received.text)
        self.assertTrue(received.ended_cleanly)


class LinkTest(StreamTestCase):
    def test_cut_link_loses_and_repeats_nothing(self):
        """Guards against tokens that a cut link swallows or a retry repeats."""
        link = self.start_linked_engine("engine-1")
        self.fleet.start_entry("entry-1")
        caller = self.stream(100)
        for count in (10, 40, 70):
            caller.read_tokens(count)
            link.cut()
        self.assert_complete(caller.finish(), 100)
        self.assertEqual(self.state("engine-1")["started"], 1)
        self.assertGreaterEqual(self.counter("RESUME_LINK_LOST"), 3)

    def test_naive_relay_mixes_generations_after_a_cut(self):
        """Shows the baseline: a copy with a retry starts a second generation."""
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

    def test_cut_inside_an_event_resumes_after_the_last_whole_event(self):
        """Guards against half an event that is followed by its repetition."""
        link = self.start_linked_engine("engine-1")
        self.fleet.start_entry("entry-1")
        link.cut_answers(after_bytes=1500, count=1)
        self.assert_complete(self.stream(60).finish(), 60)

    def test_stalled_link_is_left_for_a_new_one(self):
        """Guards against waiting forever on a link that never closes."""
        link = self.start_linked_engine("engine-1")
        self.fleet.start_entry("entry-1")
        caller = self.stream(100)
        caller.read_tokens(10)
        link.stall()
        wait_until(lambda: self.counter("RESUME_STALLED") >= 1)
        link.flow()
        self.assert_complete(caller.finish(), 100)
        self.assertEqual(self.state("engine-1")["started"], 1)


class EngineTest(StreamTestCase):
    def test_engine_killed_before_the_first_token_is_replaced(self):
        """Guards against a call that fails though nothing of it was delivered."""
        self.fleet.start_engine("engine-1")
        self.fleet.start_entry("entry-1")
        self.inject("engine-1", "stall")
        caller = self.stream(30)
        wait_until(lambda: self.state("engine-1")["started"] == 1)
        self.fleet.start_engine("engine-2")
        self.fleet.kill("engine-1")
        self.assert_complete(caller.finish(), 30)
        self.assertEqual(self.state("engine-2")["started"], 1)

    def test_engine_killed_after_the_first_token_is_reported(self):
        """Guards against a mixture of generations and against a clean end."""
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
        self.assertEqual(self.counter("STREAM_LOST"), 1)

    def started(self, name):
        return self.state(name)["started"]

    def test_leaving_engine_is_not_used_for_new_streams(self):
        """Guards against refusals of a leaving engine that reach the caller."""
        self.fleet.start_engine("engine-1")
        self.fleet.start_entry("entry-1")
        running = self.stream(60)
        running.read_tokens(5)
        self.inject("engine-1", "leaving")
        self.fleet.start_engine("engine-2")
        self.assert_complete(self.stream(20).finish(), 20)
        self.assert_complete(running.finish(), 60)
        self.assertEqual(self.state("engine-1")["started"], 1)

    def test_lost_generation_is_not_replaced_by_another(self):
        """Guards against a resume that continues with other tokens."""
        link = self.start_linked_engine("engine-1")
        self.fleet.start_entry("entry-1")
        caller = self.stream(200)
        caller.read_tokens(10)
        link.stall()
        self.inject("engine-1", "forget")
        link.cut()
        link.flow()
        received = caller.finish()
        self.assertFalse(received.ended_cleanly)
        self.assertIn("STREAM_LOST", received.text)
        self.assertEqual(self.state("engine-1")["started"], 1)

    def test_engine_without_a_first_byte_is_left(self):
        """Guards against waiting forever, and against a too short stall timeout."""
        self.fleet.start_engine("engine-1")
        self.fleet.start_entry("entry-1")
        self.inject("engine-1", "silent")
        started_at = time.monotonic()
        caller = self.stream(20)
        wait_until(lambda: self.state("engine-1")["started"] == 1)
        self.fleet.start_engine("engine-2")
        self.assert_complete(caller.finish(), 20)
        self.assertGreater(time.monotonic() - started_at, 1.4)
        self.assertEqual(self.counter("RETRY_BEFORE_FIRST_TOKEN"), 1)

    def test_last_attempt_without_a_first_byte_is_not_called_unrun(self):
        """Guards against ``ran: no`` for a call that an engine has taken."""
        self.fleet.start_engine("engine-1")
        self.fleet.start_entry("entry-1")
        self.inject("engine-1", "silent")
        headers = {"Carawayhitch-Wait-Seconds": "3"}
        received = self.stream(20, headers=headers).finish()
        self.assertGreaterEqual(received.status, 500)
        self.assertEqual(json.loads(received.text)["error"]["ran"], "unknown")


class ResumeElsewhereTest(StreamTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet.start_engine("engine-1")
        self.fleet.start_entry("entry-1")
        self.fleet.start_entry("entry-2")

    def test_killed_entry_is_replaced_by_another(self):
        """Guards against streams that are lost with their entry."""
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

    def test_foreign_or_forged_tokens_are_refused(self):
        """Guards against accounts that read each other's streams."""
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

    def test_generation_that_is_gone_is_reported(self):
        """Guards against a resume that starts the generation again."""
        caller = self.stream(300)
        token = caller.open().headers["Carawayhitch-Resume"]
        self.inject("engine-1", "forget")
        received = self.resume(token, 5, "entry-2").finish()
        self.assertEqual(received.status, 502)
        self.assertEqual(json.loads(received.text)["error"]["name"], "STREAM_LOST")
        self.assertEqual(self.state("engine-1")["started"], 1)


class SlowCallerTest(StreamTestCase):
    def resident_kilobytes(self) -> int:
        process = self.fleet.processes_by_name["entry-1"]
        status = Path(f"/proc/{process.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+) kB", status)[1])

    def test_slow_caller_costs_bounded_memory_and_no_resume(self):
        """Guards against unbounded buffers and pauses mistaken for stalled links."""
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
        self.assertEqual(self.counter("RESUME_STALLED"), 0)
        self.assertEqual(self.counter("RESUME_LINK_LOST"), 0)


class CallerTest(StreamTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet.start_engine(
            "engine-1", "--step-seconds", "0.0005", "--running-limit", "3"
        )
        self.fleet.start_entry("entry-1")

    def test_caller_that_leaves_a_stream_frees_the_engine(self):
        """Guards against generations that nobody reads."""
        caller = self.stream(40_000)
        caller.read_tokens(10)
        caller.close()
        wait_until(lambda: self.state("engine-1")["memory_used"] == 0)
        self.assertEqual(self.state("engine-1")["cancelled"], 1)
        wait_until(lambda: self.open_requests() == 0)

    def test_caller_that_leaves_before_the_headers_frees_the_engine(self):
        """Guards against a generation whose name arrives after its caller left."""
        self.inject("engine-1", "silent")
        caller = self.stream(40_000)
        wait_until(lambda: self.state("engine-1")["started"] == 1)
        caller.close()
        wait_until(lambda: self.open_requests() == 0)
        self.inject("engine-1", "speak")
        wait_until(lambda: self.state("engine-1")["memory_used"] == 0, 3.0)

    def test_caller_that_leaves_the_queue_is_never_run(self):
        """Guards against queued calls that run for callers who have left."""
        # The scheduler knows the engine's running limit from its first load report.
        time.sleep(1.2)
        running = [self.stream(40_000) for _ in range(3)]
        for caller in running:
            caller.read_tokens(1)
        # Bodies above 64 KB make sanic pause reading, which hides the disconnect.
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
