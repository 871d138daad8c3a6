"""Upstreams: VM list, labels, load reports, reachability, division into cells."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._affinity import cache_sequence
from carawayhitch.controllers._cells import derive_cells
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.core import actions, events, messages, rows
from carawayhitch.core import settings as settings_types

VM_LIST_TIMER = "vm_list"
LOAD_TIMER = "load"
UNREACHABLE_SECONDS = 2.0
# Covers the interval of load polls and the lag of load reports, which then tell why an
# engine refused.
REFUSED_SECONDS = 1.0
SERVICE_LABEL = "service"

decide = new_controller()


@decide.register(events.ProcessStarted)
def _start_polls(
    event: events.ProcessStarted, board: Board, now: float, random: Random
) -> Actions:
    return (
        actions.SetTimer(now, events.TimerFired(VM_LIST_TIMER)),
        actions.SetTimer(now, events.TimerFired(LOAD_TIMER)),
    )


@decide.register(events.TimerFired)
def _poll(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name == VM_LIST_TIMER:
        interval = board.settings.platform.vm_list_interval_seconds
        return (
            actions.PollVmList(),
            actions.SetTimer(now + interval, events.TimerFired(VM_LIST_TIMER)),
        )
    if event.name == LOAD_TIMER:
        interval = board.settings.scheduling.load_interval_seconds
        polled = upstreams_to_poll(board)
        return (
            *(
                actions.PollLoad(upstream.upstream_id, upstream.address)
                for upstream in polled
            ),
            *(
                actions.PollCacheEvents(
                    upstream.upstream_id,
                    upstream.address,
                    cache_sequence(board, upstream.upstream_id),
                )
                for upstream in polled
            ),
            actions.SetTimer(now + interval, events.TimerFired(LOAD_TIMER)),
        )
    return ()


def upstreams_to_poll(board: Board) -> list[rows.UpstreamRow]:
    """Return the engines of the cells that this node schedules or is asked about."""
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


def _labels_of(vm: events.VmListed, board: Board) -> dict[str, str]:
    configuration = board.configuration
    declared = configuration.labels_by_upstream_id if configuration else {}
    return {**vm.labels, **declared.get(vm.vm_id, {})}


def _running_limit(labels: dict[str, str], board: Board) -> int:
    configuration = board.configuration
    service = (
        configuration.services_by_name.get(labels.get(SERVICE_LABEL, ""))
        if configuration
        else None
    )
    return service.concurrency if service else 64


def _merge(vm: events.VmListed, board: Board) -> rows.UpstreamRow:
    labels = _labels_of(vm, board)
    known = board.upstreams_by_id.get(vm.vm_id)
    if known is None or known.address != vm.address:
        return rows.UpstreamRow(
            upstream_id=vm.vm_id,
            address=vm.address,
            zone=vm.zone,
            region=vm.region,
            kind=vm.kind,
            labels=labels,
            leaving=vm.leaving,
            running_limit=_running_limit(labels, board),
        )
    return known._replace(labels=labels, leaving=vm.leaving or known.leaving)


@decide.register(events.VmListReceived)
def _take_vm_list(
    event: events.VmListReceived, board: Board, now: float, random: Random
) -> Actions:
    _take_listed_entries(board, event.vms)
    merged = {vm.vm_id: _merge(vm, board) for vm in event.vms if vm.kind != "entry"}
    changed = _identities(merged) != _identities(board.upstreams_by_id)
    board.upstreams_by_id.clear()
    board.upstreams_by_id.update(merged)
    return _divide_again(board) if changed else ()


def _take_listed_entries(board: Board, vms: Sequence[events.VmListed]) -> None:
    """Keep the entries of the list, which serve as seeds of membership."""
    board.listed_entries_by_vm_id.clear()
    for vm in vms:
        address, _, port = vm.address.rpartition(":")
        if vm.kind == "entry" and not vm.leaving and port.isdecimal():
            seed = settings_types.SeedPeer(address, int(port))
            board.listed_entries_by_vm_id[vm.vm_id] = seed


def _identities(upstreams: dict[str, rows.UpstreamRow]) -> set[tuple[object, ...]]:
    return {
        (row.upstream_id, row.address, row.region, tuple(sorted(row.labels.items())))
        for row in upstreams.values()
    }


def _divide_again(board: Board) -> Actions:
    derived = derive_cells(board)
    board.cells_by_id.clear()
    board.cells_by_id.update(derived)
    return (actions.Emit(events.UpstreamsChanged()),)


@decide.register(events.ConfigurationChanged)
def _relabel(
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
        if row.kind == "service":
            limit = _running_limit(row.labels, board)
            board.upstreams_by_id[row.upstream_id] = row._replace(running_limit=limit)
    return _divide_again(board)


@decide.register(events.LoadReported)
def _take_load(
    event: events.LoadReported, board: Board, now: float, random: Random
) -> Actions:
    known = board.upstreams_by_id.get(event.upstream_id)
    if known is None or event.reported_at < known.reported_at:
        return ()
    board.upstreams_by_id[event.upstream_id] = known._replace(
        reported_at=event.reported_at,
        memory_capacity=event.memory_capacity,
        memory_used=event.memory_used,
        running_count=event.running_count,
        running_limit=event.running_limit,
        waiting_count=event.waiting_count,
        preemption_count=event.preemption_count,
        leaving=known.leaving or event.leaving,
        draining=event.draining,
        unreachable_until=0.0,
    )
    return ()


@decide.register(events.LoadUnavailable)
def _note_unreachable(
    event: events.LoadUnavailable, board: Board, now: float, random: Random
) -> Actions:
    known = board.upstreams_by_id.get(event.upstream_id)
    if known is not None:
        until = now + UNREACHABLE_SECONDS
        board.upstreams_by_id[event.upstream_id] = known._replace(
            unreachable_until=until
        )
    return ()


@decide.register(messages.Finished)
def _note_refusal(
    event: messages.Finished, board: Board, now: float, random: Random
) -> Actions:
    grant = board.grants_by_request_id.get(event.request_id)
    if not event.upstream_refused or grant is None or grant.attempt != event.attempt:
        return ()
    known = board.upstreams_by_id.get(grant.upstream_id)
    if known is not None:
        until = now + REFUSED_SECONDS
        board.upstreams_by_id[grant.upstream_id] = known._replace(refused_until=until)
    return ()
