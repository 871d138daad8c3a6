"""Comparison of this process's claims with the records of a journal object."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from functools import lru_cache
from typing import Literal, NamedTuple

from carawayhitch.core import rows

# Quotes, separators, three numbers and brackets of one encoded record.
RECORD_OVERHEAD_BYTES = 64
CONTENT_TYPE_LIMIT_CHARACTERS = 200
# A character that JSON escapes takes up to this many bytes for each UTF-16 unit.
ESCAPED_CHARACTER_BYTES = 12
# 128 bits of a request's hash tell an honest caller that it reused a key.
REQUEST_HASH_HEX_DIGITS = 32

# won: the record is ours, the call may be sent. duplicate: another claim was first.
# read: only a fresh read can tell. insert, replace, remove, confirm: a write is
# needed. done: nothing is left to do.
ClaimComparison = Literal[
    "won", "duplicate", "read", "insert", "replace", "remove", "confirm", "done"
]


class JournalWritePlan(NamedTuple):
    """Records to write, and claims for which there is no room."""

    records_by_key: dict[str, rows.JournalRecord]
    refused_keys: tuple[str, ...]


def find_unexpired_record(
    shard: rows.ShardRow, key: str, now: float
) -> rows.JournalRecord | None:
    """Return the record of a key unless it has expired."""
    record = shard.records_by_key.get(key)
    return record if record is not None and now < record.expires_at else None


def compare(
    claim: rows.ClaimRow,
    record: rows.JournalRecord | None,
    fresh: bool,
    unresolved: bool,
) -> ClaimComparison:
    """Return what a claim needs, given the record of its key.

    Parameters
    ----------
    fresh : bool
        The record was read from the store after the claim was made.
    unresolved : bool
        An earlier write of this process may still take effect.
    """
    ours = record is not None and record.nonce == claim.nonce
    abandoned = record is not None and record.nonce in claim.abandoned_nonces
    if claim.state == "writing":
        if ours:
            return "won"
        if record is None or abandoned:
            return "insert"
        answered = record.status or record.request_sha256 != claim.request_sha256
        return "duplicate" if fresh or answered else "read"
    if claim.state == "finished" and ours:
        assert record is not None
        return "done" if record.status else "replace"
    if claim.state == "abandoned":
        if ours or abandoned:
            return "remove"
        # A successful write makes sure that the earlier one can no longer succeed.
        return "confirm" if unresolved else "done"
    return "done"


def build_journal_record(
    claim: rows.ClaimRow, node_id: str, incarnation: int
) -> rows.JournalRecord:
    """Return the record of a claim, with its answer once it has one.

    A finished record is final, so it no longer names its claimant. This and the
    shortened hash halve its size, which bounds the calls within one retention.
    """
    if not claim.status:
        return rows.JournalRecord(
            key=claim.key,
            request_sha256=claim.request_sha256,
            node_id=node_id,
            incarnation=incarnation,
            nonce=claim.nonce,
            expires_at=claim.expires_at,
        )
    return rows.JournalRecord(
        key=claim.key,
        request_sha256=claim.request_sha256,
        node_id="",
        incarnation=0,
        nonce="",
        expires_at=claim.expires_at,
        status=claim.status,
        content_type=claim.content_type[:CONTENT_TYPE_LIMIT_CHARACTERS]
        if claim.body
        else "",
        body=claim.body,
    )


def record_bytes_upper_bound(record: rows.JournalRecord) -> int:
    """Return an upper bound of the bytes that a record takes in the store."""
    texts = len(record.key) + len(record.request_sha256) + len(record.nonce)
    escaped = _escaped_bytes(record.node_id) + _escaped_bytes(record.content_type)
    return RECORD_OVERHEAD_BYTES + texts + escaped + _body_bytes(record)


@lru_cache(maxsize=256)
def _escaped_bytes(text: str) -> int:
    return sum(
        1
        if " " <= character <= "~" and character not in '"\\'
        else ESCAPED_CHARACTER_BYTES
        for character in text
    )


def _body_bytes(record: rows.JournalRecord) -> int:
    return len(record.body) * 4 // 3 + 4 if record.body else 0


def plan_journal_write(
    live: Iterable[rows.JournalRecord],
    removed_keys: Iterable[str],
    replaced: Mapping[str, rows.JournalRecord],
    inserted: Mapping[str, rows.JournalRecord],
    limit_bytes: int,
) -> JournalWritePlan:
    """Return the records of the next write within the limit of a value.

    When room is short, kept answers go first, oldest first: their duplicates then
    learn that the call ran, but not its answer. Claims are never dropped early.
    """
    records = {record.key: record for record in live}
    for key in removed_keys:
        records.pop(key, None)
    records.update(replaced)
    room = limit_bytes - sum(map(record_bytes_upper_bound, records.values()))
    wanted = sum(map(record_bytes_upper_bound, inserted.values()))
    for key, record in list(records.items()):
        if room >= wanted:
            break
        room += _body_bytes(record)
        records[key] = record._replace(body=None)
    refused: list[str] = []
    for key, record in inserted.items():
        size = record_bytes_upper_bound(record)
        if size > room:
            refused.append(key)
            continue
        room -= size
        records[key] = record
    return JournalWritePlan(records, tuple(refused))
