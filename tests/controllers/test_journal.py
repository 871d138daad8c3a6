"""Room in journal objects and their encoding."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from carawayhitch.codecs import decode_journal, encode_journal
from carawayhitch.controllers._journal import (
    plan_journal_write,
    record_bytes_upper_bound,
)
from carawayhitch.core import rows

HEX = st.text("0123456789abcdef", min_size=32, max_size=32)
RECORDS = st.builds(
    rows.JournalRecord,
    key=HEX,
    request_sha256=HEX,
    node_id=st.text(max_size=30),
    incarnation=st.integers(0, 2**53),
    nonce=HEX,
    expires_at=st.integers(0, 10**9).map(float),
    status=st.integers(0, 999),
    content_type=st.text(max_size=200),
    body=st.none() | st.binary(max_size=200),
)


class JournalTest(unittest.TestCase):
    @given(st.lists(RECORDS, max_size=5))
    def test_size_is_an_upper_bound(self, records):
        """Guards against values that the store refuses, so that no claim succeeds."""
        encoded = encode_journal(records, 1.8e9)
        self.assertLessEqual(
            len(encoded), 2 + sum(map(record_bytes_upper_bound, records))
        )
        self.assertEqual(decode_journal(encoded, 1.8e9), tuple(records))

    def test_expiry_never_ends_early_in_the_store(self):
        """Guards against records dropped by rounding before their keys end."""
        record = rows.JournalRecord("k", "h", "n", 1, "x", 10.25)
        decoded = decode_journal(encode_journal([record], 5.5), 5.5)
        self.assertGreaterEqual(decoded[0].expires_at, record.expires_at)

    def test_full_journal_drops_answers_before_it_refuses_claims(self):
        """Guards against dropped claims, whose calls could then run again."""
        old = [
            rows.JournalRecord(f"old{n}", "h", "", 0, "", 9.0, 200, "", b"x" * 300)
            for n in range(3)
        ]
        new = {
            f"new{n}": rows.JournalRecord(f"new{n}", "h", "e", 1, "n", 9.0)
            for n in range(30)
        }
        limit = 2000
        plan = plan_journal_write(old, (), {}, new, limit)
        kept = plan.records_by_key
        self.assertTrue(plan.refused_keys)
        self.assertTrue(all(record.key in kept for record in old))
        self.assertTrue(all(kept[record.key].body is None for record in old))
        self.assertEqual(set(kept) & set(plan.refused_keys), set())
        self.assertLessEqual(sum(map(record_bytes_upper_bound, kept.values())), limit)
