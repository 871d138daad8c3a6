"""Rows of idempotency claims and of the journal shards that record them."""

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
        Hash of the account, the service and the caller's key.
    nonce : str
        Identifies this claim in the journal; only its holder sends the call.
    state : ClaimState
        ``writing``: not recorded yet; ``granted``: held by this process, call not
        sent; ``running``: any byte of the call may have been sent; ``finished``:
        answered; ``unknown``: sent and not answered; ``abandoned``: refused and never
        to be sent.
    deadline : float
        While ``writing``, time limit for recording the claim; afterwards, expiry of
        the key.
    abandoned_nonces : tuple of str
        Earlier claims of this process for the key, for which no call was sent.
    waiting_request_ids : tuple of str
        Duplicate requests at this entry that receive the same answer.
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
    """One claim as recorded in a journal object of the store.

    Parameters
    ----------
    expires_at : float
        Time after which the record may be discarded; the codec converts it between
        the node clock and Unix time.
    status : int
        HTTP status of the answer; 0 while the call is claimed but not answered.
    body : bytes or None
        Body of the answer; None if it was not kept.
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
    """Journal layout; all entries must use the same one to find and keep records."""

    shard_count: int
    retention_seconds: float


class JournalShardRow(NamedTuple):
    """One shard of the claim journal as this process last read or wrote it.

    Parameters
    ----------
    version : int
        Version in the store; -1 before the first read.
    operation_id : str
        Id of the store call in progress; empty if there is none.
    written_by_key : dict or None
        Records of the write that is in progress or whose outcome is unknown.
    unresolved_version : int
        Expected version of a failed write that may still take effect; -1 if there is
        none.
    contended : bool
        Whether another process wrote the shard last, so that the next write must be
        preceded by a read.
    pending_keys : tuple of str
        Keys of claims that still have to be synchronized with the journal.
    flush_at : float
        Time of the next flush; 0 if none is scheduled.
    write_not_before : float
        Earliest time of the next write, which limits the rate of writes.
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
