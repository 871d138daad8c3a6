"""Rows of claims and of the journals that hold them."""

from __future__ import annotations

from typing import Literal, NamedTuple

ClaimState = Literal[
    "writing", "granted", "running", "finished", "unknown", "abandoned"
]


class ClaimRow(NamedTuple):
    """State of one idempotency key that this process claims or has claimed.

    Parameters
    ----------
    key : str
        Hash of account, service and the caller's key.
    nonce : str
        Marks this claim in the journal; only its holder sends the call.
    state : str
        ``writing``: not recorded yet; ``granted``: ours and not sent; ``running``:
        any byte may have been sent; ``finished``: answered; ``unknown``: sent and
        not answered; ``abandoned``: refused and never to be sent.
    deadline : float
        While ``writing``, end of the claim; then, end of the key.
    abandoned_nonces : tuple of str
        Earlier claims of this process for the key, which never sent the call.
    waiting_request_ids : tuple of str
        Duplicates at this entry that get the same answer.
    """

    key: str
    request_sha256: str
    nonce: str
    state: ClaimState
    deadline: float
    expires_at: float
    request_id: str
    shard: str = ""
    abandoned_nonces: tuple[str, ...] = ()
    waiting_request_ids: tuple[str, ...] = ()
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


class JournalRecord(NamedTuple):
    """One claim as a journal object of the store holds it.

    Parameters
    ----------
    expires_at : float
        Time after which the record may be dropped; the codec converts it between
        the node clock and Unix time.
    status : int
        HTTP status of the answer; 0 while the call is claimed and not answered.
    body : bytes or None
        None if the answer was not kept.
    """

    key: str
    request_sha256: str
    node_id: str
    incarnation: int
    nonce: str
    expires_at: float
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


class LayoutRow(NamedTuple):
    """What all entries must agree on to find and keep the record of a key."""

    shard_count: int
    retention_seconds: float


class JournalShardRow(NamedTuple):
    """One journal object as this process last read or wrote it.

    Parameters
    ----------
    version : int
        Version in the store; -1 before the first read.
    operation_id : str
        The store call that runs; empty if there is none.
    written_by_key : dict or None
        Records of the write that runs, or whose outcome is unknown.
    unresolved_version : int
        A write that expected this version failed and may still take effect; -1 if
        there is none.
    contended : bool
        Another process wrote the object last, so a write is preceded by a read.
    pending_keys : tuple of str
        Claims that still have to be compared with the journal.
    flush_at : float
        Time of the next flush; 0 if none is planned.
    write_not_before : float
        Earliest time of the next write, which bounds the rate of writes.
    """

    name: str
    version: int = -1
    records_by_key: dict[str, JournalRecord] = {}
    operation_id: str = ""
    written_by_key: dict[str, JournalRecord] | None = None
    unresolved_version: int = -1
    contended: bool = False
    pending_keys: tuple[str, ...] = ()
    flush_at: float = 0.0
    write_not_before: float = 0.0
