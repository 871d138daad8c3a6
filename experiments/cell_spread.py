"""Measure the spread of requests over cells with and without load reports.

Entries choose a cell for each request with the placement controller, which ignores
loads older than its age limit. A request ends after an exponentially distributed
service time. Half of the cells start with a backlog.
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
    """Parameters of one run; times are in seconds.

    Parameters
    ----------
    rate_per_entry : float
        Mean number of new requests per second at each entry.
    backlog : int
        Requests that each of the first half of the cells holds at the start.
    report_loads : bool
        Whether schedulers report the load of their cells to the entries.
    """

    cells: int = 20
    entries: int = 20
    rate_per_entry: float = 9.2
    service_seconds: float = 9.0
    seconds: float = 60.0
    backlog: int = 60
    report_loads: bool = True


class Spread(NamedTuple):
    """Distribution of the number of requests per cell at one point in time."""

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
    """Return the spread at the end of each tenth of the run."""
    random = Random(seed)
    boards = [entry_board(index, options.cells) for index in range(options.entries)]
    cell_ids = list(boards[0].cells_by_id)
    requests_by_cell_id = dict.fromkeys(cell_ids, 0)
    serial_numbers = count()
    simulated_events: list[tuple[float, int, str, int, str]] = []

    def schedule(at: float, kind: str, entry: int, cell_id: str = "") -> None:
        heapq.heappush(
            simulated_events, (at, next(serial_numbers), kind, entry, cell_id)
        )

    for cell_id in cell_ids[: options.cells // 2]:
        for _ in range(options.backlog):
            requests_by_cell_id[cell_id] += 1
            schedule(
                random.expovariate(1 / options.service_seconds), "end", -1, cell_id
            )
    for entry in range(options.entries):
        schedule(random.expovariate(options.rate_per_entry), "request", entry)
        schedule(random.random(), "progress", entry)
    running: list[dict[str, int]] = [{} for _ in boards]
    spreads: list[Spread] = []
    while simulated_events[0][0] < options.seconds:
        now, _, kind, entry, cell_id = heapq.heappop(simulated_events)
        while now >= (len(spreads) + 1) * options.seconds / 10:
            request_counts = list(requests_by_cell_id.values())
            spreads.append(
                Spread(
                    now,
                    mean(request_counts),
                    pstdev(request_counts),
                    max(request_counts),
                )
            )
        if kind == "end":
            requests_by_cell_id[cell_id] -= 1
            if entry >= 0:
                running[entry][cell_id] -= 1
            continue
        board = boards[entry]
        if kind == "progress":
            schedule(now + 1.0, "progress", entry)
            reported_cell_ids = [
                cell_id for cell_id, open_count in running[entry].items() if open_count
            ]
        else:
            schedule(now + random.expovariate(options.rate_per_entry), "request", entry)
            cell_id = place(board, f"request-{next(serial_numbers)}", now, random)
            requests_by_cell_id[cell_id] += 1
            running[entry][cell_id] = running[entry].get(cell_id, 0) + 1
            end_time = now + random.expovariate(1 / options.service_seconds)
            schedule(end_time, "end", entry, cell_id)
            reported_cell_ids = [cell_id]
        for cell_id in reported_cell_ids if options.report_loads else ():
            load = 100 * requests_by_cell_id[cell_id] // UPSTREAMS_PER_CELL
            scheduler_id = board.schedulers_by_cell_id[cell_id][0]
            ack = messages.ProgressAck(scheduler_id, cell_id, (), load_percent=load)
            _placement.decide(ack, board, now, random)
    return spreads


def place(board: Board, request_id: str, now: float, random: Random) -> str:
    """Return the cell that the placement controller chooses for a request."""
    board.requests_by_id[request_id] = rows.RequestRow(
        request_id, "a", "quotes", "urgent", "b", TARGET, "f", "", "", now, now + 9.0
    )
    _placement.decide(events.RequestAdmitted(request_id), board, now, random)
    return board.requests_by_id.pop(request_id).cell_id


def main() -> None:
    """Print the spread with and without load reports."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--cells", type=int, default=20)
    parser.add_argument("--seeds", type=int, default=3)
    arguments = parser.parse_args()
    for report_loads in (False, True):
        for seed in range(arguments.seeds):
            options = Options(cells=arguments.cells, report_loads=report_loads)
            formatted_spreads = " ".join(
                f"{spread.at:.0f}s:{spread.mean:.0f}+-{spread.deviation:.1f}"
                f"(max {spread.highest})"
                for spread in run(options, seed)
            )
            print(
                f"loads known={report_loads} seed={seed} {formatted_spreads}",
                flush=True,
            )


if __name__ == "__main__":
    main()
