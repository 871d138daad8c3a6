"""Rows of the blackboard's tables."""

from __future__ import annotations

from typing import Literal, NamedTuple

from carawayhitch.core._declarations import Labels

UpstreamKind = Literal["engine", "service"]
MemberState = Literal["alive", "suspect", "leaving", "left", "dead"]
LifecycleState = Literal["starting", "ready", "draining", "refusing", "stopped"]
RequestPhase = Literal["asking", "claiming", "opening", "relaying", "finished"]
ClaimState = Literal[
    "writing", "granted", "running", "finished", "unknown", "abandoned"
]


class GenerationTarget(NamedTuple):
    """A call to a model engine."""

    path: str
    model: str
    stream: bool
    prompt_tokens: int
    maximum_tokens: int
    prefix_blocks: tuple[str, ...] = ()


class ServiceTarget(NamedTuple):
    """A call to a plain service.

    Parameters
    ----------
    idempotent : bool
        Set in admission from the declared routes; False until then.
    """

    service: str
    method: str
    path: str
    idempotent: bool = False


class ForwardTarget(NamedTuple):
    """A call with an issued key that runs at the entry which issued the key."""

    service: str
    method: str
    path: str
    node_id: str
    incarnation: int


class ResumeTarget(NamedTuple):
    """A stream that continues at this entry after another entry was lost."""

    upstream_id: str
    generation_id: str
    last_sequence: int


Target = GenerationTarget | ServiceTarget | ForwardTarget | ResumeTarget


class IssuedKey(NamedTuple):
    """Content of a signed single-use key.

    Parameters
    ----------
    node_id, incarnation : str, int
        The one process that may run a call with this key.
    address : str
        Host and port of that process's HTTP interface.
    deadline : float
        End of the key in seconds of that process's clock, which no other process
        compares with its own.
    """

    node_id: str
    incarnation: int
    address: str
    account: str
    serial: str
    deadline: float


class RequestRow(NamedTuple):
    """One call of a caller that this entry serves.

    Parameters
    ----------
    deadline : float
        Time after which the request must not start (seconds of the node clock).
    key_created_at : float or None
        Time in a UUIDv7 key, in seconds of the node clock.
    grant_deadline : float
        Time after which the granted upstream must not be used any more.
    caller_gone : bool
        The caller left while a call ran that must not be repeated; its answer is
        still kept for duplicates.
    attempt : int
        Number of the current ask; answers to older ones are ignored.
    last_sequence : int
        Highest event sequence delivered to the caller; 0 before the first.
    """

    request_id: str
    account: str
    group: str
    rank: str
    binding: str
    target: Target
    fingerprint: str
    body_sha256: str
    idempotency_key: str
    received_at: float
    deadline: float
    issued_key: IssuedKey | None = None
    key_created_at: float | None = None
    grant_deadline: float = 0.0
    caller_gone: bool = False
    phase: RequestPhase = "asking"
    attempt: int = 1
    cell_id: str = ""
    scheduler_id: str = ""
    ask_deadline: float = 0.0
    ask_count: int = 0
    queued: bool = False
    upstream_id: str = ""
    address: str = ""
    priority: int = 0
    excluded_upstream_ids: tuple[str, ...] = ()
    generation_id: str = ""
    last_sequence: int = 0
    token_count: int = 0
    reported_token_count: int = 0
    first_token_at: float = 0.0
    last_chunk_at: float = 0.0
    resume_count: int = 0
    response_started: bool = False


class UpstreamRow(NamedTuple):
    """One upstream as known from the VM list, labels and load reports.

    Parameters
    ----------
    reported_at : float
        Time at which the engine took the load figures; they lag.
    memory_capacity, memory_used : int
        Key-value cache of the engine, in tokens.
    """

    upstream_id: str
    address: str
    zone: str
    region: str
    kind: UpstreamKind
    labels: Labels
    leaving: bool = False
    unreachable_until: float = 0.0
    reported_at: float = 0.0
    memory_capacity: int = 0
    memory_used: int = 0
    running_count: int = 0
    running_limit: int = 64
    waiting_count: int = 0
    preemption_count: int = 0


class CellRow(NamedTuple):
    """Upstreams of one serving group in one region that share a scheduler."""

    cell_id: str
    group: str
    region: str
    upstream_ids: tuple[str, ...]


class MemberRow(NamedTuple):
    """One entry process as membership knows it."""

    node_id: str
    incarnation: int
    state: MemberState
    address: str
    peer_port: int
    http_port: int
    zone: str
    region: str
    revision: int = 0
    configuration_digest: str = ""
    state_deadline: float = 0.0


class AskRow(NamedTuple):
    """A request that waits at the scheduler of its cell."""

    request_id: str
    attempt: int
    entry_id: str
    cell_id: str
    group: str
    account: str
    rank: str
    binding: str
    fingerprint: str
    prompt_tokens: int
    maximum_tokens: int
    prefix_blocks: tuple[str, ...]
    excluded_upstream_ids: tuple[str, ...]
    queued_at: float
    deadline: float


class GrantRow(NamedTuple):
    """A request that a scheduler has placed on an upstream."""

    request_id: str
    attempt: int
    entry_id: str
    cell_id: str
    group: str
    account: str
    rank: str
    binding: str
    fingerprint: str
    upstream_id: str
    prompt_tokens: int
    maximum_tokens: int
    token_count: int
    granted_at: float
    deadline: float


class CrashRow(NamedTuple):
    """Upstreams that died while one fingerprint ran there."""

    fingerprint: str
    upstream_ids: tuple[str, ...]
    convicted: bool
    deadline: float


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


class ShardRow(NamedTuple):
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


class ObjectRow(NamedTuple):
    """Newest version of one declared object; a deleted one keeps its version."""

    key: tuple[str, str]
    version: int
    value: bytes
    deleted: bool = False


class BudgetRow(NamedTuple):
    """Retry budget as a token bucket."""

    retries: float
    updated_at: float


class LifecycleRow(NamedTuple):
    """State of this process."""

    node_id: str
    incarnation: int
    state: LifecycleState
    deadline: float = 0.0
