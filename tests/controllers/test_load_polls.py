"""Tests of load polls, including additional polls while the store is silent."""

from __future__ import annotations

import unittest
from random import Random

from carawayhitch import controllers
from carawayhitch.controllers import _upstreams
from carawayhitch.controllers.store_watch import answer_interval_seconds
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

    def set_store_contact(self, at, failures=0, scope="upstreams"):
        self.board.store_scopes_by_name[scope] = rows.StoreScopeRow(
            scope, failure_count=failures, contacted_at=at
        )

    def polled_ids(self):
        """Return the engines polled by the silence timer, which sets itself again."""
        event = events.TimerFired(_upstreams.STORE_SILENCE_TIMER)
        decided = list(controllers.decide(event, self.board, NOW, Random(1)))
        timers = [
            action.deadline - NOW
            for action in decided
            if isinstance(action, actions.SetTimer)
        ]
        self.assertEqual(timers, [_upstreams.STORE_SILENCE_POLL_SECONDS])
        return [a.upstream_id for a in decided if isinstance(a, actions.PollLoad)]

    def test_engines_are_polled_while_the_store_is_silent(self):
        """Guards against engines that leave unnoticed during a store outage."""
        for name, at, failures, count in (
            ("answers", NOW - 1.4, 0, 0),
            ("fails", NOW - 0.1, 1, 3),
            ("hangs", NOW - 1.8, 0, 3),
            ("has never answered", 0.0, 0, 0),
        ):
            with self.subTest(name):
                self.set_store_contact(at, failures)
                self.assertEqual(len(self.polled_ids()), count)

    def test_slow_watch_does_not_count_as_silence(self):
        """Guards against polls caused by a scope with a long watch timeout."""
        self.set_store_contact(NOW - 0.1)
        store = self.board.settings.store
        for seconds in (15.0, store.slow_watch_seconds + store.slow_pause_seconds):
            self.set_store_contact(NOW - seconds, scope="entries")
            self.assertEqual(self.polled_ids(), [])

    def test_pause_of_a_relaxed_watch_does_not_count_as_silence(self):
        """Guards against polls by an entry that schedules a cell only for a while.

        Such an entry does not own the cell, so its watch of upstreams pauses long.
        """
        board = self.board
        store = board.settings.store._replace(
            relaxed_scopes=("upstreams",),
            contact_milliseconds=5000,
            configuration_milliseconds=4000,
            leaving_milliseconds=4000,
        )
        board.settings_by_name["in_force"] = board.settings._replace(store=store)
        for cell_id in board.cells_by_id:
            board.schedulers_by_cell_id[cell_id] = ("other", "another", board.node_id)
            board.settle_deadlines_by_cell_id[cell_id] = NOW - 1.0
        interval = answer_interval_seconds(store)
        self.set_store_contact(NOW - interval)
        self.assertEqual(self.polled_ids(), [])
        self.set_store_contact(NOW - interval - 0.3)
        self.assertEqual(len(self.polled_ids()), 3)

    def test_leaving_engine_is_not_polled(self):
        """Guards against polls that bring no new information."""
        self.set_store_contact(NOW - 0.1, failures=2)
        known = self.board.upstreams_by_id["engine-1"]
        self.board.upstreams_by_id["engine-1"] = known._replace(leaving=True)
        self.assertEqual(self.polled_ids(), ["engine-0", "engine-2"])

    def test_short_load_interval_sets_no_silence_timer(self):
        """Guards against polling engines twice per interval."""
        settings = self.board.settings
        self.board.settings_by_name["in_force"] = settings._replace(
            scheduling=settings.scheduling._replace(load_interval_seconds=0.5)
        )
        event = events.ProcessStarted(1)
        decided = controllers.decide(event, self.board, NOW, Random(1))
        names = [a.event.name for a in decided if isinstance(a, actions.SetTimer)]
        self.assertNotIn(_upstreams.STORE_SILENCE_TIMER, names)


class LeavingReportTest(unittest.TestCase):
    def test_leaving_state_in_a_load_report_counts_as_notice(self):
        """Guards against generations left on an engine whose notice was not read."""
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
