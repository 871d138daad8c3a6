"""Crash records of requests that were running when an upstream died.

One scheduler places all requests of an engine and isolates those with a crash record,
so one more crash has a clear cause. Entries choose the servers of plain services by
themselves, so there the cause follows from several crashes without an answer.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import singledispatch
from random import Random
from typing import Any

from carawayhitch.board import Board
from carawayhitch.controllers import _prompt_evidence
from carawayhitch.controllers._backoffs import load_polls
from carawayhitch.controllers._cells import SCHEDULING_TIMER, send_observation
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._crash_records import (
    add_crash,
    clear_record,
    crash_id,
    crash_record,
    merge_crashes,
    uncleared_crash_count,
)
from carawayhitch.controllers._health import FAILURE_STATUS
from carawayhitch.core import actions, events, messages, rows

# Other calls run on the server that a call crashes, and each can be sent to a second
# server that the same call crashes.
CONVICTING_CRASH_COUNT = 3
EVIDENCE_TIMER = "crash_evidence"
# A death that no load poll has confirmed or cleared within this time is confirmed.
DEATH_CONFIRMATION_SECONDS = 3.0
# An entry detects a failure with a delay, so a restarted engine may have started before
# the recorded time of the failure. A start longer before it than this shows that the
# engine did not restart: none can load its weights and serve requests within this time.
START_TIME_TOLERANCE_SECONDS = 0.5

decide = new_controller()


def suspects_by_upstream(board: Board, now: float) -> dict[str, set[str]]:
    """Return the running fingerprints with a crash record, by upstream."""
    running_suspects: dict[str, set[str]] = {}
    for fingerprint in board.crashes_by_fingerprint:
        in_flight = board.granted_upstreams_by_fingerprint.get(fingerprint)
        if in_flight and crash_record(board, fingerprint, now) is not None:
            for upstream_id in in_flight.values():
                running_suspects.setdefault(upstream_id, set()).add(fingerprint)
    return running_suspects


def allowed_upstreams(
    board: Board,
    fingerprint: str,
    upstream_ids: list[str],
    suspects: Mapping[str, set[str]],
    now: float,
) -> list[str]:
    """Return the upstreams on which a fingerprint may run.

    Identical requests in flight share one upstream, always while their fingerprint has
    a crash record, otherwise unless one of them has completed recently. Two different
    fingerprints with crash records do not run on the same upstream. A fingerprint that
    ran on a failed upstream waits until it is known whether that upstream died.
    """
    if not fingerprint:
        return upstream_ids
    for failure in board.last_failures_by_upstream_id.values():
        if not failure.confirmed and fingerprint in failure.fingerprints:
            return []
    recorded = crash_record(board, fingerprint, now) is not None
    if recorded or now >= board.cleared_until_by_fingerprint.get(fingerprint, 0.0):
        in_flight = board.granted_upstreams_by_fingerprint.get(fingerprint)
        if in_flight:
            shared = set(in_flight.values())
            upstream_ids = [name for name in upstream_ids if name in shared]
    if recorded:
        upstream_ids = [
            name
            for name in upstream_ids
            if not suspects.get(name, set()) - {fingerprint}
        ]
    return upstream_ids


def awaits_check(board: Board, fingerprint: str, now: float) -> bool:
    """Return whether a check of a server is pending that can convict a fingerprint.

    Other lost calls are repeated at once, because a check takes longer than a lookup.
    """
    count = uncleared_crash_count(crash_record(board, fingerprint, now))
    return count + 1 >= CONVICTING_CRASH_COUNT and any(
        not failure.confirmed and fingerprint in failure.fingerprints
        for failure in board.last_failures_by_upstream_id.values()
    )


def may_receive_work(board: Board, upstream: rows.UpstreamRow) -> bool:
    """Return whether an upstream may receive requests after its last failure."""
    failure = board.last_failures_by_upstream_id.get(upstream.upstream_id)
    return failure is None or _permits_work(failure, upstream)


@singledispatch
def _permits_work(failure: Any, upstream: rows.UpstreamRow) -> bool:
    """Return whether an upstream may receive requests after a failure."""
    raise TypeError(f"expected a failure row of core.rows, got {failure!r}")


@_permits_work.register
def _engine_permits_work(
    failure: rows.EngineFailureRow, upstream: rows.UpstreamRow
) -> bool:
    # A load report newer than the failure shows that a crashed engine is back.
    return failure.confirmed and upstream.reported_at > failure.upstream_failed_at


@_permits_work.register
def _service_permits_work(
    failure: rows.ServiceFailureRow, upstream: rows.UpstreamRow
) -> bool:
    # Most failed calls of a service are the fault of a link or of the call.
    return True


def record_suspected_death(board: Board, upstream_id: str, now: float) -> Actions:
    """Record that an upstream may have died, and check whether it did.

    A connection may also be lost because of a network fault.
    """
    upstream = board.upstreams_by_id.get(upstream_id)
    grants = [
        board.grants_by_request_id[request_id]
        for request_id in board.grant_ids_by_upstream_id.get(upstream_id, ())
    ]
    fingerprints = tuple(sorted({grant.fingerprint for grant in grants} - {""}))
    if upstream is not None and upstream.kind == "service":
        board.last_failures_by_upstream_id[upstream_id] = rows.ServiceFailureRow(
            upstream_id, upstream.started_at, now, fingerprints, confirmed=False
        )
        return (actions.CheckListening(upstream_id, upstream.address),)
    lifetime = board.settings.scheduling.grant_lifetime_seconds
    failure = rows.EngineFailureRow(
        upstream_id,
        upstream_failed_at=now,
        fingerprints=fingerprints,
        recent_grant_count=sum(grant.granted_at > now - lifetime for grant in grants),
        confirmed=False,
        started_at=upstream.started_at if upstream else 0,
        unanswered=_prompt_evidence.unanswered_requests(grants),
        evidence_deadline=now + _prompt_evidence.EVIDENCE_SECONDS,
    )
    board.last_failures_by_upstream_id[upstream_id] = failure
    polls = load_polls(board, (upstream,), now) if upstream else ()
    if not failure.unanswered:
        return polls
    timer = events.TimerFired(EVIDENCE_TIMER, upstream_id)
    return (*polls, actions.SetTimer(failure.evidence_deadline, timer))


def confirm_death(
    board: Board,
    failure: rows.EngineFailureRow | rows.ServiceFailureRow,
    now: float,
    random: Random,
) -> Actions:
    """Add a crash record for every fingerprint that ran on a dead upstream."""
    board.last_failures_by_upstream_id[failure.upstream_id] = failure._replace(
        confirmed=True
    )
    records = _records_after_crash(failure, board, now)
    convicted = [
        record.fingerprint
        for record in records
        if record.convicted and not _was_convicted(board, record.fingerprint)
    ]
    for record in records:
        board.crashes_by_fingerprint[record.fingerprint] = record
    fields = {
        "upstream": failure.upstream_id,
        "running": len(failure.fingerprints),
        "convicted": convicted,
    }
    return (
        actions.Log("warning", "upstream died", fields),
        *_share_records(board, records, random),
        *_record_crash_of_blocks(board, failure.upstream_id, now, random),
    )


def _record_crash_of_blocks(
    board: Board, upstream_id: str, now: float, random: Random
) -> Actions:
    """Record a confirmed crash for prefix blocks, once the evidence is complete."""
    failure = board.last_failures_by_upstream_id.get(upstream_id)
    if (
        not isinstance(failure, rows.EngineFailureRow)
        or not failure.confirmed
        or not failure.unanswered
        or now < failure.evidence_deadline
    ):
        return ()
    records = _prompt_evidence.block_records_after_crash(board, failure, now)
    board.last_failures_by_upstream_id[upstream_id] = failure._replace(unanswered=())
    for record in records:
        board.crashes_by_fingerprint[record.fingerprint] = record
    fields = {
        "upstream": upstream_id,
        "unanswered": len(failure.unanswered),
        "began": sum(request.began for request in failure.unanswered),
        "suspects": len(records),
        "convicted": [row.fingerprint for row in records if row.convicted],
    }
    return (
        actions.Log("warning", "prompts of a dead upstream", fields),
        *_share_records(board, records, random),
    )


def _was_convicted(board: Board, fingerprint: str) -> bool:
    record = board.crashes_by_fingerprint.get(fingerprint)
    return record is not None and record.convicted


def _share_records(
    board: Board, records: tuple[rows.CrashRow, ...], random: Random
) -> Actions:
    """Send changed records to other entries; gossip alone takes seconds."""
    if not records:
        return ()
    return send_observation(board, messages.CrashesSeen(board.node_id, records), random)


@singledispatch
def _records_after_crash(
    failure: Any, board: Board, now: float
) -> tuple[rows.CrashRow, ...]:
    """Return the crash records of the fingerprints that ran on a dead upstream."""
    raise TypeError(f"expected a failure row of core.rows, got {failure!r}")


@_records_after_crash.register
def _records_after_engine_crash(
    failure: rows.EngineFailureRow, board: Board, now: float
) -> tuple[rows.CrashRow, ...]:
    """Convict the fingerprint that alone had a crash record, if there is one.

    The others get their first record nevertheless: if one of them was the cause, it can
    crash at most one more upstream.
    """
    recorded = {
        fingerprint
        for fingerprint in failure.fingerprints
        if crash_record(board, fingerprint, now) is not None
    }
    return tuple(
        add_crash(
            board, fingerprint, failure.upstream_id, recorded == {fingerprint}, now
        )
        for fingerprint in failure.fingerprints
    )


@_records_after_crash.register
def _records_after_service_crash(
    failure: rows.ServiceFailureRow, board: Board, now: float
) -> tuple[rows.CrashRow, ...]:
    """Convict each fingerprint that has run in several crashes without an answer."""
    # Several entries report the same crash, so its id names the instance.
    crash = crash_id(failure.upstream_id, failure.started_at)
    records = []
    for fingerprint in failure.fingerprints:
        existing = crash_record(board, fingerprint, now)
        if existing is not None and crash in existing.upstream_ids:
            continue
        count = uncleared_crash_count(existing) + 1
        convicts = count >= CONVICTING_CRASH_COUNT
        records.append(add_crash(board, fingerprint, crash, convicts, now))
    return tuple(records)


def _is_new_failure(board: Board, grant: rows.GrantRow) -> bool:
    """Return whether the failure of a grant is not explained by a known death."""
    upstream = board.upstreams_by_id.get(grant.upstream_id)
    if upstream is not None and upstream.leaving:
        # The platform stops a leaving upstream, so no request caused the failure.
        return False
    failure = board.last_failures_by_upstream_id.get(grant.upstream_id)
    return failure is None or grant.granted_at > failure.upstream_failed_at


@decide.register(messages.Finished)
def _record_end_of_request(
    event: messages.Finished, board: Board, now: float, random: Random
) -> Actions:
    grant = board.grants_by_request_id.get(event.request_id)
    if grant is None or grant.attempt != event.attempt:
        return ()
    decided: list[actions.Action] = []
    if event.upstream_failed and _is_new_failure(board, grant):
        decided.extend(record_suspected_death(board, grant.upstream_id, now))
    if event.token_count:
        cleared = _prompt_evidence.record_answered_blocks(
            board, grant.prefix_blocks, now
        )
        _prompt_evidence.remove_answered_request(board, grant)
        decided.extend(_share_records(board, cleared, random))
    elif event.upstream_failed:
        _prompt_evidence.record_lost_request(board, grant, event)
    return decided


@decide.register(messages.Progress)
def _clear_blocks_of_answered_requests(
    event: messages.Progress, board: Board, now: float, random: Random
) -> Actions:
    """Clear the prefix blocks of requests that have produced their first token."""
    token_counts = {running.request_id: running.token_count for running in event.counts}
    token_counts |= {
        running.request_id: running.token_count for running in event.running
    }
    cleared: list[rows.CrashRow] = []
    for request_id, token_count in token_counts.items():
        grant = board.grants_by_request_id.get(request_id)
        if token_count and grant is not None and not grant.token_count:
            cleared.extend(
                _prompt_evidence.record_answered_blocks(board, grant.prefix_blocks, now)
            )
    return _share_records(board, tuple(cleared), random)


@decide.register(messages.AdmissionAsk)
def _record_failure_of_earlier_attempt(
    event: messages.AdmissionAsk, board: Board, now: float, random: Random
) -> Actions:
    """Treat a further attempt as a failure report, because `Finished` may be lost."""
    grant = board.grants_by_request_id.get(event.request_id)
    if (
        grant is None
        or grant.attempt >= event.attempt
        or grant.upstream_id not in event.excluded_upstream_ids
    ):
        return ()
    upstream = board.upstreams_by_id.get(grant.upstream_id)
    unreachable = upstream is not None and now < upstream.unreachable_until
    if not unreachable or not _is_new_failure(board, grant):
        return ()
    return record_suspected_death(board, grant.upstream_id, now)


@decide.register(events.UpstreamDied)
def _confirm_reported_death(
    event: events.UpstreamDied, board: Board, now: float, random: Random
) -> Actions:
    # All requests were lost at the same time, so no load poll is needed to confirm.
    record_suspected_death(board, event.upstream_id, now)
    failure = board.last_failures_by_upstream_id[event.upstream_id]
    return confirm_death(board, failure, now, random)


@decide.register(events.LoadUnavailable)
def _confirm_death_if_unavailable(
    event: events.LoadUnavailable, board: Board, now: float, random: Random
) -> Actions:
    failure = board.last_failures_by_upstream_id.get(event.upstream_id)
    if failure is None or failure.confirmed:
        return ()
    return confirm_death(board, failure, now, random)


@decide.register(events.ListeningChecked)
def _confirm_death_if_refused(
    event: events.ListeningChecked, board: Board, now: float, random: Random
) -> Actions:
    """Confirm a suspected death if nothing listens any more, otherwise drop it.

    Silence may also come from a partition, so it confirms nothing.
    """
    failure = board.last_failures_by_upstream_id.get(event.upstream_id)
    if failure is None or failure.confirmed:
        return ()
    if event.outcome == "refused":
        return confirm_death(board, failure, now, random)
    del board.last_failures_by_upstream_id[event.upstream_id]
    return ()


@decide.register(events.RequestEnded)
def _clear_answered_fingerprint(
    event: events.RequestEnded, board: Board, now: float, random: Random
) -> Actions:
    """Clear the fingerprint of a call that a plain service answered."""
    row = board.requests_by_id.get(event.request_id)
    if row is None or not event.complete or row.answer_status >= FAILURE_STATUS:
        # A server that fails may answer before it runs the call.
        return ()
    upstream = board.upstreams_by_id.get(row.upstream_id)
    if upstream is None or upstream.kind != "service":
        return ()
    cleared = clear_record(board, row.fingerprint, now)
    return _share_records(board, (cleared,), random) if cleared else ()


@decide.register(messages.CrashesSeen)
def _merge_seen_crashes(
    event: messages.CrashesSeen, board: Board, now: float, random: Random
) -> Actions:
    merge_crashes(board, event.crashes, now)
    return ()


@decide.register(events.LoadReported)
def _confirm_or_clear_death(
    event: events.LoadReported, board: Board, now: float, random: Random
) -> Actions:
    """Confirm or clear a suspected death by a load report taken after it.

    An engine that started before the failure did not die. If the report has no start
    time, the number of its requests decides: an engine that runs more requests than
    were granted directly before the failure still runs older ones, so it did not
    restart.
    """
    failure = board.last_failures_by_upstream_id.get(event.upstream_id)
    if not isinstance(failure, rows.EngineFailureRow) or failure.confirmed:
        return ()
    # The start time is current as of the poll; the other values of a report lag.
    has_start_time = event.started_at is not None or event.incarnation
    taken_at = event.polled_at if has_start_time else event.reported_at
    if taken_at <= failure.upstream_failed_at:
        return ()
    upstream = board.upstreams_by_id.get(event.upstream_id)
    if _has_survived(event, failure, upstream.started_at if upstream else 0):
        del board.last_failures_by_upstream_id[event.upstream_id]
        return ()
    return confirm_death(board, failure, now, random)


def _has_survived(
    event: events.LoadReported, failure: rows.EngineFailureRow, incarnation: int
) -> bool:
    # Both incarnations are the registered start of the engine; 0 if not known.
    if event.incarnation and incarnation:
        return event.incarnation == incarnation
    if event.started_at is not None:
        return (
            event.started_at < failure.upstream_failed_at - START_TIME_TOLERANCE_SECONDS
        )
    return event.running_count + event.waiting_count > failure.recent_grant_count


@decide.register(events.TimerFired)
def _expire_crashes_and_failures(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    """Remove expired crash records and failures of removed upstreams.

    Suspected deaths that no load poll has decided in time are confirmed.
    """
    if event.name == EVIDENCE_TIMER:
        return _record_crash_of_blocks(board, event.subject, now, random)
    if event.name != SCHEDULING_TIMER:
        return ()
    for record in list(board.crashes_by_fingerprint.values()):
        if now >= record.deadline:
            del board.crashes_by_fingerprint[record.fingerprint]
    decided: list[actions.Action] = []
    for failure in list(board.last_failures_by_upstream_id.values()):
        if failure.confirmed:
            if failure.upstream_id not in board.upstreams_by_id:
                del board.last_failures_by_upstream_id[failure.upstream_id]
        elif now >= failure.upstream_failed_at + DEATH_CONFIRMATION_SECONDS:
            decided.extend(_expire_suspicion(failure, board, now, random))
    return decided


@singledispatch
def _expire_suspicion(
    failure: Any, board: Board, now: float, random: Random
) -> Actions:
    """Decide on a suspected death that no check has decided in time."""
    raise TypeError(f"expected a failure row of core.rows, got {failure!r}")


@_expire_suspicion.register
def _confirm_undecided_engine(
    failure: rows.EngineFailureRow, board: Board, now: float, random: Random
) -> Actions:
    return confirm_death(board, failure, now, random)


@_expire_suspicion.register
def _drop_undecided_service(
    failure: rows.ServiceFailureRow, board: Board, now: float, random: Random
) -> Actions:
    del board.last_failures_by_upstream_id[failure.upstream_id]
    return ()
