"""Comparison of claims with journal records, and planning of journal writes.

A journal object of the store holds the records of one shard as JSON.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from functools import lru_cache
from typing import Literal, NamedTuple

from carawayhitch.core import rows

# Quotes, separators, three numbers and the brackets of an encoded record.
RECORD_OVERHEAD_BYTES = 64
CONTENT_TYPE_LIMIT_CHARACTERS = 200
# Upper bound for an escaped character in JSON: two UTF-16 units of 6 bytes each.
ESCAPED_CHARACTER_BYTES = 12
# 128 bits suffice to detect accidental reuse of a key for another request; the hash
# does not have to resist deliberate collisions.
REQUEST_HASH_HEX_DIGITS = 32

# won: the record belongs to this claim, so its call may be sent.
# duplicate: another claim was recorded first.
# read: the shard has to be read again to decide.
# insert, replace, remove: a write has to change the record.
# confirm: a write has to succeed, so that an earlier unresolved write cannot.
# done: nothing is left to do.
ClaimComparison = Literal[
    "won", "duplicate", "read", "insert", "replace", "remove", "confirm", "done"
]


class JournalWritePlan(NamedTuple):
    """Records of the next write, and keys of claims that do not fit into the object."""

    records_by_key: dict[str, rows.JournalRecord]
    refused_keys: tuple[str, ...]


def find_unexpired_record(
    shard: rows.JournalShardRow, key: str, now: float
) -> rows.JournalRecord | None:
    """Return the record of a key, or None if there is none or it has expired."""
    record = shard.records_by_key.get(key)
    return record if record is not None and now < record.expires_at else None


def compare_claim_with_record(
    claim: rows.ClaimRow,
    record: rows.JournalRecord | None,
    is_fresh: bool,
    has_unresolved_write: bool,
) -> ClaimComparison:
    """Return the next step for a claim, given the record of its key.

    Parameters
    ----------
    is_fresh : bool
        Whether the record was read from the store after the claim was made.
    has_unresolved_write : bool
        Whether an earlier write of this process failed and may still take effect.
    """
    is_own_record = record is not None and record.nonce == claim.nonce
    is_abandoned_record = record is not None and record.nonce in claim.abandoned_nonces
    if claim.state == "writing":
        if is_own_record:
            return "won"
        if record is None or is_abandoned_record:
            return "insert"
        is_conclusive = record.status or record.request_sha256 != claim.request_sha256
        return "duplicate" if is_fresh or is_conclusive else "read"
    if claim.state == "finished" and is_own_record:
        assert record is not None
        return "done" if record.status else "replace"
    if claim.state == "abandoned":
        if is_own_record or is_abandoned_record:
            return "remove"
        # A successful write changes the version, so that the earlier conditional write
        # can no longer succeed.
        return "confirm" if has_unresolved_write else "done"
    return "done"


def build_journal_record(
    claim: rows.ClaimRow, node_id: str, incarnation: int
) -> rows.JournalRecord:
    """Return the journal record of a claim, including the answer if there is one.

    The record of a finished claim is final, so it omits node, incarnation and nonce.
    This and the shortened hash halve its size. The size of the records limits how many
    calls the journal can hold within one retention period.
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
    """Return an upper bound of the size of an encoded record."""
    unescaped_bytes = len(record.key) + len(record.request_sha256) + len(record.nonce)
    escaped_text_bytes = _escaped_bytes_upper_bound(
        record.node_id
    ) + _escaped_bytes_upper_bound(record.content_type)
    return (
        RECORD_OVERHEAD_BYTES
        + unescaped_bytes
        + escaped_text_bytes
        + _encoded_body_bytes(record)
    )


@lru_cache(maxsize=256)
def _escaped_bytes_upper_bound(text: str) -> int:
    return sum(
        1
        if " " <= character <= "~" and character not in '"\\'
        else ESCAPED_CHARACTER_BYTES
        for character in text
    )


def _encoded_body_bytes(record: rows.JournalRecord) -> int:
    return len(record.body) * 4 // 3 + 4 if record.body else 0


def plan_journal_write(
    unexpired_records: Iterable[rows.JournalRecord],
    removed_keys: Iterable[str],
    replaced: Mapping[str, rows.JournalRecord],
    inserted: Mapping[str, rows.JournalRecord],
    limit_bytes: int,
) -> JournalWritePlan:
    """Return the records of the next write, within the size limit of a store value.

    If space is short, stored answer bodies are removed, oldest first. Duplicates of
    such a call then learn that it ran, but do not get its answer. A record is never
    removed for lack of space, because its call could then run again.
    """
    records = {record.key: record for record in unexpired_records}
    for key in removed_keys:
        records.pop(key, None)
    records.update(replaced)
    free_bytes = limit_bytes - sum(map(record_bytes_upper_bound, records.values()))
    needed_bytes = sum(map(record_bytes_upper_bound, inserted.values()))
    for key, record in list(records.items()):
        if free_bytes >= needed_bytes:
            break
        free_bytes += _encoded_body_bytes(record)
        records[key] = record._replace(body=None)
    refused_keys: list[str] = []
    for key, record in inserted.items():
        needed_record_bytes = record_bytes_upper_bound(record)
        if needed_record_bytes > free_bytes:
            refused_keys.append(key)
            continue
        free_bytes -= needed_record_bytes
        records[key] = record
    return JournalWritePlan(records, tuple(refused_keys))
