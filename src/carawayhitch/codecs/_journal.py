"""Claim journals: store values to records and back."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple, TypedDict

import msgspec

from carawayhitch.core import errors, result_codes, rows


class StoredRecord(NamedTuple):
    """A record as a JSON array; times are Unix seconds, bodies are in base64."""

    key: str
    request_sha256: str
    node_id: str
    incarnation: int
    nonce: str
    expires_at: int
    status: int
    content_type: str
    body: bytes | None


_decoder = msgspec.json.Decoder(tuple[StoredRecord, ...])


def encode_journal(
    records: Iterable[rows.JournalRecord], unix_minus_node_clock: float
) -> bytes:
    """Return the store value of a journal.

    Parameters
    ----------
    records : iterable of JournalRecord
        Expiry times are seconds of the node clock.
    unix_minus_node_clock : float
        Seconds to add to a time of the node clock.
    """
    # A full journal has thousands of records; plain tuples cost a third of the time
    # that replaced named tuples take.
    stored = [
        (*record[:5], math.ceil(record[5] + unix_minus_node_clock), *record[6:])
        for record in records
    ]
    return msgspec.json.encode(stored)


def decode_journal(
    value: bytes, unix_minus_node_clock: float
) -> tuple[rows.JournalRecord, ...]:
    """Return the records of a journal; an absent object has none.

    Raises
    ------
    MalformedMessageError
        If the value was not written by `encode_journal`.
    """
    if not value:
        return ()
    try:
        stored = _decoder.decode(value)
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
    """Store value of the layout of the journals."""

    shard_count: int
    retention_seconds: float


def encode_journal_layout(layout: rows.LayoutRow) -> bytes:
    """Return the store value of a layout."""
    return msgspec.json.encode(layout._asdict())


def decode_journal_layout(value: bytes) -> rows.LayoutRow | None:
    """Return a layout; an absent object has none.

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
