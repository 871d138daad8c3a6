"""Layout of the claim journals, the same for all entries whatever their settings.

The first entry writes its settings as an object of the store if there is none yet.
Entries that computed another shard, or that dropped records earlier than others
refuse keys, would let a key run twice, for example while settings are rolled out.
"""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.core import actions, events, result_codes, rows

LAYOUT_READ_OPERATION = "journal_layout_read"
LAYOUT_WRITE_OPERATION = "journal_layout_write"
RETRY_SECONDS = 0.5

decide = new_controller()


@decide.register(events.ProcessStarted)
def _read_first(
    event: events.ProcessStarted, board: Board, now: float, random: Random
) -> Actions:
    if board.settings.gateway.address:
        # Calls on HTTP routes carry no keys, so their entries keep no journals.
        return ()
    return (actions.ReadLayout(LAYOUT_READ_OPERATION),)


@decide.register(events.LayoutRead)
def _take_layout(
    event: events.LayoutRead, board: Board, now: float, random: Random
) -> Actions:
    settings = board.settings.idempotency
    wanted = rows.LayoutRow(settings.journal_shards, settings.retention_seconds)
    if event.layout is None:
        return (actions.WriteLayout(LAYOUT_WRITE_OPERATION, wanted),)
    board.journal_layouts_by_name["in_force"] = event.layout
    if event.layout == wanted:
        return ()
    fields = {"stored": event.layout._asdict(), "settings": wanted._asdict()}
    return (actions.Log("warning", "stored journal layout applies", fields),)


@decide.register(events.ObjectWritten)
def _read_written(
    event: events.ObjectWritten, board: Board, now: float, random: Random
) -> Actions:
    if event.operation_id != LAYOUT_WRITE_OPERATION:
        return ()
    # Another entry may have been first, so the stored layout counts.
    return (actions.ReadLayout(LAYOUT_READ_OPERATION),)


@decide.register(events.StoreCallFailed)
def _try_again(
    event: events.StoreCallFailed, board: Board, now: float, random: Random
) -> Actions:
    if event.operation_id not in (LAYOUT_READ_OPERATION, LAYOUT_WRITE_OPERATION):
        return ()
    pause = RETRY_SECONDS * random.uniform(0.5, 1.5)
    return (
        actions.Count(result_codes.STORE_CALL_FAILED),
        actions.SetTimer(now + pause, events.TimerFired(LAYOUT_READ_OPERATION)),
    )


@decide.register(events.TimerFired)
def _read_again(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name != LAYOUT_READ_OPERATION:
        return ()
    return (actions.ReadLayout(LAYOUT_READ_OPERATION),)
