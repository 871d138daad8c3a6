"""Messages between entries; a received message is dispatched as an event."""

from __future__ import annotations

from typing import NamedTuple

from carawayhitch.core._result_codes import ResultCode
from carawayhitch.core._rows import CrashRow, MemberRow, MoveOutcome


class AdmissionAsk(NamedTuple):
    """Ask the scheduler of a cell for an upstream.

    Parameters
    ----------
    attempt : int
        Number of this ask for the request; repetitions of an ask keep its number.
    deadline : float
        Time at which the entry gives up (seconds of the local node clock). The codec
        transmits the remaining seconds, because the clocks of VMs differ.
    goal_deadline : float
        Time by which the answer should begin; 0 for no target.
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
        Whether the scheduler keeps the full row and supports ``Progress.counts``;
        False from schedulers of an earlier release.
    load_percent : int
        Requests per upstream of the cell, in hundredths; 0 from schedulers of an
        earlier release.
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
    """Answer to a queued ask, which need not be repeated before its deadline.

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
    """Answer to an ask that was refused and not queued."""

    sender_id: str
    request_id: str
    attempt: int
    cell_id: str
    code: ResultCode
    retry_after: float


class AskWithdrawn(NamedTuple):
    """Cancel a queued ask whose caller disconnected or whose deadline passed."""

    sender_id: str
    request_id: str
    attempt: int
    cell_id: str


class RunningRequest(NamedTuple):
    """Progress of one running request, sufficient to rebuild the scheduler's row.

    Parameters
    ----------
    prefix_blocks : tuple of str
        Shareable blocks of the prompt, until the first token.
    """

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
    prefix_blocks: tuple[str, ...] = ()


class RunningCount(NamedTuple):
    """Progress of a running request whose full row the scheduler has."""

    request_id: str
    attempt: int
    token_count: int


class Progress(NamedTuple):
    """State of one entry's requests in one cell; renews their asks and grants.

    The report may be split over several messages. Each is independent of the others,
    so that messages may be lost or arrive in any order.

    Parameters
    ----------
    running : tuple of RunningRequest
        Requests whose rows the scheduler has not acknowledged.
    counts : tuple of RunningCount
        Requests whose rows the scheduler has acknowledged.
    """

    sender_id: str
    cell_id: str
    running: tuple[RunningRequest, ...]
    waiting_request_ids: tuple[str, ...]
    counts: tuple[RunningCount, ...] = ()


class ProgressAck(NamedTuple):
    """Answer to ``Progress``, which also shows that the scheduler is alive.

    Parameters
    ----------
    unknown_request_ids : tuple of str
        Requests reported as waiting that are neither queued nor granted.
    known_running_ids : tuple of str
        Requests reported with full rows, which the scheduler has stored.
    unknown_running_ids : tuple of str
        Requests reported with counts for which the scheduler has no row.
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
        Whether the upstream may have crashed during the request.
    upstream_refused : bool
        Whether the upstream refused the request or the connection, so that the
        request did not run.
    began : bool
        Whether the upstream had begun to answer; False from entries of an earlier
        release.
    """

    sender_id: str
    request_id: str
    attempt: int
    cell_id: str
    token_count: int
    complete: bool
    upstream_failed: bool
    upstream_refused: bool = False
    began: bool = False


class MoveOrder(NamedTuple):
    """Order to move a running generation away from a leaving engine.

    Parameters
    ----------
    upstream_id : str
        Engine that is leaving.
    target_id, target_address : str
        Engine that has capacity for the generation.
    deadline : float
        Time at which the leaving engine shuts down (seconds of the node clock).
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
        Number of the attempt that is running after the move.
    outcome : {"moved", "not_started", "gone", "failed"}
        ``not_started`` if the generation has produced no token yet; it may be moved
        later.
    """

    sender_id: str
    request_id: str
    attempt: int
    cell_id: str
    upstream_id: str
    outcome: MoveOutcome


class UpstreamFailures(NamedTuple):
    """Number of failures of an upstream since the sender's last report."""

    upstream_id: str
    failure_count: int


class FailuresSeen(NamedTuple):
    """Report of the upstream failures that the sender observed."""

    sender_id: str
    failures: tuple[UpstreamFailures, ...]


class CrashesSeen(NamedTuple):
    """Crash records that the sender has just changed."""

    sender_id: str
    crashes: tuple[CrashRow, ...]


class LeavingSeen(NamedTuple):
    """Notice to a scheduler that an upstream has announced its leaving.

    Parameters
    ----------
    started_at : int
        Start of the instance in milliseconds of Unix time; 0 if unknown.
    """

    sender_id: str
    upstream_id: str
    started_at: int


class BackoffSeen(NamedTuple):
    """Notice to a scheduler that an upstream wants no calls from the sender.

    Parameters
    ----------
    deadline : float
        End of that time (seconds of the node clock).
    """

    sender_id: str
    upstream_id: str
    deadline: float


class PlaceKept(NamedTuple):
    """Notice to the scheduler that the client of a refused ask may come back to.

    Parameters
    ----------
    queued_at : float
        Arrival of the first ask (seconds of the node clock).
    goal_deadline : float
        Time by which the answer should have begun; 0 for no target.
    deadline : float
        Time at which the place is given up.
    """

    sender_id: str
    group: str
    account: str
    fingerprint: str
    queued_at: float
    goal_deadline: float
    deadline: float


class AccountRate(NamedTuple):
    """New calls per second of one account in the ranks of one priority."""

    account: str
    priority: int
    calls_per_second: float


class ServerLoad(NamedTuple):
    """Calls of one entry that run at a server.

    Parameters
    ----------
    answers_per_second : float
        Calls that end per second and were answered.
    busy_seconds : float
        Time that all calls which end within a second have run.
    """

    upstream_id: str
    running_count: int
    answers_per_second: float
    busy_seconds: float


class ServiceLoad(NamedTuple):
    """Calls of an entry to the servers of a cell, for the entry that counts them."""

    sender_id: str
    cell_id: str
    accounts: tuple[AccountRate, ...]
    servers: tuple[ServerLoad, ...]


class AccountShare(NamedTuple):
    """Share of an account's new calls that entries accept, from 0 to 1."""

    account: str
    priority: int
    share: float


class ServiceShares(NamedTuple):
    """Answer to a `ServiceLoad`: the accounts whose calls are limited."""

    sender_id: str
    cell_id: str
    shares: tuple[AccountShare, ...]


class Probe(NamedTuple):
    """Failure detection probe with piggybacked member and crash rows."""

    sender_id: str
    sequence: int
    members: tuple[MemberRow, ...]
    crashes: tuple[CrashRow, ...]


class ProbeAck(NamedTuple):
    """Answer to a probe; confirms that the member ``subject_id`` is alive."""

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
    | CrashesSeen
    | LeavingSeen
    | BackoffSeen
    | PlaceKept
    | ServiceLoad
    | ServiceShares
    | Probe
    | ProbeAck
    | IndirectProbe
)
