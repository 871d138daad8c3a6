"""Merging of crash records that other entries report."""

from __future__ import annotations

from collections.abc import Iterable

from carawayhitch.board import Board
from carawayhitch.core import rows as row_types


def merge_crashes(board: Board, rows: Iterable[row_types.CrashRow], now: float) -> None:
    """Add received crash records to those on the board.

    Merging is commutative and idempotent, so the order and repetition of messages do
    not matter.
    """
    for row in rows:
        if row.deadline <= now:
            continue
        known = board.crashes_by_fingerprint.get(row.fingerprint)
        if known is not None:
            row = row_types.CrashRow(
                row.fingerprint,
                tuple(sorted({*known.upstream_ids, *row.upstream_ids})),
                known.convicted or row.convicted,
                max(known.deadline, row.deadline),
            )
        board.crashes_by_fingerprint[row.fingerprint] = row
