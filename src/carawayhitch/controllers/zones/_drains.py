"""Availability zones that operators have taken out of use.

Load pattern: an operator empties a zone while a burst fills the others. Calls that
wait, that hold an unused grant or that are repeated must not go to the zone any more,
and calls that only its upstreams could serve are refused at once. Calls that run there
finish there.
"""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.core import actions, declarations, events, result_codes, rows

# A drain does not say when it ends. One that has lasted some time is expected to last
# as long again, so that a caller asks a number of times that is logarithmic in the
# length of the drain.
RETRY_AFTER_MINIMUM_SECONDS = 1.0
RETRY_AFTER_MAXIMUM_SECONDS = 30.0

decide = new_controller()


def accepts_work(board: Board, upstream: rows.UpstreamRow) -> bool:
    """Return whether the zone of an upstream is in use."""
    return upstream.zone not in board.zone_drains_by_name


def is_drained(board: Board, upstream_id: str) -> bool:
    """Return whether an upstream is known to be in a zone out of use."""
    if not board.zone_drains_by_name:
        return False
    upstream = board.upstreams_by_id.get(upstream_id)
    return upstream is not None and not accepts_work(board, upstream)


def drained_upstream_ids(board: Board, cell_id: str) -> tuple[str, ...]:
    """Return the upstreams of a cell that are in zones out of use."""
    cell = board.cells_by_id.get(cell_id)
    upstream_ids = cell.upstream_ids if cell is not None else ()
    return tuple(name for name in upstream_ids if is_drained(board, name))


def upstream_ids_in_use(board: Board, cell: rows.CellRow) -> tuple[str, ...]:
    """Return the upstreams of a cell without those in zones out of use."""
    if not board.zone_drains_by_name:
        return cell.upstream_ids
    return tuple(name for name in cell.upstream_ids if not is_drained(board, name))


def has_only_drained_upstreams(board: Board, cell: rows.CellRow) -> bool:
    """Return whether a cell cannot serve calls until a zone is taken back.

    Leaving upstreams do not return, unlike those that are unreachable or full.
    """
    if not board.zone_drains_by_name:
        return False
    staying = [
        upstream
        for upstream_id in cell.upstream_ids
        if (upstream := board.upstreams_by_id.get(upstream_id)) and not upstream.leaving
    ]
    return bool(staying) and not any(accepts_work(board, row) for row in staying)


def retry_after_seconds(board: Board, now: float) -> float:
    """Return after what time a call refused because of drains may be tried again.

    Zones without upstreams have no effect: their names may be misspelt.
    """
    drains = list(board.zone_drains_by_name.values())
    if len(drains) > 1:
        drains = [row for row in drains if _has_upstreams(board, row.zone)]
    since = max((row.since for row in drains), default=now)
    age = now - since
    return min(
        RETRY_AFTER_MAXIMUM_SECONDS, max(RETRY_AFTER_MINIMUM_SECONDS, round(age, 1))
    )


def _has_upstreams(board: Board, zone: str) -> bool:
    return any(upstream.zone == zone for upstream in board.upstreams_by_id.values())


@decide.register(events.ObjectsDecoded)
def _apply_decoded_drains(
    event: events.ObjectsDecoded, board: Board, now: float, random: Random
) -> Actions:
    decided: list[actions.Action] = []
    begun: list[str] = []
    ended: list[str] = []
    for decoded in event.objects:
        if decoded.kind != declarations.ZONE_DRAIN or not _is_latest(board, decoded):
            continue
        zone = decoded.name
        known = board.zone_drains_by_name.get(zone)
        if decoded.problem:
            # Neither begins nor ends a drain: the last readable version holds.
            decided += _report_unreadable(decoded, known is not None)
        elif decoded.declaration is not None and known is None:
            board.zone_drains_by_name[zone] = rows.ZoneDrainRow(zone, now)
            begun.append(zone)
            decided += _report_begin(board, decoded)
        elif decoded.declaration is None and known is not None:
            del board.zone_drains_by_name[zone]
            ended.append(zone)
            decided.append(_end_log(decoded, known, now))
    if begun or ended:
        changed = events.ZoneDrainsChanged(tuple(begun), tuple(ended))
        decided.append(actions.Emit(changed))
    return decided


def _is_latest(board: Board, decoded: events.DecodedObject) -> bool:
    latest = board.decoded_objects_by_key.get((decoded.kind, decoded.name))
    return latest is not None and latest.version == decoded.version


def _report_unreadable(decoded: events.DecodedObject, is_drained: bool) -> Actions:
    code = result_codes.STORE_OBJECT_UNREADABLE
    fields = {
        "code": code.name,
        "zone": decoded.name,
        "drained": is_drained,
        "revision": decoded.version,
        "problem": decoded.problem,
    }
    return (
        actions.Count(code),
        actions.Log("warning", "zone drain could not be read", fields),
    )


def _report_begin(board: Board, decoded: events.DecodedObject) -> Actions:
    zone = decoded.name
    upstreams = [row for row in board.upstreams_by_id.values() if row.zone == zone]
    fields = {
        "zone": zone,
        "revision": decoded.version,
        "upstreams": len(upstreams),
        "running": sum(
            len(board.grant_ids_by_upstream_id.get(row.upstream_id, ()))
            for row in upstreams
        ),
    }
    begin = actions.Log("info", "zone drain begins", fields)
    if upstreams or zone in board.settings.gateway.regions_by_zone:
        return (begin,)
    code = result_codes.ZONE_UNKNOWN
    fields = {"code": code.name, "zone": zone, "revision": decoded.version}
    unknown = actions.Log("warning", "zone drain of an unknown zone", fields)
    return (begin, actions.Count(code), unknown)


def _end_log(
    decoded: events.DecodedObject, row: rows.ZoneDrainRow, now: float
) -> actions.Log:
    fields = {
        "zone": row.zone,
        "revision": decoded.version,
        "seconds": round(now - row.since, 3),
    }
    return actions.Log("info", "zone drain ends", fields)
