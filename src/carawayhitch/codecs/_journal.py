"""Store values of claim journals and of the journal layout."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple, TypedDict

import msgspec

from carawayhitch.core import errors, result_codes, rows


class StoredRecord(NamedTuple):
    """Journal record encoded as a JSON array.

    Times are in Unix seconds, bodies are base64-encoded.
    """

    key: str
    request_sha256: str
    node_id: str
    incarnation: int
    nonce: str
    expires_at: int
    status: int
    content_type: str
    body: bytes | None


_journal_decoder = msgspec.json.Decoder(tuple[StoredRecord, ...])


def encode_journal(
    records: Iterable[rows.JournalRecord], unix_minus_node_clock: float
) -> bytes:
    """Return the store value of a journal.

    Parameters
    ----------
    records : iterable of JournalRecord
        Expiry times are in seconds of the node clock.
    unix_minus_node_clock : float
        Offset in seconds that converts node clock time to Unix time.
    """
    # A full journal has thousands of records. Building plain tuples takes a third of
    # the time of `_replace` on named tuples.
    stored = [
        (*record[:5], math.ceil(record[5] + unix_minus_node_clock), *record[6:])
        for record in records
    ]
    return msgspec.json.encode(stored)


def decode_journal(
    value: bytes, unix_minus_node_clock: float
) -> tuple[rows.JournalRecord, ...]:
    """Return the records of a journal, none if the journal object does not exist.

    Raises
    ------
    MalformedMessageError
        If the value was not written by `encode_journal`.
    """
    if not value:
        return ()
    try:
        stored = _journal_decoder.decode(value)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.MalformedMessageError(
            result_codes.STORE_CALL_FAILED, f"claim journal: {error}"
        ) from None
    make = rows.JournalRecord._make
    return tuple(
        make((*record[:5], record[5] - unix_minus_node_clock, *record[6:]))
        for record in stored
    )


class LayoutBody(TypedDict):
    """Store value of the journal layout."""

    shard_count: int
    retention_seconds: float


def encode_journal_layout(layout: rows.LayoutRow) -> bytes:
    """Return the store value of a journal layout."""
    return msgspec.json.encode(layout._asdict())


def decode_journal_layout(value: bytes) -> rows.LayoutRow | None:
    """Return the journal layout, None if the layout object does not exist.

    Raises
    ------
    MalformedMessageError
        If the value was not written by `encode_journal_layout`.
    """
    if not value:
        return None
    try:
        body = msgspec.json.decode(value, type=LayoutBody)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.MalformedMessageError(
            result_codes.STORE_CALL_FAILED, f"journal layout: {error}"
        ) from None
    return rows.LayoutRow(body["shard_count"], body["retention_seconds"])
