"""Layout of the claim journals, which all entries share regardless of their settings.

The layout is an object of the store; an entry that finds none writes its own settings.
A key could run twice, for example during a rollout of settings, if entries computed
different shards for it, or if one entry dropped its record while another still
accepted the key.
"""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.core import actions, events, result_codes, rows

LAYOUT_READ_OPERATION = "journal_layout_read"
LAYOUT_WRITE_OPERATION = "journal_layout_write"
RETRY_PAUSE_SECONDS = 0.5

decide = new_controller()


@decide.register(events.ProcessStarted)
def _read_layout_at_start(
    event: events.ProcessStarted, board: Board, now: float, random: Random
) -> Actions:
    if board.settings.gateway.address:
        # Calls on HTTP routes have no idempotency keys, so gateway entries do not use
        # journals.
        return ()
    return (actions.ReadLayout(LAYOUT_READ_OPERATION),)


@decide.register(events.LayoutRead)
def _apply_stored_layout(
    event: events.LayoutRead, board: Board, now: float, random: Random
) -> Actions:
    settings = board.settings.idempotency
    configured_layout = rows.LayoutRow(
        settings.journal_shards, settings.retention_seconds
    )
    if event.layout is None:
        return (actions.WriteLayout(LAYOUT_WRITE_OPERATION, configured_layout),)
    board.journal_layouts_by_name["in_force"] = event.layout
    if event.layout == configured_layout:
        return ()
    log_fields = {
        "stored": event.layout._asdict(),
        "settings": configured_layout._asdict(),
    }
    return (actions.Log("warning", "stored journal layout applies", log_fields),)


@decide.register(events.ObjectWritten)
def _read_layout_after_write(
    event: events.ObjectWritten, board: Board, now: float, random: Random
) -> Actions:
    if event.operation_id != LAYOUT_WRITE_OPERATION:
        return ()
    # Another entry may have written its layout first, so the stored one is read back.
    return (actions.ReadLayout(LAYOUT_READ_OPERATION),)


@decide.register(events.StoreCallFailed)
def _schedule_layout_retry(
    event: events.StoreCallFailed, board: Board, now: float, random: Random
) -> Actions:
    if event.operation_id not in (LAYOUT_READ_OPERATION, LAYOUT_WRITE_OPERATION):
        return ()
    pause_seconds = RETRY_PAUSE_SECONDS * random.uniform(0.5, 1.5)
    return (
        actions.Count(result_codes.STORE_CALL_FAILED),
        actions.SetTimer(now + pause_seconds, events.TimerFired(LAYOUT_READ_OPERATION)),
    )


@decide.register(events.TimerFired)
def _retry_layout_read(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name != LAYOUT_READ_OPERATION:
        return ()
    return (actions.ReadLayout(LAYOUT_READ_OPERATION),)
