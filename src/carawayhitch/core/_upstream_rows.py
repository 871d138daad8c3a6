"""Rows of upstreams: health, cells, reported load, caches, crashes and orders."""

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
        Whether the VM list contains the upstream; a row that is not listed is kept
        only while requests still run there.
    leaving_since : float
        Time at which it became known that the upstream is leaving.
    leaves_at : float
        Time at which the upstream shuts down; 0 if unknown.
    started_at : int
        Start of the upstream in milliseconds of Unix time; 0 if unknown.
    reported_at : float
        Time at which the engine measured the reported load, before the report arrived.
    memory_capacity, memory_used : int
        Size and usage of the engine's key-value cache, in tokens.
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
        """Return whether new requests may be placed on the upstream."""
        available_at = max(self.unreachable_until, self.refused_until)
        return not (self.leaving or self.draining) and now >= available_at


class ZoneDrainRow(NamedTuple):
    """An availability zone whose upstreams get no new work.

    Parameters
    ----------
    since : float
        Time at which this entry learned of it (seconds of the node clock).
    """

    zone: str
    since: float


class LeavingAnnouncementRow(NamedTuple):
    """Announcement of one instance of an upstream that it is leaving.

    It is kept until another instance is registered under the id, because registrations
    can be older than the announcement, or lapse and return.

    Parameters
    ----------
    deadline : float
        Time by which the instance has certainly stopped (seconds of the node clock).
    """

    upstream_id: str
    address: str
    started_at: int
    deadline: float


class ColdStartRow(NamedTuple):
    """When an upstream is cold, if its serving group limits the rate while it is.

    Parameters
    ----------
    address, started_at : str and int
        The newest known instance of the upstream.
    cold_until : float
        Time until which the upstream counts as cold (seconds of the node clock).
    report_deadline : float
        Time from which the last load report of an engine is too old to show that it
        has not become cold since; 0 before the first report.
    announced_seconds, registration_version : float and int
        Remaining time in the last registration that was taken into account, and its
        version; the same registration is read many times.
    """

    upstream_id: str
    address: str
    started_at: int
    cold_until: float
    report_deadline: float = 0.0
    announced_seconds: float = 0.0
    registration_version: int = 0


class SchedulerShareRow(NamedTuple):
    """Share of a cold upstream that this node has as a possible scheduler of its cell.

    Parameters
    ----------
    bound : int
        Requests that all entries may send to the upstream within one second.
    position : int
        Position of this node among the possible schedulers, in failover order.
    """

    bound: int
    position: int


class EntryShareRow(NamedTuple):
    """Share of a cold upstream that each entry chooses for its own calls.

    Parameters
    ----------
    bound : int
        Requests that all entries may send to the upstream within one second.
    position, entry_count : int
        Position of this node among the entries, and their number.
    """

    bound: int
    position: int
    entry_count: int


class HealthRow(NamedTuple):
    """Failures of an upstream observed by any entry, and its ejections.

    Parameters
    ----------
    failures : float
        Exponentially decayed number of failures as of ``updated_at``.
    ejected_until : float
        End of the last ejection (seconds of the node clock); 0 for none.
    ejection_seconds : float
        Duration of the last ejection.
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
    """Load of a cell as last reported by its scheduler.

    Parameters
    ----------
    load_percent : int
        Waiting and running requests per upstream, in hundredths, including those that
        this entry has placed since the report.
    deadline : float
        Time until which the value is valid (seconds of the node clock).
    """

    load_percent: int
    deadline: float


class ZoneAnswerTimeRow(NamedTuple):
    """Smoothed answer time of a plain service's servers in one availability zone.

    Parameters
    ----------
    seconds : float
        Mean time from sending a call to the end of its answer.
    updated_at : float
        Time of the last answer (seconds of the node clock).
    answer_count : int
        Number of answers from which it was computed.
    """

    zone: str
    seconds: float
    updated_at: float
    answer_count: int = 1


class ZoneDemandRow(NamedTuple):
    """Calls of this entry to a cell whose upstreams each entry chooses by itself.

    Parameters
    ----------
    calls : float
        Exponentially decayed number of granted calls as of ``updated_at``.
    reference_seconds : float
        Usual answer time, which follows changes only slowly; 0 if unknown.
    answer_count : int
        Number of answers from which it was computed.
    answer_times : tuple of ZoneAnswerTimeRow
        Answer times by zone, at most one for each zone.
    """

    calls: float = 0.0
    updated_at: float = 0.0
    reference_seconds: float = 0.0
    answer_count: int = 0
    answer_times: tuple[ZoneAnswerTimeRow, ...] = ()


class LoadReconciliationRow(NamedTuple):
    """Reconciliation of an engine's load reports with this scheduler's grants.

    Parameters
    ----------
    unattributed_tokens, unattributed_request_count : int
        Reported memory and requests that no grant accounts for, as of the last report.
    preemption_count : int
        Preemptions in the last report; -1 before the first one.
    backoff : float
        Factor applied to the memory target; below 1 after preemptions.
    backoff_at : float
        Time for which ``backoff`` was computed.
    recent_finished_grants : tuple of FinishedGrantRow
        Grants that a report taken before they finished may still include.
    started_at : float
        Time at which a request on the engine last produced its first token.
    """

    unattributed_tokens: int = 0
    unattributed_request_count: int = 0
    preemption_count: int = -1
    backoff: float = 1.0
    backoff_at: float = 0.0
    recent_finished_grants: tuple[FinishedGrantRow, ...] = ()
    started_at: float = 0.0


class CacheCursorRow(NamedTuple):
    """Sequence number of the last processed cache event of an engine."""

    sequence: int = 0


class CrashRow(NamedTuple):
    """Crash record of one request fingerprint or one prefix block.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of a request, or the key of a prefix block.
    upstream_ids : tuple of str
        Upstreams that crashed while the fingerprint ran there.
    convicted : bool
        Whether the fingerprint was identified as the cause of a crash.
    deadline : float
        Time at which the record expires (seconds of the node clock).
    cleared_ids : tuple of str
        Those of ``upstream_ids`` after whose crash a request with the fingerprint was
        answered, so that another request caused the crash.
    """

    fingerprint: str
    upstream_ids: tuple[str, ...]
    convicted: bool
    deadline: float
    cleared_ids: tuple[str, ...] = ()


class UnansweredRequestRow(NamedTuple):
    """A request on a failed engine that had not produced a token.

    Parameters
    ----------
    began : bool
        Whether the engine had begun to answer it, as far as its entry has reported.
    """

    request_id: str
    prefix_blocks: tuple[str, ...]
    began: bool = False


class EngineFailureRow(NamedTuple):
    """The last failure of an engine.

    Parameters
    ----------
    fingerprints : tuple of str
        Fingerprints of the requests that were granted there when it failed.
    recent_grant_count : int
        Grants so recent that they may have been opened only after the failure.
    confirmed : bool
        Whether the failure counts as a crash of the engine; False until a load poll
        shows whether the engine crashed or only a connection was lost.
    started_at : int
        Start of the failed instance in milliseconds of Unix time; 0 if unknown.
    unanswered : tuple of UnansweredRequestRow
        Requests whose prefix blocks may have caused the failure; empty once the blocks
        have their crash records.
    evidence_deadline : float
        Time by which entries have reported the requests that they lost there (seconds
        of the node clock).
    """

    upstream_id: str
    upstream_failed_at: float
    fingerprints: tuple[str, ...]
    recent_grant_count: int
    confirmed: bool
    started_at: int = 0
    unanswered: tuple[UnansweredRequestRow, ...] = ()
    evidence_deadline: float = 0.0


class ServiceFailureRow(NamedTuple):
    """The last failure of a server of a plain service, as this entry saw it.

    Parameters
    ----------
    started_at : int
        Start of the failed instance in milliseconds of Unix time; 0 if unknown.
    fingerprints : tuple of str
        Fingerprints of the calls that this entry had sent there when it failed.
    confirmed : bool
        Whether the server no longer listened after the failure.
    """

    upstream_id: str
    started_at: int
    upstream_failed_at: float
    fingerprints: tuple[str, ...]
    confirmed: bool


class LeaseRow(NamedTuple):
    """Lease that permits sending orders to one serving group, as last seen.

    Parameters
    ----------
    version : int
        Version of the lease object, which serves as the fencing number while this
        node holds the lease.
    held : bool
        Whether this node wrote that version.
    deadline : float
        If held, time until which this node may send orders; otherwise, time by which
        another node's unchanged lease has certainly lapsed.
    """

    group: str
    version: int
    held: bool
    deadline: float
    requested_at: float = 0.0


class EngineStateRow(NamedTuple):
    """State of an engine as of its last answer to ``ReadEngineState``.

    Parameters
    ----------
    settle_deadline : float
        Time from which no scheduler places new requests on the draining engine.
    """

    upstream_id: str
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    busy_count: int
    read_at: float
    settle_deadline: float = 0.0
