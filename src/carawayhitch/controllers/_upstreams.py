"""Upstreams: VM list, labels, load reports, reachability and division into cells."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._affinity import last_cache_sequence
from carawayhitch.controllers._backoffs import load_polls
from carawayhitch.controllers._cells import derive_cells, other_schedulers
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._selectors import selector_matches
from carawayhitch.controllers.store_watch import maximum_silence_seconds
from carawayhitch.core import (
    actions,
    declarations,
    events,
    messages,
    result_codes,
    rows,
)
from carawayhitch.core import settings as settings_types

VM_LIST_TIMER = "vm_list"
STORE_SILENCE_TIMER = "load_in_silence"
# Engines stop 1.5 to 2.1 s after their notice, and load reports lag by 0.5 s.
STORE_SILENCE_POLL_SECONDS = 0.5
# A watch of a working store is answered within this time after its timeout.
STORE_SILENCE_SLACK_SECONDS = 0.2
LOAD_TIMER = "load"
UNREACHABLE_SECONDS = 2.0
# Covers the interval of load polls and the lag of load reports; the next report then
# shows why the engine refused.
REFUSED_SECONDS = 1.0
# Used for services without a declared or reported limit.
DEFAULT_RUNNING_LIMIT = 64
# An unlisted upstream keeps serving during its notice period, which can take many
# seconds.
UNLISTED_REMOVAL_SECONDS = 15.0
# An upstream that has announced its leaving stops within minutes.
ANNOUNCEMENT_LIFETIME_SECONDS = 3600.0

decide = new_controller()


@decide.register(events.ProcessStarted)
def _start_polls(
    event: events.ProcessStarted, board: Board, now: float, random: Random
) -> Actions:
    return (
        actions.SetTimer(now, events.TimerFired(VM_LIST_TIMER)),
        actions.SetTimer(now, events.TimerFired(LOAD_TIMER)),
        *_set_store_silence_timer(board, now),
    )


def _set_store_silence_timer(board: Board, now: float) -> Actions:
    if board.settings.scheduling.load_interval_seconds <= STORE_SILENCE_POLL_SECONDS:
        return ()
    timer = events.TimerFired(STORE_SILENCE_TIMER)
    return (actions.SetTimer(now + STORE_SILENCE_POLL_SECONDS, timer),)


def _is_store_silent(board: Board, now: float) -> bool:
    """Return whether the store may hold unread notices of leaving upstreams."""
    return any(
        scope.contacted_at
        and (
            scope.failure_count
            or now - scope.contacted_at
            > maximum_silence_seconds(board, scope.scope) + STORE_SILENCE_SLACK_SECONDS
        )
        for scope in board.store_scopes_by_name.values()
    )


@decide.register(events.TimerFired)
def _poll_on_timer(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name == VM_LIST_TIMER and board.settings.platform.vm_list_url:
        interval = board.settings.platform.vm_list_interval_seconds
        return (
            actions.PollVmList(),
            actions.SetTimer(now + interval, events.TimerFired(VM_LIST_TIMER)),
        )
    if event.name == STORE_SILENCE_TIMER:
        silent = _is_store_silent(board, now)
        engines = upstreams_to_poll(board) if silent else []
        return (
            *load_polls(board, (row for row in engines if not row.leaving), now),
            *_set_store_silence_timer(board, now),
        )
    if event.name == LOAD_TIMER:
        interval = board.settings.scheduling.load_interval_seconds
        polled = upstreams_to_poll(board)
        # Cache events can be disabled where they are charged for and few prompt
        # prefixes are shared. Grants then suffice to estimate the caches.
        reads_cache_events = board.settings.scheduling.cache_events
        return (
            *load_polls(board, polled, now),
            *(
                actions.PollCacheEvents(
                    upstream.upstream_id,
                    upstream.address,
                    last_cache_sequence(board, upstream.upstream_id),
                )
                for upstream in (polled if reads_cache_events else ())
            ),
            actions.SetTimer(now + interval, events.TimerFired(LOAD_TIMER)),
        )
    return ()


def upstreams_to_poll(board: Board) -> list[rows.UpstreamRow]:
    """Return the engines of cells that this node owns or has a settle deadline for."""
    found: dict[str, rows.UpstreamRow] = {}
    for cell in board.cells_by_id.values():
        schedulers = board.schedulers_by_cell_id.get(cell.cell_id)
        owned = schedulers is not None and schedulers[0] == board.node_id
        if not owned and cell.cell_id not in board.settle_deadlines_by_cell_id:
            continue
        for upstream_id in cell.upstream_ids:
            upstream = board.upstreams_by_id.get(upstream_id)
            if upstream is not None and upstream.kind == "engine":
                found[upstream_id] = upstream
    return list(found.values())


def _vm_labels(vm: events.VmListed, board: Board) -> dict[str, str]:
    configuration = board.configuration
    declared = configuration.labels_by_upstream_id if configuration else {}
    return {**vm.labels, **declared.get(vm.vm_id, {})}


def _declared_capacity(
    labels: declarations.Labels, board: Board
) -> declarations.EngineCapacity | None:
    """Return the declared engine capacity of an upstream's serving group, or None."""
    configuration = board.configuration
    if configuration is None:
        return None
    for group in configuration.serving_groups_by_name.values():
        if group.engine is not None and selector_matches(group.selector, labels):
            return group.engine
    return None


def _service_running_limit(
    labels: declarations.Labels, board: Board, known_limit: int
) -> int:
    configuration = board.configuration
    service = (
        configuration.services_by_name.get(labels.get(declarations.SERVICE_LABEL, ""))
        if configuration
        else None
    )
    return service.concurrency if service else known_limit or DEFAULT_RUNNING_LIMIT


def _merge_vm(vm: events.VmListed, board: Board, now: float) -> rows.UpstreamRow:
    known = board.upstreams_by_id.get(vm.vm_id)
    labels = _vm_labels(vm, board)
    if known is None or _was_replaced(known, vm):
        capacity = _declared_capacity(labels, board)
        known = rows.UpstreamRow(
            upstream_id=vm.vm_id,
            address=vm.address,
            zone=vm.zone,
            region=vm.region,
            kind=vm.kind,
            labels={},
            started_at=vm.started_at,
            memory_capacity=capacity.memory_tokens if capacity else 0,
            running_limit=capacity.slots
            if capacity
            else _service_running_limit(labels, board, vm.running_limit),
        )
    announced = board.leaving_announcements_by_upstream_id.get(vm.vm_id)
    if announced is not None and _instance(announced) != _instance(vm):
        del board.leaving_announcements_by_upstream_id[vm.vm_id]
        announced = None
    # An upstream that is listed again had only lost its registration.
    leaving = vm.leaving or (known.leaving and known.is_listed) or announced is not None
    if leaving and not known.leaving:
        known = known._replace(leaving_since=now)
    return known._replace(labels=labels, leaving=leaving, is_listed=True)


def _was_replaced(known: rows.UpstreamRow, vm: events.VmListed) -> bool:
    """Return whether a VM is a new instance under the id of a known upstream."""
    return _instance(known) != _instance(vm)


def _instance(
    record: events.VmListed | rows.UpstreamRow | rows.LeavingAnnouncementRow,
) -> tuple[str, int]:
    """Return what distinguishes successive upstreams with the same id."""
    return record.address, record.started_at


def is_announced_leaving(board: Board, upstream_id: str) -> bool:
    """Return whether the current instance of an upstream announced its leaving."""
    return upstream_id in board.leaving_announcements_by_upstream_id


def is_known_to_leave(board: Board, upstream_id: str) -> bool:
    """Return whether an upstream is leaving or gone by what this node itself knows.

    An upstream that this node has not heard of yet is not: others may know it first.
    """
    known = board.upstreams_by_id.get(upstream_id)
    if known is not None:
        return known.leaving
    key = (declarations.UPSTREAM_REGISTRATION, upstream_id)
    registration = board.objects_by_key.get(key)
    return registration is not None and registration.deleted


def leaving_notices(board: Board, upstream_id: str) -> list[messages.LeavingSeen]:
    """Return the message that tells a scheduler of an upstream's leaving, if any.

    A removed registration is no reason for one, because it may only have lapsed.
    """
    known = board.upstreams_by_id.get(upstream_id)
    if known is None or not known.leaving:
        return []
    if not (known.is_listed or is_announced_leaving(board, upstream_id)):
        return []
    return [_leaving_notice(board, known)]


def _leaving_notice(board: Board, known: rows.UpstreamRow) -> messages.LeavingSeen:
    return messages.LeavingSeen(board.node_id, known.upstream_id, known.started_at)


@decide.register(events.LeavingAnnounced)
def _apply_announcement(
    event: events.LeavingAnnounced, board: Board, now: float, random: Random
) -> Actions:
    known = board.upstreams_by_id.get(event.upstream_id)
    if known is None or is_announced_leaving(board, event.upstream_id):
        return ()
    decided = _mark_announced_leaving(board, known, now)
    notice = _leaving_notice(board, known)
    schedulers = other_schedulers(board, event.upstream_id)
    return (*decided, *(actions.Send(node_id, notice) for node_id in schedulers))


def _delete_expired_announcements(board: Board, now: float) -> None:
    announcements = board.leaving_announcements_by_upstream_id
    for row in list(announcements.values()):
        if now >= row.deadline:
            del announcements[row.upstream_id]


@decide.register(messages.LeavingSeen)
def _apply_leaving_notice(
    event: messages.LeavingSeen, board: Board, now: float, random: Random
) -> Actions:
    known = board.upstreams_by_id.get(event.upstream_id)
    if (
        known is None
        or known.started_at != event.started_at
        or is_announced_leaving(board, event.upstream_id)
    ):
        return ()
    return _mark_announced_leaving(board, known, now)


def _mark_announced_leaving(
    board: Board, known: rows.UpstreamRow, now: float
) -> Actions:
    board.leaving_announcements_by_upstream_id[known.upstream_id] = (
        rows.LeavingAnnouncementRow(
            known.upstream_id, *_instance(known), now + ANNOUNCEMENT_LIFETIME_SECONDS
        )
    )
    if known.leaving:
        return ()
    board.upstreams_by_id[known.upstream_id] = known._replace(
        leaving=True, leaving_since=now
    )
    fields = {
        "upstream": known.upstream_id,
        "address": known.address,
        "state": "leaving",
        "source": "answer",
    }
    return (
        actions.Log("info", "upstream changed", fields),
        actions.Emit(events.UpstreamLeaving(known.upstream_id)),
    )


@decide.register(events.VmListReceived)
def _apply_vm_list(
    event: events.VmListReceived, board: Board, now: float, random: Random
) -> Actions:
    _store_listed_entries(board, event.vms)
    _delete_expired_announcements(board, now)
    merged = {
        vm.vm_id: _merge_vm(vm, board, now) for vm in event.vms if vm.kind != "entry"
    }
    for upstream in board.upstreams_by_id.values():
        if upstream.upstream_id not in merged and _is_in_use(board, upstream, now):
            # Its running requests continue until the upstream stops.
            since = upstream.leaving_since or now
            merged[upstream.upstream_id] = upstream._replace(
                leaving=True, leaving_since=since, is_listed=False
            )
    known = board.upstreams_by_id
    changed = _upstream_identities(merged) != _upstream_identities(known)
    newly_leaving = [
        row.upstream_id
        for row in merged.values()
        if row.leaving
        and row.upstream_id in known
        and not known[row.upstream_id].leaving
    ]
    logged = _upstream_change_logs(board, merged)
    board.upstreams_by_id.clear()
    board.upstreams_by_id.update(merged)
    # The list is read again within seconds, so skipped VMs are counted but not logged.
    unreadable = (actions.Count(result_codes.STORE_OBJECT_UNREADABLE),)
    return (
        *logged,
        *(unreadable if event.unreadable_count else ()),
        *(_derive_cells_again(board) if changed else ()),
        *(
            actions.Emit(events.UpstreamLeaving(upstream_id))
            for upstream_id in newly_leaving
        ),
    )


def _is_in_use(board: Board, upstream: rows.UpstreamRow, now: float) -> bool:
    if upstream.leaving and now >= upstream.leaving_since + UNLISTED_REMOVAL_SECONDS:
        return False
    if upstream.upstream_id in board.grant_ids_by_upstream_id:
        return True
    return any(
        row.upstream_id == upstream.upstream_id for row in board.requests_by_id.values()
    )


def _upstream_change_logs(
    board: Board, merged: dict[str, rows.UpstreamRow]
) -> list[actions.Log]:
    """Return log actions for upstreams added, leaving, restarted or removed."""
    logged: list[actions.Log] = []
    for upstream_id in dict.fromkeys((*board.upstreams_by_id, *merged)):
        old, new = board.upstreams_by_id.get(upstream_id), merged.get(upstream_id)
        if old is None:
            state = "leaving" if new and new.leaving else "added"
        elif new is None:
            state = "removed"
        elif new.leaving and not old.leaving:
            state = "leaving"
        elif new.started_at != old.started_at:
            state = "restarted"
        else:
            continue
        row = new or old
        fields = {
            "upstream": upstream_id,
            "address": row.address if row else "",
            "state": state,
            "revision": board.object_set.revision,
        }
        logged.append(actions.Log("info", "upstream changed", fields))
    return logged


def _store_listed_entries(board: Board, vms: Sequence[events.VmListed]) -> None:
    """Store the listed entries, which serve as seeds for membership."""
    board.listed_entries_by_vm_id.clear()
    for vm in vms:
        address, _, port = vm.address.rpartition(":")
        if vm.kind == "entry" and not vm.leaving and port.isdecimal():
            seed = settings_types.SeedPeer(address, int(port))
            board.listed_entries_by_vm_id[vm.vm_id] = seed


def _upstream_identities(
    upstreams: dict[str, rows.UpstreamRow],
) -> set[tuple[object, ...]]:
    return {
        (row.upstream_id, row.address, row.region, tuple(sorted(row.labels.items())))
        for row in upstreams.values()
    }


def _derive_cells_again(board: Board) -> Actions:
    derived = derive_cells(board)
    board.cells_by_id.clear()
    board.cells_by_id.update(derived)
    return (actions.Emit(events.UpstreamsChanged()),)


@decide.register(events.ConfigurationChanged)
def _apply_configuration(
    event: events.ConfigurationChanged, board: Board, now: float, random: Random
) -> Actions:
    configuration = board.configuration
    assert configuration is not None
    for upstream_id, labels in configuration.labels_by_upstream_id.items():
        known = board.upstreams_by_id.get(upstream_id)
        if known is not None:
            merged = {**known.labels, **labels}
            board.upstreams_by_id[upstream_id] = known._replace(labels=merged)
    for row in list(board.upstreams_by_id.values()):
        board.upstreams_by_id[row.upstream_id] = _apply_declarations(row, board)
    return _derive_cells_again(board)


def _apply_declarations(row: rows.UpstreamRow, board: Board) -> rows.UpstreamRow:
    """Return an upstream with the limits of the current configuration."""
    capacity = _declared_capacity(row.labels, board)
    if capacity is not None:
        return row._replace(
            running_limit=capacity.slots,
            memory_capacity=row.memory_capacity or capacity.memory_tokens,
        )
    if row.kind != "service":
        return row
    limit = _service_running_limit(row.labels, board, row.running_limit)
    return row._replace(running_limit=limit)


@decide.register(events.LoadReported)
def _apply_load_report(
    event: events.LoadReported, board: Board, now: float, random: Random
) -> Actions:
    known = board.upstreams_by_id.get(event.upstream_id)
    if known is None or event.reported_at < known.reported_at:
        return ()
    # The report can arrive before the notice from the store, which may be unavailable.
    starts_leaving = event.leaving and not known.leaving
    board.upstreams_by_id[event.upstream_id] = known._replace(
        reported_at=event.reported_at,
        memory_capacity=event.memory_capacity,
        memory_used=event.memory_used,
        running_count=event.running_count,
        running_limit=event.running_limit or known.running_limit,
        leaves_at=event.leaves_at or known.leaves_at,
        waiting_count=event.waiting_count,
        preemption_count=event.preemption_count,
        leaving=known.leaving or event.leaving,
        leaving_since=now if starts_leaving else known.leaving_since,
        draining=event.draining,
        unreachable_until=0.0,
    )
    if not starts_leaving:
        return ()
    fields = {
        "upstream": known.upstream_id,
        "address": known.address,
        "state": "leaving",
        "report_age": round(now - event.reported_at, 3),
    }
    return (
        actions.Log("info", "upstream changed", fields),
        actions.Emit(events.UpstreamLeaving(known.upstream_id)),
    )


@decide.register(events.LoadUnavailable)
def _avoid_upstream_without_report(
    event: events.LoadUnavailable, board: Board, now: float, random: Random
) -> Actions:
    reason = f"no load report: {event.detail[:200]}"
    return _mark_unreachable(board, event.upstream_id, reason, now)


@decide.register(events.ListeningChecked)
def _avoid_closed_upstream(
    event: events.ListeningChecked, board: Board, now: float, random: Random
) -> Actions:
    if event.outcome != "refused":
        return ()
    reason = "does not accept connections"
    return _mark_unreachable(board, event.upstream_id, reason, now)


def _mark_unreachable(
    board: Board, upstream_id: str, reason: str, now: float
) -> Actions:
    known = board.upstreams_by_id.get(upstream_id)
    if known is None:
        return ()
    until = now + UNREACHABLE_SECONDS
    board.upstreams_by_id[upstream_id] = known._replace(unreachable_until=until)
    if now < known.unreachable_until:
        return ()
    return (_avoidance_log(known, reason, UNREACHABLE_SECONDS),)


@decide.register(messages.Finished)
def _mark_refused(
    event: messages.Finished, board: Board, now: float, random: Random
) -> Actions:
    grant = board.grants_by_request_id.get(event.request_id)
    if not event.upstream_refused or grant is None or grant.attempt != event.attempt:
        return ()
    known = board.upstreams_by_id.get(grant.upstream_id)
    if known is not None:
        until = now + REFUSED_SECONDS
        board.upstreams_by_id[grant.upstream_id] = known._replace(refused_until=until)
        if now >= known.refused_until:
            return (_avoidance_log(known, "refused a call", REFUSED_SECONDS),)
    return ()


def _avoidance_log(
    upstream: rows.UpstreamRow, reason: str, seconds: float
) -> actions.Log:
    fields = {
        "upstream": upstream.upstream_id,
        "address": upstream.address,
        "reason": reason,
        "seconds": seconds,
    }
    return actions.Log("info", "upstream avoided", fields)
