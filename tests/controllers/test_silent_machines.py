"""Engines, entries and schedulers that are silent or slow to report for a while."""

from __future__ import annotations

import unittest
from random import Random

from carawayhitch import controllers
from carawayhitch.core import actions, events, messages
from tests.controllers.scheduling_world import CELL, ask, scheduling_board
from tests.controllers.test_routed_calls import CALL, RoutedEntry, opened

SILENCE_SECONDS = 12
WORK_ACTIONS = (
    actions.OpenUpstream,
    actions.CloseUpstream,
    actions.RefuseCall,
    actions.CopyMemory,
)


def listed(name, address="", started_at=0):
    labels = {"service": "engines"}
    address = address or f"{name}:1"
    vm = events.VmListed(name, address, "a", "r1", "service", labels, False, 4)
    return vm._replace(started_at=started_at)


VMS = (listed("engine-1"), listed("engine-2"))


class RunningCallTest(unittest.TestCase):
    """Guards against work that is started again elsewhere, or given up.

    Silence of a machine shows neither that it stopped nor that its work is lost.
    """

    def setUp(self):
        self.entry = RoutedEntry()
        (self.call,) = opened(self.entry.call("ask"))
        self.entry.chunk(1)

    def assert_undisturbed(self, feed):
        for _ in range(SILENCE_SECONDS):
            self.entry.now += 1.0
            self.entry.chunk(self.entry.row.last_sequence + 1)
            for event in feed():
                found = self.entry.feed(event)
                disturbed = [a for a in found if isinstance(a, WORK_ACTIONS)]
                self.assertEqual(disturbed, [])
        self.assertEqual(self.entry.row.upstream_id, self.call.upstream_id)
        self.assertEqual(self.entry.row.attempt, 1)

    def test_engine_without_load_reports(self):
        name = self.call.upstream_id
        self.assert_undisturbed(
            lambda: [
                events.LoadUnavailable(name, "timed out"),
                events.TimerFired("scheduling"),
                events.TimerFired("load"),
            ]
        )

    def test_registration_that_lapses_and_returns(self):
        others = tuple(vm for vm in VMS if vm.vm_id != self.call.upstream_id)
        lists = iter([others, others, others, VMS] * SILENCE_SECONDS)
        self.assert_undisturbed(lambda: [events.VmListReceived(next(lists))])

    def test_store_that_fails_for_a_while(self):
        self.assert_undisturbed(
            lambda: [events.StoreCallFailed("configuration_watch", "timed out", "")]
        )

    def test_failures_of_other_calls_on_the_same_engine(self):
        seen = messages.UpstreamFailures(self.call.upstream_id, 3)
        self.assert_undisturbed(lambda: [messages.FailuresSeen("entry-2", (seen,))])


class SilentEntryTest(unittest.TestCase):
    def test_grants_of_a_silent_entry_are_known_again_after_its_return(self):
        """Guards against treating the work of a silent entry as gone for good.

        While it is silent, only its reservation lapses; the engine keeps the work.
        """
        board = scheduling_board(engine_count=2)

        def feed(event, now):
            return list(controllers.decide_chain(event, board, now, Random(1)))

        feed(ask("r1"), 1.0)
        grant = board.grants_by_request_id["r1"]
        found = feed(events.TimerFired("scheduling"), 9.0)
        self.assertNotIn("r1", board.grants_by_request_id)
        sent = [a.message for a in found if isinstance(a, actions.Send)]
        self.assertEqual([m for m in sent if isinstance(m, messages.MoveOrder)], [])
        running = messages.RunningRequest(
            "r1", 1, "quotes", "hotel", "urgent", "b", "f", grant.upstream_id, 9, 9, 5
        )
        progress = messages.Progress("entry-2", CELL, (running,), ())
        feed(progress, 10.0)
        known = board.grants_by_request_id["r1"]
        self.assertEqual(known.upstream_id, grant.upstream_id)
        self.assertEqual(known.attempt, grant.attempt)


class SilentSchedulerTest(unittest.TestCase):
    def test_running_calls_survive_their_scheduler(self):
        """Guards against calls that end or start again when their scheduler is lost."""
        entry = RoutedEntry()
        (call,) = opened(entry.call("ask"))
        entry.chunk(1)
        for _ in range(SILENCE_SECONDS):
            entry.now += 1.0
            entry.chunk(entry.row.last_sequence + 1)
            found = entry.feed(events.TimerFired("progress"))
            found += entry.feed(events.MembershipChanged())
            self.assertEqual([a for a in found if isinstance(a, WORK_ACTIONS)], [])
        self.assertEqual(entry.board.requests_by_id[CALL].address, call.address)


if __name__ == "__main__":
    unittest.main()
