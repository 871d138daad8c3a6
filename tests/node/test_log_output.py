"""Limits of the log output, unread and closed outputs, and the explain command."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import os
import time
import unittest

import structlog

from carawayhitch.cli import _explain
from carawayhitch.core import settings as settings_types
from carawayhitch.node._log_output import BURST_SECONDS, LogOutput
from carawayhitch.node._logs import encode_log_fields


def create_logger(output):
    return structlog.wrap_logger(
        output,
        processors=[
            output.apply_limits,
            structlog.processors.add_log_level,
            structlog.processors.JSONRenderer(),
        ],
    )


class LogFieldsTest(unittest.TestCase):
    def test_fields_that_are_not_plain_json_are_written(self):
        """Guards against a call that fails because a line of it has no JSON form."""
        path = b"/\xff".decode("utf-8", "surrogateescape")
        for value, expected in (
            (path, path),
            (ValueError(path), repr(ValueError(path))),
        ):
            with self.subTest(value=value):
                line = encode_log_fields({"field": value}, default=repr)
                self.assertEqual(json.loads(line), {"field": expected})


class LogOutputTest(unittest.TestCase):
    def open_output(self, **bounds):
        self.reader, writer = os.pipe()
        self.partial_line = b""
        self.addCleanup(os.close, writer)
        settings = settings_types.LogSettings(**bounds)
        return LogOutput(settings, writer)

    def read_complete_lines(self):
        """Return the complete lines so far and buffer an incomplete one."""
        os.set_blocking(self.reader, False)
        with contextlib.suppress(BlockingIOError):
            while chunk := os.read(self.reader, 65536):
                self.partial_line += chunk
        *complete, self.partial_line = self.partial_line.split(b"\n")
        return [json.loads(line) for line in complete]

    def test_logging_does_not_block_on_unread_output(self):
        """Guards against requests that block while the log output is not read."""
        output = self.open_output(lines_per_second=1e9, backlog_bytes=100_000)
        log = create_logger(output)
        started = time.monotonic()
        for number in range(5000):
            log.info("request ended", number=number, filler="x" * 100)
        self.assertLess(time.monotonic() - started, 2.0)
        self.assertGreater(output.dropped_by_reason["backlog"], 1000)
        written_lines = []
        for _ in range(4):
            written_lines += self.read_complete_lines()
            output.flush()
        dropped = output.dropped_by_reason["backlog"]
        self.assertEqual(len(written_lines) + dropped, 5000)
        log.info("request ended", number=5000)
        (last,) = self.read_complete_lines()
        self.assertEqual(last["dropped_lines"], dropped)
        os.close(self.reader)

    def test_backlog_is_flushed_once_output_is_read(self):
        """Guards against lines that stay in the backlog until the next log call."""
        output = self.open_output(lines_per_second=1e9, backlog_bytes=200_000)
        log = create_logger(output)

        async def run():
            for number in range(900):
                log.info("request ended", number=number, filler="x" * 100)
            found = []
            deadline = time.monotonic() + 5.0
            while len(found) < 900 and time.monotonic() < deadline:
                found += self.read_complete_lines()
                await asyncio.sleep(0.02)
            return found

        numbers = [line["number"] for line in asyncio.run(run())]
        self.assertEqual(numbers, list(range(900)))
        os.close(self.reader)

    def test_excess_info_lines_do_not_suppress_warnings(self):
        """Guards against unlimited log output and warnings lost among info lines."""
        output = self.open_output(lines_per_second=10.0)
        log = create_logger(output)
        for number in range(500):
            log.info("request ended", number=number)
        log.warning("dependency lost")
        lines = self.read_complete_lines()
        burst = int(10.0 * BURST_SECONDS)
        self.assertIn(len(lines), range(burst, burst + 4))
        self.assertEqual(lines[-1]["event"], "dependency lost")
        # A pause in the loop lets a line in between report what was dropped before it.
        dropped = sum(line.get("dropped_lines", 0) for line in lines)
        self.assertEqual(dropped, 501 - len(lines))
        for _ in range(500):
            log.error("call failed")
        self.assertLess(len(self.read_complete_lines()), burst + 4)
        os.close(self.reader)

    def test_lines_to_closed_output_are_counted_as_dropped(self):
        """Guards against a process that fails when the log reader exits (EPIPE)."""
        output = self.open_output()
        os.close(self.reader)
        log = create_logger(output)
        log.info("request ended")
        self.assertEqual(output.dropped_by_reason["closed"], 1)


class ExplainTest(unittest.TestCase):
    def test_lines_of_one_request_are_sorted_by_time(self):
        """Guards against lines of other requests and a crash on malformed lines."""
        lines = [
            '{"timestamp": "2", "node": "b", "event": "ask granted", '
            '"request_id": "r1", "upstream": "u"}',
            "not a log line r1",
            '{"broken": "r1"',
            '{"timestamp": "1", "node": "a", "event": "call admitted", '
            '"request_id": "r1"}',
            '{"timestamp": "0", "node": "a", "event": "call admitted", '
            '"request_id": "r10"}',
            'entry-a 12.3 | {"timestamp": "3", "node": "a", "event": "request ended", '
            '"request_id": "r1.ab12", "code": ""}',
        ]
        found = _explain.find_log_lines(io.StringIO("\n".join(lines)), "r1")
        self.assertEqual(
            [line.event for line in found],
            ["call admitted", "ask granted", "request ended"],
        )


if __name__ == "__main__":
    unittest.main()
