"""Settings of one process, read from a TOML file."""

from __future__ import annotations

from typing import Annotated, Literal, NamedTuple

from msgspec import Meta

PositiveSeconds = Annotated[float, Meta(gt=0)]
Port = Annotated[int, Meta(ge=0, le=65535)]
UnitFraction = Annotated[float, Meta(ge=0, le=1)]


class NodeSettings(NamedTuple):
    """Identity and addresses of this process, and resources of its VM.

    Parameters
    ----------
    processor_share, processor_cores : float
        The process may use this share of the time of a processor that is this number
        of times as fast as one core; a share of 0 if unknown.
    memory_megabytes, link_megabits : float
        Memory, and megabits a second, of the VM; 0 if unknown.
    """

    id: str
    zone: str
    region: str
    address: str = "127.0.0.1"
    http_port: Port = 8080
    peer_port: Port = 8081
    processor_share: Annotated[float, Meta(ge=0)] = 0.0
    processor_cores: Annotated[float, Meta(gt=0)] = 1.0
    memory_megabytes: Annotated[float, Meta(ge=0)] = 0.0
    link_megabits: Annotated[float, Meta(ge=0)] = 0.0


class PeerKey(NamedTuple):
    """A key that entries share to sign messages; two are valid during a rotation."""

    id: Annotated[int, Meta(ge=0, le=255)]
    secret: Annotated[str, Meta(min_length=32)]


class SeedPeer(NamedTuple):
    """Address of another entry, used until gossip has filled the member table.

    Without an HTTP port, no configuration is pulled from the seed itself.
    """

    address: str
    peer_port: Port
    http_port: Port = 0


class PeerSettings(NamedTuple):
    """Membership and messages between entries.

    Parameters
    ----------
    keys : tuple of PeerKey
        May be empty only if the entries share a key through the platform's store.
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
    watchers_per_zone : int
        Entries of a zone that watch the latest state of the store and push changes to
        the others.
    scopes : tuple of str
        Parts of the store that are listed and watched separately; a single empty name
        if one list returns all objects.
    stale_scopes : tuple of str
        Scopes that all entries watch with stale reads, which may be seconds old. The
        first list after a start may also be stale.
    slow_scopes : tuple of str
        Scopes whose changes also reach the entries in another way.
    slow_watch_seconds : float
        Longest wait of a watch of a slow scope.
    slow_pause_seconds : float
        Pause between an answer and the next watch of a slow scope, so that a
        simultaneous start of all entries costs each of them only one or two watches.
    stale_watches : bool
        Whether the entries that are not watchers also watch the remaining scopes, with
        stale reads; otherwise they learn of changes only from their peers.
    watch_pause_seconds : float
        Pause between an answer and the next watch, so that a burst of changes costs
        few watches, each of which counts as a call to the store.
    relaxed_scopes : tuple of str
        Scopes whose changes only the schedulers of cells need at once; the other
        entries pause longer between an answer and the next watch.
    relaxed_watch_seconds : float
        Longest wait of a watch, at entries that are no watchers and schedule no cells,
        of scopes that are neither slow nor relaxed; 0 if only the bounds limit it. The
        watchers push such changes, and the watches of relaxed scopes notice a silent
        store. It needs ``relaxed_scopes``, and has no effect while
        ``contact_milliseconds`` is 0.
    contact_milliseconds, configuration_milliseconds, leaving_milliseconds : float
        Bounds of the platform, under which the time between two answers of a watch
        has to stay: for regaining contact after connections have failed, for taking
        over a configuration and for leaving an upstream. If any is 0,
        ``watch_timeout_seconds`` alone limits that time.
    zone_drain_milliseconds : float
        Bound of the platform for taking an availability zone out of use; 0 if it has
        none.
    consistent_scopes : tuple of str
        Scopes whose first list is consistent and made by every entry itself, because
        a stale one may lack an object by which the entry is already bound.
    retry_limit_seconds : float
        Longest delay between retries of failed calls.
    lapse_grace_seconds : float
        Time after an outage of the store within which lapsed registrations of
        upstreams return; 0 if registrations do not lapse.
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
    relaxed_scopes: tuple[str, ...] = ()
    contact_milliseconds: Annotated[float, Meta(ge=0)] = 0.0
    configuration_milliseconds: Annotated[float, Meta(ge=0)] = 0.0
    leaving_milliseconds: Annotated[float, Meta(ge=0)] = 0.0
    zone_drain_milliseconds: Annotated[float, Meta(ge=0)] = 0.0
    consistent_scopes: tuple[str, ...] = ()
    relaxed_watch_seconds: Annotated[float, Meta(ge=0, le=30)] = 0.0


class PlatformSettings(NamedTuple):
    """The platform's VM list.

    Parameters
    ----------
    vm_list_url : str
        Empty if upstreams and entries register in the store.
    """

    vm_list_url: str = ""
    vm_list_interval_seconds: PositiveSeconds = 2.0


class SchedulingSettings(NamedTuple):
    """Cells, grants and engine memory.

    Parameters
    ----------
    memory_margin_deviations : float
        Safety margin on the predicted memory use, in standard deviations.
    first_rank_reserve : float
        Share of slots and memory that only the first rank may use while it is active,
        so that its requests need not wait for a lower-ranked request to finish.
    prefill_tokens_per_second : float
        Rate at which an engine prefills prompts while it decodes other requests; 0 if
        unknown, so that only slots and memory limit placements.
    prefill_limit_seconds : float
        Prefill time that a scheduler queues on an engine in advance. Prompts beyond
        the next one could wait for another engine instead, and are lost if the engine
        leaves.
    cache_events : bool
        Whether cache contents are tracked from the engines' cache events in addition
        to the grants.
    affinity_bound : float
        Largest difference in load to the least loaded upstream at which the upstream
        with the longest cached prefix is still chosen.
    cold_overage, cold_slack : float
        In any second, all entries together may send a cold upstream its declared rate
        times the overage plus the slack. With an overage of 0, requests to cold
        upstreams are not limited.
    service_shares : bool
        Whether client accounts share crowded plain services by quota weight across all
        entries. Without it, each entry knows only its own calls.
    """

    cell_size: Annotated[int, Meta(ge=1)] = 12
    ask_timeout_seconds: PositiveSeconds = 0.1
    grant_lifetime_seconds: PositiveSeconds = 2.0
    settle_seconds: PositiveSeconds = 1.0
    progress_interval_seconds: PositiveSeconds = 1.0
    progress_lifetime_seconds: PositiveSeconds = 5.0
    load_interval_seconds: PositiveSeconds = 0.5
    memory_target: UnitFraction = 0.9
    charge_window_seconds: PositiveSeconds = 10.0
    memory_margin_deviations: Annotated[float, Meta(ge=0)] = 1.0
    first_rank_reserve: UnitFraction = 0.06
    prefill_tokens_per_second: Annotated[float, Meta(ge=0)] = 0.0
    prefill_limit_seconds: PositiveSeconds = 0.4
    cache_events: bool = True
    affinity_bound: UnitFraction = 0.1
    cold_overage: Annotated[float, Meta(ge=0)] = 0.0
    cold_slack: Annotated[float, Meta(ge=0)] = 0.0
    service_shares: bool = False


class StreamSettings(NamedTuple):
    """Streams and answers relayed from upstreams to callers."""

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
    fleet_limit : float
        Retries beyond the share that all entries together may make for one serving
        group within ``fleet_window_seconds``; 0 for no such limit. Each entry may use
        an equal part of it.
    """

    budget_share: UnitFraction = 0.1
    budget_minimum_per_second: PositiveSeconds = 1.0
    fleet_limit: Annotated[float, Meta(ge=0)] = 0.0
    fleet_window_seconds: PositiveSeconds = 10.0
    backoff_base_seconds: PositiveSeconds = 0.05
    backoff_limit_seconds: PositiveSeconds = 2.0


class IdempotencySettings(NamedTuple):
    """Idempotency keys and the journal of their claims."""

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
    """Limits that protect the process from overload.

    Parameters
    ----------
    body_bytes : int
        Size of a request body.
    answer_bytes : int
        Size of an answer that is not streamed; it is held in memory until it is
        complete.
    memory_megabytes : float
        Memory that the process may use, in millions of bytes; 0 if it is not limited.
        Large bodies are refused if the open ones fill a part of it.
    descriptors : int
        File descriptors that the process may open, of which 200 are left for files;
        0 for the limit of the operating system.
    progress_bytes, progress_seconds : int, float
        A client that sends or reads fewer bytes in this time is closed before others
        if memory or connections are short.
    receive_timeout_seconds : float
        Time in which a body has to bring twice ``progress_bytes`` or its end.
    unread_timeout_seconds : float
        Longest time in which a client takes nothing of an answer that waits for it.
    """

    body_bytes: Annotated[int, Meta(ge=1024)] = 4_194_304
    answer_bytes: Annotated[int, Meta(ge=1024)] = 4_194_304
    open_requests: Annotated[int, Meta(ge=1)] = 2000
    connections: Annotated[int, Meta(ge=1)] = 4096
    receiving_requests: Annotated[int, Meta(ge=1)] = 128
    receive_timeout_seconds: PositiveSeconds = 10.0
    default_deadline_seconds: PositiveSeconds = 600.0
    memory_megabytes: Annotated[float, Meta(ge=0)] = 0.0
    descriptors: Annotated[int, Meta(ge=0)] = 0
    progress_bytes: Annotated[int, Meta(ge=1)] = 32_768
    progress_seconds: PositiveSeconds = 2.0
    unread_timeout_seconds: PositiveSeconds = 30.0


class DrainSettings(NamedTuple):
    """Graceful shutdown."""

    readiness_grace_seconds: PositiveSeconds = 5.0
    limit_seconds: PositiveSeconds = 900.0


class GatewaySettings(NamedTuple):
    """Front end for calls on HTTP routes; it also selects its platform's store.

    Parameters
    ----------
    address : str
        ``IP:port`` that callers connect to; empty if this front end is not used.
    readiness_address : str
        ``IP:port`` for the load balancer's check of whether this entry accepts new
        connections.
    metrics_address : str
        ``IP:port`` for metrics and status; empty for none.
    regions_by_zone : dict of str to str
        Region of each availability zone.
    """

    address: str = ""
    readiness_address: str = ""
    metrics_address: str = ""
    regions_by_zone: dict[str, str] = {}


class OrderSettings(NamedTuple):
    """Orders to engines.

    The lease margin covers the difference between the clock rates of two VMs over one
    lease lifetime and the time in which a process resumed after a freeze may still
    send. The settle time covers the delay of load reports, their poll interval and the
    lifetime of a grant; during it, schedulers may still place requests on a draining
    engine.
    """

    interval_seconds: PositiveSeconds = 2.0
    lease_lifetime_seconds: PositiveSeconds = 10.0
    lease_margin_seconds: PositiveSeconds = 2.0
    drain_settle_seconds: PositiveSeconds = 4.0


class LocalitySettings(NamedTuple):
    """When calls leave the availability zone of the entry that received them.

    Parameters
    ----------
    enabled : bool
        Whether the zone of an upstream counts as described in docs/design/locality.md.
        If not, engines are chosen regardless of their zone, and a server of a plain
        service in the entry's zone comes first among equally loaded ones.
    round_trip_seconds : float
        Time that a message takes to another zone and back.
    seconds_per_megabyte : float
        Longest additional wait that is accepted to keep one million bytes within the
        zone; 0 if bytes between zones cost nothing. At 1, a call of 3,000 prompt tokens
        and 1,760 answer tokens may wait 0.19 s longer, a tenth of a first-token target
        of 1.8 s.
    prompt_token_bytes, answer_token_bytes : float
        Bytes on the network for each token of a prompt and of an answer. The default
        of an answer is a stream event of 400 bytes with four tokens.
    prefix_block_tokens : float
        Tokens of one shareable part of a prompt, for the prefill time that an engine
        saves which has it in its cache.
    call_bytes : float
        Bytes of a call to a plain service and of its answer.
    rate_window_seconds : float
        Time over which an entry smooths its rate of calls to plain services.
    """

    enabled: bool = False
    round_trip_seconds: Annotated[float, Meta(ge=0)] = 0.003
    seconds_per_megabyte: Annotated[float, Meta(ge=0)] = 1.0
    prompt_token_bytes: Annotated[float, Meta(ge=0)] = 4.0
    answer_token_bytes: Annotated[float, Meta(ge=0)] = 100.0
    prefix_block_tokens: Annotated[float, Meta(ge=0)] = 100.0
    call_bytes: Annotated[float, Meta(ge=0)] = 1500.0
    rate_window_seconds: PositiveSeconds = 5.0


class OverloadSettings(NamedTuple):
    """Refusals while the engines of a cell cannot serve all that waits.

    Parameters
    ----------
    enabled : bool
        Whether waits are estimated from the capacity that is left and places of refused
        calls are kept, as described in docs/design/overload.md. If not, waits are
        estimated from the rate of grants alone.
    """

    enabled: bool = False


class LogSettings(NamedTuple):
    """Structured logs and the trace of recorded events.

    Parameters
    ----------
    lines_per_second : float
        Rate above which lines are dropped and counted, after a burst of 5 s. An entry
        writes 4 lines per request and receives 9 requests/s at the deployment size in
        docs/CAPACITY.md.
    backlog_bytes : int
        Size of the log lines buffered while standard output is not read. The default
        is 0.1% of an entry's memory.
    trace_file : str
        File to which events are recorded; empty for none.
    """

    format: Literal["json", "console"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"
    lines_per_second: float = 200.0
    backlog_bytes: int = 131_072
    trace_file: str = ""


class AdminSettings(NamedTuple):
    """Operator interface; its token is stored as a hexadecimal SHA-256 hash."""

    token_sha256: str = ""


class Settings(NamedTuple):
    """All settings of one process, always passed as one object."""

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
    locality: LocalitySettings = LocalitySettings()
    overload: OverloadSettings = OverloadSettings()
