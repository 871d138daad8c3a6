"""Choice among the cells of a group by the loads that schedulers report."""

from __future__ import annotations

import unittest
from collections import Counter
from random import Random

from carawayhitch.controllers import _placement
from carawayhitch.core import messages
from experiments import cell_spread
from tests.controllers.scheduling_world import (
    CELL,
    ask,
    feed,
    report_all,
    running,
    scheduling_board,
    sent,
)


def receive_load(board, load_percent, number, now, sender_id=None):
    cell_id = f"quotes/r1/{number}"
    ack = messages.ProgressAck(
        sender_id or f"scheduler-{number}", cell_id, (), load_percent=load_percent
    )
    _placement.decide(ack, board, now, Random(1))


def count_chosen_cells(board, now, count=400):
    random = Random(5)
    counts = Counter()
    for _ in range(count):
        cell = _placement.choose_cell(board, "quotes", now, random)
        counts[int(cell.cell_id[-1])] += 1
    return counts


class CellChoiceTest(unittest.TestCase):
    def test_less_loaded_cell_of_two_is_taken(self):
        """Guards against requests sent to a loaded cell while another is idle."""
        board = cell_spread.entry_board(1, 2)
        receive_load(board, 900, 0, 1.0)
        receive_load(board, 100, 1, 1.0)
        self.assertEqual(count_chosen_cells(board, 2.0), {1: 400})

    def test_expired_loads_are_ignored(self):
        """Guards against a cell that is never chosen because of an outdated load."""
        board = cell_spread.entry_board(1, 2)
        receive_load(board, 900, 0, 1.0)
        receive_load(board, 100, 1, 1.0)
        counts = count_chosen_cells(board, 1.0 + _placement.CELL_LOAD_LIFETIME_SECONDS)
        self.assertGreater(min(counts[0], counts[1]), 150)

    def test_unknown_load_is_assumed_to_be_the_mean(self):
        """Guards against a cell of unknown load that receives all or no requests."""
        board = cell_spread.entry_board(1, 3)
        receive_load(board, 900, 0, 1.0)
        receive_load(board, 100, 1, 1.0)
        counts = count_chosen_cells(board, 2.0)
        self.assertEqual(counts[0], 0)
        self.assertGreater(counts[1], counts[2])
        self.assertGreater(counts[2], 80)

    def test_load_from_former_scheduler_is_ignored(self):
        """Guards against a former scheduler whose answer reports the cell as idle."""
        board = cell_spread.entry_board(1, 2)
        receive_load(board, 900, 0, 1.0)
        receive_load(board, 0, 0, 1.5, sender_id="former")
        receive_load(board, 500, 1, 1.5)
        self.assertEqual(count_chosen_cells(board, 2.0), {1: 400})

    def test_answers_carry_the_load(self):
        """Guards against a scheduler answer that omits the load of the cell."""
        board = scheduling_board(engine_count=2)
        report_all(board, 1.0)
        for index in range(3):
            feed(board, running(f"r{index}"), 1.0)
        decided = feed(board, running("r3"), 1.0)
        ack = sent(decided, messages.ProgressAck)[0]
        self.assertEqual(ack.load_percent, 200)
        grant = sent(feed(board, ask("a"), 1.1), messages.AdmissionGrant)[0]
        self.assertEqual(grant.load_percent, 250)
        del board.settle_deadlines_by_cell_id[CELL]
        board.upstreams_by_id.clear()
        queued = sent(feed(board, ask("b"), 1.2), messages.AdmissionQueued)[0]
        self.assertEqual(queued.load_percent, 300)

    def test_own_requests_are_added_to_the_load(self):
        """Guards against a burst that is placed entirely in the last idle cell."""
        board = cell_spread.entry_board(1, 2)
        receive_load(board, 400, 0, 1.0)
        receive_load(board, 0, 1, 1.0)
        random = Random(3)
        counts = Counter(
            cell_spread.place(board, f"r{index}", 1.0, random) for index in range(64)
        )
        self.assertEqual(sorted(counts.values()), [24, 40])

    def test_uneven_load_is_balanced(self):
        """Guards against a persistent load difference between cells of a group."""
        informed = cell_spread.Options(seconds=40.0)
        uninformed = informed._replace(report_loads=False)
        for seed in range(3):
            with self.subTest(seed=seed):
                last = cell_spread.run(informed, seed)[-1]
                uninformed_last = cell_spread.run(uninformed, seed)[-1]
                self.assertLess(last.deviation, 0.5 * uninformed_last.deviation)
                self.assertLess(last.highest, 1.2 * last.mean)


if __name__ == "__main__":
    unittest.main()
