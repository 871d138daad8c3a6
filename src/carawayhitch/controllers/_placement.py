"""Placement at the entry: requests an upstream from the scheduler of a cell."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers import duties, overload, zones
from carawayhitch.controllers._backoffs import (
    backoff_notice,
    is_backing_off,
    next_available_at,
)
from carawayhitch.controllers._call_logs import (
    build_grant_log,
    build_retry_log,
    build_stage_observation,
)
from carawayhitch.controllers._cells import entry_scheduled_groups
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._drain_waits import (
    DRAIN_RETRY_AFTER_SECONDS,
    WAITING_PHASES,
    wait_deadline,
)
from carawayhitch.controllers._targets import admission_size, is_streamed
from carawayhitch.controllers._upstreams import is_known_to_leave, leaving_notices
from carawayhitch.core import actions, events, messages, result_codes, rows

ASK_LIMIT = 6
# Entries fail over from a scheduler after this many unanswered messages over at least
# MINIMUM_SILENCE_SECONDS: a lost datagram or a short stall must not move a cell, but
# the failover must not wait until membership declares a dead scheduler dead.
UNANSWERED_MESSAGE_LIMIT = 3
MINIMUM_SILENCE_SECONDS = 0.4
SCHEDULER_CHECK_INTERVAL_SECONDS = 0.2
# Membership takes about 6 s to declare a scheduler dead. A scheduler that is still a
# member after this time is used again.
SCHEDULER_COOLDOWN_SECONDS = 10.0
# Each answer of a scheduler carries the load of its cell, usually once a second while
# the entry uses the cell. Older values are dropped, because requests end within
# seconds.
CELL_LOAD_LIFETIME_SECONDS = 3.0
PROGRESS_TIMER = "progress"
# Timer subject of every second round of progress messages. It skips messages that would
# contain nothing but token counts, because the scheduler has all rows and no ask waits:
# the counts only refine the memory prediction, which load reports correct as well.
ROUND_WITHOUT_COUNTS = "without counts"
SCHEDULER_CHECK_TIMER = "scheduler_check"
WAITING_CHECK_TIMER = "waiting_check"
# Without this check, only the answer to the next progress message, up to a second
# later, shows a waiting request that its scheduler is alive. With it, failover from a
# dead scheduler takes at most 0.9 s instead of 1.6 s.
WAITING_CHECK_INTERVAL_SECONDS = 0.3
GRANTED_PHASES = frozenset({"claiming", "opening", "relaying"})
# For these codes, the scheduler decides by the engine's load reports whether the engine
# or only a link failed.
UPSTREAM_FAILURE_CODES = (result_codes.UPSTREAM_FAILED, result_codes.STREAM_LOST)

# A call whose pair of cells holds more than this times the mean load is better served
# elsewhere, without its place.
PAIR_LOAD_MAXIMUM = 1.5

decide = new_controller()


def choose_cell(
    board: Board,
    group: str,
    now: float,
    random: Random,
    allowed_regions: Sequence[str] = (),
    call_key: str = "",
) -> rows.CellRow | None:
    """Return a cell of the group, in this entry's region if there is one.

    Cells that only have upstreams in zones out of use are left out.

    The less loaded of two random cells is chosen. An unknown load is assumed to be the
    mean of the known loads, so that the cell is neither overloaded nor left unused.

    Where places of refused calls are kept, the two cells follow from the call's key, so
    that its next attempt finds its place. If both are far more loaded than the mean, as
    when many calls have the same key, two random cells are taken.
    """
    candidates = _candidate_cells(board, group, allowed_regions)
    if len(candidates) < 2:
        return candidates[0] if candidates else None
    loads_by_cell_id = {
        cell.cell_id: load.load_percent
        for cell in candidates
        if (load := board.loads_by_cell_id.get(cell.cell_id)) and now < load.deadline
    }
    mean_load = sum(loads_by_cell_id.values()) / max(1, len(loads_by_cell_id))

    def load_percent(cell: rows.CellRow) -> float:
        return loads_by_cell_id.get(cell.cell_id, mean_load)

    if call_key and overload.applies(board, candidates[0].cell_id):
        cell = min(overload.cell_pair(candidates, call_key), key=load_percent)
        if load_percent(cell) <= PAIR_LOAD_MAXIMUM * mean_load:
            return cell
    return min(random.sample(candidates, 2), key=load_percent)


def _allowed_cells(
    board: Board, group: str, allowed_regions: Sequence[str]
) -> list[rows.CellRow]:
    return [
        cell
        for cell in board.cells_by_id.values()
        if cell.group == group and zones.is_allowed_region(allowed_regions, cell.region)
    ]


def _candidate_cells(
    board: Board, group: str, allowed_regions: Sequence[str]
) -> list[rows.CellRow]:
    cells = [
        cell
        for cell in _allowed_cells(board, group, allowed_regions)
        if not zones.has_only_drained_upstreams(board, cell)
    ]
    region = board.settings.node.region
    return [cell for cell in cells if cell.region == region] or cells


def _store_cell_load(
    event: messages.AdmissionGrant | messages.AdmissionQueued | messages.ProgressAck,
    board: Board,
    now: float,
) -> None:
    """Store the load from an answer if its sender currently schedules the cell.

    A former scheduler may know only a part of the load.
    """
    scheduler_ids = board.schedulers_by_cell_id.get(event.cell_id, ())
    if event.cell_id in board.cells_by_id and event.sender_id in scheduler_ids[:1]:
        load = rows.CellLoadRow(event.load_percent, now + CELL_LOAD_LIFETIME_SECONDS)
        board.loads_by_cell_id[event.cell_id] = load


def _add_own_request_to_load(board: Board, cell: rows.CellRow) -> None:
    """Add a new request to a known load, in hundredths of a request per upstream.

    Otherwise all requests of a burst would be placed by the same outdated value.
    """
    load = board.loads_by_cell_id.get(cell.cell_id)
    if load is not None:
        share = 100 // max(1, len(cell.upstream_ids))
        board.loads_by_cell_id[cell.cell_id] = load._replace(
            load_percent=load.load_percent + share
        )


def choose_scheduler(board: Board, cell_id: str, ask_count: int, now: float) -> str:
    """Return the id of the scheduler to ask; repeated asks follow the failover order.

    Schedulers are entries. Those that left several messages unanswered are skipped
    during their cooldown. When no candidate is left, this node schedules the request.
    """
    candidates = [
        candidate
        for candidate in board.schedulers_by_cell_id.get(cell_id, ())
        if not _is_in_cooldown(board, candidate, now)
    ]
    if ask_count >= len(candidates):
        return board.node_id
    return candidates[ask_count]


def _is_in_cooldown(board: Board, scheduler_id: str, now: float) -> bool:
    contact = board.scheduler_contacts_by_id.get(scheduler_id)
    return contact is not None and now < contact.avoid_deadline


def _clear_unanswered(board: Board, scheduler_id: str) -> None:
    board.scheduler_contacts_by_id.pop(scheduler_id, None)


def _count_unanswered(board: Board, scheduler_id: str, now: float) -> Actions:
    """Count an unanswered message and, at the limit, fail over to other schedulers."""
    if scheduler_id == board.node_id:
        return ()
    contacts = board.scheduler_contacts_by_id
    contact = contacts.get(scheduler_id)
    if contact is None:
        contact = rows.SchedulerContactRow(scheduler_id, silent_since=now)
    contact = contact._replace(unanswered_count=contact.unanswered_count + 1)
    contacts[scheduler_id] = contact
    if (
        contact.unanswered_count < UNANSWERED_MESSAGE_LIMIT
        or now - contact.silent_since < MINIMUM_SILENCE_SECONDS
        or now < contact.avoid_deadline
    ):
        return ()
    contacts[scheduler_id] = contact._replace(
        avoid_deadline=now + SCHEDULER_COOLDOWN_SECONDS
    )
    fields = {"scheduler": scheduler_id, "unanswered": contact.unanswered_count}
    return (
        actions.Log("warning", "scheduler does not answer", fields),
        *_reassign_requests(board, now),
    )


def end_request(
    row: rows.RequestRow,
    code: result_codes.ResultCode,
    retry_after: float = 0.0,
    message: str = "",
) -> Actions:
    """Return the actions that end a request with an error answer.

    If an earlier attempt may have run at an upstream, the code never says that the
    request did not run.
    """
    if row.may_have_run and code.ran == "no":
        message = message or f"after an attempt that may have run: {code.meaning}"
        code = result_codes.UPSTREAM_FAILED
    return (
        actions.RefuseCall(row.request_id, code, message or code.meaning, retry_after),
        actions.Emit(events.RequestEnded(row.request_id, False, code)),
    )


def send_upstream_answer(
    board: Board, row: rows.RequestRow, answer: events.AnswerReceived
) -> Actions:
    """Return the actions that send a complete upstream answer to the caller."""
    board.requests_by_id[row.request_id] = row._replace(answer_status=answer.status)
    return (
        actions.SendAnswer(
            row.request_id,
            answer.status,
            answer.content_type,
            answer.body,
            answer.headers,
        ),
        actions.Emit(events.RequestEnded(row.request_id, True, None)),
    )


def _send_ask(board: Board, row: rows.RequestRow, now: float) -> Actions:
    size = admission_size(row.target)
    message = messages.AdmissionAsk(
        sender_id=board.node_id,
        request_id=row.request_id,
        attempt=row.attempt,
        cell_id=row.cell_id,
        group=row.group,
        account=row.account,
        rank=row.rank,
        binding=row.binding,
        fingerprint=row.fingerprint,
        prompt_tokens=size.prompt_tokens,
        maximum_tokens=size.maximum_tokens,
        prefix_blocks=size.prefix_blocks,
        excluded_upstream_ids=row.excluded_upstream_ids,
        deadline=row.deadline,
        goal_deadline=row.goal_deadline,
    )
    timeout = board.settings.scheduling.ask_timeout_seconds
    pending = row._replace(ask_deadline=now + timeout, queued=False)
    board.requests_by_id[row.request_id] = pending
    timed_out = events.AskTimedOut(row.request_id, row.attempt, row.ask_count)
    return (
        actions.Send(row.scheduler_id, message),
        actions.SetTimer(pending.ask_deadline, timed_out),
    )


def _request_in_phases(
    board: Board, request_id: str, attempt: int, phases: frozenset[str]
) -> rows.RequestRow | None:
    row = board.requests_by_id.get(request_id)
    if row is None or row.attempt != attempt or row.phase not in phases:
        return None
    return row


@decide.register(events.RequestAdmitted)
def _request_placement(
    event: events.RequestAdmitted, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None:
        return ()
    if wait_deadline(board, row) <= now < row.deadline:
        return _end_wait(board, row, now)
    available_at = next_available_at(board, row.group, now)
    if available_at >= (row.goal_deadline or row.deadline) and not row.may_have_run:
        # Every upstream has named a time that is too late for this call.
        retry_after = available_at - now
        return end_request(row, result_codes.UPSTREAM_REFUSED, retry_after)
    call_key = overload.call_key(row.account, row.fingerprint)
    cell = choose_cell(board, row.group, now, random, row.allowed_regions, call_key)
    if cell is None:
        return _refuse_unplaceable(board, row, now)
    _add_own_request_to_load(board, cell)
    scheduler_id = choose_scheduler(board, cell.cell_id, 0, now)
    row = row._replace(
        phase="asking", cell_id=cell.cell_id, scheduler_id=scheduler_id, ask_count=0
    )
    return _send_ask(board, row, now)


def _refuse_unplaceable(board: Board, row: rows.RequestRow, now: float) -> Actions:
    """End a request for which no cell of its group can be chosen."""
    if _allowed_cells(board, row.group, row.allowed_regions):
        retry_after = zones.retry_after_seconds(board, now)
        return end_request(row, result_codes.ZONE_DRAINED, retry_after)
    if _allowed_cells(board, row.group, ()):
        return end_request(row, result_codes.NO_ALLOWED_REGION, retry_after=1.0)
    return end_request(row, result_codes.NO_UPSTREAM, retry_after=1.0)


@decide.register(events.AskTimedOut)
def _retry_timed_out_ask(
    event: events.AskTimedOut, board: Board, now: float, random: Random
) -> Actions:
    row = _request_in_phases(board, event.request_id, event.attempt, WAITING_PHASES)
    if row is None or row.queued or row.ask_count != event.ask_count:
        return ()
    if now < row.ask_deadline:
        # The ask was repeated, or sent to another scheduler, with a later deadline.
        return ()
    failover_actions = _count_unanswered(board, row.scheduler_id, now)
    current = board.requests_by_id[row.request_id]
    if current.scheduler_id != row.scheduler_id:
        count = actions.Count(result_codes.RETRY_ASK, row.rank)
        return (count, build_retry_log(row, result_codes.RETRY_ASK), *failover_actions)
    return (*failover_actions, *_ask_next_scheduler(board, row, now))


def _ask_next_scheduler(board: Board, row: rows.RequestRow, now: float) -> Actions:
    """Ask the next candidate, or end the request once the ask limit is reached."""
    ask_count = row.ask_count + 1
    if ask_count >= ASK_LIMIT:
        return end_request(row, result_codes.SCHEDULER_UNAVAILABLE, retry_after=1.0)
    scheduler_id = choose_scheduler(board, row.cell_id, ask_count, now)
    reassigned = row._replace(scheduler_id=scheduler_id, ask_count=ask_count)
    return (
        actions.Count(result_codes.RETRY_ASK, row.rank),
        build_retry_log(row, result_codes.RETRY_ASK),
        *_withdraw_ask(board, row, scheduler_id),
        *_send_ask(board, reassigned, now),
    )


def _withdraw_ask(
    board: Board, row: rows.RequestRow, next_scheduler_id: str
) -> Actions:
    """Withdraw an ask from the old scheduler, which may be slow rather than dead."""
    if row.scheduler_id == next_scheduler_id:
        return ()
    withdrawn = messages.AskWithdrawn(
        board.node_id, row.request_id, row.attempt, row.cell_id
    )
    return (actions.Send(row.scheduler_id, withdrawn),)


@decide.register(messages.AdmissionQueued)
def _mark_queued(
    event: messages.AdmissionQueued, board: Board, now: float, random: Random
) -> Actions:
    _clear_unanswered(board, event.sender_id)
    _store_cell_load(event, board, now)
    row = _request_in_phases(board, event.request_id, event.attempt, WAITING_PHASES)
    if row is not None and row.scheduler_id == event.sender_id:
        board.requests_by_id[row.request_id] = row._replace(queued=True)
        return _schedule_waiting_check(board, event.sender_id, now)
    return ()


def _schedule_waiting_check(board: Board, scheduler_id: str, now: float) -> Actions:
    """Set the next check of a scheduler with waiting requests, if none is set."""
    check_deadlines = board.waiting_check_times_by_scheduler_id
    if scheduler_id == board.node_id or scheduler_id in check_deadlines:
        return ()
    check_deadlines[scheduler_id] = now + WAITING_CHECK_INTERVAL_SECONDS
    timer = events.TimerFired(WAITING_CHECK_TIMER, scheduler_id)
    return (actions.SetTimer(check_deadlines[scheduler_id], timer),)


def _probe_scheduler_of_waiting(board: Board, scheduler_id: str, now: float) -> Actions:
    """Probe a scheduler of waiting requests, which may have failed meanwhile."""
    board.waiting_check_times_by_scheduler_id.pop(scheduler_id, None)
    cell_id = next(
        (
            row.cell_id
            for row in board.requests_by_id.values()
            if row.scheduler_id == scheduler_id and row.phase in WAITING_PHASES
        ),
        None,
    )
    if cell_id is None:
        return ()
    next_check = _schedule_waiting_check(board, scheduler_id, now)
    if scheduler_id in board.scheduler_contacts_by_id:
        # An answer is already outstanding, and its check detects a dead scheduler.
        return next_check
    probe = messages.Progress(board.node_id, cell_id, (), ())
    return (
        actions.Send(scheduler_id, probe),
        *_expect_answer(board, scheduler_id, now),
        *next_check,
    )


@decide.register(messages.AdmissionGrant)
def _accept_grant(
    event: messages.AdmissionGrant, board: Board, now: float, random: Random
) -> Actions:
    _clear_unanswered(board, event.sender_id)
    _store_cell_load(event, board, now)
    row = _request_in_phases(board, event.request_id, event.attempt, WAITING_PHASES)
    if row is None:
        return _release_unused_grant(event, board)
    if now >= event.deadline:
        row = row._replace(attempt=row.attempt + 1)
        board.requests_by_id[row.request_id] = row
        return (
            *_release_unused_grant(event, board),
            actions.Count(result_codes.RETRY_GRANT_EXPIRED, row.rank),
            build_retry_log(row, result_codes.RETRY_GRANT_EXPIRED),
            actions.Emit(events.RequestAdmitted(row.request_id)),
        )
    if is_known_to_leave(board, event.upstream_id):
        # The scheduler may have stood still and grant by what it knew before.
        excluded = (*row.excluded_upstream_ids, event.upstream_id)
        row = row._replace(excluded_upstream_ids=excluded)
        notices = leaving_notices(board, event.upstream_id)
        return _decline_grant(board, row, event, notices)
    if zones.is_drained(board, event.upstream_id):
        row = without_drained_upstreams(board, row, event.cell_id)
        return _decline_grant(board, row, event, (), result_codes.RETRY_ZONE_DRAINED)
    if is_backing_off(board, board.node_id, event.upstream_id, now):
        return _decline_grant(
            board, row, event, [backoff_notice(board, event.upstream_id)]
        )
    # Schedulers of an earlier release need the full row in every progress message.
    granted = row._replace(
        phase="claiming",
        scheduler_id=event.sender_id,
        upstream_id=event.upstream_id,
        address=event.address,
        priority=event.priority,
        grant_deadline=event.deadline,
        acknowledged_by_id=event.sender_id if event.takes_short_progress else "",
    )
    board.requests_by_id[row.request_id] = granted
    return (
        build_grant_log(granted, now),
        build_stage_observation(row, "queue", now),
        actions.Emit(events.UpstreamGranted(row.request_id)),
    )


def _decline_grant(
    board: Board,
    row: rows.RequestRow,
    grant: messages.AdmissionGrant,
    notices: Sequence[messages.PeerMessage],
    code: result_codes.ResultCode = result_codes.RETRY_GRANT_DECLINED,
) -> Actions:
    """Return a grant of an upstream that wants no calls, and ask again.

    The scheduler gets the notices first: it did not know of them when it granted.
    """
    board.requests_by_id[row.request_id] = row._replace(attempt=row.attempt + 1)
    return (
        *(actions.Send(grant.sender_id, notice) for notice in notices),
        *_release_unused_grant(grant, board),
        actions.Count(code, row.rank),
        build_retry_log(row._replace(upstream_id=grant.upstream_id), code),
        actions.Emit(events.RequestAdmitted(row.request_id)),
    )


def without_drained_upstreams(
    board: Board, row: rows.RequestRow, cell_id: str
) -> rows.RequestRow:
    """Return a request that excludes the upstreams of a cell in zones out of use.

    Without this, a scheduler that does not know of the drain could grant one of them
    after the other.
    """
    excluded = (*row.excluded_upstream_ids, *zones.drained_upstream_ids(board, cell_id))
    return row._replace(excluded_upstream_ids=tuple(dict.fromkeys(excluded)))


@decide.register(events.ZoneDrainsChanged)
def _place_waiting_requests_again(
    event: events.ZoneDrainsChanged, board: Board, now: float, random: Random
) -> Actions:
    return _leave_cells_out_of_use(board)


def _leave_cells_out_of_use(board: Board) -> list[actions.Action]:
    """Place or refuse the requests that wait in cells without upstreams in use."""
    decided: list[actions.Action] = []
    if not board.zone_drains_by_name:
        return decided
    for row in list(board.requests_by_id.values()):
        cell = board.cells_by_id.get(row.cell_id)
        if row.phase not in WAITING_PHASES or not row.scheduler_id or cell is None:
            continue
        if zones.has_only_drained_upstreams(board, cell):
            decided.extend(_place_again(board, row))
    return decided


def _release_unused_grant(event: messages.AdmissionGrant, board: Board) -> Actions:
    """Release a grant unless it repeats the one that the request uses."""
    current = board.requests_by_id.get(event.request_id)
    if (
        current is not None
        and current.attempt == event.attempt
        and current.upstream_id == event.upstream_id
        and current.scheduler_id == event.sender_id
    ):
        return ()
    finished = messages.Finished(
        sender_id=board.node_id,
        request_id=event.request_id,
        attempt=event.attempt,
        cell_id=event.cell_id,
        token_count=0,
        complete=False,
        upstream_failed=False,
    )
    return (actions.Send(event.sender_id, finished),)


@decide.register(messages.AdmissionRefusal)
def _handle_refusal(
    event: messages.AdmissionRefusal, board: Board, now: float, random: Random
) -> Actions:
    _clear_unanswered(board, event.sender_id)
    row = _request_in_phases(board, event.request_id, event.attempt, WAITING_PHASES)
    if row is None or row.scheduler_id != event.sender_id:
        return ()
    if event.code == result_codes.NO_UPSTREAM and event.sender_id != board.node_id:
        # The scheduler's list of VMs may be older than that of this entry.
        return _ask_next_scheduler(board, row, now)
    return end_request(row, event.code, event.retry_after)


@decide.register(events.WaitExpired)
def _end_expired_wait(
    event: events.WaitExpired, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None or row.phase not in WAITING_PHASES:
        return ()
    if now < wait_deadline(board, row):
        # A stream that another upstream has to go on with has a later deadline.
        return ()
    return _end_wait(board, row, now)


def _end_wait(board: Board, row: rows.RequestRow, now: float) -> Actions:
    """End a wait at its own deadline, or earlier because the process is stopping."""
    if now < row.deadline:
        code = result_codes.DRAINING
        return end_request(row, code, retry_after=DRAIN_RETRY_AFTER_SECONDS)
    return end_request(row, result_codes.WAIT_EXPIRED, retry_after=5.0)


@decide.register(events.RequestEnded)
def _notify_scheduler_of_end(
    event: events.RequestEnded, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None or not row.scheduler_id:
        return ()
    if row.phase in WAITING_PHASES:
        withdrawn = messages.AskWithdrawn(
            board.node_id, row.request_id, row.attempt, row.cell_id
        )
        return (actions.Send(row.scheduler_id, withdrawn),)
    return (
        actions.Send(
            row.scheduler_id,
            finished_message(
                board, row, event.complete, _may_be_upstream_failure(row, event)
            ),
        ),
    )


def _may_be_upstream_failure(row: rows.RequestRow, event: events.RequestEnded) -> bool:
    """Return whether the end of a request may show that its upstream crashed."""
    if event.upstream_failed or event.code in UPSTREAM_FAILURE_CODES:
        return True
    # An upstream that crashes as it begins a stream breaks off without an event.
    return event.code is result_codes.ANSWER_TRUNCATED and is_streamed(row.target)


def finished_message(
    board: Board, row: rows.RequestRow, complete: bool, upstream_failed: bool
) -> messages.Finished:
    """Return the message that releases the upstream of a request."""
    return messages.Finished(
        sender_id=board.node_id,
        request_id=row.request_id,
        attempt=row.attempt,
        cell_id=row.cell_id,
        token_count=row.token_count,
        complete=complete,
        upstream_failed=upstream_failed,
        began=row.phase == "relaying",
    )


@decide.register(events.ProcessStarted)
def _start_progress_timer(
    event: events.ProcessStarted, board: Board, now: float, random: Random
) -> Actions:
    return (_set_progress_timer(board, "", now),)


def _set_progress_timer(board: Board, kind: str, now: float) -> actions.SetTimer:
    interval = board.settings.scheduling.progress_interval_seconds
    return actions.SetTimer(now + interval, events.TimerFired(PROGRESS_TIMER, kind))


@decide.register(events.TimerFired)
def _run_timer(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name == SCHEDULER_CHECK_TIMER:
        return _recheck_scheduler(board, event.subject, now)
    if event.name == WAITING_CHECK_TIMER:
        return _probe_scheduler_of_waiting(board, event.subject, now)
    if event.name != PROGRESS_TIMER:
        return ()
    # The cooldown of a scheduler may have ended since the last round.
    decided = list(_reassign_requests(board, now))
    skips_count_only = event.subject == ROUND_WITHOUT_COUNTS
    awaited: dict[str, None] = {}
    for scheduler_id, message in progress_messages(board):
        if skips_count_only and not (message.running or message.waiting_request_ids):
            continue
        decided.append(actions.Send(scheduler_id, message))
        awaited[scheduler_id] = None
    for scheduler_id in awaited:
        if scheduler_id != board.node_id:
            decided.extend(_expect_answer(board, scheduler_id, now))
    return (
        *decided,
        _set_progress_timer(
            board, "" if skips_count_only else ROUND_WITHOUT_COUNTS, now
        ),
    )


def _expect_answer(board: Board, scheduler_id: str, now: float) -> Actions:
    """Record that a scheduler owes an answer, and set the check for it.

    The answer removes the record.
    """
    board.scheduler_contacts_by_id.setdefault(
        scheduler_id, rows.SchedulerContactRow(scheduler_id, silent_since=now)
    )
    timer = events.TimerFired(SCHEDULER_CHECK_TIMER, scheduler_id)
    return (actions.SetTimer(now + SCHEDULER_CHECK_INTERVAL_SECONDS, timer),)


def _recheck_scheduler(board: Board, scheduler_id: str, now: float) -> Actions:
    """Repeat the reports to a scheduler that owes an answer, or fail over."""
    contact = board.scheduler_contacts_by_id.get(scheduler_id)
    if contact is None or now < contact.avoid_deadline:
        return ()
    failover_actions = _count_unanswered(board, scheduler_id, now)
    reports = [
        actions.Send(receiver_id, message)
        for receiver_id, message in progress_messages(board)
        if receiver_id == scheduler_id
    ]
    if failover_actions or not reports:
        return failover_actions
    return (*reports, *_expect_answer(board, scheduler_id, now))


def progress_messages(board: Board) -> list[tuple[str, messages.Progress]]:
    """Return one progress message for each scheduler and cell in use.

    A scheduler that granted a request or acknowledged its row gets only token counts.
    """
    rows_by_cell: dict[tuple[str, str], list[rows.RequestRow]] = {}
    for row in board.requests_by_id.values():
        if row.scheduler_id:
            key = (row.scheduler_id, row.cell_id)
            rows_by_cell.setdefault(key, []).append(row)
    return [
        (
            scheduler_id,
            messages.Progress(
                sender_id=board.node_id,
                cell_id=cell_id,
                running=tuple(
                    running_request(row)
                    for row in cell_rows
                    if row.phase in GRANTED_PHASES
                    and row.acknowledged_by_id != scheduler_id
                ),
                waiting_request_ids=tuple(
                    row.request_id for row in cell_rows if row.phase in WAITING_PHASES
                ),
                counts=tuple(
                    messages.RunningCount(row.request_id, row.attempt, row.token_count)
                    for row in cell_rows
                    if row.phase in GRANTED_PHASES
                    and row.acknowledged_by_id == scheduler_id
                ),
            ),
        )
        for (scheduler_id, cell_id), cell_rows in rows_by_cell.items()
    ]


def running_request(row: rows.RequestRow) -> messages.RunningRequest:
    """Return the row of a running request as a scheduler needs it."""
    size = admission_size(row.target)
    return messages.RunningRequest(
        request_id=row.request_id,
        attempt=row.attempt,
        group=row.group,
        account=row.account,
        rank=row.rank,
        binding=row.binding,
        fingerprint=row.fingerprint,
        upstream_id=row.upstream_id,
        prompt_tokens=size.prompt_tokens,
        maximum_tokens=size.maximum_tokens,
        token_count=row.token_count,
        prefix_blocks=() if row.token_count else size.prefix_blocks,
    )


@decide.register(events.StreamStarted)
def _report_stream_start(
    event: events.StreamStarted, board: Board, now: float, random: Random
) -> Actions:
    """Report the first token: the prefill has ended, and the next one may start.

    Until then, the scheduler counts the prompt in the prefill backlog of the engine. If
    the prefill rate is unknown, that backlog does not limit placements.
    """
    row = board.requests_by_id.get(event.request_id)
    if (
        row is None
        or not row.scheduler_id
        or row.acknowledged_by_id != row.scheduler_id
    ):
        return ()
    if not board.settings.scheduling.prefill_tokens_per_second:
        return ()
    count = messages.RunningCount(row.request_id, row.attempt, row.token_count)
    progress = messages.Progress(board.node_id, row.cell_id, (), (), (count,))
    return (actions.Send(row.scheduler_id, progress),)


@decide.register(events.UpstreamLeaving)
def _report_leaving_upstream(
    event: events.UpstreamLeaving, board: Board, now: float, random: Random
) -> Actions:
    """Report the progress of a leaving engine's generations before the next round.

    The scheduler chooses by the token counts which generations to move first. The
    upstream may also have been the last one in use of its cell.
    """
    cells = {
        row.cell_id
        for row in board.requests_by_id.values()
        if row.upstream_id == event.upstream_id and row.scheduler_id
    }
    reports = [
        actions.Send(scheduler_id, message)
        for scheduler_id, message in progress_messages(board)
        if message.cell_id in cells
    ]
    return (*reports, *_leave_cells_out_of_use(board))


@decide.register(messages.ProgressAck)
def _apply_progress_ack(
    event: messages.ProgressAck, board: Board, now: float, random: Random
) -> Actions:
    _clear_unanswered(board, event.sender_id)
    _store_cell_load(event, board, now)
    decided: list[actions.Action] = []
    for request_id in event.unknown_request_ids:
        row = board.requests_by_id.get(request_id)
        if row is None or row.scheduler_id != event.sender_id:
            continue
        if row.phase in WAITING_PHASES:
            decided.extend(_send_ask(board, row, now))
    _update_known_rows(board, event)
    if event.unknown_running_ids:
        decided.extend(_send_unknown_rows(board, event))
    return decided


def _update_known_rows(board: Board, event: messages.ProgressAck) -> None:
    """Record which rows the scheduler has.

    An error from a late answer is corrected by the next answer.
    """
    acknowledged_by_id = dict.fromkeys(event.known_running_ids, event.sender_id)
    acknowledged_by_id |= dict.fromkeys(event.unknown_running_ids, "")
    for request_id, scheduler_id in acknowledged_by_id.items():
        row = board.requests_by_id.get(request_id)
        if row is not None and row.scheduler_id == event.sender_id:
            updated = row._replace(acknowledged_by_id=scheduler_id)
            board.requests_by_id[request_id] = updated


def _send_unknown_rows(board: Board, event: messages.ProgressAck) -> Actions:
    """Send the rows that a restarted scheduler lacks, before the next round is due."""
    running = tuple(
        running_request(row)
        for row in map(board.requests_by_id.get, event.unknown_running_ids)
        if row is not None
        and (row.scheduler_id, row.cell_id) == (event.sender_id, event.cell_id)
        and row.phase in GRANTED_PHASES
    )
    if not running:
        return ()
    message = messages.Progress(board.node_id, event.cell_id, running, ())
    return (actions.Send(event.sender_id, message),)


@decide.register(events.UpstreamsChanged)
@decide.register(events.MembershipChanged)
def _reassign_cells(
    event: events.UpstreamsChanged | events.MembershipChanged,
    board: Board,
    now: float,
    random: Random,
) -> Actions:
    derived = duties.derive_schedulers(
        board.cells_by_id,
        board.members_by_id.values(),
        board.node_id,
        entry_scheduled_groups(board),
    )
    board.schedulers_by_cell_id.clear()
    board.schedulers_by_cell_id.update(derived)
    for cell_id in board.loads_by_cell_id.keys() - board.cells_by_id.keys():
        del board.loads_by_cell_id[cell_id]
    decided = list(_reassign_requests(board, now))
    for row in list(board.requests_by_id.values()):
        if row.scheduler_id and row.phase in WAITING_PHASES:
            decided.extend(_leave_removed_cell(board, row))
    return (*decided, *_leave_cells_out_of_use(board))


def _leave_removed_cell(board: Board, row: rows.RequestRow) -> Actions:
    """Place a waiting request again if its cell is gone and the group has others."""
    if row.cell_id in board.cells_by_id:
        return ()
    if not _candidate_cells(board, row.group, row.allowed_regions):
        return ()
    return _place_again(board, row)


def _place_again(board: Board, row: rows.RequestRow) -> Actions:
    # With a new attempt number, late answers for the old cell are ignored.
    board.requests_by_id[row.request_id] = row._replace(
        attempt=row.attempt + 1, scheduler_id=""
    )
    return (
        *_withdraw_ask(board, row, ""),
        actions.Emit(events.RequestAdmitted(row.request_id)),
    )


def _reassign_requests(board: Board, now: float) -> Actions:
    """Assign every request to the current scheduler of its cell.

    Running requests are reported to a new scheduler at once, so that it knows the load
    of the upstreams before it grants more.
    """
    decided: list[actions.Action] = []
    changed: set[tuple[str, str]] = set()
    for row in list(board.requests_by_id.values()):
        if not row.scheduler_id or row.cell_id not in board.schedulers_by_cell_id:
            continue
        scheduler_id = choose_scheduler(board, row.cell_id, 0, now)
        if scheduler_id == row.scheduler_id:
            continue
        reassigned = row._replace(scheduler_id=scheduler_id, ask_count=0)
        board.requests_by_id[row.request_id] = reassigned
        if row.phase in WAITING_PHASES:
            decided.extend(_withdraw_ask(board, row, scheduler_id))
            decided.extend(_send_ask(board, reassigned, now))
        else:
            changed.add((scheduler_id, row.cell_id))
    reports = [
        actions.Send(scheduler_id, message)
        for scheduler_id, message in progress_messages(board)
        if (scheduler_id, message.cell_id) in changed
    ]
    return (*reports, *decided)
