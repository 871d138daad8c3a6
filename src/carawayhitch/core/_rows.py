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
    last_chunk_at : float
        Time of the last bytes of this attempt, or of its start before the first.
    paused_at : float
        Time since which the caller takes no bytes; 0 while it does.
    may_have_run : bool
        Whether any attempt was sent, so that no refusal may say ``no`` any more.
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
    paused_at: float = 0.0
    may_have_run: bool = False


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
    draining: bool = False
    unreachable_until: float = 0.0
    reported_at: float = 0.0
    memory_capacity: int = 0
    memory_used: int = 0
    running_count: int = 0
    running_limit: int = 64
    waiting_count: int = 0
    preemption_count: int = 0

    def takes_work(self, now: float) -> bool:
        """Return whether new requests may be placed here."""
        return not (self.leaving or self.draining) and now >= self.unreachable_until


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
    """A change of a member row that is still piggybacked on messages."""

    node_id: str
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
    """

    node_id: str
    remaining_ids: tuple[str, ...]
    next_sequence: int
    tick_count: int
    tick_deadline: float


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


class LeaseRow(NamedTuple):
    """Lease on the orders of one serving group, as this node has seen it.

    Parameters
    ----------
    version : int
        Version of the lease object; the fencing number while this node holds it.
    held : bool
        Whether this node wrote that version.
    deadline : float
        If held: time until which this node may send orders. Otherwise: time at which
        an unchanged lease of another node has certainly lapsed.
    """

    group: str
    version: int
    held: bool
    deadline: float
    requested_at: float = 0.0


class EngineStateRow(NamedTuple):
    """What an engine answered when it was last asked for its state."""

    upstream_id: str
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    busy_count: int
    read_at: float


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
    vm_list_known: bool = False
