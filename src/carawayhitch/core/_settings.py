"""Settings of one process, read once from a TOML file at start."""

from __future__ import annotations

from typing import Annotated, Literal, NamedTuple

from msgspec import Meta

PositiveSeconds = Annotated[float, Meta(gt=0)]
Port = Annotated[int, Meta(ge=0, le=65535)]
Share = Annotated[float, Meta(ge=0, le=1)]


class NodeSettings(NamedTuple):
    """Identity and addresses of this process."""

    id: str
    zone: str
    region: str
    address: str = "127.0.0.1"
    http_port: Port = 8080
    peer_port: Port = 8081


class PeerKey(NamedTuple):
    """One shared key for messages between entries; two are valid in a rotation."""

    id: Annotated[int, Meta(ge=0, le=255)]
    secret: Annotated[str, Meta(min_length=32)]


class SeedPeer(NamedTuple):
    """Address of another entry, used until gossip has filled the membership.

    Without an HTTP port, no configuration is read from the seed itself.
    """

    address: str
    peer_port: Port
    http_port: Port = 0


class PeerSettings(NamedTuple):
    """Membership and messages between entries.

    Parameters
    ----------
    keys : tuple of PeerKey
        Empty only if the entries share a key through the platform's store.
    """

    keys: tuple[PeerKey, ...] = ()
    seeds: tuple[SeedPeer, ...] = ()
    probe_interval_seconds: PositiveSeconds = 1.0
    probe_timeout_seconds: PositiveSeconds = 0.3
    suspicion_timeout_seconds: PositiveSeconds = 3.0
    indirect_probe_count: Annotated[int, Meta(ge=0)] = 3


class StoreSettings(NamedTuple):
    """The platform's object store.

    Parameters
    ----------
    scopes : tuple of str
        Parts of the store that are listed and watched apart from each other; one
        without a name if a single list has all objects.
    watchers_per_zone : int
        Entries of a zone that watch the newest state of the store and tell the others.
    stale_scopes : tuple of str
        Scopes that all entries watch by reads that may be seconds old. Their first list
        at a start may be, too.
    slow_scopes : tuple of str
        Scopes whose changes reach the entries in another way as well.
    slow_watch_seconds : float
        Longest wait of a watch of a slow scope.
    slow_pause_seconds : float
        Pause between an answer and the next watch of a slow scope, so that a start of
        all entries is answered by one or two watches of each.
    stale_watches : bool
        Whether the other entries watch the other scopes as well, by reads that may be
        stale; otherwise they learn of changes from their peers alone.
    watch_pause_seconds : float
        Pause between an answer and the next watch, so that a burst of changes is
        answered by few watches, each of which counts as a call.
    retry_limit_seconds : float
        Longest wait between failed calls.
    lapse_grace_seconds : float
        Time after an outage of the store in which lapsed registrations of upstreams
        come back; 0 if registrations do not lapse.
    """

    url: str
    token: str = ""
    timeout_seconds: PositiveSeconds = 2.0
    watch_timeout_seconds: PositiveSeconds = 30.0
    watchers_per_zone: Annotated[int, Meta(ge=1)] = 2
    scopes: tuple[str, ...] = ("",)
    stale_scopes: tuple[str, ...] = ()
    slow_scopes: tuple[str, ...] = ()
    slow_watch_seconds: PositiveSeconds = 20.0
    slow_pause_seconds: Annotated[float, Meta(ge=0)] = 1.0
    stale_watches: bool = False
    watch_pause_seconds: Annotated[float, Meta(ge=0)] = 0.2
    retry_limit_seconds: PositiveSeconds = 30.0
    lapse_grace_seconds: Annotated[float, Meta(ge=0)] = 0.0


class PlatformSettings(NamedTuple):
    """The platform's list of VMs.

    Parameters
    ----------
    vm_list_url : str
        Empty if upstreams and entries register themselves in the store.
    """

    vm_list_url: str = ""
    vm_list_interval_seconds: PositiveSeconds = 2.0


class SchedulingSettings(NamedTuple):
    """Cells, grants and engine memory.

    Parameters
    ----------
    memory_margin_deviations : float
        Standard deviations of the predicted memory that are kept free.
    first_rank_reserve : float
        Share of slots and memory that only the first rank may use while it is
        active, so that it need not wait for a patient request to finish.
    prefill_tokens_per_second : float
        Rate at which an engine reads prompts beside the decoding of other requests;
        0 if it is not known, so that only slots and memory limit placements.
    prefill_limit_seconds : float
        Work on prompts that a scheduler places on an engine ahead. What it places
        beyond the next prompt could wait for another engine instead, and is lost if
        the engine leaves.
    cache_events : bool
        Whether the engines' cache events are read beside what was granted.
    affinity_bound : float
        An upstream that holds the longest prefix is used while its load is within
        this share of the least loaded one.
    """

    cell_size: Annotated[int, Meta(ge=1)] = 12
    ask_timeout_seconds: PositiveSeconds = 0.1
    grant_lifetime_seconds: PositiveSeconds = 2.0
    settle_seconds: PositiveSeconds = 1.0
    progress_interval_seconds: PositiveSeconds = 1.0
    progress_lifetime_seconds: PositiveSeconds = 5.0
    load_interval_seconds: PositiveSeconds = 0.5
    memory_target: Share = 0.9
    charge_window_seconds: PositiveSeconds = 10.0
    memory_margin_deviations: Annotated[float, Meta(ge=0)] = 1.0
    first_rank_reserve: Share = 0.06
    prefill_tokens_per_second: Annotated[float, Meta(ge=0)] = 0.0
    prefill_limit_seconds: PositiveSeconds = 0.4
    cache_events: bool = True
    affinity_bound: Share = 0.1


class StreamSettings(NamedTuple):
    """Relays between upstreams and callers."""

    connect_timeout_seconds: PositiveSeconds = 1.0
    stall_timeout_seconds: PositiveSeconds = 5.0
    first_byte_timeout_seconds: PositiveSeconds = 60.0
    buffer_bytes: Annotated[int, Meta(ge=1024)] = 65536
    resume_lifetime_seconds: PositiveSeconds = 300.0
    attempt_limit: Annotated[int, Meta(ge=1)] = 3


class RetrySettings(NamedTuple):
    """Retry budget: a share of the calls plus a small constant rate.

    Parameters
    ----------
    fleet_limit : int
        Retries of one serving group that all entries together may make in
        ``fleet_window_seconds`` beyond their share; 0 for no such limit. Each entry
        takes an equal part of it.
    """

    budget_share: Share = 0.1
    budget_minimum_per_second: PositiveSeconds = 1.0
    fleet_limit: Annotated[int, Meta(ge=0)] = 0
    fleet_window_seconds: PositiveSeconds = 10.0
    backoff_base_seconds: PositiveSeconds = 0.05
    backoff_limit_seconds: PositiveSeconds = 2.0


class IdempotencySettings(NamedTuple):
    """Claims of keys for calls that must not be repeated."""

    journal_shards: Annotated[int, Meta(ge=1)] = 64
    batch_interval_seconds: PositiveSeconds = 0.02
    completion_interval_seconds: PositiveSeconds = 1.0
    claim_timeout_seconds: PositiveSeconds = 3.0
    journal_bytes: Annotated[int, Meta(ge=1024)] = 900_000
    answer_timeout_seconds: PositiveSeconds = 60.0
    clock_tolerance_seconds: PositiveSeconds = 60.0
    retention_seconds: PositiveSeconds = 86400.0
    issued_key_lifetime_seconds: PositiveSeconds = 300.0
    stored_answer_bytes: Annotated[int, Meta(ge=0)] = 4096


class LimitSettings(NamedTuple):
    """Limits that protect the process itself."""

    body_bytes: Annotated[int, Meta(ge=1024)] = 4_194_304
    open_requests: Annotated[int, Meta(ge=1)] = 2000
    connections: Annotated[int, Meta(ge=1)] = 4096
    receiving_requests: Annotated[int, Meta(ge=1)] = 128
    receive_timeout_seconds: PositiveSeconds = 10.0
    default_deadline_seconds: PositiveSeconds = 600.0


class DrainSettings(NamedTuple):
    """Graceful stop."""

    readiness_grace_seconds: PositiveSeconds = 5.0
    limit_seconds: PositiveSeconds = 900.0


class GatewaySettings(NamedTuple):
    """Front end for calls on HTTP routes, and the store of the platform it runs on.

    Parameters
    ----------
    address : str
        ``IP:port`` for callers; empty if this front end is not used.
    readiness_address : str
        ``IP:port`` where the balancer asks whether this entry takes new connections.
    metrics_address : str
        ``IP:port`` of metrics and status; empty for none.
    regions_by_zone : dict of str to str
        Region of each availability zone.
    """

    address: str = ""
    readiness_address: str = ""
    metrics_address: str = ""
    regions_by_zone: dict[str, str] = {}


class OrderSettings(NamedTuple):
    """Orders to engines.

    The margin covers the difference between the clock rates of two VMs over one lease
    lifetime and the time in which a frozen process may still send. The settle time
    covers the lag of load reports, their poll interval and the lifetime of a grant:
    until then, schedulers may still place work on an engine that drains.
    """

    interval_seconds: PositiveSeconds = 2.0
    lease_lifetime_seconds: PositiveSeconds = 10.0
    lease_margin_seconds: PositiveSeconds = 2.0
    drain_settle_seconds: PositiveSeconds = 4.0


class LogSettings(NamedTuple):
    """Structured logs, and a file for recorded events; empty for none.

    Parameters
    ----------
    lines_per_second : float
        Lines above it are dropped and counted, after a burst of 5 s. An entry writes 4
        lines a request and takes 9 requests/s at the size that docs/CAPACITY.md names.
    backlog_bytes : int
        Lines kept in memory while standard output is not read; 0.1% of an entry's.
    """

    format: Literal["json", "console"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"
    lines_per_second: float = 200.0
    backlog_bytes: int = 131_072
    trace_file: str = ""


class AdminSettings(NamedTuple):
    """Operators' interface; the token is stored as its SHA-256 in hexadecimal."""

    token_sha256: str = ""


class Settings(NamedTuple):
    """All settings of one process; passed whole to whoever needs any of them."""

    node: NodeSettings
    peers: PeerSettings
    store: StoreSettings
    platform: PlatformSettings
    scheduling: SchedulingSettings = SchedulingSettings()
    streams: StreamSettings = StreamSettings()
    retries: RetrySettings = RetrySettings()
    idempotency: IdempotencySettings = IdempotencySettings()
    limits: LimitSettings = LimitSettings()
    drain: DrainSettings = DrainSettings()
    orders: OrderSettings = OrderSettings()
    logs: LogSettings = LogSettings()
    admin: AdminSettings = AdminSettings()
    gateway: GatewaySettings = GatewaySettings()
