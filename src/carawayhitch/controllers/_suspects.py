"""Crash records of requests that were running when an upstream died."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._backoffs import load_polls
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._queue import SCHEDULING_TIMER
from carawayhitch.core import actions, events, messages, rows

# Callers resend a crashing request within minutes. After this time, requests that only
# ran beside it are no longer restricted.
CRASH_RECORD_SECONDS = 1800.0
# A death that no load poll has confirmed or cleared within this time is confirmed.
DEATH_CONFIRMATION_SECONDS = 3.0
# An entry detects a failure with a delay, so a restarted engine may have started before
# the recorded time of the failure. A start longer before it than this shows that the
# engine did not restart: none can load its weights and serve requests within this time.
START_TIME_TOLERANCE_SECONDS = 0.5

decide = new_controller()


def crash_record(board: Board, fingerprint: str, now: float) -> rows.CrashRow | None:
    """Return the unexpired crash record of a fingerprint, or None."""
    record = board.crashes_by_fingerprint.get(fingerprint)
    return record if record is not None and now < record.deadline else None


def is_convicted(board: Board, fingerprint: str, now: float) -> bool:
    """Return whether a fingerprint is convicted, so that its requests are refused."""
    record = crash_record(board, fingerprint, now)
    return record is not None and record.convicted


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
    for death in board.last_failures_by_upstream_id.values():
        if not death.confirmed and fingerprint in death.fingerprints:
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


def may_receive_work(board: Board, upstream: rows.UpstreamRow) -> bool:
    """Return whether an upstream may receive requests after its last failure, if any.

    It may not while a death is suspected. After a confirmed death, it may once a load
    report newer than the failure has arrived.
    """
    death = board.last_failures_by_upstream_id.get(upstream.upstream_id)
    return death is None or (
        death.confirmed and upstream.reported_at > death.upstream_failed_at
    )


def record_suspected_death(board: Board, upstream_id: str, now: float) -> Actions:
    """Record that an upstream may have died, and poll its load to confirm it.

    A connection may also be lost because of a network fault. Crash records are made
    only if the engine does not answer or no longer runs its earlier requests.
    """
    lifetime = board.settings.scheduling.grant_lifetime_seconds
    grants = [
        board.grants_by_request_id[request_id]
        for request_id in board.grant_ids_by_upstream_id.get(upstream_id, ())
    ]
    board.last_failures_by_upstream_id[upstream_id] = rows.LastFailureRow(
        upstream_id,
        upstream_failed_at=now,
        fingerprints=tuple(sorted({grant.fingerprint for grant in grants} - {""})),
        recent_grant_count=sum(grant.granted_at > now - lifetime for grant in grants),
        confirmed=False,
    )
    upstream = board.upstreams_by_id.get(upstream_id)
    return load_polls(board, (upstream,), now) if upstream else ()


def confirm_death(board: Board, death: rows.LastFailureRow, now: float) -> Actions:
    """Add a crash record for every fingerprint that ran on a dead upstream.

    If exactly one of them already had a record, it is convicted. The others get
    their first record nevertheless: if one of them was the cause, it can crash at
    most one more upstream.
    """
    board.last_failures_by_upstream_id[death.upstream_id] = death._replace(
        confirmed=True
    )
    recorded = {
        fingerprint
        for fingerprint in death.fingerprints
        if crash_record(board, fingerprint, now) is not None
    }
    for fingerprint in death.fingerprints:
        existing = crash_record(board, fingerprint, now)
        board.crashes_by_fingerprint[fingerprint] = rows.CrashRow(
            fingerprint,
            (*(existing.upstream_ids if existing else ()), death.upstream_id),
            convicted=recorded == {fingerprint}
            or (existing is not None and existing.convicted),
            deadline=now + CRASH_RECORD_SECONDS,
        )
    fields = {
        "upstream": death.upstream_id,
        "running": len(death.fingerprints),
        "convicted": sorted(recorded) if len(recorded) == 1 else [],
    }
    return (actions.Log("warning", "upstream died", fields),)


def _is_new_failure(board: Board, grant: rows.GrantRow) -> bool:
    """Return whether the failure of a grant is not explained by a known death."""
    upstream = board.upstreams_by_id.get(grant.upstream_id)
    if upstream is not None and (upstream.kind != "engine" or upstream.leaving):
        # The platform stops a leaving upstream, so no request caused the failure.
        return False
    death = board.last_failures_by_upstream_id.get(grant.upstream_id)
    return death is None or grant.granted_at > death.upstream_failed_at


@decide.register(messages.Finished)
def _record_failed_request(
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
    return confirm_death(
        board, board.last_failures_by_upstream_id[event.upstream_id], now
    )


@decide.register(events.LoadUnavailable)
def _confirm_death_if_unavailable(
    event: events.LoadUnavailable, board: Board, now: float, random: Random
) -> Actions:
    death = board.last_failures_by_upstream_id.get(event.upstream_id)
    if death is None or death.confirmed:
        return ()
    return confirm_death(board, death, now)


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
    death = board.last_failures_by_upstream_id.get(event.upstream_id)
    if death is None or death.confirmed:
        return ()
    # The start time is current as of the poll; the other values of a report lag.
    has_start_time = event.started_at is not None or event.incarnation
    taken_at = event.polled_at if has_start_time else event.reported_at
    if taken_at <= death.upstream_failed_at:
        return ()
    upstream = board.upstreams_by_id.get(event.upstream_id)
    if _has_survived(event, death, upstream.started_at if upstream else 0):
        del board.last_failures_by_upstream_id[event.upstream_id]
        return ()
    return confirm_death(board, death, now)


def _has_survived(
    event: events.LoadReported, death: rows.LastFailureRow, incarnation: int
) -> bool:
    # Both incarnations are the registered start of the engine; 0 if not known.
    if event.incarnation and incarnation:
        return event.incarnation == incarnation
    if event.started_at is not None:
        return (
            event.started_at < death.upstream_failed_at - START_TIME_TOLERANCE_SECONDS
        )
    return event.running_count + event.waiting_count > death.recent_grant_count


@decide.register(events.TimerFired)
def _expire_crashes_and_failures(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    """Remove expired crash records and failures of removed upstreams.

    Suspected deaths that no load poll has decided in time are confirmed.
    """
    if event.name != SCHEDULING_TIMER:
        return ()
    for record in list(board.crashes_by_fingerprint.values()):
        if now >= record.deadline:
            del board.crashes_by_fingerprint[record.fingerprint]
    decided: list[actions.Action] = []
    for death in list(board.last_failures_by_upstream_id.values()):
        if (
            not death.confirmed
            and now >= death.upstream_failed_at + DEATH_CONFIRMATION_SECONDS
        ):
            decided.extend(confirm_death(board, death, now))
        elif death.confirmed and death.upstream_id not in board.upstreams_by_id:
            del board.last_failures_by_upstream_id[death.upstream_id]
    return decided


def merge_crashes(
    board: Board, received: Iterable[rows.CrashRow], now: float
) -> tuple[rows.CrashRow, ...]:
    """Merge crash records received by gossip; return those that changed.

    Parameters
    ----------
    received : iterable of CrashRow
        Records with deadlines in local clock time.

    Returns
    -------
    tuple of CrashRow
        New records, and those whose upstreams or conviction changed; a later deadline
        alone is no change. Merging is commutative and idempotent, so the order in which
        nodes receive records has no effect.
    """
    changed: list[rows.CrashRow] = []
    for record in received:
        deadline = min(record.deadline, now + CRASH_RECORD_SECONDS)
        if now >= deadline:
            continue
        existing = crash_record(board, record.fingerprint, now)
        if existing is None:
            merged = record._replace(deadline=deadline)
        else:
            merged = rows.CrashRow(
                record.fingerprint,
                _merge_upstreams(existing.upstream_ids, record.upstream_ids),
                existing.convicted or record.convicted,
                max(existing.deadline, deadline),
            )
        if existing is None or merged[:3] != existing[:3]:
            changed.append(merged)
        board.crashes_by_fingerprint[record.fingerprint] = merged
    return tuple(changed)


def _merge_upstreams(
    existing: tuple[str, ...], received: tuple[str, ...]
) -> tuple[str, ...]:
    """Return the multiset union of the upstreams of two records, sorted."""
    names = sorted({*existing, *received})
    return tuple(
        name
        for name in names
        for _ in range(max(existing.count(name), received.count(name)))
    )
