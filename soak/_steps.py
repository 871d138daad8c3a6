"""Actions that inject each fault, as scheduled steps that do not block."""

from __future__ import annotations

import math
import signal
import time
from functools import singledispatch
from typing import Any, NamedTuple

from fakes.platform_fleet import OBJECTS, call
from soak import _faults as faults
from soak._board import (
    ALL_ENTRIES,
    DRAIN_NOTICE_SECONDS,
    RECONNECT_SECONDS,
    STARTING,
    STOP_GRACE_SECONDS,
    STORE,
    ProblemRow,
    ValidityRow,
)
from soak._world import SoakFleet

POLL_SECONDS = 0.2
# The platform restarts a process after about half a second (PLATFORM-NOTES).
RESTART_DELAY_SECONDS = 0.5
# A drained server is kept for longer than the notice period requires.
POST_DRAIN_SECONDS = 1.0
SLOW_LINK_SECONDS = 0.3
STARTUP_SECONDS = 2.0
STORE_FAULTS: dict[faults.StoreMode, dict[str, Any]] = {
    "down": {"status": 503},
    "silent": {"silent": True},
    "forget": {"forget": True},
    "lost answers": {"lost_answers": 2},
}


class ContinueEntry(NamedTuple):
    """Continues a suspended entry."""

    entry: str


class StartEntry(NamedTuple):
    """Starts an entry that has exited."""

    entry: str


class AwaitExit(NamedTuple):
    """Waits for an entry to exit after SIGTERM, and kills it at a deadline."""

    entry: str
    kill_at: float


class RestoreLink(NamedTuple):
    """Ends the fault of a link."""

    subject: str


class RestoreStore(NamedTuple):
    """Ends the fault of the store."""


class StartServer(NamedTuple):
    """Restarts a server that was killed."""

    server: str


class StartServers(NamedTuple):
    """Restarts several servers that were killed."""

    servers: tuple[str, ...]


class DrainServer(NamedTuple):
    """Marks a server as draining, and retries until the store has accepted it."""

    server: str


class TakeBackZone(NamedTuple):
    """Takes a zone back into use, and retries until the store has accepted it."""

    zone: str


class RemoveServer(NamedTuple):
    """Deregisters and kills a server that was drained."""

    server: str


class Step(NamedTuple):
    """An action and its Unix time."""

    at: float
    action: Any


Steps = tuple[Step, ...]


@singledispatch
def perform(action: Any, fleet: SoakFleet, now: float) -> Steps:
    """Perform an action and return the steps that follow it."""
    raise TypeError(f"unknown action {action!r}")


@perform.register
def _pause_entry(action: faults.PauseEntry, fleet: SoakFleet, now: float) -> Steps:
    if not fleet.is_running(action.entry):
        return ()
    fleet.board.record_disturbance(
        action.entry, "paused", now, action.seconds + POLL_SECONDS
    )
    fleet.send_signal(action.entry, signal.SIGSTOP)
    return (Step(now + action.seconds, ContinueEntry(action.entry)),)


@perform.register
def _continue_entry(action: ContinueEntry, fleet: SoakFleet, now: float) -> Steps:
    if fleet.is_running(action.entry):
        fleet.send_signal(action.entry, signal.SIGCONT)
    return ()


@perform.register
def _kill_entry(action: faults.KillEntry, fleet: SoakFleet, now: float) -> Steps:
    if not fleet.is_running(action.entry):
        return ()
    return _kill_process(
        action.entry, action.seconds, StartEntry(action.entry), fleet, now
    )


def _kill_process(
    name: str, seconds: float, restart: Any, fleet: SoakFleet, now: float
) -> Steps:
    """Kill a process and schedule the action that restarts it."""
    _kill(name, seconds, fleet, now)
    return (Step(now + seconds, restart),)


def _kill(name: str, seconds: float, fleet: SoakFleet, now: float) -> None:
    fleet.board.record_disturbance(name, "killed", now, seconds + STARTUP_SECONDS)
    fleet.kill(name)


@perform.register
def _kill_all_entries(
    action: faults.KillAllEntries, fleet: SoakFleet, now: float
) -> Steps:
    fleet.board.record_disturbance(
        ALL_ENTRIES, "killed", now, action.seconds + STARTUP_SECONDS
    )
    steps: list[Step] = []
    for entry in fleet.gateways_by_name:
        steps += perform(faults.KillEntry(entry, action.seconds), fleet, now)
    return tuple(steps)


@perform.register
def _start_entry(action: StartEntry, fleet: SoakFleet, now: float) -> Steps:
    if not fleet.is_running(action.entry):
        fleet.board.record_disturbance(
            action.entry, STARTING, now, STARTUP_SECONDS, planned=True
        )
        fleet.launch_gateway(action.entry)
    return ()


@perform.register
def _stop_entry(action: faults.StopEntry, fleet: SoakFleet, now: float) -> Steps:
    if not fleet.is_running(action.entry):
        return ()
    seconds = STOP_GRACE_SECONDS + RESTART_DELAY_SECONDS + STARTUP_SECONDS
    fleet.board.record_disturbance(action.entry, "stopped", now, seconds, planned=True)
    fleet.send_signal(action.entry, signal.SIGTERM)
    next_action = AwaitExit(action.entry, now + STOP_GRACE_SECONDS)
    return (Step(now + POLL_SECONDS, next_action),)


@perform.register
def _await_exit(action: AwaitExit, fleet: SoakFleet, now: float) -> Steps:
    status = fleet.exit_status(action.entry)
    if status is None and now < action.kill_at:
        return (Step(now + POLL_SECONDS, action),)
    if status is None:
        fleet.kill(action.entry)
    elif status not in (0, -signal.SIGKILL) and fleet.has_become_ready(action.entry):
        # Before it is ready, an entry has read no call and SIGTERM may terminate it.
        row = ProblemRow(action.entry, f"exit status {status} after SIGTERM")
        fleet.board.problems.append(row)
    return (Step(now + RESTART_DELAY_SECONDS, StartEntry(action.entry)),)


@perform.register
def _reload_entry(action: faults.ReloadEntry, fleet: SoakFleet, now: float) -> Steps:
    if fleet.is_running(action.entry) and fleet.is_ready(action.entry):
        fleet.board.record_disturbance(action.entry, "reloaded", now, 0.0, planned=True)
        fleet.send_signal(action.entry, signal.SIGHUP)
    return ()


@perform.register
def _fail_link(action: faults.FailLink, fleet: SoakFleet, now: float) -> Steps:
    link = fleet.links_by_subject[action.subject]
    # Silenced connections stay unusable until a timeout, however short the fault.
    seconds = (
        max(action.seconds, RECONNECT_SECONDS)
        if action.mode == "silent"
        else action.seconds
    )
    fleet.board.record_disturbance(action.subject, f"link {action.mode}", now, seconds)
    if action.mode == "reset":
        link.cut()
        return ()
    if action.mode == "silent":
        link.silence()
        return ()
    if action.mode == "stalled":
        link.stall()
    elif action.mode == "one way":
        link.stall_requests()
    else:
        link.delay_seconds = SLOW_LINK_SECONDS
    return (Step(now + action.seconds, RestoreLink(action.subject)),)


@perform.register
def _restore_link(action: RestoreLink, fleet: SoakFleet, now: float) -> Steps:
    fleet.links_by_subject[action.subject].flow()
    return ()


@perform.register
def _fail_store(action: faults.FailStore, fleet: SoakFleet, now: float) -> Steps:
    fleet.board.record_disturbance(STORE, action.mode, now, action.seconds)
    _inject_store_fault(fleet, STORE_FAULTS[action.mode])
    return (Step(now + action.seconds, RestoreStore()),)


def _inject_store_fault(fleet: SoakFleet, body: dict[str, Any]) -> None:
    call("POST", fleet.url("store") + "/fake/faults", body)


@perform.register
def _restore_store(action: RestoreStore, fleet: SoakFleet, now: float) -> Steps:
    _inject_store_fault(fleet, {"status": 0, "silent": False})
    return ()


def _is_store_available(fleet: SoakFleet, now: float) -> bool:
    return not any(
        row.subject == STORE and row.began_at <= now <= row.ended_at + POLL_SECONDS
        for row in fleet.board.disturbances
    )


@perform.register
def _change_configuration(
    action: faults.ChangeConfiguration, fleet: SoakFleet, now: float
) -> Steps:
    if not _is_store_available(fleet, now) or not fleet.change_configuration():
        return (Step(now + POLL_SECONDS, action),)
    return ()


@perform.register
def _kill_server(action: faults.KillServer, fleet: SoakFleet, now: float) -> Steps:
    if not fleet.is_in_service(action.server):
        return ()
    return _kill_process(
        action.server, action.seconds, StartServer(action.server), fleet, now
    )


@perform.register
def _start_server(action: StartServer, fleet: SoakFleet, now: float) -> Steps:
    if not _is_store_available(fleet, now):
        return (Step(now + POLL_SECONDS, action),)
    if not fleet.is_running(action.server):
        fleet.restart_server(action.server)
    return ()


@perform.register
def _replace_server(
    action: faults.ReplaceServer, fleet: SoakFleet, now: float
) -> Steps:
    if not fleet.is_in_service(action.server):
        return ()
    if not _is_store_available(fleet, now):
        return (Step(now + POLL_SECONDS, action),)
    fleet.start_additional_server(fleet.services_by_server[action.server])
    fleet.board.record_disturbance(
        action.server, "drained", now, math.inf, planned=True
    )
    return perform(DrainServer(action.server), fleet, now)


@perform.register
def _drain_server(action: DrainServer, fleet: SoakFleet, now: float) -> Steps:
    if not fleet.is_in_service(action.server):
        return ()
    if not _is_store_available(fleet, now) or not fleet.drain_server(action.server):
        return (Step(now + POLL_SECONDS, action),)
    acknowledged_at = time.time()
    fleet.board.drained_at_by_server[action.server] = acknowledged_at
    ends_at = acknowledged_at + DRAIN_NOTICE_SECONDS + POST_DRAIN_SECONDS
    return (Step(ends_at, RemoveServer(action.server)),)


@perform.register
def _remove_server(action: RemoveServer, fleet: SoakFleet, now: float) -> Steps:
    if not _is_store_available(fleet, now):
        return (Step(now + POLL_SECONDS, action),)
    fleet.store_call("DELETE", f"{OBJECTS}/servers/{action.server}")
    if fleet.is_running(action.server):
        fleet.kill(action.server)
    return ()


@perform.register
def _fail_server(action: faults.FailServer, fleet: SoakFleet, now: float) -> Steps:
    if fleet.is_running(action.server):
        fleet.board.record_disturbance(action.server, "failing", now, RECONNECT_SECONDS)
        fleet.server_faults(action.server, failures=action.failures)
    return ()


@perform.register
def _take_out_zone(action: faults.TakeOutZone, fleet: SoakFleet, now: float) -> Steps:
    if not _is_store_available(fleet, now) or not fleet.take_out_zone(action.zone):
        return (Step(now + POLL_SECONDS, action),)
    fleet.board.zone_drains.append(ValidityRow(action.zone, time.time()))
    return (Step(now + action.seconds, TakeBackZone(action.zone)),)


@perform.register
def _take_back_zone(action: TakeBackZone, fleet: SoakFleet, now: float) -> Steps:
    if not _is_store_available(fleet, now):
        return (Step(now + POLL_SECONDS, action),)
    # Servers may have become cold while they got no requests.
    fleet.cool_zone(action.zone)
    sent_at = time.time()
    if not fleet.take_back_zone(action.zone):
        return (Step(now + POLL_SECONDS, action),)
    fleet.board.zone_drains[:] = [
        row._replace(removed_at=min(row.removed_at, sent_at))
        if row.name == action.zone
        else row
        for row in fleet.board.zone_drains
    ]
    return ()


@perform.register
def _return_servers(
    action: faults.ReturnServers, fleet: SoakFleet, now: float
) -> Steps:
    killed = tuple(name for name in action.servers if fleet.is_in_service(name))
    for name in killed:
        _kill(name, action.seconds, fleet, now)
    return (Step(now + action.seconds, StartServers(killed)),)


@perform.register
def _start_servers(action: StartServers, fleet: SoakFleet, now: float) -> Steps:
    if not _is_store_available(fleet, now):
        return (Step(now + POLL_SECONDS, action),)
    fleet.restart_servers(
        [name for name in action.servers if not fleet.is_running(name)]
    )
    return ()


@perform.register
def _add_server(action: faults.AddServer, fleet: SoakFleet, now: float) -> Steps:
    if not _is_store_available(fleet, now):
        return (Step(now + POLL_SECONDS, action),)
    fleet.start_additional_server(fleet.services_by_server[action.server])
    return ()


@perform.register
def _begin_burst(action: faults.BeginBurst, fleet: SoakFleet, now: float) -> Steps:
    fleet.board.burst_ends_at = now + action.seconds
    return ()
