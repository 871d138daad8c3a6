"""Crash records: which upstreams crashed while a fingerprint ran there.

Records spread to all entries by gossip, and at once when they change.
"""

from __future__ import annotations

from collections.abc import Iterable

from carawayhitch.board import Board
from carawayhitch.core import rows

# Callers resend a crashing request within minutes. After this time, requests that only
# ran beside it are no longer restricted.
CRASH_RECORD_SECONDS = 1800.0


def crash_record(board: Board, fingerprint: str, now: float) -> rows.CrashRow | None:
    """Return the unexpired crash record of a fingerprint, or None."""
    record = board.crashes_by_fingerprint.get(fingerprint)
    return record if record is not None and now < record.deadline else None


def is_convicted(board: Board, fingerprint: str, now: float) -> bool:
    """Return whether a fingerprint is convicted, so that its requests are refused."""
    record = crash_record(board, fingerprint, now)
    return record is not None and record.convicted


def prefix_block_key(block: str) -> str:
    """Return the key of a prefix block among the fingerprints of crash records."""
    return f"block {block}"


def has_convicted_block(board: Board, prefix_blocks: Iterable[str], now: float) -> bool:
    """Return whether a prefix block is convicted."""
    return any(
        is_convicted(board, prefix_block_key(block), now) for block in prefix_blocks
    )


def is_cause_of_crashes(
    board: Board, fingerprint: str, prefix_blocks: Iterable[str], now: float
) -> bool:
    """Return whether a request is refused for its fingerprint or a prefix block."""
    return is_convicted(board, fingerprint, now) or has_convicted_block(
        board, prefix_blocks, now
    )


def crash_id(upstream_id: str, started_at: int) -> str:
    """Return the id of the crash of one instance, equal at all entries that see it."""
    return f"{upstream_id}/{started_at}"


def add_crash(
    board: Board, fingerprint: str, crash: str, convicts: bool, now: float
) -> rows.CrashRow:
    """Return the record of a fingerprint with one more crash."""
    existing = crash_record(board, fingerprint, now)
    if existing is None:
        existing = rows.CrashRow(fingerprint, (), convicted=False, deadline=0.0)
    return existing._replace(
        upstream_ids=(*existing.upstream_ids, crash),
        convicted=existing.convicted or convicts,
        deadline=now + CRASH_RECORD_SECONDS,
    )


def uncleared_crash_count(record: rows.CrashRow | None) -> int:
    """Return the number of crashes that a fingerprint may have caused."""
    if record is None:
        return 0
    return len(set(record.upstream_ids) - set(record.cleared_ids))


def clear_record(board: Board, fingerprint: str, now: float) -> rows.CrashRow | None:
    """Clear a fingerprint of its crashes so far; return the record if it changed."""
    record = crash_record(board, fingerprint, now)
    if record is None or record.convicted or not uncleared_crash_count(record):
        return None
    cleared_ids = tuple(sorted({*record.cleared_ids, *record.upstream_ids}))
    cleared = record._replace(cleared_ids=cleared_ids)
    board.crashes_by_fingerprint[fingerprint] = cleared
    return cleared


def merge_crashes(
    board: Board, received: Iterable[rows.CrashRow], now: float
) -> tuple[rows.CrashRow, ...]:
    """Merge crash records received by gossip; return those that changed.

    Parameters
    ----------
    received : iterable of CrashRow
        Records with deadlines in local clock time.

    Returns
    -------
    tuple of CrashRow
        New records, and those whose upstreams or conviction changed; a later deadline
        alone is no change. Merging is commutative and idempotent, so the order in which
        nodes receive records has no effect.
    """
    changed: list[rows.CrashRow] = []
    for record in received:
        deadline = min(record.deadline, now + CRASH_RECORD_SECONDS)
        if now >= deadline:
            continue
        existing = crash_record(board, record.fingerprint, now)
        if existing is None:
            merged = record._replace(
                deadline=deadline, cleared_ids=tuple(sorted({*record.cleared_ids}))
            )
        else:
            merged = rows.CrashRow(
                record.fingerprint,
                _merge_upstreams(existing.upstream_ids, record.upstream_ids),
                existing.convicted or record.convicted,
                max(existing.deadline, deadline),
                tuple(sorted({*existing.cleared_ids, *record.cleared_ids})),
            )
        if existing is None or merged != existing._replace(deadline=merged.deadline):
            changed.append(merged)
        board.crashes_by_fingerprint[record.fingerprint] = merged
    return tuple(changed)


def _merge_upstreams(
    existing: tuple[str, ...], received: tuple[str, ...]
) -> tuple[str, ...]:
    """Return the multiset union of the upstreams of two records, sorted."""
    names = sorted({*existing, *received})
    return tuple(
        name
        for name in names
        for _ in range(max(existing.count(name), received.count(name)))
    )
