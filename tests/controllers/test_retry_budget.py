"""Fleet-wide retry limit: the share of each entry under changes of membership."""

from __future__ import annotations

import unittest
from random import Random

from carawayhitch import controllers
from carawayhitch.controllers import _retries
from carawayhitch.core import events, result_codes, rows
from carawayhitch.core import settings as settings_types
from tests.boards import ready_board

FLEET_LIMIT = 40
ENTRY_COUNT = 10
NOW = 100.0


def entry_board(live_count=ENTRY_COUNT, registered_count=ENTRY_COUNT):
    """Return the board of an entry that sees some members of a fleet of ten."""
    retries = settings_types.RetrySettings(
        fleet_limit=FLEET_LIMIT, fleet_window_seconds=10.0
    )
    board = ready_board(retries=retries)
    for index in range(ENTRY_COUNT):
        state = "alive" if index < live_count else "dead"
        member = rows.MemberRow(f"n{index}", 1, state, "10.0.0.1", 1, 1, "a", "r1")
        board.members_by_id[member.node_id] = member
    for index in range(registered_count):
        seed = settings_types.SeedPeer("10.0.0.1", 1)
        board.listed_entries_by_vm_id[f"n{index}"] = seed
    return board


def count_retries(board, seconds):
    """Return how many retries a group gets within a time if it always wants more."""
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
        """Guards against entries that each use the whole limit of the fleet."""
        self.assertLessEqual(
            count_retries(entry_board(), 10.0) * ENTRY_COUNT, FLEET_LIMIT
        )

    def test_shares_do_not_grow_in_a_partition(self):
        """Guards against retries beyond the limit during a network partition."""
        board = entry_board(live_count=5)
        self.assertLessEqual(count_retries(board, 10.0) * ENTRY_COUNT, FLEET_LIMIT)

    def test_entry_without_known_members_uses_its_share(self):
        """Guards against use of the whole limit by each entry after a fleet restart."""
        board = entry_board(live_count=1)
        self.assertLessEqual(count_retries(board, 10.0) * ENTRY_COUNT, FLEET_LIMIT)

    def test_empty_budget_is_counted_and_logged(self):
        """Guards against a call that ends without a retry and without a reason."""
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
