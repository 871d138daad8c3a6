"""Exposition text of the metrics of an entry process.

Imports the metrics library, so this module is imported at the first scrape.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from itertools import accumulate
from typing import Any

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import Collector

from carawayhitch.board import Board
from carawayhitch.controllers import (
    cold_start,
    overload,
    own_duties,
    own_strength,
    service_shares,
)
from carawayhitch.node._logs import process_log_output
from carawayhitch.node._metrics import SECONDS_BUCKETS, Labels, Metrics
from carawayhitch.node._stores import StoreCallLabels

ZONE_LABELS = ("entry_zone", "upstream_zone", "reason")


class _Snapshot(Collector):
    """Metric families of one scrape, in the interface of the metrics library."""

    def __init__(self, families: Iterable[Metric]) -> None:
        self._families = families

    def collect(self) -> Iterable[Metric]:
        return self._families


def render_exposition(metrics: Metrics, board: Board, now: float) -> bytes:
    """Return the exposition text of the counts and of gauges from the board."""
    families: list[Metric] = [*_counters(metrics), _stage_histogram(metrics)]
    families += _entry_gauges(board, now)
    families += _fleet_gauges(board, now)
    registry: Any = _Snapshot(families)
    return generate_latest(registry)


def _counters(metrics: Metrics) -> Iterable[Metric]:
    yield _counter(
        "carawayhitch_results",
        "Refusals, retries and failures by result code.",
        ("code", "name", "rank"),
        metrics.outcomes,
    )
    yield _counter(
        "carawayhitch_exchange_bytes",
        "Bodies of configuration exchanges with peers, in bytes.",
        ("direction",),
        metrics.exchange_bytes,
    )
    yield _counter(
        "carawayhitch_peer_messages",
        "Datagrams between entries, by direction and type of message.",
        ("direction", "type"),
        metrics.peer_messages,
    )
    yield _counter(
        "carawayhitch_peer_bytes",
        "Payload of datagrams between entries, in bytes.",
        ("direction", "type"),
        metrics.peer_bytes,
    )
    yield _counter(
        "carawayhitch_store_calls",
        "Calls to the store that ended, by operation (list, watch, read, write),"
        " scope or kind of object, kind (stale, current) and result (answered,"
        " failed).",
        StoreCallLabels._fields,
        metrics.store_calls,
    )
    yield _counter(
        "carawayhitch_zone_calls",
        "Calls by zone of the entry and of the upstream, and by reason; only with"
        " locality.enabled.",
        ZONE_LABELS,
        metrics.zone_calls,
    )
    yield _counter(
        "carawayhitch_zone_estimated_bytes",
        "Bytes of these calls and their answers, estimated from token counts.",
        ZONE_LABELS,
        metrics.zone_bytes,
    )


def _stage_histogram(metrics: Metrics) -> Metric:
    family = HistogramMetricFamily(
        "carawayhitch_request_stage_seconds",
        "Time from the call to its grant (queue), to the first part of its answer"
        " (first) and to its end (whole), in seconds.",
        labels=("stage", "kind", "rank"),
    )
    bounds = [str(bound) for bound in SECONDS_BUCKETS] + ["+Inf"]
    for labels, counts in metrics.stage_counts.items():
        buckets = list(zip(bounds, accumulate(counts), strict=True))
        family.add_metric(labels, buckets, metrics.stage_seconds[labels])
    return family


def _entry_gauges(board: Board, now: float) -> Iterable[Metric]:
    configuration = board.configuration
    yield _gauge(
        "carawayhitch_open_requests", "Requests open here.", len(board.requests_by_id)
    )
    yield _gauge(
        "carawayhitch_waiting_asks",
        "Requests that wait in cells scheduled here.",
        len(board.asks_by_request_id),
    )
    yield _gauge(
        "carawayhitch_configuration_revision",
        "Store revision of the configuration in force.",
        configuration.revision if configuration else 0,
    )
    yield _gauge(
        "carawayhitch_configuration_age_seconds",
        "Time since the configuration in force was put in force, in seconds.",
        now - board.object_set.in_force_since if configuration else 0.0,
    )
    yield _labelled_gauge(
        "carawayhitch_store_contact_age_seconds",
        "Time since the store last answered about a scope, in seconds.",
        "scope",
        {
            scope.scope: now - scope.contacted_at
            if scope.contacted_at
            else float("nan")
            for scope in board.store_scopes_by_name.values()
        },
    )
    yield _labelled_gauge(
        "carawayhitch_dropped_log_lines",
        "Log lines dropped since the start, by reason.",
        "reason",
        process_log_output().dropped_by_reason,
    )


def _fleet_gauges(board: Board, now: float) -> Iterable[Metric]:
    states: Counter[str] = Counter()
    drained_zones: Counter[str] = Counter()
    for upstream in board.upstreams_by_id.values():
        is_drained = upstream.zone in board.zone_drains_by_name
        if is_drained:
            drained_zones[upstream.zone] += 1
        is_usable = upstream.accepts_new_requests(now) and not is_drained
        states["usable" if is_usable else "unusable"] += 1
    yield _labelled_gauge(
        "carawayhitch_upstreams",
        "Upstreams known, by whether they may get new work.",
        "state",
        states,
    )
    yield _labelled_gauge(
        "carawayhitch_cold_upstreams",
        "Cold upstreams in cells scheduled here, by whether they have room for a"
        " request (free, used_up).",
        "room",
        cold_start.count_cold_upstreams(board, now),
    )
    yield _labelled_gauge(
        "carawayhitch_drained_upstreams",
        "Upstreams in availability zones out of use, by zone.",
        "zone",
        drained_zones,
    )
    if board.settings.overload.enabled:
        yield from _overload_gauges(board, now)
    if board.settings.scheduling.service_shares:
        yield _account_share_gauge(board, now)
    yield _labelled_gauge(
        "carawayhitch_members",
        "Entries by membership state.",
        "state",
        Counter(member.state for member in board.members_by_id.values()),
    )
    yield _gauge(
        "carawayhitch_strength",
        "Strength of this node where duties are given, 1 if unknown.",
        own_strength(board),
    )
    yield _labelled_gauge(
        "carawayhitch_duties",
        "Duties of this node for the fleet, by kind.",
        "duty",
        {duty: len(subjects) for duty, subjects in own_duties(board, now).items()},
    )


def _overload_gauges(board: Board, now: float) -> Iterable[Metric]:
    yield _gauge(
        "carawayhitch_kept_places",
        "Places of refused calls that are kept here; only with overload.enabled.",
        len(board.return_places_by_call),
    )
    arriving = GaugeMetricFamily(
        "carawayhitch_arriving_work",
        "Upstreams that the work arriving in cells scheduled here would keep busy;"
        " only with overload.enabled.",
        labels=("cell", "rank"),
    )
    for cell_id, rank in board.arriving_work_by_rank:
        engines = overload.arriving_engines(board, cell_id, rank, now)
        arriving.add_metric((cell_id, rank), engines)
    yield arriving


def _account_share_gauge(board: Board, now: float) -> Metric:
    shares = GaugeMetricFamily(
        "carawayhitch_account_share",
        "Share of the calls of an account that this entry accepts, for accounts"
        " limited at a crowded plain service; only with scheduling.service_shares.",
        labels=("cell", "priority", "account"),
    )
    for (cell_id, priority, account), limit in service_shares.active_limits(
        board, now
    ).items():
        shares.add_metric((cell_id, str(priority), account), limit.share)
    return shares


def _counter(
    name: str, text: str, label_names: Labels, counts: Mapping[Labels, float]
) -> Metric:
    family = CounterMetricFamily(name, text, labels=label_names)
    for labels, count in counts.items():
        family.add_metric(labels, count)
    return family


def _gauge(name: str, text: str, value: float) -> Metric:
    return GaugeMetricFamily(name, text, value=value)


def _labelled_gauge(
    name: str, text: str, label_name: str, values: Mapping[str, float]
) -> Metric:
    family = GaugeMetricFamily(name, text, labels=(label_name,))
    for label, value in values.items():
        family.add_metric((label,), value)
    return family
