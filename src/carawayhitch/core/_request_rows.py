"""Rows of requests at the entry that serves them, with their targets and moves."""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal, NamedTuple

if TYPE_CHECKING:
    from carawayhitch.core._messages import MoveOrder, MoveReport

RequestPhase = Literal["asking", "claiming", "opening", "relaying", "finished"]
MovePhase = Literal["copying", "stopping", "opening"]
MoveSourceEnd = Literal["", "closed", "broken"]
MoveOutcome = Literal["moved", "not_started", "gone", "failed"]


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
        Set during admission from the declared routes; False until then.
    """

    service: str
    method: str
    path: str
    idempotent: bool = False


class ForwardTarget(NamedTuple):
    """A call with an issued key, forwarded to the entry that issued the key."""

    service: str
    method: str
    path: str
    node_id: str
    incarnation: int


class ResumeTarget(NamedTuple):
    """A stream that is resumed at this entry after its first entry was lost."""

    upstream_id: str
    generation_id: str
    last_sequence: int


class RoutedTarget(NamedTuple):
    """A call on an HTTP route, forwarded with method, path and body unchanged.

    Parameters
    ----------
    path : str
        Path as the caller sent it, without the query.
    expected_tokens : int
        The caller's estimate of the output length. Its median is correct, but single
        estimates are often far off.
    last_sequence : int
        Sequence number of the last event that the caller received of an earlier
        answer; 0 for a new call.
    streamed, repeatable, resumable : bool
        Set during admission from the declared route; False until then.
    patience_seconds : float
        Gap without events after which the caller abandons a stream, from the declared
        route; 0 if it is not known.
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
    patience_seconds: float = 0.0


Target = GenerationTarget | ServiceTarget | ForwardTarget | ResumeTarget | RoutedTarget


class IssuedKey(NamedTuple):
    """Content of a signed single-use key.

    Parameters
    ----------
    node_id : str
        Node of the only process that may run a call with this key.
    incarnation : int
        Incarnation of that process.
    address : str
        Host and port of that process's HTTP interface.
    deadline : float
        Expiry of the key in seconds of that process's clock; no other process may
        compare it with its own clock.
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
        Creation time in a UUIDv7 key, in seconds of the node clock.
    grant_deadline : float
        Time after which the granted upstream must not be used.
    caller_gone : bool
        Whether the caller disconnected during a call that must not be repeated; its
        answer is still kept for duplicates.
    attempt : int
        Number of the current ask; answers to older ones are ignored.
    last_sequence : int
        Highest event sequence delivered to the caller; 0 before the first event.
    last_chunk_at : float
        Time of the last received bytes of this attempt, or of its start before any
        arrive.
    paused_at : float
        Time since which the caller has not read any bytes; 0 while it reads.
    may_have_run : bool
        Whether any attempt was sent; if so, no refusal may report that the request
        did not run.
    acknowledged_by_id : str
        Scheduler that has acknowledged the row of the running request, so that
        progress messages to it contain only the token count.
    answer_deadline : float
        Time by which the answer must begin; 0 for no limit.
    goal_deadline : float
        Time by which the answer should begin; 0 for no target.
    caller_deadline : float
        Time until which the caller waits; 0 if the caller did not specify it.
    attempt_limit : int
        Upstreams on which the call may run; 0 for the limit in the settings.
    run_count : int
        Upstreams on which the call may have run.
    answer_headers : tuple of (str, str)
        Headers of the upstream's answer until they are sent to the caller.
    answer_status : int
        HTTP status of a complete answer that was forwarded; 0 for none.
    opened_at : float
        Time at which the call was first sent to an upstream; 0 before that.
    body_bytes : int
        Size of the request body.
    is_body_dropped : bool
        Whether the body is no longer kept, so that the call cannot be sent again.
    allowed_regions : tuple of str
        Regions whose upstreams may get the call; empty for all.
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
    acknowledged_by_id: str = ""
    answer_deadline: float = 0.0
    goal_deadline: float = 0.0
    caller_deadline: float = 0.0
    attempt_limit: int = 0
    run_count: int = 0
    answer_headers: tuple[tuple[str, str], ...] = ()
    answer_status: int = 0
    opened_at: float = 0.0
    body_bytes: int = 0
    is_body_dropped: bool = False
    allowed_regions: tuple[str, ...] = ()


class MoveRow(NamedTuple):
    """A generation of this entry that is being moved to another engine.

    Parameters
    ----------
    scheduler_id : str
        Scheduler that ordered the move.
    deadline : float
        Time at which the source engine shuts down (seconds of the node clock).
    order : MoveOrder
        The order of the scheduler, as received.
    phase : MovePhase
        ``copying`` while the generation still runs at the source, ``stopping`` while
        the remainder is copied, ``opening`` until the target sends its first event.
    handle : str
        Name of the copied key-value cache at the source.
    source_end : MoveSourceEnd
        How the stream at the source ended while ``stopping``: ``closed`` with its
        connection, ``broken`` with an error, empty if it has not ended.
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
    order: MoveOrder
    phase: MovePhase = "copying"
    handle: str = ""
    source_end: MoveSourceEnd = ""


class AnsweredMoveRow(NamedTuple):
    """The last order to move a generation that was answered, and the report.

    A repetition of the order gets the same report, so that a move that failed is not
    begun again.
    """

    request_id: str
    order: MoveOrder
    report: MoveReport


class AnswerTimesRow(NamedTuple):
    """Smoothed time from sending a call of a binding to the end of its answer.

    Parameters
    ----------
    mean_seconds, deviation_seconds : float
        Mean and mean absolute deviation, with more weight on recent answers.
    """

    mean_seconds: float
    deviation_seconds: float


ConnectionStage = Literal["unused", "idle", "receiving", "running", "sending"]


class ConnectionUse(NamedTuple):
    """What the connection of a client holds when memory or connections are short.

    Parameters
    ----------
    stage : {"unused", "idle", "receiving", "running", "sending"}
        ``"unused"`` before the first answer, or while the body of a call that was
        refused without it still arrives; ``"idle"`` between two calls;
        ``"running"`` if the client waits for its answer and is not to blame.
    held_bytes : int
        Bytes that a close of the connection frees.
    progressed_at : float
        Time at which the client had last sent or read the bytes that count as progress.
    """

    connection_id: int
    stage: ConnectionStage
    held_bytes: int
    progressed_at: float


class RetryBudgetRow(NamedTuple):
    """Retry budget of one serving group, as a token bucket."""

    retries: float
    updated_at: float
