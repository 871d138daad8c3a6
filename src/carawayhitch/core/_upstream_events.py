"""Events about upstreams: lists, load reports, orders, caches."""

from __future__ import annotations

from typing import NamedTuple

from carawayhitch.core._declarations import Labels
from carawayhitch.core._rows import VmKind


class VmListed(NamedTuple):
    """One VM of the platform's list.

    Parameters
    ----------
    address : str
        IP address and port: HTTP for upstreams, peer messages for entries.
    running_limit : int
        Requests that an upstream runs at the same time; 0 if the list does not tell.
    started_at : int
        Start of the upstream in milliseconds of Unix time; it tells two upstreams
        apart that had the same id. 0 if the list does not tell.
    http_port : int
        Port of an entry's HTTP interface; 0 for upstreams.
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


class VmListReceived(NamedTuple):
    """The platform's list of VMs; it lags."""

    vms: tuple[VmListed, ...]


class LoadReported(NamedTuple):
    """Load of one engine as of ``reported_at`` (seconds of the node clock).

    Parameters
    ----------
    leaving : bool
        The engine will stop.
    draining : bool
        An order took the engine out of service for a while.
    started_at : float or None
        Time at which the engine process started, if it tells.
    polled_at : float
        Time at which the poll was sent that this answers.
    running_limit : int
        Requests that the engine runs at once; 0 if the report does not tell.
    incarnation : int
        Start of the engine as its registration names it; 0 if the report does not
        tell.
    leaves_at : float
        Time at which the engine is gone (seconds of the node clock); 0 if not known.
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


class LoadUnavailable(NamedTuple):
    """An engine did not answer a load poll."""

    upstream_id: str
    detail: str


class EngineStateRead(NamedTuple):
    """State of an engine that orders can change.

    Parameters
    ----------
    busy_count : int
        Generations that run or wait in the engine.
    """

    upstream_id: str
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    busy_count: int


class OrderAnswered(NamedTuple):
    """Answer to ``SendOrder``; refused orders carried an old fencing number."""

    upstream_id: str
    kind: str
    accepted: bool
    detail: str


class CacheChanged(NamedTuple):
    """Prefix blocks that an engine stored and evicted; events may have gaps."""

    upstream_id: str
    sequence: int
    stored_blocks: tuple[str, ...]
    evicted_blocks: tuple[str, ...]
