"""Rows of the blackboard's tables."""

from __future__ import annotations

from typing import Literal, NamedTuple

from carawayhitch.core._declarations import Labels

UpstreamKind = Literal["engine", "service"]
MemberState = Literal["joining", "alive", "suspect", "leaving", "left", "dead"]
LifecycleState = Literal["starting", "ready", "draining", "refusing", "stopped"]
RequestPhase = Literal["asking", "claiming", "opening", "relaying", "finished"]
ClaimState = Literal["writing", "granted", "finished", "unknown"]


class GenerationTarget(NamedTuple):
    """A call to a model engine."""

    path: str
    model: str
    stream: bool
    prompt_tokens: int
    maximum_tokens: int
    prefix_blocks: tuple[str, ...] = ()


class ServiceTarget(NamedTuple):
    """A call to a plain service."""

    service: str
    method: str
    path: str
    idempotent: bool


class ResumeTarget(NamedTuple):
    """A stream that continues at this entry after another entry was lost."""

    upstream_id: str
    generation_id: str
    last_sequence: int


Target = GenerationTarget | ServiceTarget | ResumeTarget


class RequestRow(NamedTuple):
    """One call of a caller that this entry serves.

    Parameters
    ----------
    deadline : float
        Time after which the request must not start (seconds of the node clock).
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
    """One entry process as membership knows it.

    Parameters
    ----------
    incarnation : int
        Start of the process in microseconds of Unix time, plus the number of times
        that it refuted a wrong report about itself.
    state : MemberState
        ``joining`` until the process knows cells that it could schedule.
    state_deadline : float
        When a suspected member counts as dead, or when the row of a dead or left one
        is removed (seconds of the node clock); 0 if the state has no deadline.
    """

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


class MemberUpdateRow(NamedTuple):
    """A change of a member row that is still piggybacked on messages.

    Parameters
    ----------
    added : bool
        Whether the member became known or came back; other changes go first.
    """

    node_id: str
    added: bool
    sent_count: int


class ProbeRow(NamedTuple):
    """A probe without an answer yet.

    Parameters
    ----------
    deadline : float
        Time of the indirect probes (seconds of the node clock).
    requester_id : str
        Entry on whose behalf the probe was sent, or empty for an own probe.
    requester_sequence : int
        Sequence that the requester expects in the answer.
    """

    sequence: int
    subject_id: str
    deadline: float
    requester_id: str = ""
    requester_sequence: int = 0


class ProbeRoundRow(NamedTuple):
    """Members that this node has still to probe in the current round.

    Parameters
    ----------
    tick_deadline : float
        Time of the next probe (seconds of the node clock).
    table_tick : int
        Tick at which this node last asked for a whole table.
    added_count : int
        Members that became known or came back since then.
    """

    node_id: str
    remaining_ids: tuple[str, ...]
    next_sequence: int
    tick_count: int
    tick_deadline: float
    table_tick: int = 0
    added_count: int = 0


class SchedulerContactRow(NamedTuple):
    """How reliably a scheduler answers this entry.

    Parameters
    ----------
    silent_since : float
        Time at which the first message counted as unanswered (seconds of the node
        clock).
    unanswered_count : int
        Asks and progress messages without an answer since its last one.
    avoid_deadline : float
        Time until which others are asked instead (seconds of the node clock).
    """

    scheduler_id: str
    silent_since: float
    unanswered_count: int = 0
    avoid_deadline: float = 0.0


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
    """State of one idempotency key in this process."""

    key: str
    body_sha256: str
    nonce: str
    state: ClaimState
    deadline: float
    request_id: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes = b""


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
