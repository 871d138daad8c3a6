"""Tests of store lists and watches with a working store and stale answers."""

from __future__ import annotations

import unittest

from carawayhitch.controllers import store_watch
from carawayhitch.core import actions, events, result_codes, rows
from carawayhitch.core import settings as settings_types
from tests.boards import ready_board
from tests.controllers.store_watch_case import (
    SCOPES,
    StoreWatchCase,
    upstream,
)


class StoreWatchTest(StoreWatchCase):
    def test_first_list_of_a_scope_may_be_stale_and_later_ones_not(self):
        """Guards against full charges at startup, and later lists that skip changes."""
        self.now += 1.0
        started = self.feed(events.ProcessStarted(1))
        lists = [a for a in started if isinstance(a, actions.ListObjects)]
        self.assertEqual([a.may_be_stale for a in lists], [False, True, True])
        self.listed()
        self.feed(events.WatchExpired(store_watch.WATCH_OPERATION, "upstreams"))
        again = self.next_call()
        self.assertIsInstance(again, actions.ListObjects)
        self.assertFalse(again.may_be_stale)

    def test_all_entries_start_with_stale_lists(self):
        """Guards against full charges when hundreds of entries start together."""
        store = self.board.settings.store._replace(stale_watches=True)
        self.board.settings_by_name["in_force"] = self.board.settings._replace(
            store=store
        )
        self.now += 1.0
        started = self.feed(events.ProcessStarted(1))
        lists = [a for a in started if isinstance(a, actions.ListObjects)]
        self.assertEqual([a.may_be_stale for a in lists], [True, True, True])

    def test_list_of_a_slow_scope_may_always_be_stale(self):
        """Guards against a full charge per entry when the store drops its history."""
        self.feed(events.ObjectsListed(10, (), "entries"))
        self.feed(events.WatchExpired(store_watch.WATCH_OPERATION, "entries"))
        again = self.next_call("entries")
        self.assertIsInstance(again, actions.ListObjects)
        self.assertTrue(again.may_be_stale)

    def test_slow_scope_is_watched_less_often_and_delays_no_other_scope(self):
        """Guards against store calls that return nothing new."""
        for scope in SCOPES:
            listed = events.ObjectsListed(10, (), scope)
            decided = self.feed(listed)
        self.assertEqual(self.call_delays(decided), [1.0])
        self.assertEqual(self.next_call("entries").wait_seconds, 20.0)
        self.assertEqual(self.next_call("upstreams").wait_seconds, 30.0)
        for scope in SCOPES[:2]:
            decided = self.feed(events.ObjectsChanged("store", 15, (), scope))
        (received,) = [a.event for a in decided if isinstance(a, actions.Emit)]
        self.assertEqual(received.complete_revision, 15)

    def test_slow_scope_does_not_skip_to_the_revision_of_other_scopes(self):
        """Guards against entries that never discover some others.

        The objects of a slow scope are not exchanged, so the revisions of peers and of
        other scopes do not cover them.
        """
        for scope, revision in zip(SCOPES, (15, 16, 10), strict=True):
            self.feed(events.ObjectsListed(revision, (), scope))
        self.feed(events.ObjectsReceived((), 15, 0))
        self.assertEqual(self.next_call("entries").revision, 10)
        self.assertEqual(self.next_call("configuration").revision, 15)

    def test_object_missing_in_a_list_is_removed(self):
        """Guards against upstreams that stay known after a skipped removal."""
        self.add_received(upstream("u1", 3), upstream("u2", 4))
        self.assertEqual(self.listed(upstream("u1", 3)), {"u1": False, "u2": True})

    def test_object_newer_than_the_list_is_kept(self):
        """Guards against a late list that removes objects written after it."""
        self.add_received(upstream("u1", 12))
        self.assertEqual(self.listed(revision=10), {})

    def test_unreadable_objects_are_counted_and_logged(self):
        """Guards against servers that are missing without a log line."""
        changed = events.ObjectsChanged(
            "store", 20, (), "upstreams", True, unreadable_count=2
        )
        decided = self.feed(changed)
        codes = [a.code for a in decided if isinstance(a, actions.Count)]
        self.assertEqual(codes, [result_codes.STORE_OBJECT_UNREADABLE])
        (line,) = [a for a in decided if isinstance(a, actions.Log)]
        self.assertEqual(line.event, "store objects could not be read")
        self.assertEqual((line.fields["objects"], line.fields["revision"]), (2, 20))

    def test_watches_use_the_time_that_the_bounds_allow(self):
        """Guards against store calls that no bound requires, and against late ones.

        A silent connection is noticed when a watch times out, a second after its wait.
        """
        store = settings_types.StoreSettings("", timeout_seconds=1.0)
        cases = (
            # contact, configuration and leaving bound in milliseconds, longest wait
            ((3000, 2000, 2000), 1.5),
            ((4000, 3000, 3000), 2.5),
            ((5000, 4000, 4000), 3.5),
            ((9000, 8000, 2000), 1.5),
            ((1200, 2000, 2000), 30.0),
            ((0, 0, 0), 30.0),
        )
        for (contact, configuration, leaving), expected in cases:
            bounded = store._replace(
                contact_milliseconds=contact,
                configuration_milliseconds=configuration,
                leaving_milliseconds=leaving,
            )
            found = store_watch.answer_interval_seconds(bounded)
            self.assertEqual(found, expected)

    def test_only_schedulers_follow_upstreams_at_once(self):
        """Guards against one store call per entry for each change of an upstream.

        An entry that schedules no engines pauses, and then waits only for the rest of
        the time, so that a quiet store is not called more often. Schedulers notice a
        silent store before an engine leaves unnoticed.
        """
        store = self.board.settings.store._replace(
            relaxed_scopes=("upstreams",),
            watch_timeout_seconds=1.5,
            contact_milliseconds=9000,
            configuration_milliseconds=2500,
            leaving_milliseconds=2500,
        )
        board = self.board
        board.settings_by_name["in_force"] = board.settings._replace(store=store)
        board.cells_by_id["quotes/r1/0"] = rows.CellRow(
            "quotes/r1/0", "quotes", "r1", ()
        )
        own = board.node_id
        cases = (
            (("other", "another", own), 1.6, 0.4),
            (("other", own), 0.0, 1.5),
            ((own, "other"), 0.0, 1.5),
        )
        for schedulers, pause, wait in cases:
            with self.subTest(schedulers):
                board.schedulers_by_cell_id["quotes/r1/0"] = schedulers
                revision = board.store_scopes_by_name["upstreams"].position + 1
                changed = events.ObjectsChanged("s", revision, (), "upstreams", True)
                (delay,) = self.call_delays(self.feed(changed))
                self.assertAlmostEqual(delay, pause)
                self.now += delay
                self.assertAlmostEqual(self.next_call().wait_seconds, wait)

    def test_watchers_of_a_zone_read_the_latest_state(self):
        """Guards against a zone in which every entry reads old data only."""
        store = self.board.settings.store._replace(
            stale_watches=True, stale_scopes=("entries",), watchers_per_zone=1
        )
        names = ("n1", "n2", "n3", "n4")
        exact = []
        for own_name in names:
            self.board = ready_board(own_name, store=store)
            for name in names:
                if name != own_name:
                    self.board.members_by_id[name] = rows.MemberRow(
                        name, 1, "alive", "127.0.0.1", 1, 2, "a", "r1"
                    )
            self.listed()
            if not self.next_call().may_be_stale:
                exact.append(own_name)
        self.assertEqual(len(exact), 1)

    def test_stale_answer_reverts_nothing(self):
        """Guards against a stale read that is taken for the newest state."""
        self.listed(upstream("u1", 30), revision=30)
        self.feed(events.ObjectsChanged("store", 20, (), "upstreams", True))
        self.assertEqual(self.board.store_scopes_by_name["upstreams"].position, 30)

    def test_expired_watch_is_followed_by_a_list(self):
        """Guards against a watch that continues from a dropped revision."""
        self.listed(upstream("u1", 3))
        self.feed(events.WatchExpired(store_watch.WATCH_OPERATION, "upstreams"))
        self.assertIsInstance(self.next_call(), actions.ListObjects)


if __name__ == "__main__":
    unittest.main()
