"""Size limit and encoding of journal objects."""

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

HEX_TEXTS = st.text("0123456789abcdef", min_size=32, max_size=32)
RECORDS = st.builds(
    rows.JournalRecord,
    key=HEX_TEXTS,
    request_sha256=HEX_TEXTS,
    node_id=st.text(max_size=30),
    incarnation=st.integers(0, 2**53),
    nonce=HEX_TEXTS,
    expires_at=st.integers(0, 10**9).map(float),
    status=st.integers(0, 999),
    content_type=st.text(max_size=200),
    body=st.none() | st.binary(max_size=200),
)


class JournalTest(unittest.TestCase):
    @given(st.lists(RECORDS, max_size=5))
    def test_record_size_is_an_upper_bound(self, records):
        """Guards against values over the store's size limit, which fail all claims."""
        encoded = encode_journal(records, 1.8e9)
        self.assertLessEqual(
            len(encoded), 2 + sum(map(record_bytes_upper_bound, records))
        )
        self.assertEqual(decode_journal(encoded, 1.8e9), tuple(records))

    def test_stored_expiry_is_never_earlier(self):
        """Guards against rounding that drops a record before its key expires."""
        record = rows.JournalRecord("k", "h", "n", 1, "x", 10.25)
        decoded = decode_journal(encode_journal([record], 5.5), 5.5)
        self.assertGreaterEqual(decoded[0].expires_at, record.expires_at)

    def test_full_journal_drops_answers_before_it_refuses_claims(self):
        """Guards against removing claims for space; their calls could run again."""
        answered_records = [
            rows.JournalRecord(f"old{number}", "h", "", 0, "", 9.0, 200, "", b"x" * 300)
            for number in range(3)
        ]
        new_claims = {
            f"new{number}": rows.JournalRecord(f"new{number}", "h", "e", 1, "n", 9.0)
            for number in range(30)
        }
        limit_bytes = 2000
        plan = plan_journal_write(answered_records, (), {}, new_claims, limit_bytes)
        kept_records = plan.records_by_key
        self.assertTrue(plan.refused_keys)
        self.assertTrue(all(record.key in kept_records for record in answered_records))
        self.assertTrue(
            all(kept_records[record.key].body is None for record in answered_records)
        )
        self.assertEqual(set(kept_records) & set(plan.refused_keys), set())
        self.assertLessEqual(
            sum(map(record_bytes_upper_bound, kept_records.values())), limit_bytes
        )
