"""Metrics of one process in the Prometheus format."""

from __future__ import annotations

from typing import NamedTuple

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from carawayhitch.board import Board

SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 15.0, 60.0, 300.0)


class Metrics(NamedTuple):
    """Collectors of one process."""

    registry: CollectorRegistry
    outcomes: Counter
    requests: Counter
    first_token_seconds: Histogram
    exchange_bytes: Counter
    open_requests: Gauge
    waiting_asks: Gauge
    revision: Gauge
    members: Gauge
    peer_messages: Counter
    peer_bytes: Counter


def new_metrics() -> Metrics:
    """Return collectors in a registry of their own."""
    registry = CollectorRegistry()
    return Metrics(
        registry=registry,
        outcomes=Counter(
            "carawayhitch_results",
            "Refusals, retries and failures by result code.",
            ["code", "name", "rank"],
            registry=registry,
        ),
        requests=Counter(
            "carawayhitch_requests",
            "Requests that ended, by rank and whether the answer was complete.",
            ["rank", "complete"],
            registry=registry,
        ),
        first_token_seconds=Histogram(
            "carawayhitch_first_token_seconds",
            "Time from the call to its first token, in seconds.",
            ["rank"],
            buckets=SECONDS_BUCKETS,
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
        members=Gauge(
            "carawayhitch_members",
            "Entries by membership state.",
            ["state"],
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
    )


def render_metrics(metrics: Metrics, board: Board) -> bytes:
    """Return the exposition text with gauges taken from the board."""
    metrics.open_requests.set(len(board.requests_by_id))
    metrics.waiting_asks.set(len(board.asks_by_request_id))
    configuration = board.configuration
    metrics.revision.set(configuration.revision if configuration else 0)
    metrics.members.clear()
    for member in board.members_by_id.values():
        metrics.members.labels(member.state).inc()
    return generate_latest(metrics.registry)
