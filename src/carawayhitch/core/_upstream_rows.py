"""Rows of upstreams: cells, memory, caches, crashes, orders."""

from __future__ import annotations

from typing import Literal, NamedTuple

from carawayhitch.core._declarations import Labels
from carawayhitch.core._scheduling_rows import FinishedGrantRow

VmKind = Literal["engine", "service", "entry"]


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

    def accepts_new_requests(self, now: float) -> bool:
        """Return whether new requests may be placed here."""
        back_at = max(self.unreachable_until, self.refused_until)
        return not (self.leaving or self.draining) and now >= back_at


class HealthRow(NamedTuple):
    """Failures of an upstream that any entry saw, and its ejections.

    Parameters
    ----------
    failures : float
        Recent failures, faded, as of ``updated_at``.
    ejected_until : float
        End of the last ejection, in seconds of the node clock; 0 for none.
    ejection_seconds : float
        Length of the last ejection.
    """

    upstream_id: str
    failures: float = 0.0
    updated_at: float = 0.0
    ejected_until: float = 0.0
    ejection_seconds: float = 0.0


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


class LoadReconciliationRow(NamedTuple):
    """What an engine's reports say beyond the grants that this scheduler knows.

    Parameters
    ----------
    unattributed_tokens, unattributed_request_count : int
        Memory and requests of unknown origin, as of the last report.
    backoff : float
        Share of the memory target in use; below 1 after preemptions.
    started_at : float
        Time at which a request there last had its first token.
    """

    unattributed_tokens: int = 0
    unattributed_request_count: int = 0
    preemption_count: int = -1
    backoff: float = 1.0
    backoff_at: float = 0.0
    recent_finished_grants: tuple[FinishedGrantRow, ...] = ()
    started_at: float = 0.0


class CacheCursorRow(NamedTuple):
    """Position in the cache events of an engine."""

    sequence: int = 0


class CrashRow(NamedTuple):
    """Upstreams that died while one fingerprint ran there."""

    fingerprint: str
    upstream_ids: tuple[str, ...]
    convicted: bool
    deadline: float


class LastFailureRow(NamedTuple):
    """The last failure of an upstream.

    Parameters
    ----------
    fingerprints : tuple of str
        Requests that were granted there when it failed.
    recent_grant_count : int
        Grants that may have been opened only after the failure.
    confirmed : bool
        False until a load poll shows whether the engine died or only a link did.
    """

    upstream_id: str
    upstream_failed_at: float
    fingerprints: tuple[str, ...]
    recent_grant_count: int
    confirmed: bool


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
