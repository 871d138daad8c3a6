"""Spread of requests over the cells of a group, by the age limit of known loads.

Entries place requests through the placement controller; each cell is a scheduler that
serves a fixed number of requests at a time. Half of the cells start with a backlog.
"""

from __future__ import annotations

import argparse
import heapq
from itertools import count
from random import Random
from statistics import mean, pstdev
from typing import NamedTuple

from carawayhitch.board import Board, new_board
from carawayhitch.controllers import _placement
from carawayhitch.core import events, messages, rows
from carawayhitch.core import settings as settings_types

UPSTREAMS_PER_CELL = 4
TARGET = rows.GenerationTarget("/v1/completions", "quotes", True, 10, 100)


class Options(NamedTuple):
    """What one run simulates; times in seconds."""

    cells: int = 20
    entries: int = 20
    rate_per_entry: float = 9.2
    service_seconds: float = 9.0
    seconds: float = 60.0
    backlog: int = 60
    report_loads: bool = True


class Spread(NamedTuple):
    """Requests per cell, over the cells, at one time."""

    at: float
    mean: float
    deviation: float
    highest: int


def entry_board(index: int, cells: int) -> Board:
    """Return the board of an entry that sees all cells in its region."""
    settings = settings_types.Settings(
        settings_types.NodeSettings(f"entry-{index}", "a", "r1"),
        settings_types.PeerSettings(()),
        settings_types.StoreSettings(""),
        settings_types.PlatformSettings(""),
    )
    board = new_board(settings, 1)
    upstreams = tuple(f"engine-{place}" for place in range(UPSTREAMS_PER_CELL))
    for number in range(cells):
        cell_id = f"quotes/r1/{number}"
        board.cells_by_id[cell_id] = rows.CellRow(cell_id, "quotes", "r1", upstreams)
        board.schedulers_by_cell_id[cell_id] = (f"scheduler-{number}",)
    return board


def run(options: Options, seed: int) -> list[Spread]:
    """Return the spread at each tenth of the run."""
    random = Random(seed)
    boards = [entry_board(index, options.cells) for index in range(options.entries)]
    cell_ids = list(boards[0].cells_by_id)
    requests_by_cell_id = dict.fromkeys(cell_ids, 0)
    numbers = count()
    simulated_events: list[tuple[float, int, str, int, str]] = []

    def later(at: float, kind: str, entry: int, cell_id: str = "") -> None:
        heapq.heappush(simulated_events, (at, next(numbers), kind, entry, cell_id))

    for cell_id in cell_ids[: options.cells // 2]:
        for _ in range(options.backlog):
            requests_by_cell_id[cell_id] += 1
            later(random.expovariate(1 / options.service_seconds), "end", -1, cell_id)
    for entry in range(options.entries):
        later(random.expovariate(options.rate_per_entry), "request", entry)
        later(random.random(), "progress", entry)
    running: list[dict[str, int]] = [{} for _ in boards]
    found: list[Spread] = []
    while simulated_events[0][0] < options.seconds:
        now, _, kind, entry, cell_id = heapq.heappop(simulated_events)
        while now >= (len(found) + 1) * options.seconds / 10:
            values = list(requests_by_cell_id.values())
            found.append(Spread(now, mean(values), pstdev(values), max(values)))
        if kind == "end":
            requests_by_cell_id[cell_id] -= 1
            if entry >= 0:
                running[entry][cell_id] -= 1
            continue
        board = boards[entry]
        if kind == "progress":
            later(now + 1.0, "progress", entry)
            told = [cell_id for cell_id, held in running[entry].items() if held]
        else:
            later(now + random.expovariate(options.rate_per_entry), "request", entry)
            cell_id = place(board, f"request-{next(numbers)}", now, random)
            requests_by_cell_id[cell_id] += 1
            running[entry][cell_id] = running[entry].get(cell_id, 0) + 1
            ends = now + random.expovariate(1 / options.service_seconds)
            later(ends, "end", entry, cell_id)
            told = [cell_id]
        for cell_id in told if options.report_loads else ():
            load = 100 * requests_by_cell_id[cell_id] // UPSTREAMS_PER_CELL
            scheduler_id = board.schedulers_by_cell_id[cell_id][0]
            ack = messages.ProgressAck(scheduler_id, cell_id, (), load_percent=load)
            _placement.decide(ack, board, now, random)
    return found


def place(board: Board, request_id: str, now: float, random: Random) -> str:
    """Return the cell that the placement controller asks for a request."""
    board.requests_by_id[request_id] = rows.RequestRow(
        request_id, "a", "quotes", "urgent", "b", TARGET, "f", "", "", now, now + 9.0
    )
    _placement.decide(events.RequestAdmitted(request_id), board, now, random)
    return board.requests_by_id.pop(request_id).cell_id


def main() -> None:
    """Print the spread with and without known loads."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--cells", type=int, default=20)
    parser.add_argument("--seeds", type=int, default=3)
    arguments = parser.parse_args()
    for report_loads in (False, True):
        for seed in range(arguments.seeds):
            options = Options(cells=arguments.cells, report_loads=report_loads)
            shown = " ".join(
                f"{spread.at:.0f}s:{spread.mean:.0f}+-{spread.deviation:.1f}"
                f"(max {spread.highest})"
                for spread in run(options, seed)
            )
            print(f"loads known={report_loads} seed={seed} {shown}", flush=True)


if __name__ == "__main__":
    main()
