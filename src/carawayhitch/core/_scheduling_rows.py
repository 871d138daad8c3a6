"""Rows of a scheduler: asks, grants, queues, usage."""

from __future__ import annotations

from typing import NamedTuple


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


class MemoryForecastRow(NamedTuple):
    """Predicted memory after numbers of further tokens, as mean and variance.

    Parameters
    ----------
    peak : float
        Highest mean with its margin; set in the sum for an upstream.
    """

    means: tuple[float, ...] = ()
    variances: tuple[float, ...] = ()
    peak: float = 0.0


class EndedRequestRow(NamedTuple):
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
    memory : MemoryForecastRow
        Predicted memory, as of the last progress.
    prompt_charged : bool
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
    memory: MemoryForecastRow = MemoryForecastRow()
    prompt_charged: bool = True
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
    attempted_request_ids : tuple of str
        Generations that are not tried again.
    """

    upstream_id: str
    cell_id: str
    deadline: float
    moving_request_id: str = ""
    order_deadline: float = 0.0
    attempted_request_ids: tuple[str, ...] = ()


class AccountUsageRow(NamedTuple):
    """Virtual token counter of one account in one rank of one cell.

    Parameters
    ----------
    charged : float
        Tokens divided by the quota weight of the account.
    """

    charged: float
    open_count: int


class RankRateRow(NamedTuple):
    """Tokens charged and grants made in a rank; both decay with the charge window.

    Parameters
    ----------
    grants : float
        Grants since the queue of the rank was last empty.
    """

    tokens: float = 0.0
    grants: float = 0.0
    updated_at: float = 0.0


class QueueLengthRow(NamedTuple):
    """Length of the queue of a rank, and the time at which it was last empty."""

    length: int = 0
    since: float = 0.0


class OutputLengthsRow(NamedTuple):
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


class FinishedGrantRow(NamedTuple):
    """Memory that a finished grant gave back."""

    granted_at: float
    finished_at: float
    memory: int
