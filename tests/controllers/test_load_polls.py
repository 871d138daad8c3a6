"""Polls of engines' load reports, also while the store says nothing."""

from __future__ import annotations

import unittest
from random import Random

from carawayhitch import controllers
from carawayhitch.controllers import _upstreams
from carawayhitch.core import actions, events, rows
from tests.controllers.scheduling_world import feed, load, scheduling_board

NOW = 100.0


class SilentStoreTest(unittest.TestCase):
    def setUp(self):
        self.board = scheduling_board(3)
        settings = self.board.settings
        self.board.settings_by_name["in_force"] = settings._replace(
            scheduling=settings.scheduling._replace(load_interval_seconds=4.0),
            store=settings.store._replace(
                watch_timeout_seconds=1.5, slow_scopes=("entries",)
            ),
        )

    def contact(self, at, failures=0, scope="upstreams"):
        self.board.store_scopes_by_name[scope] = rows.StoreScopeRow(
            scope, failure_count=failures, contacted_at=at
        )

    def polled(self):
        """Return the engines polled at the check, which sets the next one."""
        event = events.TimerFired(_upstreams.STORE_SILENCE_TIMER)
        decided = list(controllers.decide(event, self.board, NOW, Random(1)))
        timers = [
            action.deadline - NOW
            for action in decided
            if isinstance(action, actions.SetTimer)
        ]
        self.assertEqual(timers, [_upstreams.STORE_SILENCE_POLL_SECONDS])
        return [a.upstream_id for a in decided if isinstance(a, actions.PollLoad)]

    def test_engines_are_asked_while_the_store_is_silent(self):
        """Guards against engines that leave unnoticed in an outage of the store."""
        for name, at, failures, count in (
            ("answers", NOW - 1.4, 0, 0),
            ("fails", NOW - 0.1, 1, 3),
            ("hangs", NOW - 1.8, 0, 3),
            ("has never answered", 0.0, 0, 0),
        ):
            with self.subTest(name):
                self.contact(at, failures)
                self.assertEqual(len(self.polled()), count)

    def test_slow_watch_is_no_silence(self):
        """Guards against polls because of a scope that is watched slowly."""
        self.contact(NOW - 0.1)
        self.contact(NOW - 15.0, scope="entries")
        self.assertEqual(self.polled(), [])

    def test_engine_that_is_known_to_leave_is_not_asked(self):
        """Guards against calls that say nothing new."""
        self.contact(NOW - 0.1, failures=2)
        known = self.board.upstreams_by_id["engine-1"]
        self.board.upstreams_by_id["engine-1"] = known._replace(leaving=True)
        self.assertEqual(self.polled(), ["engine-0", "engine-2"])

    def test_fast_polls_need_no_check(self):
        """Guards against engines that are asked twice."""
        settings = self.board.settings
        self.board.settings_by_name["in_force"] = settings._replace(
            scheduling=settings.scheduling._replace(load_interval_seconds=0.5)
        )
        event = events.ProcessStarted(1)
        decided = controllers.decide(event, self.board, NOW, Random(1))
        names = [a.event.name for a in decided if isinstance(a, actions.SetTimer)]
        self.assertNotIn(_upstreams.STORE_SILENCE_TIMER, names)


class LeavingReportTest(unittest.TestCase):
    def test_report_of_an_engine_that_leaves_is_a_notice(self):
        """Guards against generations that stay on an engine whose notice was unread."""
        board = scheduling_board(2)
        leaving = load("engine-0", NOW, leaving=True, leaves_at=NOW + 1.2)
        for expected in ([events.UpstreamLeaving("engine-0")], []):
            decided = feed(board, leaving, NOW)
            emitted = [a.event for a in decided if isinstance(a, actions.Emit)]
            self.assertEqual(emitted, expected)
        row = board.upstreams_by_id["engine-0"]
        self.assertEqual((row.leaving_since, row.leaves_at), (NOW, NOW + 1.2))


if __name__ == "__main__":
    unittest.main()
