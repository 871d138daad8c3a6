"""Retries of a fleet together: the part of each entry, and what it grows with."""

from __future__ import annotations

import unittest
from random import Random

from carawayhitch import controllers
from carawayhitch.controllers import _retries
from carawayhitch.core import events, result_codes, rows
from carawayhitch.core import settings as settings_types
from tests.boards import ready_board

FLEET_LIMIT = 40
ENTRIES = 10
NOW = 100.0


def entry_board(live=ENTRIES, registered=ENTRIES):
    """Return the board of one entry that sees some of a fleet of ten."""
    retries = settings_types.RetrySettings(
        fleet_limit=FLEET_LIMIT, fleet_window_seconds=10.0
    )
    board = ready_board(retries=retries)
    for index in range(ENTRIES):
        state = "alive" if index < live else "dead"
        member = rows.MemberRow(f"n{index}", 1, state, "10.0.0.1", 1, 1, "a", "r1")
        board.members_by_id[member.node_id] = member
    for index in range(registered):
        seed = settings_types.SeedPeer("10.0.0.1", 1)
        board.listed_entries_by_vm_id[f"n{index}"] = seed
    return board


def retries_in(board, seconds):
    """Return how often a group may retry in some seconds, however often it asks."""
    count, now = 0, NOW
    while now <= NOW + seconds:
        budget = _retries._budget(board, "g", now)
        while budget.retries >= 1.0:
            budget = budget._replace(retries=budget.retries - 1.0)
            count += 1
        board.retry_budgets_by_group["g"] = budget
        now += 0.1
    return count


class FleetBudgetTest(unittest.TestCase):
    def test_fleet_stays_within_its_limit(self):
        """Guards against a limit that each entry takes for itself."""
        self.assertLessEqual(retries_in(entry_board(), 10.0) * ENTRIES, FLEET_LIMIT)

    def test_parts_of_a_split_fleet_do_not_grow(self):
        """Guards against retries beyond the limit when halves lose each other."""
        board = entry_board(live=5)
        self.assertLessEqual(retries_in(board, 10.0) * ENTRIES, FLEET_LIMIT)

    def test_entry_that_knows_no_other_yet_takes_its_part(self):
        """Guards against a restart of all in which each takes the whole limit."""
        board = entry_board(live=1)
        self.assertLessEqual(retries_in(board, 10.0) * ENTRIES, FLEET_LIMIT)

    def test_empty_budget_is_counted_and_logged(self):
        """Guards against calls that end without a retry and without a reason."""
        board = entry_board()
        target = rows.RoutedTarget("GET", "h", "/", 0, 0, repeatable=True)
        row = rows.RequestRow(
            "r", "a", "g", "k", "b", target, "", "", "", NOW, NOW + 9, scheduler_id="s"
        )
        board.requests_by_id["r"] = row
        board.retry_budgets_by_group["g"] = rows.RetryBudgetRow(0.0, NOW)
        event = events.RetryRequested(
            "r", result_codes.RETRY_CONNECT, result_codes.UPSTREAM_FAILED
        )
        decided = list(controllers.decide(event, board, NOW, Random(1)))
        codes = [getattr(action, "code", None) for action in decided]
        self.assertIn(result_codes.RETRY_BUDGET_EMPTY, codes)
        self.assertIn(result_codes.UPSTREAM_FAILED, codes)


if __name__ == "__main__":
    unittest.main()
