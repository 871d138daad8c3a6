"""Result codes: unique numbers, and a documentation table that matches the code."""

from __future__ import annotations

import unittest
from pathlib import Path

from carawayhitch.core import result_codes

RESULT_CODES_PAGE = Path(__file__).parents[2] / "docs" / "result-codes.md"


def table_row(code: result_codes.ResultCode) -> str:
    status = code.http_status or "-"
    return f"| {code.number} | `{code.name}` | {code.ran} | {status} | {code.meaning} |"


class ResultCodesTest(unittest.TestCase):
    def test_page_lists_exactly_the_codes(self):
        """Guards against codes missing from the page or rows that no longer match."""
        rows = [
            line
            for line in RESULT_CODES_PAGE.read_text().splitlines()
            if line.startswith("| ") and line[2].isdigit()
        ]
        expected = [
            table_row(code) for _, code in sorted(result_codes.codes_by_number.items())
        ]
        self.assertEqual(rows, expected)

    def test_numbers_are_unique(self):
        """Guards against two codes with the same number, which share one counter."""
        self.assertEqual(
            len(result_codes.codes_by_number), len(result_codes.codes_by_name)
        )
