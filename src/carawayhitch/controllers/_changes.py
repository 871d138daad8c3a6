"""Changes by operators: validation, conditional write and resolution of its outcome."""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._configuration_checks import (
    find_object_problems,
    validate_decoded_object,
)
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._drain_waits import DRAIN_LIMIT_TIMER
from carawayhitch.core import actions, events, result_codes, rows

RETRY_TIMER = "change_retry"
CHANGE_TIMEOUT_SECONDS = 8.0
RETRY_BASE_DELAY_SECONDS = 0.2
REWRITE_LIMIT = 5

decide = new_controller()


@decide.register(events.ChangeRequested)
def _decode_requested_change(
    event: events.ChangeRequested, board: Board, now: float, random: Random
) -> Actions:
    change = rows.ChangeRow(
        event.operation_id,
        event.change_id,
        event.kind,
        event.name,
        event.value,
        event.deleted,
        event.expected_version,
        now + CHANGE_TIMEOUT_SECONDS,
    )
    board.changes_by_operation_id[event.operation_id] = change
    candidate = events.StoredObject(
        event.kind, event.name, event.expected_version, event.value, event.deleted
    )
    return (actions.DecodeObjects(event.operation_id, (candidate,)),)


@decide.register(events.ObjectsDecoded)
def _validate_and_write_change(
    event: events.ObjectsDecoded, board: Board, now: float, random: Random
) -> Actions:
    """Write a change, or refuse it if it adds a problem to the objects of this node.

    The whole set is checked, because two changes that are valid on their own may be
    invalid together. Existing problems do not block a change, so that changes can fix
    them.
    """
    change = board.changes_by_operation_id.get(event.operation_id)
    if change is None:
        return ()
    candidate = dict(board.decoded_objects_by_key)
    candidate.update(
        ((entry.kind, entry.name), validate_decoded_object(entry))
        for entry in event.objects
    )
    existing_problems = set(find_object_problems(board.decoded_objects_by_key.values()))
    added = [
        line
        for line in find_object_problems(candidate.values())
        if line not in existing_problems
    ]
    if added:
        return _answer_with_error(
            board, change, result_codes.INVALID_DECLARATION, added[0]
        )
    return (_write_action(change),)


def _write_action(change: rows.ChangeRow) -> actions.WriteObject:
    return actions.WriteObject(
        change.operation_id,
        change.kind,
        change.name,
        change.value,
        change.expected_version,
    )


def _read_action(change: rows.ChangeRow) -> actions.ReadObject:
    return actions.ReadObject(change.operation_id, change.kind, change.name)


@decide.register(events.ObjectWritten)
def _handle_write_result(
    event: events.ObjectWritten, board: Board, now: float, random: Random
) -> Actions:
    change = board.changes_by_operation_id.get(event.operation_id)
    if change is None:
        return ()
    if event.accepted:
        return _complete_change(board, change, event.version)
    # The conflicting version may come from an earlier write of this same change.
    return (_read_action(change),)


@decide.register(events.StoreCallFailed)
def _retry_or_give_up(
    event: events.StoreCallFailed, board: Board, now: float, random: Random
) -> Actions:
    change = board.changes_by_operation_id.get(event.operation_id)
    if change is None:
        return ()
    count = change.failure_count + 1
    board.changes_by_operation_id[change.operation_id] = change._replace(
        failure_count=count
    )
    delay = RETRY_BASE_DELAY_SECONDS * 2**count * random.uniform(0.5, 1.5)
    counted = actions.Count(result_codes.STORE_CALL_FAILED)
    if now + delay > change.deadline:
        message = (
            f"{change.kind}/{change.name}: the store did not answer ({event.detail}); "
            f"change {change.change_id} may have been written, run diff to check"
        )
        return (
            counted,
            *_answer_with_error(board, change, result_codes.CHANGE_UNKNOWN, message),
        )
    timer = events.TimerFired(RETRY_TIMER, change.operation_id)
    return (counted, actions.SetTimer(now + delay, timer))


@decide.register(events.TimerFired)
def _handle_timer(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name == DRAIN_LIMIT_TIMER:
        return _answer_before_stop(board)
    change = board.changes_by_operation_id.get(event.subject)
    if event.name != RETRY_TIMER or change is None:
        return ()
    return (_read_action(change),)


def _answer_before_stop(board: Board) -> Actions:
    """Answer the operators whose changes outlast the drain of the process."""
    decided: list[actions.Action] = []
    for change in list(board.changes_by_operation_id.values()):
        message = (
            f"{change.kind}/{change.name}: the entry stopped before an answer; "
            f"change {change.change_id} may have been written, run diff to check"
        )
        code = result_codes.CHANGE_UNKNOWN
        decided.extend(_answer_with_error(board, change, code, message))
    return decided


@decide.register(events.ObjectRead)
def _resolve_write_outcome(
    event: events.ObjectRead, board: Board, now: float, random: Random
) -> Actions:
    """Determine from the stored object whether a write succeeded.

    The value contains the change id, so an equal value means that this change was
    written. If the version is still the expected one, the write is repeated; at most
    one of the two writes can succeed.
    """
    change = board.changes_by_operation_id.get(event.operation_id)
    if change is None:
        return ()
    stored = event.stored
    if stored.value == change.value:
        return _complete_change(board, change, stored.version)
    if stored.version == change.expected_version:
        if now < change.deadline and change.rewrite_count < REWRITE_LIMIT:
            board.changes_by_operation_id[change.operation_id] = change._replace(
                rewrite_count=change.rewrite_count + 1
            )
            return (_write_action(change),)
        message = (
            f"{change.kind}/{change.name}: not written within its retry limits, "
            "apply it again"
        )
        return _answer_with_error(board, change, result_codes.CHANGE_UNKNOWN, message)
    message = (
        f"{change.kind}/{change.name}: found version {stored.version} of change "
        f"{stored.change_id!r}, expected version {change.expected_version}; "
        "get the object and apply the change again"
    )
    return _answer_with_error(board, change, result_codes.CHANGE_CONFLICT, message)


def _complete_change(board: Board, change: rows.ChangeRow, version: int) -> Actions:
    del board.changes_by_operation_id[change.operation_id]
    stored = events.StoredObject(
        change.kind,
        change.name,
        version,
        change.value,
        change.deleted,
        change.change_id,
    )
    return (
        actions.Emit(events.ChangeAccepted(stored)),
        actions.AnswerChange(change.operation_id, None, version=version),
    )


def _answer_with_error(
    board: Board, change: rows.ChangeRow, code: result_codes.ResultCode, message: str
) -> Actions:
    del board.changes_by_operation_id[change.operation_id]
    return (
        actions.Count(code),
        actions.AnswerChange(change.operation_id, code, message),
    )
