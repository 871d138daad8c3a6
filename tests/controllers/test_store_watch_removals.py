"""Tests of removals that arrive after an outage of the store."""

from __future__ import annotations

import unittest

from carawayhitch.controllers import store_watch
from carawayhitch.core import actions, events
from tests.controllers.store_watch_case import (
    GRACE_SECONDS,
    KIND,
    StoreWatchCase,
    upstream,
)


class StoreRemovalsTest(StoreWatchCase):
    def lapse_in_outage(self):
        """End an outage by the news that `u1` and `u2` lapsed; return the timer."""
        self.setUp()
        names = ("u1", "u2")
        self.add_received(*(upstream(name, 3) for name in names))
        self.listed(*(upstream(name, 3) for name in names))
        self.fail_watch()
        self.now += 3.0
        self.fail_watch()
        lapsed = tuple(upstream(name, 15, deleted=True) for name in names)
        changed = events.ObjectsChanged("store", 20, lapsed, "upstreams", True)
        decided = self.merge(changed)
        self.assertEqual(self.deleted_by_name(decided), {})
        (timer,) = self.removal_timers(decided)
        self.assertEqual(timer.deadline, self.now + GRACE_SECONDS)
        return timer

    def removal_timers(self, decided):
        timers = [a for a in decided if isinstance(a, actions.SetTimer)]
        return [
            timer
            for timer in timers
            if getattr(timer.event, "name", "") != store_watch.STORE_CALL_TIMER
        ]

    def merge(self, event):
        """Return the actions for an answer after its objects were merged."""
        decided = self.feed(event)
        for action in decided:
            if isinstance(action, actions.Emit):
                self.feed(action.event)
        return decided

    def only_first_listed(self):
        return events.ObjectsListed(25, (upstream("u1", 21),), "upstreams", (KIND,))

    def known_names(self):
        names = ("u1", "u2")
        return {n for n in names if not self.board.objects_by_key[KIND, n].deleted}

    def test_a_fresh_list_decides_on_removals_after_an_outage(self):
        """Guards against a fleet without upstreams after each outage of the store.

        A renewal within the grace period may be unknown at its end, because the next
        read has not ended yet or was stale.
        """
        timer = self.lapse_in_outage()
        self.now = timer.deadline
        self.assertEqual(self.call_delays(self.feed(timer.event)), [0.0])
        self.assertEqual(self.known_names(), {"u1", "u2"})
        found = self.next_call()
        self.assertEqual(
            (type(found), found.may_be_stale), (actions.ListObjects, False)
        )
        self.merge(self.only_first_listed())
        self.assertEqual(self.known_names(), {"u1"})
        self.assertIsInstance(self.next_call(), actions.WatchObjects)
        self.assertEqual(self.feed(timer.event), [])

    def test_renewed_registrations_after_an_outage_need_no_list(self):
        """Guards against a list by each entry after each outage."""
        timer = self.lapse_in_outage()
        self.add_received(upstream("u1", 21), upstream("u2", 22))
        self.now = timer.deadline
        self.assertEqual(self.feed(timer.event), [])
        self.assertIsInstance(self.next_call(), actions.WatchObjects)

    def test_removals_wait_while_the_store_fails_again(self):
        """Guards against removals while no renewal can arrive."""
        timer = self.lapse_in_outage()
        self.next_call()
        self.now = timer.deadline - 0.1
        self.fail_watch()
        self.now = timer.deadline
        self.assertEqual(self.feed(timer.event), [])
        self.now += 0.3
        changed = events.ObjectsChanged("store", 20, (), "upstreams", True)
        (again,) = self.removal_timers(self.merge(changed))
        self.assertEqual(again.deadline, self.now + GRACE_SECONDS)
        self.assertEqual(self.known_names(), {"u1", "u2"})
        self.now = again.deadline
        self.assertEqual(self.call_delays(self.feed(again.event)), [0.0])

    def test_list_that_began_within_the_grace_period_removes_nothing(self):
        """Guards against a late answer of the store that lacks a renewal."""
        timer = self.lapse_in_outage()
        self.feed(events.WatchExpired(store_watch.WATCH_OPERATION, "upstreams"))
        self.assertIsInstance(self.next_call(), actions.ListObjects)
        self.now = timer.deadline + 0.1
        self.feed(timer.event)
        late = events.ObjectsListed(24, (), "upstreams", (KIND,))
        for again in self.removal_timers(self.merge(late)):
            self.feed(again.event)
        self.assertEqual(self.known_names(), {"u1", "u2"})
        self.assertIsInstance(self.next_call(), actions.ListObjects)
        self.merge(self.only_first_listed())
        self.assertEqual(self.known_names(), {"u1"})

    def test_list_that_ends_another_failure_removes_nothing(self):
        """Guards against removals as soon as the store returns once more."""
        timer = self.lapse_in_outage()
        self.now = timer.deadline
        self.feed(timer.event)
        self.next_call()
        self.fail_watch()
        self.now += 0.3
        self.assertIsInstance(self.next_call(), actions.ListObjects)
        decided = self.merge(events.ObjectsListed(25, (), "upstreams", (KIND,)))
        self.assertEqual(self.known_names(), {"u1", "u2"})
        deadlines = {found.deadline for found in self.removal_timers(decided)}
        self.assertEqual(deadlines, {self.now + GRACE_SECONDS})

    def test_older_stale_answer_after_an_outage_removes_nothing(self):
        """Guards against removals in an answer that is older than what is known."""
        self.add_received(upstream("u1", 3))
        self.listed(upstream("u1", 3), revision=30)
        self.fail_watch()
        self.now += 3.0
        lapsed = (upstream("u1", 15, deleted=True),)
        changed = events.ObjectsChanged("s", 20, lapsed, "upstreams", may_be_stale=True)
        self.assertEqual(self.deleted_by_name(self.feed(changed)), {})

    def test_short_interruption_does_not_defer_removals(self):
        """Guards against calls to servers that left while one store call failed."""
        self.add_received(upstream("u1", 3))
        self.listed(upstream("u1", 3))
        self.fail_watch()
        self.now += 0.3
        changed = events.ObjectsChanged(
            "store", 20, (upstream("u1", 15, deleted=True),), "upstreams", True
        )
        self.assertEqual(self.deleted_by_name(self.feed(changed)), {"u1": True})


if __name__ == "__main__":
    unittest.main()
