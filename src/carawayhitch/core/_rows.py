"""Rows of the blackboard's tables."""

from __future__ import annotations

from typing import Literal, NamedTuple

from carawayhitch.core._declarations import Labels

VmKind = Literal["engine", "service", "entry"]
MemberState = Literal["joining", "alive", "suspect", "leaving", "left", "dead"]
LifecycleState = Literal["starting", "ready", "draining", "refusing", "stopped"]
RequestPhase = Literal["asking", "claiming", "opening", "relaying", "finished"]
MovePhase = Literal["copying", "stopping", "opening"]
MoveOutcome = Literal["moved", "not_started", "gone", "failed"]
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


class RoutedTarget(NamedTuple):
    """A call on an HTTP route, passed on with its method, path and body unchanged.

    Parameters
    ----------
    path : str
        Path as the caller sent it, without the query.
    streamed, repeatable, resumable : bool
        Set in admission from the declared route; False until then.
    last_sequence : int
        Last event that the caller has of an earlier answer; 0 for a new one.
    expected_tokens : int
        The caller's estimate of the output; right in the median and often far off.
    """

    method: str
    host: str
    path: str
    prompt_tokens: int = 0
    maximum_tokens: int = 0
    expected_tokens: int = 0
    prefix_blocks: tuple[str, ...] = ()
    last_sequence: int = 0
    streamed: bool = False
    repeatable: bool = False
    resumable: bool = False


Target = GenerationTarget | ServiceTarget | ForwardTarget | ResumeTarget | RoutedTarget


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
    last_chunk_at : float
        Time of the last bytes of this attempt, or of its start before the first.
    paused_at : float
        Time since which the caller takes no bytes; 0 while it does.
    may_have_run : bool
        Whether any attempt was sent, so that no refusal may say ``no`` any more.
    known_by_id : str
        Scheduler that has the row of the running request; progress to it is short.
    answer_deadline : float
        Time by which the answer has to begin; 0 for no such time.
    goal_deadline : float
        Time by which the answer should begin; 0 for no such time.
    caller_deadline : float
        Time until which the caller waits; 0 if it did not tell.
    attempt_limit : int
        Upstreams on which the call may run; 0 for the limit of the settings.
    run_count : int
        Upstreams on which it may have run.
    answer_headers : tuple of (str, str)
        Headers of the upstream's answer, until the caller has them.
    answer_status : int
        HTTP status of a whole answer that was passed on; 0 for none.
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
    paused_at: float = 0.0
    may_have_run: bool = False
    known_by_id: str = ""
    answer_deadline: float = 0.0
    goal_deadline: float = 0.0
    caller_deadline: float = 0.0
    attempt_limit: int = 0
    run_count: int = 0
    answer_headers: tuple[tuple[str, str], ...] = ()
    answer_status: int = 0


class UpstreamRow(NamedTuple):
    """One upstream as known from the VM list, labels and load reports.

    Parameters
    ----------
    is_listed : bool
        False if the upstream is kept only because requests still run there.
    leaving_since : float
        Time at which it became known that the upstream leaves.
    leaves_at : float
        Time at which the upstream is gone; 0 if not known.
    started_at : int
        Start of the upstream in milliseconds of Unix time; 0 if not known.
    warm_at : float
        Time until which the upstream is slow after its start.
    reported_at : float
        Time at which the engine took the load figures; they lag.
    memory_capacity, memory_used : int
        Key-value cache of the engine, in tokens.
    """

    upstream_id: str
    address: str
    zone: str
    region: str
    kind: VmKind
    labels: Labels
    leaving: bool = False
    is_listed: bool = True
    leaving_since: float = 0.0
    leaves_at: float = 0.0
    started_at: int = 0
    warm_at: float = 0.0
    draining: bool = False
    unreachable_until: float = 0.0
    refused_until: float = 0.0
    reported_at: float = 0.0
    memory_capacity: int = 0
    memory_used: int = 0
    running_count: int = 0
    running_limit: int = 64
    waiting_count: int = 0
    preemption_count: int = 0

    def takes_work(self, now: float) -> bool:
        """Return whether new requests may be placed here."""
        back_at = max(self.unreachable_until, self.refused_until)
        return not (self.leaving or self.draining) and now >= back_at


class CellRow(NamedTuple):
    """Upstreams of one serving group in one region that share a scheduler."""

    cell_id: str
    group: str
    region: str
    upstream_ids: tuple[str, ...]


class CellLoadRow(NamedTuple):
    """Load of a cell as its scheduler last told this entry.

    Parameters
    ----------
    load_percent : int
        Waiting and running requests per upstream, in hundredths, with those that this
        entry placed since.
    deadline : float
        Until when the value counts (seconds of the node clock).
    """

    load_percent: int
    deadline: float


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
    """A request that waits at the scheduler of its cell.

    Parameters
    ----------
    goal_deadline : float
        Time by which the answer should begin (seconds of the node clock); 0 for no
        such time.
    """

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
    renewed_at: float = 0.0
    goal_deadline: float = 0.0


class MemoryRow(NamedTuple):
    """Predicted memory after numbers of further tokens, as mean and variance.

    Parameters
    ----------
    peak : float
        Highest mean with its margin; set in the sum for an upstream.
    """

    means: tuple[float, ...] = ()
    variances: tuple[float, ...] = ()
    peak: float = 0.0


class EndedRow(NamedTuple):
    """A request that ended, so that late progress does not bring its grant back.

    Parameters
    ----------
    attempt : int
        The attempt that ended; a later one may run.
    deadline : float
        When the row is removed (seconds of the node clock).
    """

    attempt: int
    deadline: float


class GrantRow(NamedTuple):
    """A request that a scheduler has placed on an upstream.

    Parameters
    ----------
    renewed_at : float
        Time of the last progress for the request.
    memory : MemoryRow
        Predicted memory, as of the last progress.
    charged_prompt : bool
        False if an earlier scheduler charged the prompt.
    charged_tokens : int
        Output tokens that this scheduler charged.
    """

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
    renewed_at: float = 0.0
    memory: MemoryRow = MemoryRow()
    charged_prompt: bool = True
    charged_tokens: int = 0


class EvacuationRow(NamedTuple):
    """Generations of a leaving engine that are moved one after another.

    All copies leave over one link of the engine, so copies at the same time would all
    end late.

    Parameters
    ----------
    deadline : float
        Time at which the engine is gone (seconds of the node clock).
    moving_request_id : str
        Generation that is being moved; empty if none is.
    order_deadline : float
        Time at which the order counts as lost.
    tried_request_ids : tuple of str
        Generations that are not tried again.
    """

    upstream_id: str
    cell_id: str
    deadline: float
    moving_request_id: str = ""
    order_deadline: float = 0.0
    tried_request_ids: tuple[str, ...] = ()


class MoveRow(NamedTuple):
    """A generation of this entry that is being moved to another engine.

    Parameters
    ----------
    scheduler_id : str
        Who ordered the move.
    phase : MovePhase
        ``copying`` while the generation goes on, ``stopping`` while the rest is
        copied, ``opening`` while the target has not sent an event.
    handle : str
        Name of the copied memory at the source.
    deadline : float
        Time at which the source is gone (seconds of the node clock).
    """

    request_id: str
    attempt: int
    scheduler_id: str
    cell_id: str
    source_id: str
    source_address: str
    target_id: str
    target_address: str
    deadline: float
    phase: MovePhase = "copying"
    handle: str = ""


class UsageRow(NamedTuple):
    """Virtual token counter of one account in one rank of one cell.

    Parameters
    ----------
    charged : float
        Tokens divided by the quota weight of the account.
    """

    charged: float
    open_count: int


class RateRow(NamedTuple):
    """Tokens charged and grants made in a rank; both decay with the charge window.

    Parameters
    ----------
    grants : float
        Grants since the queue of the rank was last empty.
    """

    tokens: float = 0.0
    grants: float = 0.0
    updated_at: float = 0.0


class QueueRow(NamedTuple):
    """Length of the queue of a rank, and the time at which it was last empty."""

    length: int = 0
    since: float = 0.0


class LengthsRow(NamedTuple):
    """Output lengths that finished in one binding.

    Parameters
    ----------
    counts : tuple of float
        Requests by bucket of geometric width.
    survival : tuple of tuple of float
        Shares of requests that go on, by produced tokens and further tokens.
    survival_total : float
        Number of requests that ``survival`` was computed from.
    """

    counts: tuple[float, ...]
    survival: tuple[tuple[float, ...], ...]
    survival_total: float


class FinishRow(NamedTuple):
    """Memory that a finished grant gave back."""

    granted_at: float
    finished_at: float
    memory: int


class LedgerRow(NamedTuple):
    """What an engine's reports say beyond the grants that this scheduler knows.

    Parameters
    ----------
    foreign_tokens, foreign_count : int
        Memory and requests of unknown origin, as of the last report.
    backoff : float
        Share of the memory target in use; below 1 after preemptions.
    started_at : float
        Time at which a request there last had its first token.
    """

    foreign_tokens: int = 0
    foreign_count: int = 0
    preemption_count: int = -1
    backoff: float = 1.0
    backoff_at: float = 0.0
    finishes: tuple[FinishRow, ...] = ()
    started_at: float = 0.0


class CacheRow(NamedTuple):
    """Position in the cache events of an engine."""

    sequence: int = 0


class CrashRow(NamedTuple):
    """Upstreams that died while one fingerprint ran there."""

    fingerprint: str
    upstream_ids: tuple[str, ...]
    convicted: bool
    deadline: float


class DeathRow(NamedTuple):
    """The last failure of an upstream.

    Parameters
    ----------
    fingerprints : tuple of str
        Requests that were granted there when it failed.
    recent_count : int
        Grants that may have been opened only after the failure.
    confirmed : bool
        False until a load poll shows whether the engine died or only a link did.
    """

    upstream_id: str
    died_at: float
    fingerprints: tuple[str, ...]
    recent_count: int
    confirmed: bool


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


class ObjectSetRow(NamedTuple):
    """What this node knows of the declared objects as a whole.

    Parameters
    ----------
    revision : int
        Highest version known.
    complete_revision : int
        Revision up to which every change is known; -1 before the first whole set.
    digest : int
        Exclusive or of the hashes of all keys and versions.
    outdated_count, rejected_count : int
        Answers that were older than what is known here; candidates that failed.
    pull_deadline : float
        Time until which a running pull from a peer holds back another one.
    whole_pull_after : float
        Time from which the whole set may be pulled again.
    alone_after : float
        Time from which the node counts as alone if it knows no other live member.
    problems : tuple of str
        Why the newest candidate is not in force.
    in_force_since : float
        Time at which the configuration in force was put in force.
    change_revision, change_accepted_at
        Last change that this node wrote, and when the store accepted it.
    """

    revision: int = 0
    complete_revision: int = -1
    digest: int = 0
    outdated_count: int = 0
    rejected_count: int = 0
    pull_deadline: float = 0.0
    whole_pull_after: float = 0.0
    alone_after: float = 0.0
    problems: tuple[str, ...] = ()
    in_force_since: float = 0.0
    change_revision: int = 0
    change_accepted_at: float = 0.0


class StoreScopeRow(NamedTuple):
    """Objects of the store that are listed and watched together.

    Parameters
    ----------
    scope : str
        Name of the scope; empty if one list and one watch cover all objects.
    call : str
        The one store call or timer that is outstanding: ``list``, ``watch``,
        ``timer`` or none.
    position : int
        Revision up to which this node knows every change of the scope; -1 before
        the first list.
    list_after : float
        Time from which the next store call has to be a list.
    failure_count : int
        Store calls that failed in a row.
    failing_since : float
        Time of the first of them.
    removals_after : float
        Time from which removals are believed; entries that lapsed in an outage of the
        store come back shortly after it.
    contacted_at : float
        Time of the store's last answer.
    """

    scope: str
    call: str = ""
    position: int = -1
    list_after: float = 0.0
    failure_count: int = 0
    failing_since: float = 0.0
    removals_after: float = 0.0
    contacted_at: float = 0.0


class ChangeRow(NamedTuple):
    """A change of an operator that this node writes to the store.

    Parameters
    ----------
    deadline : float
        Time at which the outcome is reported as unknown.
    """

    operation_id: str
    change_id: str
    kind: str
    name: str
    value: bytes
    deleted: bool
    expected_version: int
    deadline: float
    failure_count: int = 0
    rewrite_count: int = 0


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
    """What an engine answered when it was last asked for its state.

    Parameters
    ----------
    settle_deadline : float
        Time from which no scheduler places work on the draining engine any more.
    """

    upstream_id: str
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    busy_count: int
    read_at: float
    settle_deadline: float = 0.0


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
