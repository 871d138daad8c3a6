"""One soak run: clients in a separate thread, fault injection in the caller's."""

from __future__ import annotations

import asyncio
import heapq
import json
import math
import shutil
import threading
import time
from pathlib import Path
from random import Random
from typing import NamedTuple

from soak._board import RECOVERY_SECONDS, ProblemRow, SoakBoard
from soak._callers import run_clients
from soak._checks import Violation, find_violations
from soak._faults import (
    ScheduledFault,
    draw_cold_returns,
    draw_plan,
    draw_zone_drains,
)
from soak._steps import Step, perform
from soak._world import ZONES, SoakFleet

# Calls in this final period show whether service has recovered.
RECOVERY_WINDOW_SECONDS = 3.0
TICK_SECONDS = 0.05


class RunOptions(NamedTuple):
    """Size and duration of a run.

    Parameters
    ----------
    fault_seconds : float
        Period in which faults begin.
    keep : str
        Folder for the logs of a run with violations; empty to discard them.
    zone_drains : bool
        Whether zones are taken out of use and back as well.
    cold_servers : bool
        Whether servers that start are cold for some time, and some return together.
    """

    seed: int
    entries: int = 3
    engines: int = 2
    services: int = 2
    fault_seconds: float = 16.0
    keep: str = ""
    zone_drains: bool = False
    cold_servers: bool = False


class RunResult(NamedTuple):
    """Counts and violations of a run."""

    seed: int
    calls: int
    runs: int
    faults: int
    violations: list[Violation]


def run_seed(options: RunOptions) -> RunResult:
    """Run one seed and return its result."""
    board = SoakBoard()
    fleet = SoakFleet(board, options.zone_drains, options.cold_servers)
    try:
        fleet.start_all(options.entries, options.engines, options.services)
        plan = draw_plan(
            options.seed,
            options.fault_seconds,
            list(fleet.gateways_by_name),
            list(fleet.services_by_server),
        )
        if options.zone_drains:
            plan += draw_zone_drains(options.seed, options.fault_seconds, ZONES)
        if options.cold_servers:
            plan += draw_cold_returns(
                options.seed,
                options.fault_seconds,
                list(fleet.gateways_by_name),
                list(fleet.services_by_server),
            )
        _execute_plan(fleet, plan, options)
        fleet.read_runs()
        _find_problems(fleet)
        violations = find_violations(board)
        if violations and options.keep:
            _save_run(fleet, plan, violations, options)
    finally:
        fleet.stop()
    runs = sum(map(len, board.runs_by_request_id.values()))
    return RunResult(options.seed, len(board.calls_by_id), runs, len(plan), violations)


def _execute_plan(
    fleet: SoakFleet, plan: tuple[ScheduledFault, ...], options: RunOptions
) -> None:
    started_at = time.time()
    steps = [
        (
            started_at + scheduled.at,
            index,
            Step(started_at + scheduled.at, scheduled.fault),
        )
        for index, scheduled in enumerate(plan)
    ]
    heapq.heapify(steps)
    step_count = len(steps)
    faults_end_at = started_at + options.fault_seconds
    clients_end_at = faults_end_at + RECOVERY_SECONDS + RECOVERY_WINDOW_SECONDS
    random = Random(options.seed)
    client_thread = threading.Thread(
        target=lambda: asyncio.run(
            run_clients(fleet, fleet.board, random, clients_end_at)
        )
    )
    client_thread.start()
    while client_thread.is_alive():
        now = time.time()
        while steps and steps[0][0] <= now:
            _, _, step = heapq.heappop(steps)
            for next_step in perform(step.action, fleet, now):
                step_count += 1
                heapq.heappush(steps, (next_step.at, step_count, next_step))
        client_thread.join(TICK_SECONDS)
    disturbance_ends = [
        row.ended_at for row in fleet.board.disturbances if row.ended_at < math.inf
    ]
    last_end = max([faults_end_at, *disturbance_ends])
    fleet.board.recovery_begins_at = min(
        last_end + RECOVERY_SECONDS, clients_end_at - RECOVERY_WINDOW_SECONDS
    )


def _find_problems(fleet: SoakFleet) -> None:
    for entry in fleet.gateways_by_name:
        if "Traceback" in fleet.log_text(entry):
            row = ProblemRow(entry, "exception in its log")
            fleet.board.problems.append(row)
        if not fleet.is_running(entry):
            status = fleet.exit_status(entry)
            row = ProblemRow(entry, f"exited unexpectedly with status {status}")
            fleet.board.problems.append(row)


def _save_run(
    fleet: SoakFleet,
    plan: tuple[ScheduledFault, ...],
    violations: list[Violation],
    options: RunOptions,
) -> None:
    folder = Path(options.keep) / f"seed-{options.seed}"
    shutil.rmtree(folder, ignore_errors=True)
    shutil.copytree(fleet.folder.name, folder)
    board = fleet.board
    contents = {
        "plan": [(scheduled.at, repr(scheduled.fault)) for scheduled in plan],
        "violations": violations,
        "disturbances": board.disturbances,
        "drained": board.drained_at_by_server,
        "routes": list(board.routes_by_name.values()),
        "cold_arrivals": board.cold_arrivals_by_server,
        "zone_drains": board.zone_drains,
        "calls": list(board.calls_by_id.values()),
    }
    (folder / "board.json").write_text(json.dumps(contents, indent=1))
