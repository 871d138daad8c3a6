"""Report of lost and late calls from the log lines of entries."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from experiments.loss_report import (
    find_calls,
    format_window,
    group_into_windows,
    plot_windows,
    read_records,
)

START = "2026-12-05T04:00:"


def line(second, event, request_id="", **fields):
    record = {
        "node": "entry-1",
        "event": event,
        "timestamp": f"{START}{second:09.6f}Z",
        "request_id": request_id,
        **fields,
    }
    return f"12.5 entry-1 {json.dumps(record)}\n"


def call(request_id, second, rank="priority-1/goal-0.2", route="look"):
    return line(second, "call admitted", request_id, binding=route, rank=rank)


def end(request_id, second, **fields):
    return line(second, "request ended", request_id, **fields)


class LossReportTest(unittest.TestCase):
    def causes(self, *lines):
        return [found.cause for found in find_calls(read_records(lines))]

    def test_each_loss_has_its_cause(self):
        """Guards against losses that the report attributes to the wrong part."""
        cases = {
            "": [end("r", 1.1, code="", status=200, seconds=0.1)],
            "late": [end("r", 1.5, code="", status=200, seconds=0.5)],
            "queue": [end("r", 3.0, code="WAIT_EXPIRED", seconds=2.0)],
            "no answer in time": [end("r", 2.0, code="STALLED", seconds=1.0)],
            "upstream answered with an error": [
                end("r", 1.1, code="", status=500, seconds=0.1)
            ],
            "entry lost": [],
            "engine lost": [end("r", 9.0, code="STREAM_LOST", upstream="u")],
            "engine reclaimed": [
                line(7.5, "upstream changed", upstream="u", state="leaving"),
                end("r", 9.0, code="STREAM_LOST", upstream="u"),
            ],
            "SOME_NEW_CODE": [end("r", 1.1, code="SOME_NEW_CODE")],
        }
        for expected, lines in cases.items():
            with self.subTest(expected):
                self.assertEqual(self.causes(call("r", 1.0), *lines), [expected])

    def test_stream_is_late_by_its_wait_not_by_its_length(self):
        """Guards against counting every long stream as late."""
        ended = end("r", 9.0, code="", status=0, seconds=8.0, tokens=900)
        granted = line(1.1, "upstream granted", "r", waited=0.1)
        self.assertEqual(self.causes(call("r", 1.0), granted, ended), [""])
        granted = line(1.5, "upstream granted", "r", waited=0.5)
        self.assertEqual(self.causes(call("r", 1.0), granted, ended), ["late"])

    def test_other_lines_are_skipped(self):
        """Guards against a report that fails at the output of another program."""
        lines = ("{not json\n", "[]\n", '{"a": 1}\n', "text\n", call("r", 1.0))
        self.assertEqual(self.causes(*lines), ["entry lost"])

    def test_windows_and_plot(self):
        """Guards against calls that are counted in another window."""
        lines = [call(f"r{n}", float(n)) for n in range(5)]
        lines += [end("r1", 1.1, code="STALLED"), end("r0", 0.1, status=200, code="")]
        windows = group_into_windows(find_calls(read_records(lines)), 2.0)
        self.assertEqual([window.start for window in windows], [0.0, 2.0, 4.0])
        self.assertEqual([window.admitted_count for window in windows], [2, 2, 1])
        self.assertIn("no answer in time", format_window(windows[0]))
        self.assertIn("50% lost", format_window(windows[0]))
        self.assertEqual(group_into_windows([], 2.0), [])
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "report.svg"
            plot_windows(windows, path)
            self.assertIn("<svg", path.read_text())


if __name__ == "__main__":
    unittest.main()
