"""Tests of the prefill backlog and of asks that can no longer meet their goal."""

from __future__ import annotations

import unittest

from carawayhitch.core import actions, events, messages
from tests.controllers.scheduling_world import (
    CELL,
    ask,
    feed,
    granted,
    load,
    scheduling_board,
)

RATE = 1000.0
NOW = 100.0


def prefill_board(engine_count=1):
    board = scheduling_board(engine_count)
    scheduling = board.settings.scheduling._replace(
        prefill_tokens_per_second=RATE, prefill_limit_seconds=0.4
    )
    board.settings_by_name["in_force"] = board.settings._replace(scheduling=scheduling)
    for name in list(board.upstreams_by_id):
        report = load(name, NOW - 1, memory_capacity=100_000, running_limit=64)
        feed(board, report, NOW - 1)
    return board


def prompt(request_id, tokens=1000, **changes):
    return ask(request_id, prompt_tokens=tokens, maximum_tokens=50, **changes)


class PrefillTest(unittest.TestCase):
    def test_next_prompt_waits_until_the_prefill_backlog_is_low(self):
        """Guards against first tokens delayed by many prompts on one engine."""
        board = prefill_board()
        self.assertTrue(granted(feed(board, prompt("first"), NOW)))
        decided = feed(board, prompt("second"), NOW)
        self.assertEqual(granted(decided), {})
        (timer,) = [a for a in decided if isinstance(a, actions.SetTimer)]
        self.assertAlmostEqual(timer.deadline, NOW + 0.6)
        # The event loop rounds times to milliseconds.
        fired_at = timer.deadline - 0.001
        self.assertTrue(granted(feed(board, timer.event, fired_at)))

    def test_prefill_timer_that_fires_early_is_set_again(self):
        """Guards against asks that wait for a sweep although an engine is free."""
        board = prefill_board()
        feed(board, prompt("first"), NOW)
        (timer,) = [
            action
            for action in feed(board, prompt("second"), NOW)
            if isinstance(action, actions.SetTimer)
        ]
        rescheduled = feed(board, timer.event, timer.deadline - 0.05)
        (repeated,) = [a for a in rescheduled if isinstance(a, actions.SetTimer)]
        self.assertAlmostEqual(repeated.deadline, timer.deadline)

    def test_first_token_allows_the_next_prompt(self):
        """Guards against idle engines because the prefill rate was set too low."""
        board = prefill_board()
        feed(board, prompt("first"), NOW)
        self.assertEqual(granted(feed(board, prompt("second"), NOW + 0.1)), {})
        count = messages.RunningCount("first", 1, 1)
        progress = messages.Progress("entry-2", CELL, (), (), (count,))
        self.assertTrue(granted(feed(board, progress, NOW + 0.2)))

    def test_prompt_is_placed_on_the_engine_without_backlog(self):
        """Guards against prompts that queue on one engine while another is idle."""
        board = prefill_board(engine_count=2)
        first = granted(feed(board, prompt("first"), NOW))["first"]
        second = granted(feed(board, prompt("second"), NOW))["second"]
        self.assertNotEqual(first, second)

    def test_ask_within_its_goal_is_served_before_a_late_one(self):
        """Guards against an overload in which every first token misses its goal."""
        board = prefill_board()
        feed(board, prompt("running"), NOW)
        late = prompt("late", goal_deadline=NOW + 0.5)
        in_time = prompt("in time", goal_deadline=NOW + 3.0)
        self.assertEqual(granted(feed(board, late, NOW)), {})
        self.assertEqual(granted(feed(board, in_time, NOW)), {})
        timer = events.TimerFired("prefill", CELL)
        self.assertEqual(list(granted(feed(board, timer, NOW + 0.7))), ["in time"])

    def test_late_ask_is_served_when_no_other_waits(self):
        """Guards against late asks that are never served."""
        board = prefill_board()
        late = prompt("late", goal_deadline=NOW - 1.0)
        self.assertTrue(granted(feed(board, late, NOW)))


if __name__ == "__main__":
    unittest.main()
