"""Scheduling of the cells that this node is asked about: events and answers."""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers import (
    _affinity,
    _fairness,
    _memory,
    _prefill,
    _queue,
    _rebuild,
    _suspects,
)
from carawayhitch.controllers._call_logs import build_ask_log
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._queue import SCHEDULING_TIMER
from carawayhitch.controllers._ranks import rank_class, waiting_ranks
from carawayhitch.controllers._upstream_choice import choose_upstream, is_usable
from carawayhitch.core import actions, events, messages, result_codes, rows

SWEEP_SECONDS = 0.5
PREFILL_TIMER = "prefill"
# Asks that constraints of their own hold back are passed; the bound keeps one call
# short when many of them wait.
SKIP_LIMIT = 16

decide = new_controller()


@decide.register(events.ProcessStarted)
def _start(
    event: events.ProcessStarted, board: Board, now: float, random: Random
) -> Actions:
    return (actions.SetTimer(now + SWEEP_SECONDS, events.TimerFired(SCHEDULING_TIMER)),)


@decide.register(events.TimerFired)
def _sweep(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name == PREFILL_TIMER:
        board.prefill_checks_by_cell_id.pop(event.subject, None)
        return _schedule(board, event.subject, now)
    if event.name != SCHEDULING_TIMER:
        return ()
    decided = _queue.expire_asks(board, now)
    _rebuild.lapse_grants(board, now)
    _rebuild.forget_ends(board, now)
    _fairness.forget_idle_accounts(board)
    _forget_idle_cells(board, now)
    decided.extend(_schedule_all(board, now))
    next_sweep = events.TimerFired(SCHEDULING_TIMER)
    return (*decided, actions.SetTimer(now + SWEEP_SECONDS, next_sweep))


def _ask_row(event: messages.AdmissionAsk, now: float) -> rows.AskRow:
    return rows.AskRow(
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
        renewed_at=now,
        goal_deadline=event.goal_deadline,
    )


@decide.register(messages.AdmissionAsk)
def _take_ask(
    event: messages.AdmissionAsk, board: Board, now: float, random: Random
) -> Actions:
    granted = board.grants_by_request_id.get(event.request_id)
    if granted is not None:
        if granted.attempt == event.attempt:
            return _grant_messages(board, granted)
        if granted.attempt > event.attempt:
            return ()
    ask = _ask_row(event, now)
    waiting = board.asks_by_request_id.get(event.request_id)
    if waiting is not None:
        if waiting.attempt > event.attempt:
            return ()
        if waiting.cell_id == ask.cell_id:
            # A repeated ask keeps its place in the queue.
            kept = ask._replace(queued_at=waiting.queued_at)
            board.asks_by_request_id[event.request_id] = kept
            return (_queued(board, ask),)
        _queue.remove_ask(board, event.request_id)
    if event.cell_id not in board.cells_by_id:
        return _queue.refuse_ask(board, ask, result_codes.NO_UPSTREAM, 1.0, now)
    if _suspects.is_convicted(board, event.fingerprint, now):
        return _queue.refuse_ask(board, ask, result_codes.SUSPECT_REFUSED, 0.0, now)
    refused = _queue.find_refusal(board, ask, now)
    if refused is not None:
        return _queue.refuse_ask(board, ask, *refused, now)
    decided = _queue.displace_ask(board, ask, now)
    decided.extend(_begin_settling(board, event.cell_id, now))
    _queue.add_ask(board, ask)
    # Without room for its rank or an earlier one, it waits for the next finish,
    # report or sweep.
    blocked = board.blocked_rank_by_cell_id.get(event.cell_id)
    if (
        blocked is None
        or rank_class(board, blocked).priority > rank_class(board, event.rank).priority
    ):
        decided.extend(_schedule(board, event.cell_id, now))
    if event.request_id not in board.asks_by_request_id:
        return decided
    return (*decided, _queued(board, ask))


def _queued(board: Board, ask: rows.AskRow) -> actions.Send:
    queued = messages.AdmissionQueued(
        board.node_id,
        ask.request_id,
        ask.attempt,
        ask.cell_id,
        _queue.load_percent(board, ask.cell_id),
    )
    return actions.Send(ask.entry_id, queued)


def _begin_settling(board: Board, cell_id: str, now: float) -> list[actions.Action]:
    """Start the settle time when the cell is first heard of or after a pause.

    The loads are polled at once, because nothing is granted before them.
    """
    if cell_id in board.settle_deadlines_by_cell_id:
        return []
    settle_seconds = board.settings.scheduling.settle_seconds
    board.settle_deadlines_by_cell_id[cell_id] = now + settle_seconds
    cell = board.cells_by_id.get(cell_id)
    return [
        actions.PollLoad(upstream_id, board.upstreams_by_id[upstream_id].address)
        for upstream_id in (cell.upstream_ids if cell else ())
        if upstream_id in board.upstreams_by_id
        and board.upstreams_by_id[upstream_id].kind == "engine"
    ]


def _forget_idle_cells(board: Board, now: float) -> None:
    """Forget the settle time of cells without work here.

    If the cell comes back to this node, other entries may run requests there that
    it does not know.
    """
    active = {cell_id for cell_id, _ in board.queues_by_rank}
    active.update(grant.cell_id for grant in board.grants_by_request_id.values())
    for cell_id, deadline in list(board.settle_deadlines_by_cell_id.items()):
        owners = board.schedulers_by_cell_id.get(cell_id) or ("",)
        if owners[0] != board.node_id and cell_id not in active and now >= deadline:
            del board.settle_deadlines_by_cell_id[cell_id]


def _grant_messages(board: Board, grant: rows.GrantRow) -> list[actions.Action]:
    upstream = board.upstreams_by_id.get(grant.upstream_id)
    if upstream is None:
        return []
    message = messages.AdmissionGrant(
        sender_id=board.node_id,
        request_id=grant.request_id,
        attempt=grant.attempt,
        cell_id=grant.cell_id,
        upstream_id=grant.upstream_id,
        address=upstream.address,
        priority=rank_class(board, grant.rank).priority,
        deadline=grant.deadline,
        takes_short_progress=True,
        load_percent=_queue.load_percent(board, grant.cell_id),
    )
    return [actions.Send(grant.entry_id, message)]


def _schedule_all(board: Board, now: float) -> list[actions.Action]:
    decided: list[actions.Action] = []
    for cell_id in dict.fromkeys(cell_id for cell_id, _ in board.queues_by_rank):
        decided.extend(_schedule(board, cell_id, now))
    return decided


def _schedule(board: Board, cell_id: str, now: float) -> list[actions.Action]:
    """Grant waiting asks of a cell until it has no room.

    An ask that the cell has no room for holds back those behind it, of its rank and
    of later ones: if smaller ones passed it, it would never run.
    """
    decided: list[actions.Action] = []
    cell = board.cells_by_id.get(cell_id)
    if cell is None:
        return decided
    board.blocked_rank_by_cell_id.pop(cell_id, None)
    skipped: set[str] = set()
    while len(skipped) < SKIP_LIMIT:
        ask = _next_ask(board, cell_id, skipped, now)
        if ask is None:
            break
        if _suspects.is_convicted(board, ask.fingerprint, now):
            _queue.remove_ask(board, ask.request_id)
            code = result_codes.SUSPECT_REFUSED
            decided.extend(_queue.refuse_ask(board, ask, code, 0.0, now))
            continue
        choice = choose_upstream(board, cell, ask, now)
        if choice.upstream_id:
            decided.extend(_grant(board, ask, choice.upstream_id, now))
        elif choice.blocked == "ask":
            skipped.add(ask.request_id)
        else:
            board.blocked_rank_by_cell_id[cell_id] = ask.rank
            decided.extend(_check_prefill(board, cell, now))
            break
    return decided


def _check_prefill(board: Board, cell: rows.CellRow, now: float) -> Actions:
    """Look again when an engine has read enough of its prompts, if they are the limit.

    Finishes, first tokens and reports lead to another look as well.
    """
    usable = [
        upstream_id
        for upstream_id in cell.upstream_ids
        if upstream_id in board.upstreams_by_id
        and is_usable(board, board.upstreams_by_id[upstream_id], now)
    ]
    room_at = _prefill.room_at(board, usable, now)
    known = board.prefill_checks_by_cell_id.get(cell.cell_id, 0.0)
    if room_at <= now or now < known <= room_at:
        return ()
    board.prefill_checks_by_cell_id[cell.cell_id] = room_at
    timer = events.TimerFired(PREFILL_TIMER, cell.cell_id)
    return (actions.SetTimer(room_at, timer),)


def _next_ask(
    board: Board, cell_id: str, skipped: set[str], now: float
) -> rows.AskRow | None:
    """Return the ask that is served next.

    In an overload every ask would wait beyond its goal if they were served in order of
    arrival. So those that can still be served in time go first.
    """
    late: rows.AskRow | None = None
    for rank in waiting_ranks(board, cell_id, now):
        passed: set[str] = set()
        while True:
            account = _fairness.first_account(board, cell_id, rank, passed)
            if account is None:
                break
            for request_id in _queue.account_queue(board, cell_id, rank, account):
                if request_id in skipped:
                    continue
                ask = board.asks_by_request_id[request_id]
                if not _is_late(board, ask, now):
                    return ask
                late = late or ask
            passed.add(account)
    return late


def _is_late(board: Board, ask: rows.AskRow, now: float) -> bool:
    """Return whether the first token cannot come by the goal any more."""
    if not ask.goal_deadline:
        return False
    return now + _prefill.read_seconds(board, ask.prompt_tokens) > ask.goal_deadline


def _grant(
    board: Board, ask: rows.AskRow, upstream_id: str, now: float
) -> list[actions.Action]:
    lifetime = board.settings.scheduling.grant_lifetime_seconds
    grant = rows.GrantRow(
        request_id=ask.request_id,
        attempt=ask.attempt,
        entry_id=ask.entry_id,
        cell_id=ask.cell_id,
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
        renewed_at=now,
        memory=_memory.predict(
            board, ask.binding, ask.prompt_tokens, 0, ask.maximum_tokens
        ),
    )
    logged = build_ask_log(board, ask, upstream_id, None, now)
    previous = board.grants_by_request_id.get(ask.request_id)
    if previous is not None:
        if not previous.token_count:
            _rebuild.give_back(board, previous, now)
        _rebuild.remove_grant(board, previous, now)
    _rebuild.add_grant(board, grant)
    _queue.remove_ask(board, ask.request_id)
    _fairness.charge(board, grant, grant.prompt_tokens, now, grants=1)
    _affinity.note_blocks(board, upstream_id, ask.prefix_blocks)
    return [logged, *_grant_messages(board, grant)]


@decide.register(messages.Finished)
def _release(
    event: messages.Finished, board: Board, now: float, random: Random
) -> Actions:
    _rebuild.note_end(board, event, now)
    grant = board.grants_by_request_id.get(event.request_id)
    if grant is None or grant.attempt != event.attempt:
        return ()
    _rebuild.finish_grant(board, grant, event, now)
    if event.upstream_failed:
        _affinity.forget_cache(board, grant.upstream_id)
    return _schedule(board, grant.cell_id, now)


@decide.register(messages.AskWithdrawn)
def _withdraw(
    event: messages.AskWithdrawn, board: Board, now: float, random: Random
) -> Actions:
    ask = board.asks_by_request_id.get(event.request_id)
    if ask is not None and ask.attempt <= event.attempt:
        _queue.remove_ask(board, event.request_id)
        return _schedule(board, ask.cell_id, now)
    return ()


@decide.register(messages.Progress)
def _take_progress(
    event: messages.Progress, board: Board, now: float, random: Random
) -> Actions:
    """Renew and rebuild rows; also for a cell that this node does not own.

    Entries may disagree for a while about who schedules a cell. Rows of a cell that
    moved on lapse, and the answer names only asks that are not queued here.
    """
    decided = _begin_settling(board, event.cell_id, now)
    known_running = [
        running.request_id
        for running in event.running
        if _rebuild.take_running(board, event, running, now)
    ]
    unknown_running = [
        running.request_id
        for running in event.counts
        if not _rebuild.take_count(board, event, running, now)
    ]
    unknown: list[str] = []
    for request_id in event.waiting_request_ids:
        ask = board.asks_by_request_id.get(request_id)
        if ask is not None:
            board.asks_by_request_id[request_id] = ask._replace(renewed_at=now)
        else:
            # Also covers a grant whose message was lost: the repeated ask gets it.
            unknown.append(request_id)
    ack = messages.ProgressAck(
        board.node_id,
        event.cell_id,
        tuple(unknown),
        tuple(known_running),
        tuple(unknown_running),
        _queue.load_percent(board, event.cell_id),
    )
    if event.counts and event.cell_id in board.blocked_rank_by_cell_id:
        # A first token tells that an engine can read the next prompt.
        decided.extend(_schedule(board, event.cell_id, now))
    return (*decided, actions.Send(event.sender_id, ack))


@decide.register(events.LoadReported)
def _take_load(
    event: events.LoadReported, board: Board, now: float, random: Random
) -> Actions:
    upstream = board.upstreams_by_id.get(event.upstream_id)
    if upstream is None or upstream.reported_at != event.reported_at:
        return ()
    _memory.take_report(board, upstream, now)
    decided: list[actions.Action] = []
    for cell in board.cells_by_id.values():
        if event.upstream_id in cell.upstream_ids:
            decided.extend(_schedule(board, cell.cell_id, now))
    return decided


@decide.register(events.CacheChanged)
def _take_cache_event(
    event: events.CacheChanged, board: Board, now: float, random: Random
) -> Actions:
    return _affinity.take_cache_event(event, board)


@decide.register(events.UpstreamsChanged)
def _follow_upstreams(
    event: events.UpstreamsChanged, board: Board, now: float, random: Random
) -> Actions:
    for upstream_id in list(board.ledgers_by_upstream_id):
        if upstream_id not in board.upstreams_by_id:
            del board.ledgers_by_upstream_id[upstream_id]
            _affinity.forget_cache(board, upstream_id)
    # The entries place asks of a cell that is gone in another one.
    for ask in list(board.asks_by_request_id.values()):
        if ask.cell_id not in board.cells_by_id:
            _queue.remove_ask(board, ask.request_id)
    return _schedule_all(board, now)
