"""Rows of a scheduler: asks, grants, queues, usage and length statistics."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from carawayhitch.core._messages import MoveOrder, ServiceLoad


class AskRow(NamedTuple):
    """A request that is queued at the scheduler of its cell.

    Parameters
    ----------
    goal_deadline : float
        Time by which the answer should begin (seconds of the node clock); 0 for no
        target.
    returned : bool
        Whether its client was refused before and came back to the place that was kept.
    work_seconds : float
        Time for which the ask alone would use up one engine; 0 if unknown, and without
        ``overload.enabled``.
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
    returned: bool = False
    work_seconds: float = 0.0


class MemoryForecastRow(NamedTuple):
    """Mean and variance of the predicted memory use after further output tokens.

    There is one value for each number of further tokens in the fixed list of horizons.

    Parameters
    ----------
    peak : float
        Highest mean plus its safety margin; only set in the sum for an upstream.
    """

    means: tuple[float, ...] = ()
    variances: tuple[float, ...] = ()
    peak: float = 0.0


class EndedRequestRow(NamedTuple):
    """A request that ended, kept so that late progress does not restore its grant.

    Parameters
    ----------
    attempt : int
        Attempt that ended; a later attempt may be running.
    deadline : float
        Time at which the row is removed (seconds of the node clock).
    """

    attempt: int
    deadline: float


class GrantRow(NamedTuple):
    """A request that a scheduler has placed on an upstream.

    Parameters
    ----------
    renewed_at : float
        Time of the last progress report for the request.
    memory : MemoryForecastRow
        Predicted memory use as of the last progress report.
    prompt_charged : bool
        Whether this scheduler charged the prompt; False if an earlier scheduler did.
    charged_tokens : int
        Output tokens that this scheduler charged.
    prefix_blocks : tuple of str
        Shareable blocks of the prompt; empty if an earlier scheduler granted the
        request and it has produced tokens.
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
    memory: MemoryForecastRow = MemoryForecastRow()
    prompt_charged: bool = True
    charged_tokens: int = 0
    prefix_blocks: tuple[str, ...] = ()


class EvacuationRow(NamedTuple):
    """Evacuation of a leaving engine, whose generations are moved one at a time.

    All copies share the network link of the engine, so concurrent copies would all
    finish late.

    Parameters
    ----------
    deadline : float
        Time at which the engine shuts down (seconds of the node clock).
    pending_order : MoveOrder or None
        Order whose report is due. It is kept as sent, because reports of progress may
        set the grant back to the leaving engine meanwhile.
    order_deadline : float
        Time after which the move order is considered lost.
    attempted_request_ids : tuple of str
        Requests whose move was attempted and is not repeated.
    """

    upstream_id: str
    cell_id: str
    deadline: float
    pending_order: MoveOrder | None = None
    order_deadline: float = 0.0
    attempted_request_ids: tuple[str, ...] = ()


class AccountUsageRow(NamedTuple):
    """Virtual token counter of one account in one rank of one cell.

    Parameters
    ----------
    charged : float
        Charged tokens divided by the quota weight of the account.
    open_count : int
        Queued and granted requests of the account.
    """

    charged: float
    open_count: int


class RankRateRow(NamedTuple):
    """Charged tokens and grants of one rank in one cell.

    Both values decay exponentially with the charge window of the settings.

    Parameters
    ----------
    grants : float
        Grants since the queue of the rank was last empty.
    """

    tokens: float = 0.0
    grants: float = 0.0
    updated_at: float = 0.0


class QueueLengthRow(NamedTuple):
    """Length of the queue of one rank, and the time since which it is not empty."""

    length: int = 0
    since: float = 0.0


class OutputLengthsRow(NamedTuple):
    """Distribution of the output lengths of one binding's completed requests.

    Parameters
    ----------
    counts : tuple of float
        Histogram of output lengths with buckets of geometric width.
    survival : tuple of tuple of float
        Shares of requests that continue, by produced tokens and further tokens.
    survival_total : float
        Number of requests from which ``survival`` was computed.
    """

    counts: tuple[float, ...]
    survival: tuple[tuple[float, ...], ...]
    survival_total: float


class FinishedGrantRow(NamedTuple):
    """A finished grant and the memory, in tokens, that it released."""

    granted_at: float
    finished_at: float
    memory: int


class CallRateRow(NamedTuple):
    """Number of calls that decays exponentially with a window.

    Parameters
    ----------
    seconds : float
        Time that these calls took, if they have ended.
    updated_at : float
        Time up to which the number has decayed (seconds of the node clock).
    """

    calls: float = 0.0
    seconds: float = 0.0
    updated_at: float = 0.0


class ServiceReportRow(NamedTuple):
    """Reports of an entry's calls to the servers of a cell.

    Parameters
    ----------
    candidate_ids : tuple of str
        Entries that may count the cell's calls, in failover order.
    candidate_index : int
        Which of them gets the reports.
    unanswered_count : int
        Reports sent to it since its last answer.
    failover_deadline : float
        Time at which the first candidate is tried again; 0 if it gets the reports.
    """

    cell_id: str
    candidate_ids: tuple[str, ...]
    candidate_index: int = 0
    unanswered_count: int = 0
    failover_deadline: float = 0.0


class ReportedLoadRow(NamedTuple):
    """Last report of an entry to the one that counts the calls of a cell.

    Parameters
    ----------
    deadline : float
        Time at which the report is too old to count.
    """

    report: ServiceLoad
    deadline: float


class ServiceShareRow(NamedTuple):
    """Shares of a cell's servers, at the entry that counts the calls.

    Parameters
    ----------
    shares_by_account : dict of (int, str) to float
        Share of the new calls that is accepted, by priority and account, for the
        accounts that send more than their part of a crowded service. Those with the
        most refused calls come first.
    demand, capacity : float
        New calls per second, and calls per second that the servers can answer.
    deadline : float
        Time at which the shares are derived again.
    capacity_deadline : float
        Time up to which the capacity holds while no server answers.
    """

    shares_by_account: Mapping[tuple[int, str], float]
    demand: float
    capacity: float
    deadline: float
    capacity_deadline: float


class ShareLimitRow(NamedTuple):
    """Limit on the calls that an entry accepts from an account.

    Parameters
    ----------
    share : float
        Part of the new calls that is accepted.
    credit : float
        Sum of the shares of the calls so far, less the accepted ones. A call is
        accepted if it raises the credit to 1.
    deadline : float
        Time at which the limit ends unless it is renewed.
    counted_by : str
        Entry that derived the share.
    """

    share: float
    credit: float
    deadline: float
    counted_by: str
