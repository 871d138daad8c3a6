"""What each fault does to the processes, in steps that do not wait."""

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
    GRACE_SECONDS,
    RECONNECT_SECONDS,
    STARTING,
    STORE,
    ProblemRow,
)
from soak._world import SoakFleet

POLL_SECONDS = 0.2
# The platform starts a process again after about half a second (PLATFORM-NOTES).
RESTART_DELAY_SECONDS = 0.5
# A server that is emptied serves a little longer than it has to.
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
    """Lets a frozen process go on."""

    entry: str


class StartEntry(NamedTuple):
    """Starts a process that ended."""

    entry: str


class AwaitExit(NamedTuple):
    """Waits for the end of a process that was asked to stop."""

    entry: str
    kill_at: float


class RestoreLink(NamedTuple):
    """Ends the fault of a link."""

    subject: str


class RestoreStore(NamedTuple):
    """Ends the fault of the store."""


class StartServer(NamedTuple):
    """Starts a server that was killed."""

    server: str


class DrainServer(NamedTuple):
    """Writes that a server leaves, until the store has taken it."""

    server: str


class RemoveServer(NamedTuple):
    """Ends a server that was emptied."""

    server: str


class Step(NamedTuple):
    """Something to do at a time, in seconds of Unix time."""

    at: float
    act: Any


Steps = tuple[Step, ...]


@singledispatch
def perform(act: Any, fleet: SoakFleet, now: float) -> Steps:
    """Do one step and return those that follow from it."""
    raise TypeError(f"unknown step {act!r}")


@perform.register
def _pause(act: faults.PauseEntry, fleet: SoakFleet, now: float) -> Steps:
    if not fleet.is_running(act.entry):
        return ()
    fleet.board.disturb(act.entry, "paused", now, act.seconds + POLL_SECONDS)
    fleet.send_signal(act.entry, signal.SIGSTOP)
    return (Step(now + act.seconds, ContinueEntry(act.entry)),)


@perform.register
def _wake(act: ContinueEntry, fleet: SoakFleet, now: float) -> Steps:
    if fleet.is_running(act.entry):
        fleet.send_signal(act.entry, signal.SIGCONT)
    return ()


@perform.register
def _kill(act: faults.KillEntry, fleet: SoakFleet, now: float) -> Steps:
    if not fleet.is_running(act.entry):
        return ()
    return _kill_process(act.entry, act.seconds, StartEntry(act.entry), fleet, now)


def _kill_process(
    name: str, seconds: float, following: Any, fleet: SoakFleet, now: float
) -> Steps:
    """Kill a process; what follows after some seconds starts it again."""
    fleet.board.disturb(name, "killed", now, seconds + STARTUP_SECONDS)
    fleet.kill(name)
    return (Step(now + seconds, following),)


@perform.register
def _kill_all(act: faults.KillAllEntries, fleet: SoakFleet, now: float) -> Steps:
    fleet.board.disturb(ALL_ENTRIES, "killed", now, act.seconds + STARTUP_SECONDS)
    steps: list[Step] = []
    for entry in fleet.gateways_by_name:
        steps += perform(faults.KillEntry(entry, act.seconds), fleet, now)
    return tuple(steps)


@perform.register
def _start(act: StartEntry, fleet: SoakFleet, now: float) -> Steps:
    if not fleet.is_running(act.entry):
        fleet.board.disturb(act.entry, STARTING, now, STARTUP_SECONDS, planned=True)
        fleet.launch_gateway(act.entry)
    return ()


@perform.register
def _stop(act: faults.StopEntry, fleet: SoakFleet, now: float) -> Steps:
    if not fleet.is_running(act.entry):
        return ()
    seconds = GRACE_SECONDS + RESTART_DELAY_SECONDS + STARTUP_SECONDS
    fleet.board.disturb(act.entry, "stopped", now, seconds, planned=True)
    fleet.send_signal(act.entry, signal.SIGTERM)
    awaited = AwaitExit(act.entry, now + GRACE_SECONDS)
    return (Step(now + POLL_SECONDS, awaited),)


@perform.register
def _await_exit(act: AwaitExit, fleet: SoakFleet, now: float) -> Steps:
    status = fleet.exit_status(act.entry)
    if status is None and now < act.kill_at:
        return (Step(now + POLL_SECONDS, act),)
    if status is None:
        fleet.kill(act.entry)
    elif status not in (0, -signal.SIGKILL) and fleet.has_become_ready(act.entry):
        # Before that it has read no call, and the signal itself ends it.
        row = ProblemRow(act.entry, f"exit status {status} after SIGTERM")
        fleet.board.problems.append(row)
    return (Step(now + RESTART_DELAY_SECONDS, StartEntry(act.entry)),)


@perform.register
def _reload(act: faults.ReloadEntry, fleet: SoakFleet, now: float) -> Steps:
    if fleet.is_running(act.entry) and fleet.is_ready(act.entry):
        fleet.board.disturb(act.entry, "reloaded", now, 0.0, planned=True)
        fleet.send_signal(act.entry, signal.SIGHUP)
    return ()


@perform.register
def _fail_link(act: faults.FailLink, fleet: SoakFleet, now: float) -> Steps:
    link = fleet.links_by_subject[act.subject]
    # Connections that went silent count for a while after new ones work again.
    seconds = (
        max(act.seconds, RECONNECT_SECONDS) if act.mode == "silent" else act.seconds
    )
    fleet.board.disturb(act.subject, f"link {act.mode}", now, seconds)
    if act.mode == "reset":
        link.cut()
        return ()
    if act.mode == "silent":
        link.silence()
        return ()
    if act.mode == "stalled":
        link.stall()
    elif act.mode == "one way":
        link.stall_requests()
    else:
        link.delay_seconds = SLOW_LINK_SECONDS
    return (Step(now + act.seconds, RestoreLink(act.subject)),)


@perform.register
def _restore_link(act: RestoreLink, fleet: SoakFleet, now: float) -> Steps:
    fleet.links_by_subject[act.subject].flow()
    return ()


@perform.register
def _fail_store(act: faults.FailStore, fleet: SoakFleet, now: float) -> Steps:
    fleet.board.disturb(STORE, act.mode, now, act.seconds)
    _inject(fleet, STORE_FAULTS[act.mode])
    return (Step(now + act.seconds, RestoreStore()),)


def _inject(fleet: SoakFleet, body: dict[str, Any]) -> None:
    call("POST", fleet.url("store") + "/fake/faults", body)


@perform.register
def _restore_store(act: RestoreStore, fleet: SoakFleet, now: float) -> Steps:
    _inject(fleet, {"status": 0, "silent": False})
    return ()


def _store_answers(fleet: SoakFleet, now: float) -> bool:
    return not any(
        row.subject == STORE and row.began_at <= now <= row.ended_at + POLL_SECONDS
        for row in fleet.board.disturbances
    )


@perform.register
def _change(act: faults.ChangeConfiguration, fleet: SoakFleet, now: float) -> Steps:
    if not _store_answers(fleet, now) or not fleet.change_configuration():
        return (Step(now + POLL_SECONDS, act),)
    return ()


@perform.register
def _kill_server(act: faults.KillServer, fleet: SoakFleet, now: float) -> Steps:
    if not fleet.is_in_service(act.server):
        return ()
    return _kill_process(act.server, act.seconds, StartServer(act.server), fleet, now)


@perform.register
def _start_server(act: StartServer, fleet: SoakFleet, now: float) -> Steps:
    if not _store_answers(fleet, now):
        return (Step(now + POLL_SECONDS, act),)
    if not fleet.is_running(act.server):
        fleet.restart_server(act.server)
    return ()


@perform.register
def _replace(act: faults.ReplaceServer, fleet: SoakFleet, now: float) -> Steps:
    if not fleet.is_in_service(act.server):
        return ()
    if not _store_answers(fleet, now):
        return (Step(now + POLL_SECONDS, act),)
    fleet.start_additional_server(fleet.services_by_server[act.server])
    fleet.board.disturb(act.server, "emptied", now, math.inf, planned=True)
    return perform(DrainServer(act.server), fleet, now)


@perform.register
def _drain_server(act: DrainServer, fleet: SoakFleet, now: float) -> Steps:
    if not fleet.is_in_service(act.server):
        return ()
    if not _store_answers(fleet, now) or not fleet.drain_server(act.server):
        return (Step(now + POLL_SECONDS, act),)
    acknowledged_at = time.time()
    fleet.board.drained_at_by_server[act.server] = acknowledged_at
    ends_at = acknowledged_at + DRAIN_NOTICE_SECONDS + POST_DRAIN_SECONDS
    return (Step(ends_at, RemoveServer(act.server)),)


@perform.register
def _end_server(act: RemoveServer, fleet: SoakFleet, now: float) -> Steps:
    if not _store_answers(fleet, now):
        return (Step(now + POLL_SECONDS, act),)
    fleet.store_call("DELETE", f"{OBJECTS}/servers/{act.server}")
    if fleet.is_running(act.server):
        fleet.kill(act.server)
    return ()


@perform.register
def _fail_server(act: faults.FailServer, fleet: SoakFleet, now: float) -> Steps:
    if fleet.is_running(act.server):
        fleet.board.disturb(act.server, "fails", now, RECONNECT_SECONDS)
        fleet.server_faults(act.server, failures=act.failures)
    return ()
