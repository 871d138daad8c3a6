"""Crash records: requests that were running when an upstream died."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._queue import SCHEDULING_TIMER
from carawayhitch.core import actions, events, messages, rows

# A caller that resends a crashing request does so within minutes; an innocent
# request that was on record is free again after this time.
CRASH_RECORD_SECONDS = 1800.0
# A death without any load poll in this time counts as confirmed.
DEATH_CONFIRMATION_SECONDS = 3.0
# An entry sees a failure shortly after it happened, and by then the engine may have
# started again. No engine loads its weights and serves within this time.
START_TIME_TOLERANCE_SECONDS = 0.5

decide = new_controller()


def crash_record(board: Board, fingerprint: str, now: float) -> rows.CrashRow | None:
    """Return the record of a fingerprint that is still valid, or None."""
    record = board.crashes_by_fingerprint.get(fingerprint)
    return record if record is not None and now < record.deadline else None


def is_convicted(board: Board, fingerprint: str, now: float) -> bool:
    """Return whether requests with a fingerprint are refused."""
    record = crash_record(board, fingerprint, now)
    return record is not None and record.convicted


def suspects_by_upstream(board: Board, now: float) -> dict[str, set[str]]:
    """Return the fingerprints on record that run, by upstream."""
    found: dict[str, set[str]] = {}
    for fingerprint in board.crashes_by_fingerprint:
        in_flight = board.upstreams_by_fingerprint.get(fingerprint)
        if in_flight and crash_record(board, fingerprint, now) is not None:
            for upstream_id in in_flight.values():
                found.setdefault(upstream_id, set()).add(fingerprint)
    return found


def allowed_upstreams(
    board: Board,
    fingerprint: str,
    upstream_ids: list[str],
    suspects: Mapping[str, set[str]],
    now: float,
) -> list[str]:
    """Return the upstreams on which a fingerprint may run.

    Identical fingerprints in flight share one upstream until one has finished, and
    always while on record. A fingerprint on record runs beside no other such one. A
    fingerprint that ran where an upstream failed waits until it is known whether the
    upstream died.
    """
    if not fingerprint:
        return upstream_ids
    for death in board.deaths_by_upstream_id.values():
        if not death.confirmed and fingerprint in death.fingerprints:
            return []
    on_record = crash_record(board, fingerprint, now) is not None
    if on_record or now >= board.cleared_by_fingerprint.get(fingerprint, 0.0):
        in_flight = board.upstreams_by_fingerprint.get(fingerprint)
        if in_flight:
            shared = set(in_flight.values())
            upstream_ids = [name for name in upstream_ids if name in shared]
    if on_record:
        upstream_ids = [
            name
            for name in upstream_ids
            if not suspects.get(name, set()) - {fingerprint}
        ]
    return upstream_ids


def may_receive_work(board: Board, upstream: rows.UpstreamRow) -> bool:
    """Return whether an upstream has reported since it last failed, if it did."""
    death = board.deaths_by_upstream_id.get(upstream.upstream_id)
    return death is None or (death.confirmed and upstream.reported_at > death.died_at)


def record_suspected_death(board: Board, upstream_id: str, now: float) -> Actions:
    """Note that an upstream failed, and poll its load for proof.

    A lost connection may be the fault of a link. Requests are put on record only
    when the engine does not answer or no longer runs what it ran.
    """
    lifetime = board.settings.scheduling.grant_lifetime_seconds
    grants = [
        board.grants_by_request_id[request_id]
        for request_id in board.grant_ids_by_upstream_id.get(upstream_id, ())
    ]
    board.deaths_by_upstream_id[upstream_id] = rows.DeathRow(
        upstream_id,
        died_at=now,
        fingerprints=tuple(sorted({grant.fingerprint for grant in grants} - {""})),
        recent_count=sum(grant.granted_at > now - lifetime for grant in grants),
        confirmed=False,
    )
    upstream = board.upstreams_by_id.get(upstream_id)
    return (actions.PollLoad(upstream_id, upstream.address),) if upstream else ()


def confirm_death(board: Board, death: rows.DeathRow, now: float) -> Actions:
    """Put every fingerprint that ran on a dead upstream on record.

    If exactly one of them was on record before, the crash convicts it. The others
    get a first record all the same: if one of them is the cause, it then loses at
    most one more upstream.
    """
    board.deaths_by_upstream_id[death.upstream_id] = death._replace(confirmed=True)
    on_record = {
        fingerprint
        for fingerprint in death.fingerprints
        if crash_record(board, fingerprint, now) is not None
    }
    for fingerprint in death.fingerprints:
        known = crash_record(board, fingerprint, now)
        board.crashes_by_fingerprint[fingerprint] = rows.CrashRow(
            fingerprint,
            (*(known.upstream_ids if known else ()), death.upstream_id),
            convicted=on_record == {fingerprint}
            or (known is not None and known.convicted),
            deadline=now + CRASH_RECORD_SECONDS,
        )
    fields = {
        "upstream": death.upstream_id,
        "running": len(death.fingerprints),
        "convicted": sorted(on_record) if len(on_record) == 1 else [],
    }
    return (actions.Log("warning", "upstream died", fields),)


def _is_new_failure(board: Board, grant: rows.GrantRow) -> bool:
    """Return whether the failure of a grant is not part of a known death."""
    upstream = board.upstreams_by_id.get(grant.upstream_id)
    if upstream is not None and (upstream.kind != "engine" or upstream.leaving):
        # The platform ends an upstream that leaves; no request is the cause.
        return False
    death = board.deaths_by_upstream_id.get(grant.upstream_id)
    return death is None or grant.granted_at > death.died_at


@decide.register(messages.Finished)
def _note_failure(
    event: messages.Finished, board: Board, now: float, random: Random
) -> Actions:
    grant = board.grants_by_request_id.get(event.request_id)
    if (
        not event.upstream_failed
        or grant is None
        or grant.attempt != event.attempt
        or not _is_new_failure(board, grant)
    ):
        return ()
    return record_suspected_death(board, grant.upstream_id, now)


@decide.register(messages.AdmissionAsk)
def _note_failure_of_earlier_attempt(
    event: messages.AdmissionAsk, board: Board, now: float, random: Random
) -> Actions:
    """Take a further attempt as a report of a failure if `Finished` was lost."""
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
def _note_death(
    event: events.UpstreamDied, board: Board, now: float, random: Random
) -> Actions:
    record_suspected_death(board, event.upstream_id, now)
    return confirm_death(board, board.deaths_by_upstream_id[event.upstream_id], now)


@decide.register(events.LoadUnavailable)
def _confirm_unavailable(
    event: events.LoadUnavailable, board: Board, now: float, random: Random
) -> Actions:
    death = board.deaths_by_upstream_id.get(event.upstream_id)
    if death is None or death.confirmed:
        return ()
    return confirm_death(board, death, now)


@decide.register(events.LoadReported)
def _judge_report(
    event: events.LoadReported, board: Board, now: float, random: Random
) -> Actions:
    """Confirm a death or drop it by a report that was taken after it.

    An engine that started before the failure did not die. One that does not tell
    when it started is judged by its work: if it runs more than what it was granted
    directly before the failure, it still runs older work, so it did not restart.
    """
    death = board.deaths_by_upstream_id.get(event.upstream_id)
    if death is None or death.confirmed:
        return ()
    # The start time holds for the moment of the answer, the other figures lag.
    tells_start = event.started_at is not None or event.incarnation
    taken_at = event.polled_at if tells_start else event.reported_at
    if taken_at <= death.died_at:
        return ()
    upstream = board.upstreams_by_id.get(event.upstream_id)
    if _has_survived(event, death, upstream.started_at if upstream else 0):
        del board.deaths_by_upstream_id[event.upstream_id]
        return ()
    return confirm_death(board, death, now)


def _has_survived(
    event: events.LoadReported, death: rows.DeathRow, incarnation: int
) -> bool:
    if event.incarnation and incarnation:
        return event.incarnation == incarnation
    if event.started_at is not None:
        return event.started_at < death.died_at - START_TIME_TOLERANCE_SECONDS
    return event.running_count + event.waiting_count > death.recent_count


@decide.register(events.TimerFired)
def _expire_records(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name != SCHEDULING_TIMER:
        return ()
    for record in list(board.crashes_by_fingerprint.values()):
        if now >= record.deadline:
            del board.crashes_by_fingerprint[record.fingerprint]
    decided: list[actions.Action] = []
    for death in list(board.deaths_by_upstream_id.values()):
        if not death.confirmed and now >= death.died_at + DEATH_CONFIRMATION_SECONDS:
            decided.extend(confirm_death(board, death, now))
        elif death.confirmed and death.upstream_id not in board.upstreams_by_id:
            del board.deaths_by_upstream_id[death.upstream_id]
    return decided


def merge_crashes(
    board: Board, received: Iterable[rows.CrashRow], now: float
) -> tuple[rows.CrashRow, ...]:
    """Merge records that gossip brought; return those that changed.

    Parameters
    ----------
    received : iterable of CrashRow
        Deadlines are times of the local clock.

    Returns
    -------
    tuple of CrashRow
        Records to pass on. Merging is commutative and idempotent, so the order in
        which nodes hear of crashes has no effect.
    """
    changed: list[rows.CrashRow] = []
    for record in received:
        deadline = min(record.deadline, now + CRASH_RECORD_SECONDS)
        if now >= deadline:
            continue
        known = crash_record(board, record.fingerprint, now)
        if known is None:
            merged = record._replace(deadline=deadline)
        else:
            merged = rows.CrashRow(
                record.fingerprint,
                _merge_upstreams(known.upstream_ids, record.upstream_ids),
                known.convicted or record.convicted,
                max(known.deadline, deadline),
            )
        if known is None or merged[:3] != known[:3]:
            changed.append(merged)
        board.crashes_by_fingerprint[record.fingerprint] = merged
    return tuple(changed)


def _merge_upstreams(
    known: tuple[str, ...], received: tuple[str, ...]
) -> tuple[str, ...]:
    """Return each upstream as often as the record that names it most often does."""
    names = sorted({*known, *received})
    return tuple(
        name
        for name in names
        for _ in range(max(known.count(name), received.count(name)))
    )
