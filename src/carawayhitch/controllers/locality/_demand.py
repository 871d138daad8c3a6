"""Calls of this entry to plain services, their answer times, and counts by zones."""

from __future__ import annotations

from math import exp
from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._cells import entry_scheduled_groups
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._targets import admission_size
from carawayhitch.controllers.locality._reasons import find_zone_reason
from carawayhitch.core import actions, events, rows

# Least weight of an answer in the smoothed answer time of a zone. Single answer times
# vary by half of their mean, their mean with this weight by a sixth.
ANSWER_WEIGHT = 0.2
PRIOR_ANSWERS = 3
# Weight of an answer in the usual answer time. Servers that become three times slower
# stay above it for some fifty calls, during which calls to other zones show whether
# those are faster.
REFERENCE_WEIGHT = 0.01
# Older answer times say nothing about a zone, because faults end within seconds.
ANSWER_TIME_LIFETIME_SECONDS = 10.0

decide = new_controller()


def calls_per_second(demand: rows.ZoneDemandRow, window: float, now: float) -> float:
    """Return the smoothed rate of calls, with a window in seconds."""
    return demand.calls * exp(-max(0.0, now - demand.updated_at) / window) / window


def recent_answer_times(
    demand: rows.ZoneDemandRow, now: float
) -> dict[str, rows.ZoneAnswerTimeRow]:
    """Return the answer times by zone that are not too old to count."""
    return {
        times.zone: times
        for times in demand.answer_times
        if now - times.updated_at <= ANSWER_TIME_LIFETIME_SECONDS
    }


@decide.register(events.UpstreamGranted)
def _count_granted_call(
    event: events.UpstreamGranted, board: Board, now: float, random: Random
) -> Actions:
    locality = board.settings.locality
    row = board.requests_by_id.get(event.request_id)
    if not locality.enabled or row is None:
        return ()
    board.zone_reasons_by_request_id[row.request_id] = find_zone_reason(
        board, row.cell_id, board.settings.node.zone, row.upstream_id, now
    )
    if row.group not in entry_scheduled_groups(board):
        return ()
    demand = board.zone_demands_by_cell_id.get(row.cell_id, rows.ZoneDemandRow())
    window = locality.rate_window_seconds
    board.zone_demands_by_cell_id[row.cell_id] = demand._replace(
        calls=calls_per_second(demand, window, now) * window + 1.0, updated_at=now
    )
    return ()


@decide.register(events.RequestEnded)
def _record_ended_call(
    event: events.RequestEnded, board: Board, now: float, random: Random
) -> Actions:
    reason = board.zone_reasons_by_request_id.pop(event.request_id, "")
    row = board.requests_by_id.get(event.request_id)
    upstream = board.upstreams_by_id.get(row.upstream_id) if row else None
    if not reason or row is None or upstream is None:
        return ()
    # The time of a repeated call includes the attempts that failed.
    if event.complete and row.opened_at and row.run_count <= 1:
        _record_answer_time(board, row, upstream.zone, now)
    own_zone = board.settings.node.zone
    byte_count = _estimated_bytes(board, row, upstream)
    return (actions.CountZoneCall(own_zone, upstream.zone, reason, byte_count),)


def _record_answer_time(
    board: Board, row: rows.RequestRow, zone: str, now: float
) -> None:
    demand = board.zone_demands_by_cell_id.get(row.cell_id)
    if demand is None:
        return
    seconds = now - row.opened_at
    # A single answer says little about a zone. Its mean therefore starts at the usual
    # time, which counts as `PRIOR_ANSWERS` answers.
    prior = rows.ZoneAnswerTimeRow(zone, demand.reference_seconds or seconds, now, 0)
    known = recent_answer_times(demand, now).get(zone, prior)
    zone_count = known.answer_count + 1
    weight = max(1.0 / (zone_count + PRIOR_ANSWERS), ANSWER_WEIGHT)
    mean = known.seconds + weight * (seconds - known.seconds)
    count = demand.answer_count + 1
    error = seconds - demand.reference_seconds
    board.zone_demands_by_cell_id[row.cell_id] = demand._replace(
        reference_seconds=demand.reference_seconds
        + max(1.0 / count, REFERENCE_WEIGHT) * error,
        answer_count=count,
        answer_times=(
            *(times for times in demand.answer_times if times.zone != zone),
            rows.ZoneAnswerTimeRow(zone, mean, now, zone_count),
        ),
    )


def _estimated_bytes(
    board: Board, row: rows.RequestRow, upstream: rows.UpstreamRow
) -> float:
    locality = board.settings.locality
    if upstream.kind != "engine":
        return max(float(row.body_bytes), locality.call_bytes)
    prompt_bytes = (
        admission_size(row.target).prompt_tokens * locality.prompt_token_bytes
    )
    answer_bytes = row.token_count * locality.answer_token_bytes
    return max(float(row.body_bytes), prompt_bytes) + answer_bytes


@decide.register(events.UpstreamsChanged)
def _remove_demands_of_removed_cells(
    event: events.UpstreamsChanged, board: Board, now: float, random: Random
) -> Actions:
    for cell_id in board.zone_demands_by_cell_id.keys() - board.cells_by_id.keys():
        del board.zone_demands_by_cell_id[cell_id]
    return ()
