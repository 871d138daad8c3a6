"""Tests of store calls while the store fails, and when it answers again."""

from __future__ import annotations

import unittest
from itertools import pairwise

from carawayhitch.controllers import _registration, store_watch
from carawayhitch.controllers._cells import order_by_rendezvous
from carawayhitch.controllers._membership import PROBE_TIMER
from carawayhitch.core import actions, events
from tests.controllers.store_watch_case import (
    CONTACT_SECONDS,
    SCOPES,
    TIMEOUT_SECONDS,
    StoreWatchCase,
    upstream,
)


class StoreOutagesTest(StoreWatchCase):
    def refused_calls(self, seconds):
        """Return times and scopes of the calls to a store that refuses all of them."""

        def refuse(scope):
            failed = events.StoreCallFailed(store_watch.LIST_OPERATION, "x", scope)
            timers = [a for a in self.feed(failed) if isinstance(a, actions.SetTimer)]
            return [(timer.deadline, timer.event.subject) for timer in timers]

        calls, end = [], self.now + seconds
        due = [timer for scope in SCOPES for timer in refuse(scope)]
        while min(due)[0] < end:
            self.now, scope = timer = min(due)
            due.remove(timer)
            if self.next_call(scope) is not None:
                calls.append(timer)
                due += refuse(scope)
        return calls

    def test_starting_entries_do_not_all_watch_consistently(self):
        """Guards against hundreds of entries that each take themselves for a watcher.

        They know no members yet. Consistent watches begin within the bound for contact,
        which counts from the creation of the process.
        """
        for elapsed, expected in (
            (0.0, [(0.0, True), (2.5, False)]),
            (1.5, [(0.0, True), (1.0, False)]),
            (6.0, [(0.0, False)]),
        ):
            self.join_fleet("none")
            self.board.members_by_id.clear()
            started = self.now
            self.feed(events.ProcessStarted(1, elapsed))
            self.feed(events.ObjectsListed(10, (), "configuration"))
            found = []
            while not found or found[-1][1]:
                watch = self.next_call("configuration")
                found.append((self.now - started, watch.may_be_stale))
                self.now += watch.wait_seconds
                self.feed(events.ObjectsChanged("s", 10, (), "configuration", True))
            self.assertEqual(found, expected)

    def test_failed_calls_are_repeated_with_a_limited_delay(self):
        """Guards against an overloaded store, and against nodes that stop retrying."""
        delays = []
        for _ in range(8):
            delays += self.call_delays(self.fail_watch())
            self.next_call()
        self.assertEqual(len(delays), 8)
        self.assertLessEqual(max(delays), 0.75)
        self.assertGreater(min(delays), 0.2)

    def test_call_that_timed_out_is_repeated_at_once(self):
        """Guards against unresponsive connections that are replaced too late.

        Watch and timeout of the platform take 2.5 s of the 3 s that are available.
        """
        self.listed()
        self.next_call()
        self.now += 2.5
        (delay,) = self.call_delays(self.fail_watch())
        self.assertLess(delay, 0.1)

    def test_one_scope_probes_a_failed_store(self):
        """Guards against refused calls by every scope, which are charged in full."""
        for scope in SCOPES:
            failed = events.StoreCallFailed("configuration_watch", "refused", scope)
            delays = self.call_delays(self.feed(failed))
            if scope == SCOPES[0]:
                self.assertEqual(len(delays), 1)
                self.assertLess(delays[0], 1.0)
            else:
                self.assertEqual(delays, [])
        for scope in SCOPES:
            self.board.store_scopes_by_name[scope] = self.board.store_scopes_by_name[
                scope
            ]._replace(position=10, list_after=self.now + 100.0)
        probe = self.next_call(SCOPES[0])
        self.assertEqual(probe.wait_seconds, store_watch.PROBE_WATCH_SECONDS)
        regained = self.feed(events.ObjectsChanged("store", 20, (), SCOPES[0]))
        self.assertEqual(self.next_call(SCOPES[0]).wait_seconds, 30.0)
        self.assertEqual(self.call_delays(regained), [0.0, 0.0, 0.0])

    def test_entries_without_duties_repeat_refused_calls_less_often(self):
        """Guards against hundreds of entries that probe a store that is down.

        Refused calls are charged in full. Each entry still regains contact within the
        bound by itself, and probes every scope, since one may fail alone.
        """
        counts = {}
        for duty in ("none", "watcher", "scheduler", "starting"):
            self.join_fleet(duty)
            calls = self.refused_calls(20.0)
            counts[duty] = len(calls)
            gaps = [later[0] - call[0] for call, later in pairwise(calls)]
            self.assertLess(max(gaps) + TIMEOUT_SECONDS, CONTACT_SECONDS, duty)
            self.assertEqual({scope for _, scope in calls[-4:]}, set(SCOPES))
        self.assertLess(counts.pop("none"), 16)
        self.assertGreater(min(counts.values()), 20)

    def test_scope_that_fails_alone_is_repeated_soon(self):
        """Guards against a long wait after one lost answer of a working store.

        The failures of a scope may be left from an outage that another one has ended.
        """
        for outage_seconds in (0.1, 5.0):
            self.join_fleet("none")
            self.refused_calls(outage_seconds)
            for scope in ("configuration", "entries"):
                self.feed(events.ObjectsListed(20, (), scope))
            for _ in range(3):
                self.next_call()
                (delay,) = self.call_delays(self.fail_watch())
                with self.subTest(outage_seconds):
                    self.assertLess(delay, 1.0)

    def test_registration_waits_for_the_probe_of_a_store_that_is_down(self):
        """Guards against refused writes of all entries that start in an outage."""
        timer = events.TimerFired(_registration.REGISTRATION_OPERATION)
        for scope in SCOPES:
            found = [type(action) for action in self.feed(timer)]
            self.assertIn(actions.RegisterEntry, found)
            self.feed(events.StoreCallFailed(store_watch.LIST_OPERATION, "x", scope))
        (retry,) = [a for a in self.feed(timer) if isinstance(a, actions.SetTimer)]
        self.assertEqual(retry.event, timer)
        self.assertNotIn(actions.RegisterEntry, map(type, self.feed(timer)))
        self.feed(events.ObjectsListed(10, (), SCOPES[0]))
        self.assertIn(actions.RegisterEntry, map(type, self.feed(retry.event)))

    def test_long_watches_are_replaced_when_a_bound_needs_it(self):
        """Guards against long waits on silent connections and by new watchers."""
        for duty, wait in (("watcher", 2.5), ("scheduler", 2.5), ("none", 20.0)):
            for cause in ("silent connections", "lost watcher"):
                self.join_fleet(duty)
                self.now += 2.5
                self.feed(events.ObjectsListed(10, (), "configuration"))
                watch = self.next_call("configuration")
                self.assertEqual(watch.wait_seconds, wait, duty)
                self.now += 2.0
                if cause == "lost watcher":
                    self.set_members("b")
                    self.feed(events.MembershipChanged())
                else:
                    self.fail_watch()
                    self.next_call()
                    self.feed(events.ObjectsChanged("s", 20, (), "upstreams", True))
                if duty == "none":
                    self.assertIsNotNone(self.next_call("configuration"), cause)

    def test_no_long_watch_outlasts_a_failure(self):
        """Guards against a long wait on a connection that fell silent meanwhile.

        The call that replaces it may reuse a silent connection, so it waits briefly.
        """
        for begins_first, wait in (
            (True, store_watch.PROBE_WATCH_SECONDS),
            (False, 2.5),
        ):
            self.join_fleet("none")
            self.now += 2.5
            self.feed(events.ObjectsListed(10, (), "upstreams"))
            self.feed(events.ObjectsListed(10, (), "configuration"))
            last = self.next_call("configuration") if begins_first else None
            self.next_call()
            self.fail_watch()
            last = last or self.next_call("configuration")
            self.now += 1.0
            self.next_call()
            self.feed(events.ObjectsChanged("s", 20, (), "upstreams", True))
            last = self.next_call("configuration") or last
            self.assertEqual(last.wait_seconds, wait)

    def test_long_watches_are_replaced_when_no_other_entry_covers_them(self):
        """Guards against long waits while watchers may be dead, and at new schedulers.

        Neither a suspicion nor a takeover of cells changes the order of watchers.
        """
        own = self.board.node_id
        for case in ("suspect watcher", "other suspect", "new scheduler"):
            self.join_fleet("none")
            order = order_by_rendezvous("watch/a", [*self.board.members_by_id, own])
            self.feed(events.ObjectsListed(10, (), "configuration"))
            self.now += 2.5
            self.assertEqual(self.next_call("configuration").wait_seconds, 20.0)
            if case == "new scheduler":
                self.board.schedulers_by_cell_id["quotes"] = (own,)
            else:
                name = order[0 if case == "suspect watcher" else -1]
                row = self.board.members_by_id[name]._replace(state="suspect")
                self.board.members_by_id[name] = row
            self.feed(events.TimerFired(PROBE_TIMER))
            watch = self.next_call("configuration")
            if case == "other suspect":
                self.assertIsNone(watch)
            else:
                self.assertEqual((case, watch.wait_seconds), (case, 2.5))

    def test_watches_stay_within_the_bounds_after_a_failed_call(self):
        """Guards against one silent connection of several, noticed after 20 s."""
        self.join_fleet("none")
        self.feed(events.ObjectsListed(10, (), "configuration"))
        self.fail_watch()
        self.feed(events.ObjectsChanged("s", 10, (), "upstreams", True))
        waits = []
        for _ in range(4):
            self.now += 2.4
            waits.append(self.next_call("configuration").wait_seconds)
            self.feed(events.ObjectsChanged("s", 10, (), "configuration", True))
        self.assertEqual(waits, [2.5, 2.5, 20.0, 20.0])

    def test_loss_and_recovery_of_the_store_are_each_logged_once(self):
        """Guards against a log line for each failed call of a long outage."""
        self.listed(upstream("u1", 3))
        lines = [self.fail_watch() for _ in range(5)]
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


if __name__ == "__main__":
    unittest.main()
