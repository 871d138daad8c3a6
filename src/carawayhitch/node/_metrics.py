"""Prometheus metrics of an entry process."""

from __future__ import annotations

from typing import NamedTuple

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from carawayhitch.board import Board
from carawayhitch.controllers import (
    cold_start,
    own_duties,
    own_strength,
    service_shares,
)
from carawayhitch.node._logs import process_log_output

SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 15.0, 60.0, 300.0)


class Metrics(NamedTuple):
    """Prometheus collectors of an entry process and their registry."""

    registry: CollectorRegistry
    outcomes: Counter
    stage_seconds: Histogram
    dropped_log_lines: Gauge
    exchange_bytes: Counter
    open_requests: Gauge
    waiting_asks: Gauge
    revision: Gauge
    configuration_age: Gauge
    store_contact_age: Gauge
    upstreams: Gauge
    cold_upstreams: Gauge
    account_share: Gauge
    drained_upstreams: Gauge
    members: Gauge
    strength: Gauge
    duties: Gauge
    peer_messages: Counter
    peer_bytes: Counter
    zone_calls: Counter
    zone_bytes: Counter


def new_metrics() -> Metrics:
    """Return new collectors in a separate registry.

    Nodes that run in the same process do not share counters.
    """
    registry = CollectorRegistry()
    return Metrics(
        registry=registry,
        outcomes=Counter(
            "carawayhitch_results",
            "Refusals, retries and failures by result code.",
            ["code", "name", "rank"],
            registry=registry,
        ),
        stage_seconds=Histogram(
            "carawayhitch_request_stage_seconds",
            "Time from the call to its grant (queue), to the first part of its answer"
            " (first) and to its end (whole), in seconds.",
            ["stage", "kind", "rank"],
            buckets=SECONDS_BUCKETS,
            registry=registry,
        ),
        dropped_log_lines=Gauge(
            "carawayhitch_dropped_log_lines",
            "Log lines dropped since the start, by reason.",
            ["reason"],
            registry=registry,
        ),
        exchange_bytes=Counter(
            "carawayhitch_exchange_bytes",
            "Bodies of configuration exchanges with peers, in bytes.",
            ["direction"],
            registry=registry,
        ),
        open_requests=Gauge(
            "carawayhitch_open_requests", "Requests open here.", registry=registry
        ),
        waiting_asks=Gauge(
            "carawayhitch_waiting_asks",
            "Requests that wait in cells scheduled here.",
            registry=registry,
        ),
        revision=Gauge(
            "carawayhitch_configuration_revision",
            "Store revision of the configuration in force.",
            registry=registry,
        ),
        configuration_age=Gauge(
            "carawayhitch_configuration_age_seconds",
            "Time since the configuration in force was put in force, in seconds.",
            registry=registry,
        ),
        store_contact_age=Gauge(
            "carawayhitch_store_contact_age_seconds",
            "Time since the store last answered about a scope, in seconds.",
            ["scope"],
            registry=registry,
        ),
        upstreams=Gauge(
            "carawayhitch_upstreams",
            "Upstreams known, by whether they may get new work.",
            ["state"],
            registry=registry,
        ),
        cold_upstreams=Gauge(
            "carawayhitch_cold_upstreams",
            "Cold upstreams in cells scheduled here, by whether they have room for a"
            " request (free, used_up).",
            ["room"],
            registry=registry,
        ),
        account_share=Gauge(
            "carawayhitch_account_share",
            "Share of the calls of an account that this entry accepts, for accounts"
            " limited at a crowded plain service; only with scheduling.service_shares.",
            ["cell", "priority", "account"],
            registry=registry,
        ),
        drained_upstreams=Gauge(
            "carawayhitch_drained_upstreams",
            "Upstreams in availability zones out of use, by zone.",
            ["zone"],
            registry=registry,
        ),
        members=Gauge(
            "carawayhitch_members",
            "Entries by membership state.",
            ["state"],
            registry=registry,
        ),
        strength=Gauge(
            "carawayhitch_strength",
            "Strength of this node where duties are given, 1 if unknown.",
            registry=registry,
        ),
        duties=Gauge(
            "carawayhitch_duties",
            "Duties of this node for the fleet, by kind.",
            ["duty"],
            registry=registry,
        ),
        peer_messages=Counter(
            "carawayhitch_peer_messages",
            "Datagrams between entries, by direction and type of message.",
            ["direction", "type"],
            registry=registry,
        ),
        peer_bytes=Counter(
            "carawayhitch_peer_bytes",
            "Payload of datagrams between entries, in bytes.",
            ["direction", "type"],
            registry=registry,
        ),
        zone_calls=Counter(
            "carawayhitch_zone_calls",
            "Calls by zone of the entry and of the upstream, and by reason; only with"
            " locality.enabled.",
            ["entry_zone", "upstream_zone", "reason"],
            registry=registry,
        ),
        zone_bytes=Counter(
            "carawayhitch_zone_estimated_bytes",
            "Bytes of these calls and their answers, estimated from token counts.",
            ["entry_zone", "upstream_zone", "reason"],
            registry=registry,
        ),
    )


def render_metrics(metrics: Metrics, board: Board, now: float) -> bytes:
    """Set the gauges from the board and return the exposition text."""
    metrics.open_requests.set(len(board.requests_by_id))
    metrics.waiting_asks.set(len(board.asks_by_request_id))
    configuration = board.configuration
    metrics.revision.set(configuration.revision if configuration else 0)
    if configuration:
        metrics.configuration_age.set(now - board.object_set.in_force_since)
    for scope in board.store_scopes_by_name.values():
        age = now - scope.contacted_at if scope.contacted_at else float("nan")
        metrics.store_contact_age.labels(scope.scope).set(age)
    metrics.upstreams.clear()
    metrics.drained_upstreams.clear()
    for upstream in board.upstreams_by_id.values():
        is_drained = upstream.zone in board.zone_drains_by_name
        if is_drained:
            metrics.drained_upstreams.labels(upstream.zone).inc()
        is_usable = upstream.accepts_new_requests(now) and not is_drained
        metrics.upstreams.labels("usable" if is_usable else "unusable").inc()
    for room, count in cold_start.count_cold_upstreams(board, now).items():
        metrics.cold_upstreams.labels(room).set(count)
    metrics.account_share.clear()
    for key, limit in service_shares.active_limits(board, now).items():
        metrics.account_share.labels(*map(str, key)).set(limit.share)
    for reason, count in process_log_output().dropped_by_reason.items():
        metrics.dropped_log_lines.labels(reason).set(count)
    metrics.members.clear()
    for member in board.members_by_id.values():
        metrics.members.labels(member.state).inc()
    metrics.strength.set(own_strength(board))
    for duty, subjects in own_duties(board, now).items():
        metrics.duties.labels(duty).set(len(subjects))
    return generate_latest(metrics.registry)
