"""Scheduling of the cells that this node owns: queue, ranks, grants."""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.core import actions, events, messages, result_codes, rows

decide = new_controller()


@decide.register(messages.AdmissionAsk)
def _queue(
    event: messages.AdmissionAsk, board: Board, now: float, random: Random
) -> Actions:
    granted = board.grants_by_request_id.get(event.request_id)
    if granted is not None and granted.attempt == event.attempt:
        return (_grant_message(board, granted),)
    if event.cell_id not in board.cells_by_id:
        refusal = messages.AdmissionRefusal(
            board.node_id,
            event.request_id,
            event.attempt,
            event.cell_id,
            result_codes.NO_UPSTREAM,
            1.0,
        )
        return (actions.Send(event.sender_id, refusal),)
    board.asks_by_request_id[event.request_id] = rows.AskRow(
        request_id=event.request_id,
        attempt=event.attempt,
        entry_id=event.sender_id,
        cell_id=event.cell_id,
        group=event.group,
        account=event.account,
        rank=event.rank,
        binding=event.binding,
        fingerprint=event.fingerprint,
        prompt_tokens=event.prompt_tokens,
        maximum_tokens=event.maximum_tokens,
        prefix_blocks=event.prefix_blocks,
        excluded_upstream_ids=event.excluded_upstream_ids,
        queued_at=now,
        deadline=event.deadline,
    )
    granted_now = _schedule(board, event.cell_id, now)
    if event.request_id not in board.asks_by_request_id:
        return granted_now
    queued = messages.AdmissionQueued(
        board.node_id, event.request_id, event.attempt, event.cell_id
    )
    return (*granted_now, actions.Send(event.sender_id, queued))


def _grant_message(board: Board, grant: rows.GrantRow) -> actions.Send:
    upstream = board.upstreams_by_id[grant.upstream_id]
    configuration = board.configuration
    rank = configuration.rank_classes_by_name[grant.rank] if configuration else None
    message = messages.AdmissionGrant(
        sender_id=board.node_id,
        request_id=grant.request_id,
        attempt=grant.attempt,
        cell_id=grant.cell_id,
        upstream_id=grant.upstream_id,
        address=upstream.address,
        priority=rank.priority if rank else 0,
        deadline=grant.deadline,
    )
    return actions.Send(grant.entry_id, message)


def _priority(board: Board, ask: rows.AskRow) -> int:
    configuration = board.configuration
    assert configuration is not None
    return configuration.rank_classes_by_name[ask.rank].priority


def _choose_upstream(
    board: Board, cell: rows.CellRow, ask: rows.AskRow, now: float
) -> str:
    counts = dict.fromkeys(cell.upstream_ids, 0)
    for grant in board.grants_by_request_id.values():
        if grant.upstream_id in counts:
            counts[grant.upstream_id] += 1
    free = []
    for upstream_id, count in counts.items():
        upstream = board.upstreams_by_id.get(upstream_id)
        if (
            upstream is not None
            and upstream.takes_work(now)
            and upstream_id not in ask.excluded_upstream_ids
            and count < upstream.running_limit
        ):
            free.append((count, upstream_id))
    return min(free)[1] if free else ""


def _schedule(board: Board, cell_id: str, now: float) -> Actions:
    cell = board.cells_by_id.get(cell_id)
    if cell is None:
        return ()
    waiting = sorted(
        (ask for ask in board.asks_by_request_id.values() if ask.cell_id == cell_id),
        key=lambda ask: (_priority(board, ask), ask.queued_at),
    )
    decided: list[actions.Action] = []
    lifetime = board.settings.scheduling.grant_lifetime_seconds
    for ask in waiting:
        upstream_id = _choose_upstream(board, cell, ask, now)
        if not upstream_id:
            continue
        del board.asks_by_request_id[ask.request_id]
        grant = rows.GrantRow(
            request_id=ask.request_id,
            attempt=ask.attempt,
            entry_id=ask.entry_id,
            cell_id=cell_id,
            group=ask.group,
            account=ask.account,
            rank=ask.rank,
            binding=ask.binding,
            fingerprint=ask.fingerprint,
            upstream_id=upstream_id,
            prompt_tokens=ask.prompt_tokens,
            maximum_tokens=ask.maximum_tokens,
            token_count=0,
            granted_at=now,
            deadline=now + lifetime,
        )
        board.grants_by_request_id[ask.request_id] = grant
        decided.append(_grant_message(board, grant))
    return decided


@decide.register(messages.Finished)
def _release(
    event: messages.Finished, board: Board, now: float, random: Random
) -> Actions:
    granted = board.grants_by_request_id.get(event.request_id)
    if granted is None or granted.attempt != event.attempt:
        return ()
    del board.grants_by_request_id[event.request_id]
    return _schedule(board, event.cell_id, now)


@decide.register(messages.AskWithdrawn)
def _withdraw(
    event: messages.AskWithdrawn, board: Board, now: float, random: Random
) -> Actions:
    board.asks_by_request_id.pop(event.request_id, None)
    return ()


@decide.register(messages.Progress)
def _renew(
    event: messages.Progress, board: Board, now: float, random: Random
) -> Actions:
    unknown = tuple(
        request_id
        for request_id in event.waiting_request_ids
        if request_id not in board.asks_by_request_id
        and request_id not in board.grants_by_request_id
    )
    ack = messages.ProgressAck(board.node_id, event.cell_id, unknown)
    return (actions.Send(event.sender_id, ack),)


@decide.register(events.UpstreamsChanged)
def _schedule_all(
    event: events.UpstreamsChanged, board: Board, now: float, random: Random
) -> Actions:
    decided: list[actions.Action] = []
    for cell_id in board.cells_by_id:
        decided.extend(_schedule(board, cell_id, now))
    return decided
