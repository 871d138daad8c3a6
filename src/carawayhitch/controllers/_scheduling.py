"""Admission scheduling: event handlers for the cells that this node schedules."""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers import (
    _affinity,
    _backoffs,
    _fairness,
    _memory,
    _prefill,
    _queue,
    _rebuild,
    cold_start,
    overload,
    service_shares,
)
from carawayhitch.controllers._call_logs import build_ask_log
from carawayhitch.controllers._cells import SCHEDULING_TIMER
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._crash_records import is_cause_of_crashes
from carawayhitch.controllers._prompt_evidence import SUSPECT_BLOCK_LIMIT
from carawayhitch.controllers._ranks import rank_class, waiting_ranks
from carawayhitch.controllers._upstream_choice import choose_upstream, is_usable
from carawayhitch.core import actions, events, messages, result_codes, rows

SWEEP_INTERVAL_SECONDS = 0.5
PREFILL_TIMER = "prefill"
# Asks that are blocked by their own constraints are skipped. The limit bounds the run
# time of one pass when many of them wait.
SKIPPED_ASK_LIMIT = 16

decide = new_controller()


@decide.register(events.ProcessStarted)
def _set_first_sweep_timer(
    event: events.ProcessStarted, board: Board, now: float, random: Random
) -> Actions:
    return (
        actions.SetTimer(
            now + SWEEP_INTERVAL_SECONDS, events.TimerFired(SCHEDULING_TIMER)
        ),
    )


@decide.register(events.TimerFired)
def _expire_and_schedule(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name == PREFILL_TIMER:
        board.prefill_check_times_by_cell_id.pop(event.subject, None)
        return _grant_waiting_asks(board, event.subject, now)
    if event.name != SCHEDULING_TIMER:
        return ()
    decided = _queue.expire_asks(board, now)
    _rebuild.expire_grants(board, now)
    _rebuild.delete_expired_ends(board, now)
    _fairness.delete_idle_usage_rows(board)
    _delete_idle_settle_deadlines(board, now)
    decided.extend(_grant_waiting_asks_of_all_cells(board, now))
    # After the grants, since an ask near its deadline may be one of them. A refused ask
    # may have blocked others.
    refused = _queue.refuse_unservable_asks(board, now)
    if refused:
        decided.extend(refused)
        decided.extend(_grant_waiting_asks_of_all_cells(board, now))
    next_sweep = events.TimerFired(SCHEDULING_TIMER)
    return (*decided, actions.SetTimer(now + SWEEP_INTERVAL_SECONDS, next_sweep))


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
def _grant_queue_or_refuse_ask(
    event: messages.AdmissionAsk, board: Board, now: float, random: Random
) -> Actions:
    granted = board.grants_by_request_id.get(event.request_id)
    if granted is not None:
        if granted.attempt == event.attempt:
            return _grant_messages(board, granted)
        if granted.attempt > event.attempt:
            return ()
    ask = _ask_row(event, now)
    if overload.applies(board, event.cell_id):
        ask = overload.prepare_ask(board, ask, now)
    waiting = board.asks_by_request_id.get(event.request_id)
    if waiting is not None:
        if waiting.attempt > event.attempt:
            return ()
        if waiting.cell_id == ask.cell_id:
            # A repeated ask keeps its position in the queue.
            repeated_ask = ask._replace(queued_at=waiting.queued_at)
            board.asks_by_request_id[event.request_id] = repeated_ask
            return (_queued_message(board, ask),)
        _queue.remove_ask(board, event.request_id)
    if event.cell_id not in board.cells_by_id:
        return _queue.refuse_ask(board, ask, result_codes.NO_UPSTREAM, 1.0, now)
    if is_cause_of_crashes(board, event.fingerprint, event.prefix_blocks, now):
        return _queue.refuse_ask(board, ask, result_codes.SUSPECT_REFUSED, 0.0, now)
    refused = _queue.find_refusal(board, ask, now)
    if refused is not None:
        return _queue.refuse_ask(board, ask, *refused, now)
    decided = _queue.displace_ask(board, ask, now)
    decided.extend(_start_settling(board, event.cell_id, now))
    service_shares.spend_credit(board, ask, now)
    _queue.add_ask(board, ask)
    # If an ask of this rank or of one served earlier is already blocked, the new ask
    # waits for the next finished request, load report or sweep.
    blocked = board.blocked_rank_by_cell_id.get(event.cell_id)
    if (
        blocked is None
        or rank_class(board, blocked).priority > rank_class(board, event.rank).priority
    ):
        decided.extend(_grant_waiting_asks(board, event.cell_id, now))
    if event.request_id not in board.asks_by_request_id:
        return decided
    return (*decided, _queued_message(board, ask))


def _queued_message(board: Board, ask: rows.AskRow) -> actions.Send:
    queued = messages.AdmissionQueued(
        board.node_id,
        ask.request_id,
        ask.attempt,
        ask.cell_id,
        _queue.load_percent(board, ask.cell_id),
    )
    return actions.Send(ask.entry_id, queued)


def _start_settling(board: Board, cell_id: str, now: float) -> list[actions.Action]:
    """Start the settle time of a cell that is new here or was idle.

    The loads of its engines are polled immediately, because an engine receives no
    grant during the settle time before its first load report.
    """
    if cell_id in board.settle_deadlines_by_cell_id:
        return []
    settle_seconds = board.settings.scheduling.settle_seconds
    board.settle_deadlines_by_cell_id[cell_id] = now + settle_seconds
    cell = board.cells_by_id.get(cell_id)
    upstreams = [
        board.upstreams_by_id[upstream_id]
        for upstream_id in (cell.upstream_ids if cell else ())
        if upstream_id in board.upstreams_by_id
    ]
    engines = (row for row in upstreams if row.kind == "engine")
    return list(_backoffs.load_polls(board, engines, now))


def _delete_idle_settle_deadlines(board: Board, now: float) -> None:
    """Delete the settle deadlines of cells without work on this node.

    If this node schedules such a cell again, entries may be running requests that it
    does not know of, so the cell has to settle again.
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


def _grant_waiting_asks_of_all_cells(board: Board, now: float) -> list[actions.Action]:
    decided: list[actions.Action] = []
    for cell_id in dict.fromkeys(cell_id for cell_id, _ in board.queues_by_rank):
        decided.extend(_grant_waiting_asks(board, cell_id, now))
    return decided


def _grant_waiting_asks(board: Board, cell_id: str, now: float) -> list[actions.Action]:
    """Grant waiting asks of a cell until its capacity is exhausted.

    An ask that does not fit blocks the asks behind it, in its own rank and in ranks
    served later. If smaller asks could overtake it, it might never run.
    """
    decided: list[actions.Action] = []
    cell = board.cells_by_id.get(cell_id)
    if cell is None:
        return decided
    board.blocked_rank_by_cell_id.pop(cell_id, None)
    skipped_request_ids: set[str] = set()
    while len(skipped_request_ids) < SKIPPED_ASK_LIMIT:
        ask = _next_ask(board, cell_id, skipped_request_ids, now)
        if ask is None:
            break
        if is_cause_of_crashes(board, ask.fingerprint, ask.prefix_blocks, now):
            _queue.remove_ask(board, ask.request_id)
            code = result_codes.SUSPECT_REFUSED
            decided.extend(_queue.refuse_ask(board, ask, code, 0.0, now))
            continue
        choice = choose_upstream(board, cell, ask, now)
        if choice.upstream_id:
            decided.extend(_grant_ask(board, ask, choice.upstream_id, now))
        elif choice.blocked == "ask":
            skipped_request_ids.add(ask.request_id)
        else:
            board.blocked_rank_by_cell_id[cell_id] = ask.rank
            decided.extend(_set_prefill_timer(board, cell, now))
            break
    return decided


def _set_prefill_timer(board: Board, cell: rows.CellRow, now: float) -> Actions:
    """Set a timer for the next prefill capacity, if prefill is what blocks the cell.

    Finished requests, first tokens and load reports also trigger scheduling.
    """
    usable = [
        upstream_id
        for upstream_id in cell.upstream_ids
        if upstream_id in board.upstreams_by_id
        and is_usable(board, board.upstreams_by_id[upstream_id], now)
    ]
    room_at = _prefill.next_room_at(board, usable, now)
    earlier_check_at = board.prefill_check_times_by_cell_id.get(cell.cell_id, 0.0)
    if room_at <= now or now < earlier_check_at <= room_at:
        return ()
    board.prefill_check_times_by_cell_id[cell.cell_id] = room_at
    timer = events.TimerFired(PREFILL_TIMER, cell.cell_id)
    return (actions.SetTimer(room_at, timer),)


def _next_ask(
    board: Board, cell_id: str, skipped_request_ids: set[str], now: float
) -> rows.AskRow | None:
    """Return the ask to serve next.

    Under overload, serving in order of arrival would make every ask miss its goal.
    Asks that can still meet their goal are therefore served first. If late asks of a
    rank include one that came back to its place, late asks are served before the ranks
    after it, because its client may not come back again. Among late asks the order of
    ranks and accounts holds, or clients that repeat at once would starve the others.
    """
    keeps_places = overload.applies(board, cell_id)
    first_late_ask: rows.AskRow | None = None
    for rank in waiting_ranks(board, cell_id, now):
        has_returned_ask = False
        exhausted_accounts: set[str] = set()
        while True:
            account = _fairness.next_account(board, cell_id, rank, exhausted_accounts)
            if account is None:
                break
            late_ask: rows.AskRow | None = None
            for request_id in _queue.account_queue(board, cell_id, rank, account):
                if request_id in skipped_request_ids:
                    continue
                ask = board.asks_by_request_id[request_id]
                if not _prefill.misses_first_token_goal(board, ask, now):
                    return ask
                if late_ask is None:
                    late_ask = ask
                elif keeps_places:
                    # An ask that came back is queued last, but keeps its place.
                    late_ask = min(
                        late_ask, ask, key=lambda row: (row.queued_at, not row.returned)
                    )
                has_returned_ask = has_returned_ask or (keeps_places and ask.returned)
            if first_late_ask is None:
                first_late_ask = late_ask
            exhausted_accounts.add(account)
        if has_returned_ask:
            break
    return first_late_ask


def _grant_ask(
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
        memory=_memory.predict_memory(
            board, ask.binding, ask.prompt_tokens, 0, ask.maximum_tokens
        ),
        prefix_blocks=ask.prefix_blocks[:SUSPECT_BLOCK_LIMIT],
    )
    logged = build_ask_log(board, ask, upstream_id, None, now)
    previous = board.grants_by_request_id.get(ask.request_id)
    if previous is not None:
        if not previous.token_count:
            _rebuild.refund_grant(board, previous, now)
        _rebuild.remove_grant(board, previous, now)
    _rebuild.add_grant(board, grant)
    _queue.remove_ask(board, ask.request_id)
    overload.forget_place(board, ask)
    charged = service_shares.charged_size(board, ask)
    _fairness.charge_tokens(board, grant, charged, now, grants=1)
    _affinity.record_cached_blocks(board, upstream_id, ask.prefix_blocks)
    cold_start.record_grant(board, upstream_id, now)
    return [logged, *_grant_messages(board, grant)]


@decide.register(messages.Finished)
def _finish_granted_request(
    event: messages.Finished, board: Board, now: float, random: Random
) -> Actions:
    _rebuild.record_request_end(board, event, now)
    grant = board.grants_by_request_id.get(event.request_id)
    if grant is None or grant.attempt != event.attempt:
        return ()
    _rebuild.finish_grant(board, grant, event, now)
    if event.upstream_failed:
        _affinity.delete_cache_estimate(board, grant.upstream_id)
    return _grant_waiting_asks(board, grant.cell_id, now)


@decide.register(messages.AskWithdrawn)
def _remove_withdrawn_ask(
    event: messages.AskWithdrawn, board: Board, now: float, random: Random
) -> Actions:
    ask = board.asks_by_request_id.get(event.request_id)
    if ask is not None and ask.attempt <= event.attempt:
        _queue.remove_ask(board, event.request_id)
        return _grant_waiting_asks(board, ask.cell_id, now)
    return ()


@decide.register(messages.Progress)
def _apply_progress(
    event: messages.Progress, board: Board, now: float, random: Random
) -> Actions:
    """Renew and rebuild asks and grants, also for a cell that this node does not own.

    Entries may temporarily disagree on which node schedules a cell. Rows of a cell
    that another node took over expire, and the acknowledgement lists only asks that
    are not queued here.
    """
    decided = _start_settling(board, event.cell_id, now)
    known_running = [
        running.request_id
        for running in event.running
        if _rebuild.apply_running_request(board, event, running, now)
    ]
    unknown_running = [
        running.request_id
        for running in event.counts
        if not _rebuild.apply_running_count(board, event, running, now)
    ]
    unknown: list[str] = []
    for request_id in event.waiting_request_ids:
        ask = board.asks_by_request_id.get(request_id)
        if ask is not None:
            board.asks_by_request_id[request_id] = ask._replace(renewed_at=now)
        else:
            # Also covers a lost grant message: the repeated ask is answered with it.
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
        # After a first token the engine can start to prefill the next prompt.
        decided.extend(_grant_waiting_asks(board, event.cell_id, now))
    return (*decided, actions.Send(event.sender_id, ack))


@decide.register(events.LoadReported)
def _apply_load_report(
    event: events.LoadReported, board: Board, now: float, random: Random
) -> Actions:
    upstream = board.upstreams_by_id.get(event.upstream_id)
    if upstream is None or upstream.reported_at != event.reported_at:
        return ()
    _memory.apply_load_report(board, upstream, now)
    return _grant_waiting_asks_of_upstream(board, event.upstream_id, now)


@decide.register(events.ListeningChecked)
def _grant_after_check(
    event: events.ListeningChecked, board: Board, now: float, random: Random
) -> Actions:
    """Grant or refuse the asks that waited for the check of a server."""
    return _grant_waiting_asks_of_upstream(board, event.upstream_id, now)


def _grant_waiting_asks_of_upstream(
    board: Board, upstream_id: str, now: float
) -> list[actions.Action]:
    decided: list[actions.Action] = []
    for cell in board.cells_by_id.values():
        if upstream_id in cell.upstream_ids:
            decided.extend(_grant_waiting_asks(board, cell.cell_id, now))
    return decided


@decide.register(events.ZoneDrainsChanged)
def _grant_after_zone_drains(
    event: events.ZoneDrainsChanged, board: Board, now: float, random: Random
) -> Actions:
    """Grant the asks for which upstreams of a zone that was taken back have room."""
    return _grant_waiting_asks_of_all_cells(board, now) if event.ended else ()


@decide.register(events.CacheChanged)
def _apply_cache_event(
    event: events.CacheChanged, board: Board, now: float, random: Random
) -> Actions:
    return _affinity.apply_cache_event(event, board)


@decide.register(events.UpstreamsChanged)
def _remove_state_of_lost_upstreams(
    event: events.UpstreamsChanged, board: Board, now: float, random: Random
) -> Actions:
    for upstream_id in list(board.load_reconciliations_by_upstream_id):
        if upstream_id not in board.upstreams_by_id:
            del board.load_reconciliations_by_upstream_id[upstream_id]
            _affinity.delete_cache_estimate(board, upstream_id)
    # Entries place the asks of a removed cell in another cell.
    for ask in list(board.asks_by_request_id.values()):
        if ask.cell_id not in board.cells_by_id:
            _queue.remove_ask(board, ask.request_id)
    return _grant_waiting_asks_of_all_cells(board, now)
