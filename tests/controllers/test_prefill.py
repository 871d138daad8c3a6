"""Prompts that engines have yet to read, and asks that cannot be in time any more."""

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


def world(engine_count=1):
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
    def test_next_prompt_waits_until_the_first_is_nearly_read(self):
        """Guards against first tokens that wait behind many prompts on one engine."""
        board = world()
        self.assertTrue(granted(feed(board, prompt("first"), NOW)))
        decided = feed(board, prompt("second"), NOW)
        self.assertEqual(granted(decided), {})
        (timer,) = [a for a in decided if isinstance(a, actions.SetTimer)]
        self.assertAlmostEqual(timer.deadline, NOW + 0.6)
        # The event loop rounds to a millisecond.
        fired_at = timer.deadline - 0.001
        self.assertTrue(granted(feed(board, timer.event, fired_at)))

    def test_check_that_came_too_early_is_repeated(self):
        """Guards against asks that wait for the next sweep though an engine is free."""
        board = world()
        feed(board, prompt("first"), NOW)
        (timer,) = [
            action
            for action in feed(board, prompt("second"), NOW)
            if isinstance(action, actions.SetTimer)
        ]
        again = feed(board, timer.event, timer.deadline - 0.05)
        (repeated,) = [a for a in again if isinstance(a, actions.SetTimer)]
        self.assertAlmostEqual(repeated.deadline, timer.deadline)

    def test_first_token_lets_the_next_prompt_in(self):
        """Guards against engines that idle because a rate was estimated too low."""
        board = world()
        feed(board, prompt("first"), NOW)
        self.assertEqual(granted(feed(board, prompt("second"), NOW + 0.1)), {})
        count = messages.RunningCount("first", 1, 1)
        progress = messages.Progress("entry-2", CELL, (), (), (count,))
        self.assertTrue(granted(feed(board, progress, NOW + 0.2)))

    def test_prompt_goes_to_the_engine_that_can_read_it(self):
        """Guards against prompts that queue on one engine while another is idle."""
        board = world(engine_count=2)
        first = granted(feed(board, prompt("first"), NOW))["first"]
        second = granted(feed(board, prompt("second"), NOW))["second"]
        self.assertNotEqual(first, second)

    def test_ask_in_time_goes_before_one_that_is_late(self):
        """Guards against an overload in which every first token is late."""
        board = world()
        feed(board, prompt("running"), NOW)
        late = prompt("late", goal_deadline=NOW + 0.5)
        in_time = prompt("in time", goal_deadline=NOW + 3.0)
        self.assertEqual(granted(feed(board, late, NOW)), {})
        self.assertEqual(granted(feed(board, in_time, NOW)), {})
        timer = events.TimerFired("prefill", CELL)
        self.assertEqual(list(granted(feed(board, timer, NOW + 0.7))), ["in time"])

    def test_late_ask_is_served_when_no_other_waits(self):
        """Guards against late answers that are never given."""
        board = world()
        late = prompt("late", goal_deadline=NOW - 1.0)
        self.assertTrue(granted(feed(board, late, NOW)))


if __name__ == "__main__":
    unittest.main()
