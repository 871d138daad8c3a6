"""Choice among the cells of a group by the loads that schedulers tell."""

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


def tell(board, load_percent, number, now, sender_id=None):
    cell_id = f"quotes/r1/{number}"
    ack = messages.ProgressAck(
        sender_id or f"scheduler-{number}", cell_id, (), load_percent=load_percent
    )
    _placement.decide(ack, board, now, Random(1))


def chosen(board, now, count=400):
    random = Random(5)
    found = Counter()
    for _ in range(count):
        cell = _placement.choose_cell(board, "quotes", now, random)
        found[int(cell.cell_id[-1])] += 1
    return found


class CellChoiceTest(unittest.TestCase):
    def test_less_loaded_cell_of_two_is_taken(self):
        """Guards against requests sent to a loaded cell beside an idle one."""
        board = cell_spread.entry_board(1, 2)
        tell(board, 900, 0, 1.0)
        tell(board, 100, 1, 1.0)
        self.assertEqual(chosen(board, 2.0), {1: 400})

    def test_old_loads_do_not_count(self):
        """Guards against a cell left out for a load of long ago."""
        board = cell_spread.entry_board(1, 2)
        tell(board, 900, 0, 1.0)
        tell(board, 100, 1, 1.0)
        found = chosen(board, 1.0 + _placement.LOAD_AGE_SECONDS)
        self.assertGreater(min(found[0], found[1]), 150)

    def test_unknown_cell_counts_as_the_mean(self):
        """Guards against a new cell that takes everything or nothing."""
        board = cell_spread.entry_board(1, 3)
        tell(board, 900, 0, 1.0)
        tell(board, 100, 1, 1.0)
        found = chosen(board, 2.0)
        self.assertEqual(found[0], 0)
        self.assertGreater(found[1], found[2])
        self.assertGreater(found[2], 80)

    def test_only_the_scheduler_tells_the_load(self):
        """Guards against a former scheduler that reports its cell as idle."""
        board = cell_spread.entry_board(1, 2)
        tell(board, 900, 0, 1.0)
        tell(board, 0, 0, 1.5, sender_id="former")
        tell(board, 500, 1, 1.5)
        self.assertEqual(chosen(board, 2.0), {1: 400})

    def test_answers_tell_the_load(self):
        """Guards against loads that no message carries."""
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

    def test_own_requests_count_at_once(self):
        """Guards against a burst that all goes to the cell that was idle before."""
        board = cell_spread.entry_board(1, 2)
        tell(board, 400, 0, 1.0)
        tell(board, 0, 1, 1.0)
        random = Random(3)
        found = Counter(
            cell_spread.place(board, f"r{index}", 1.0, random) for index in range(64)
        )
        self.assertEqual(sorted(found.values()), [24, 40])

    def test_skew_disappears(self):
        """Guards against cells that stay loaded while others are idle."""
        report_loads = cell_spread.Options(seconds=40.0)
        uninformed = report_loads._replace(report_loads=False)
        for seed in range(3):
            with self.subTest(seed=seed):
                last = cell_spread.run(report_loads, seed)[-1]
                random_choice = cell_spread.run(uninformed, seed)[-1]
                self.assertLess(last.deviation, 0.5 * random_choice.deviation)
                self.assertLess(last.highest, 1.2 * last.mean)


if __name__ == "__main__":
    unittest.main()
