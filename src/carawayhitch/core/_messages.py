"""Messages between entries; each is also the event that its receipt raises."""

from __future__ import annotations

from typing import NamedTuple

from carawayhitch.core._result_codes import ResultCode
from carawayhitch.core._rows import CrashRow, MemberRow, MoveOutcome


class AdmissionAsk(NamedTuple):
    """Ask the scheduler of a cell for an upstream.

    Parameters
    ----------
    attempt : int
        Number of this ask for the request; a repeated one has the same number.
    deadline : float
        Time at which the entry gives up (seconds of the local node clock). The codec
        sends the seconds that remain, because the clocks of VMs differ.
    goal_deadline : float
        Time by which the answer should begin; 0 for no such time.
    """

    sender_id: str
    request_id: str
    attempt: int
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
    deadline: float
    goal_deadline: float = 0.0


class AdmissionGrant(NamedTuple):
    """Answer to an ask: run the request on this upstream before the deadline.

    Parameters
    ----------
    takes_short_progress : bool
        The scheduler keeps the whole row and reads ``Progress.counts``; entries of an
        earlier release do not.
    load_percent : int
        Requests per upstream of the cell, in hundredths; 0 from an earlier release.
    """

    sender_id: str
    request_id: str
    attempt: int
    cell_id: str
    upstream_id: str
    address: str
    priority: int
    deadline: float
    takes_short_progress: bool = False
    load_percent: int = 0


class AdmissionQueued(NamedTuple):
    """Answer to an ask that waits; the entry need not repeat it until the deadline.

    Parameters
    ----------
    load_percent : int
        As in ``AdmissionGrant``.
    """

    sender_id: str
    request_id: str
    attempt: int
    cell_id: str
    load_percent: int = 0


class AdmissionRefusal(NamedTuple):
    """Answer to an ask that is not queued."""

    sender_id: str
    request_id: str
    attempt: int
    cell_id: str
    code: ResultCode
    retry_after: float


class AskWithdrawn(NamedTuple):
    """The caller left or the deadline passed while the ask waited."""

    sender_id: str
    request_id: str
    attempt: int
    cell_id: str


class RunningRequest(NamedTuple):
    """Progress of one running request, enough to rebuild the scheduler's row."""

    request_id: str
    attempt: int
    group: str
    account: str
    rank: str
    binding: str
    fingerprint: str
    upstream_id: str
    prompt_tokens: int
    maximum_tokens: int
    token_count: int


class RunningCount(NamedTuple):
    """Progress of a running request whose whole row the scheduler has."""

    request_id: str
    attempt: int
    token_count: int


class Progress(NamedTuple):
    """State of one entry's requests in one cell; renews their asks and grants.

    Each part of it stands alone, so that parts may be lost or arrive in any order.

    Parameters
    ----------
    running : tuple of RunningRequest
        Requests whose row the scheduler has not acknowledged.
    counts : tuple of RunningCount
        Requests whose row it has.
    """

    sender_id: str
    cell_id: str
    running: tuple[RunningRequest, ...]
    waiting_request_ids: tuple[str, ...]
    counts: tuple[RunningCount, ...] = ()


class ProgressAck(NamedTuple):
    """Answer to ``Progress``: the scheduler lives.

    Parameters
    ----------
    unknown_request_ids : tuple of str
        Reported as waiting, but neither queued nor granted.
    known_running_ids : tuple of str
        Reported with whole rows, which the scheduler now has.
    unknown_running_ids : tuple of str
        Reported with counts, for which the scheduler has no row.
    load_percent : int
        As in ``AdmissionGrant``.
    """

    sender_id: str
    cell_id: str
    unknown_request_ids: tuple[str, ...]
    known_running_ids: tuple[str, ...] = ()
    unknown_running_ids: tuple[str, ...] = ()
    load_percent: int = 0


class Finished(NamedTuple):
    """A granted request ended.

    Parameters
    ----------
    upstream_failed : bool
        The upstream may have died under the request.
    upstream_refused : bool
        The upstream took no work or no connection; the request did not run.
    """

    sender_id: str
    request_id: str
    attempt: int
    cell_id: str
    token_count: int
    complete: bool
    upstream_failed: bool
    upstream_refused: bool = False


class MoveOrder(NamedTuple):
    """Move a running generation to another engine, because its own one leaves.

    Parameters
    ----------
    upstream_id : str
        The engine that leaves.
    target_id, target_address : str
        The engine that has room for the generation.
    deadline : float
        Time at which the leaving engine is gone (seconds of the node clock).
    """

    sender_id: str
    request_id: str
    attempt: int
    cell_id: str
    upstream_id: str
    target_id: str
    target_address: str
    deadline: float


class MoveReport(NamedTuple):
    """Outcome of an ordered move.

    Parameters
    ----------
    attempt : int
        Number of the attempt that runs now.
    outcome : {"moved", "not_started", "gone", "failed"}
        ``not_started`` if the generation has no token yet and may be moved later.
    """

    sender_id: str
    request_id: str
    attempt: int
    cell_id: str
    upstream_id: str
    outcome: MoveOutcome


class UpstreamFailures(NamedTuple):
    """How often an upstream failed since the sender last told."""

    upstream_id: str
    failure_count: int


class FailuresSeen(NamedTuple):
    """Failures of upstreams that the sender saw."""

    sender_id: str
    failures: tuple[UpstreamFailures, ...]


class Probe(NamedTuple):
    """Failure detection probe with piggybacked state."""

    sender_id: str
    sequence: int
    members: tuple[MemberRow, ...]
    crashes: tuple[CrashRow, ...]


class ProbeAck(NamedTuple):
    """Answer to a probe; ``subject_id`` is the member that proved alive."""

    sender_id: str
    sequence: int
    subject_id: str
    members: tuple[MemberRow, ...]
    crashes: tuple[CrashRow, ...]


class IndirectProbe(NamedTuple):
    """Request to probe ``subject_id`` on behalf of the sender."""

    sender_id: str
    sequence: int
    subject_id: str
    members: tuple[MemberRow, ...]


PeerMessage = (
    AdmissionAsk
    | AdmissionGrant
    | AdmissionQueued
    | AdmissionRefusal
    | AskWithdrawn
    | Progress
    | ProgressAck
    | Finished
    | MoveOrder
    | MoveReport
    | FailuresSeen
    | Probe
    | ProbeAck
    | IndirectProbe
)
