"""Events about upstreams: VM lists, load reports, order answers, cache events."""

from __future__ import annotations

from typing import Literal, NamedTuple

from carawayhitch.core._declarations import Labels
from carawayhitch.core._rows import VmKind


class VmListed(NamedTuple):
    """One VM in the platform's VM list.

    Parameters
    ----------
    address : str
        IP address and port: HTTP for upstreams, peer messages for entries.
    running_limit : int
        Requests that an upstream runs concurrently; 0 if not listed.
    started_at : int
        Start of the upstream in milliseconds of Unix time, which distinguishes
        successive upstreams with the same id; 0 if not listed.
    http_port : int
        Port of an entry's HTTP interface; 0 for upstreams.
    cold_left_seconds : float
        Time for which the upstream was still cold when it wrote its registration.
    version : int
        Version of the registration in the store; 0 for a list that has none.
    """

    vm_id: str
    address: str
    zone: str
    region: str
    kind: VmKind
    labels: Labels
    leaving: bool
    running_limit: int = 0
    started_at: int = 0
    http_port: int = 0
    cold_left_seconds: float = 0.0
    version: int = 0


class VmListReceived(NamedTuple):
    """The platform's VM list, which may be outdated when it arrives.

    Parameters
    ----------
    unreadable_count : int
        VMs skipped because they could not be decoded.
    """

    vms: tuple[VmListed, ...]
    unreadable_count: int = 0


class LoadReported(NamedTuple):
    """Load of one engine as of ``reported_at`` (seconds of the node clock).

    Parameters
    ----------
    running_limit : int
        Requests that the engine runs concurrently; 0 if not reported.
    leaving : bool
        Whether the engine is about to shut down.
    draining : bool
        Whether an order has temporarily taken the engine out of service.
    started_at : float or None
        Time at which the engine process started; None if not reported.
    polled_at : float
        Time at which the load poll was sent.
    incarnation : int
        Start of the engine as recorded in its registration; 0 if not reported.
    leaves_at : float
        Time at which the engine shuts down (seconds of the node clock); 0 if unknown.
    cold_until : float
        Time until which the engine says it is cold (seconds of the node clock); 0 if
        it does not say so.
    """

    upstream_id: str
    reported_at: float
    memory_capacity: int
    memory_used: int
    running_count: int
    running_limit: int
    waiting_count: int
    preemption_count: int
    leaving: bool
    draining: bool = False
    started_at: float | None = None
    polled_at: float = 0.0
    incarnation: int = 0
    leaves_at: float = 0.0
    cold_until: float = 0.0


class LoadUnavailable(NamedTuple):
    """An engine did not answer a load poll."""

    upstream_id: str
    detail: str


class ListeningChecked(NamedTuple):
    """Result of ``CheckListening``.

    Parameters
    ----------
    outcome : {"listening", "refused", "unknown"}
        ``refused`` if nothing listens at the address; ``unknown`` if there was no
        answer in time, as at a partitioned upstream.
    """

    upstream_id: str
    outcome: Literal["listening", "refused", "unknown"]


class LeavingAnnounced(NamedTuple):
    """An upstream announced in an answer that it is leaving."""

    upstream_id: str


class ColdAnnounced(NamedTuple):
    """An upstream announced in an answer until when it is cold."""

    upstream_id: str
    cold_until: float


class BackoffRequested(NamedTuple):
    """An upstream refused a call and wants no further ones for some time.

    Parameters
    ----------
    deadline : float
        End of that time (seconds of the node clock).
    """

    upstream_id: str
    deadline: float


class EngineStateRead(NamedTuple):
    """Answer to ``ReadEngineState``: the engine state that orders can change.

    Parameters
    ----------
    busy_count : int
        Generations that are running or queued in the engine.
    """

    upstream_id: str
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    busy_count: int


class OrderAnswered(NamedTuple):
    """Outcome of ``SendOrder``.

    Parameters
    ----------
    accepted : bool
        False if the engine refused the order, as it does for an old fencing number,
        if the call failed, or if the lease lapsed before the order was sent.
    """

    upstream_id: str
    kind: str
    accepted: bool
    detail: str


class CacheChanged(NamedTuple):
    """An engine stored and evicted prefix blocks; sequence numbers may have gaps."""

    upstream_id: str
    sequence: int
    stored_blocks: tuple[str, ...]
    evicted_blocks: tuple[str, ...]
