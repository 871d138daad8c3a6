"""Log lines: bounds, an output that nobody reads, what was dropped."""

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


def new_logger(output):
    return structlog.wrap_logger(
        output,
        processors=[
            output.limit,
            structlog.processors.add_log_level,
            structlog.processors.JSONRenderer(),
        ],
    )


class LogOutputTest(unittest.TestCase):
    def open_output(self, **bounds):
        self.reader, writer = os.pipe()
        self.rest = b""
        self.addCleanup(os.close, writer)
        settings = settings_types.LogSettings(**bounds)
        return LogOutput(settings, writer)

    def read_whole_lines(self):
        """Return the lines that are whole by now; the rest of one is kept."""
        os.set_blocking(self.reader, False)
        with contextlib.suppress(BlockingIOError):
            while part := os.read(self.reader, 65536):
                self.rest += part
        *whole, self.rest = self.rest.split(b"\n")
        return [json.loads(line) for line in whole]

    def test_output_that_nobody_reads_does_not_block(self):
        """Guards against requests that wait for the reader of the log."""
        output = self.open_output(lines_per_second=1e9, backlog_bytes=100_000)
        log = new_logger(output)
        started = time.monotonic()
        for number in range(5000):
            log.info("request ended", number=number, filler="x" * 100)
        self.assertLess(time.monotonic() - started, 2.0)
        self.assertGreater(output.dropped_by_reason["backlog"], 1000)
        kept = []
        for _ in range(4):
            kept += self.read_whole_lines()
            output.flush()
        dropped = output.dropped_by_reason["backlog"]
        self.assertEqual(len(kept) + dropped, 5000)
        log.info("request ended", number=5000)
        (last,) = self.read_whole_lines()
        self.assertEqual(last["dropped_lines"], dropped)
        os.close(self.reader)

    def test_backlog_is_written_when_the_output_is_read(self):
        """Guards against lines that stay in memory until the next request."""
        output = self.open_output(lines_per_second=1e9, backlog_bytes=200_000)
        log = new_logger(output)

        async def run():
            for number in range(900):
                log.info("request ended", number=number, filler="x" * 100)
            found = []
            deadline = time.monotonic() + 5.0
            while len(found) < 900 and time.monotonic() < deadline:
                found += self.read_whole_lines()
                await asyncio.sleep(0.02)
            return found

        numbers = [line["number"] for line in asyncio.run(run())]
        self.assertEqual(numbers, list(range(900)))
        os.close(self.reader)

    def test_flood_of_lines_leaves_room_for_warnings(self):
        """Guards against logs without bound, and against floods that hide faults."""
        output = self.open_output(lines_per_second=10.0)
        log = new_logger(output)
        for number in range(500):
            log.info("request ended", number=number)
        log.warning("dependency lost")
        lines = self.read_whole_lines()
        burst = int(10.0 * BURST_SECONDS)
        self.assertIn(len(lines), range(burst, burst + 4))
        self.assertEqual(lines[-1]["event"], "dependency lost")
        self.assertEqual(lines[-1]["dropped_lines"], 501 - len(lines))
        for _ in range(500):
            log.error("call failed")
        self.assertLess(len(self.read_whole_lines()), burst + 4)
        os.close(self.reader)

    def test_closed_output_is_counted(self):
        """Guards against a process that ends with the reader of its log."""
        output = self.open_output()
        os.close(self.reader)
        log = new_logger(output)
        log.info("request ended")
        self.assertEqual(output.dropped_by_reason["closed"], 1)


class ExplainTest(unittest.TestCase):
    def test_lines_of_one_request_come_in_order(self):
        """Guards against lines of other requests, and garbage that ends the command."""
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
