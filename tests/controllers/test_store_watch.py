"""Lists and watches of the store's scopes, through outages and stale answers."""

from __future__ import annotations

import unittest
from random import Random

from carawayhitch import controllers
from carawayhitch.controllers import _store_watch
from carawayhitch.core import actions, declarations, events, result_codes
from carawayhitch.core import settings as settings_types
from tests.boards import ready_board

KIND = declarations.UPSTREAM_REGISTRATION
SCOPES = ("configuration", "upstreams", "entries")
GRACE_SECONDS = 2.0


def upstream(name, version, deleted=False):
    return events.StoredObject(KIND, name, version, b"" if deleted else b"{}", deleted)


class StoreWatchTest(unittest.TestCase):
    def setUp(self):
        store = settings_types.StoreSettings(
            "http://127.0.0.1:1",
            scopes=SCOPES,
            stale_scopes=("upstreams", "entries"),
            slow_scopes=("entries",),
            lapse_grace_seconds=GRACE_SECONDS,
            retry_limit_seconds=0.5,
            watch_pause_seconds=0.0,
        )
        self.board = ready_board(store=store)
        self.now = 100.0
        self.feed(events.ProcessStarted(1))

    def feed(self, event):
        return list(controllers.decide(event, self.board, self.now, Random(1)))

    def listed(self, *objects, revision=10):
        event = events.ObjectsListed(revision, objects, "upstreams", (KIND,))
        return self.received(self.feed(event))

    def received(self, decided):
        """Return by name whether an object that was handed on is gone."""
        return {
            stored.name: stored.deleted
            for action in decided
            if isinstance(action, actions.Emit)
            and isinstance(action.event, events.ObjectsReceived)
            for stored in action.event.objects
        }

    def keep(self, *objects):
        """Put objects on the board as if they had been handed on."""
        for stored in objects:
            received = events.ObjectsReceived((stored,), -1, 0)
            self.feed(received)

    def timers(self, decided):
        return [
            action.deadline - self.now
            for action in decided
            if isinstance(action, actions.SetTimer)
            and action.event.name == _store_watch.STORE_CALL_TIMER
        ]

    def next_call(self, scope="upstreams"):
        timer = events.TimerFired(_store_watch.STORE_CALL_TIMER, scope)
        calls = [
            action
            for action in self.feed(timer)
            if isinstance(action, actions.ListObjects | actions.WatchObjects)
        ]
        return calls[0] if calls else None

    def fail(self):
        event = events.StoreCallFailed(_store_watch.WATCH_OPERATION, "x", "upstreams")
        return self.feed(event)

    def test_first_list_of_a_scope_may_be_stale_and_later_ones_not(self):
        """Guards against full prices at a start, and lists that skip changes."""
        self.now += 1.0
        started = self.feed(events.ProcessStarted(1))
        lists = [a for a in started if isinstance(a, actions.ListObjects)]
        self.assertEqual([a.may_be_stale for a in lists], [False, True, True])
        self.listed()
        self.feed(events.WatchExpired(_store_watch.WATCH_OPERATION, "upstreams"))
        again = self.next_call()
        self.assertIsInstance(again, actions.ListObjects)
        self.assertFalse(again.may_be_stale)

    def test_slow_scope_is_watched_slowly_and_holds_nothing_up(self):
        """Guards against calls to the store that tell nothing new."""
        for scope in SCOPES:
            listed = events.ObjectsListed(10, (), scope)
            decided = self.feed(listed)
        self.assertEqual(self.timers(decided), [1.0])
        self.assertEqual(self.next_call("entries").wait_seconds, 20.0)
        self.assertEqual(self.next_call("upstreams").wait_seconds, 30.0)
        for scope in SCOPES[:2]:
            decided = self.feed(events.ObjectsChanged("store", 15, (), scope))
        (received,) = [a.event for a in decided if isinstance(a, actions.Emit)]
        self.assertEqual(received.complete_revision, 15)

    def test_slow_scope_skips_nothing_that_the_others_have_passed(self):
        """Guards against entries that never hear of some others.

        Its objects are not exchanged, so what peers or other scopes know says nothing.
        """
        for scope, revision in zip(SCOPES, (15, 16, 10), strict=True):
            self.feed(events.ObjectsListed(revision, (), scope))
        self.feed(events.ObjectsReceived((), 15, 0))
        self.assertEqual(self.next_call("entries").revision, 10)
        self.assertEqual(self.next_call("configuration").revision, 15)

    def test_what_a_list_lacks_is_gone(self):
        """Guards against upstreams that stay known after a skipped removal."""
        self.keep(upstream("u1", 3), upstream("u2", 4))
        self.assertEqual(self.listed(upstream("u1", 3)), {"u1": False, "u2": True})

    def test_object_newer_than_the_list_stays(self):
        """Guards against a late list that takes away what came after it."""
        self.keep(upstream("u1", 12))
        self.assertEqual(self.listed(revision=10), {})

    def test_entries_that_lapsed_in_an_outage_may_come_back(self):
        """Guards against a fleet without upstreams after each outage of the store."""
        self.keep(upstream("u1", 3))
        self.listed(upstream("u1", 3))
        self.fail()
        self.now += 3.0
        self.fail()
        changed = events.ObjectsChanged(
            "store", 20, (upstream("u1", 15, deleted=True),), "upstreams", True
        )
        self.assertEqual(self.received(self.feed(changed)), {})
        self.now += GRACE_SECONDS
        self.assertIsInstance(self.next_call(), actions.ListObjects)
        self.assertEqual(self.listed(revision=25), {"u1": True})

    def test_short_interruption_delays_no_removal(self):
        """Guards against work sent to servers that left during a single lost call."""
        self.keep(upstream("u1", 3))
        self.listed(upstream("u1", 3))
        self.fail()
        self.now += 0.3
        changed = events.ObjectsChanged(
            "store", 20, (upstream("u1", 15, deleted=True),), "upstreams", True
        )
        self.assertEqual(self.received(self.feed(changed)), {"u1": True})

    def test_failed_calls_are_repeated_with_a_bound(self):
        """Guards against a store that is flooded, and against nodes that give up."""
        delays = []
        for _ in range(8):
            delays += self.timers(self.fail())
            self.next_call()
        self.assertEqual(len(delays), 8)
        self.assertLessEqual(max(delays), 0.75)
        self.assertGreater(min(delays), 0.2)

    def test_call_that_timed_out_is_repeated_at_once(self):
        """Guards against silent connections that are left too late.

        Watch and timeout of the users' platform take 2.5 s of the 3 s that are left.
        """
        self.listed()
        self.next_call()
        self.now += 2.5
        (delay,) = self.timers(self.fail())
        self.assertLess(delay, 0.1)

    def test_one_scope_asks_whether_the_store_is_back(self):
        """Guards against refused calls of each scope, which are priced in full."""
        for scope in SCOPES:
            failed = events.StoreCallFailed("configuration_watch", "refused", scope)
            (delay,) = self.timers(self.feed(failed))
            self.assertLess(delay, 1.0) if scope == SCOPES[0] else self.assertGreater(
                delay, 2.0
            )
        for scope in SCOPES:
            self.board.store_scopes_by_name[scope] = self.board.store_scopes_by_name[
                scope
            ]._replace(position=10, list_after=self.now + 100.0)
        probe = self.next_call(SCOPES[0])
        self.assertEqual(probe.wait_seconds, _store_watch.PROBE_WATCH_SECONDS)
        regained = self.feed(events.ObjectsChanged("store", 20, (), SCOPES[0]))
        self.assertEqual(self.next_call(SCOPES[0]).wait_seconds, 30.0)
        self.assertEqual(self.timers(regained), [0.0, 0.0, 0.0])

    def test_lost_dependency_is_logged_once_and_its_return(self):
        """Guards against a log line for each failed call of a long outage."""
        self.listed(upstream("u1", 3))
        lines = [self.fail() for _ in range(5)]
        self.now += 5.0
        lines.append(
            self.feed(events.ObjectsChanged("store", 20, (), "upstreams", True))
        )
        found = [
            action.event
            for decided in lines
            for action in decided
            if isinstance(action, actions.Log)
        ]
        self.assertEqual(found, ["dependency lost", "dependency regained"])

    def test_objects_that_could_not_be_read_are_counted_and_logged(self):
        """Guards against servers that are missing without a word in the log."""
        changed = events.ObjectsChanged(
            "store", 20, (), "upstreams", True, unreadable_count=2
        )
        decided = self.feed(changed)
        codes = [a.code for a in decided if isinstance(a, actions.Count)]
        self.assertEqual(codes, [result_codes.STORE_OBJECT_UNREADABLE])
        (line,) = [a for a in decided if isinstance(a, actions.Log)]
        self.assertEqual(line.event, "store objects could not be read")
        self.assertEqual((line.fields["objects"], line.fields["revision"]), (2, 20))

    def test_stale_answer_reverts_nothing(self):
        """Guards against a stale read that counts as the newest state."""
        self.listed(upstream("u1", 30), revision=30)
        self.feed(events.ObjectsChanged("store", 20, (), "upstreams", True))
        self.assertEqual(self.board.store_scopes_by_name["upstreams"].position, 30)

    def test_dropped_history_leads_to_a_list(self):
        """Guards against a watch that goes on from a revision that is gone."""
        self.listed(upstream("u1", 3))
        self.feed(events.WatchExpired(_store_watch.WATCH_OPERATION, "upstreams"))
        self.assertIsInstance(self.next_call(), actions.ListObjects)


if __name__ == "__main__":
    unittest.main()
