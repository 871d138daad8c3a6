"""Upstreams that refuse calls and name the time for which they want none."""

from __future__ import annotations

import unittest
from random import Random

from carawayhitch import controllers
from carawayhitch.core import actions, events, messages
from tests.controllers.scheduling_world import (
    CELL,
    ask,
    board_with_waiting_request,
    scheduling_board,
)
from tests.controllers.test_routed_calls import RoutedEntry, opened, refused

OTHER = "entry-2"
ENGINES = ("engine-1", "engine-2")


def sent_messages(found, message_type):
    return [
        action.message
        for action in found
        if isinstance(action, actions.Send) and isinstance(action.message, message_type)
    ]


class OwnCallsTest(unittest.TestCase):
    """An entry that schedules calls to two upstreams by itself."""

    def setUp(self):
        self.entry = RoutedEntry()
        self.calls = 0

    def back_off(self, name, seconds):
        deadline = self.entry.now + seconds
        return self.entry.feed(events.BackoffRequested(name, deadline))

    def call(self, route="order"):
        self.calls += 1
        return self.entry.call(route, request_id=f"call-{self.calls}")

    def chosen(self, count=12):
        found = set()
        for _ in range(count):
            (call,) = opened(self.call())
            found.add(call.upstream_id)
            answer = events.AnswerReceived(call.request_id, 1, 200, "", b"")
            self.entry.feed(answer)
        return found

    def test_no_call_until_the_end_of_the_time(self):
        """Guards against calls within the time that a refusal named."""
        self.back_off("engine-1", 1.5)
        self.assertEqual(self.chosen(), {"engine-2"})
        self.entry.now += 1.4
        self.assertEqual(self.chosen(), {"engine-2"})
        self.entry.now += 1.0
        self.assertEqual(self.chosen(), set(ENGINES))

    def test_fractions_of_a_second_count(self):
        """Guards against a time below one second that is rounded away."""
        self.back_off("engine-1", 0.7)
        self.entry.now += 0.65
        self.assertEqual(self.chosen(), {"engine-2"})

    def test_shorter_time_does_not_end_a_longer_one(self):
        """Guards against answers that overtake each other."""
        self.back_off("engine-1", 3.0)
        self.back_off("engine-1", 0.5)
        self.entry.now += 2.0
        self.assertEqual(self.chosen(), {"engine-2"})

    def test_refused_call_is_retried_elsewhere(self):
        """Guards against a retry within the time, when no other upstream is better."""
        (first,) = opened(self.entry.call("look"))
        other = next(name for name in ENGINES if name != first.upstream_id)
        self.back_off(first.upstream_id, 2.0)
        (second,) = opened(self.entry.fail("refused", sent=False))
        self.assertEqual(second.upstream_id, other)
        self.back_off(other, 2.0)
        found = self.entry.fail("refused", sent=False)
        self.assertEqual(opened(found), [])

    def test_call_that_no_upstream_wants_in_time_is_refused_at_once(self):
        """Guards against calls that wait although they cannot be served in time.

        ``Retry-After`` is the time after which an upstream takes calls again.
        """
        for name, seconds in zip(ENGINES, (8.0, 5.0), strict=True):
            self.back_off(name, seconds)
        found = self.call()
        self.assertEqual(refused(found), "UPSTREAM_REFUSED")
        (refusal,) = [a for a in found if isinstance(a, actions.RefuseCall)]
        self.assertGreaterEqual(refusal.retry_after, 5.0)
        self.assertLess(refusal.retry_after, 8.0)
        self.assertEqual(refusal.code.ran, "no")

    def test_call_that_can_still_be_served_in_time_waits(self):
        """Guards against refusing calls whose goal is later than that time."""
        for name in ENGINES:
            self.back_off(name, 0.3)
        self.assertEqual(refused(self.call()), "")
        self.entry.now += 0.5
        found = self.entry.feed(events.TimerFired("scheduling"))
        self.assertEqual(len(opened(found)), 1)

    def test_call_that_may_have_run_is_never_refused_as_not_run(self):
        """Guards against a refusal that promises too much after an earlier attempt."""
        self.entry.call("look")
        for name in ENGINES:
            self.back_off(name, 9.0)
        found = self.entry.fail("link_lost", sent=True)
        self.assertEqual([a for a in found if isinstance(a, actions.RefuseCall)], [])

    def test_times_do_not_end_together(self):
        """Guards against entries that all return to an upstream at the same moment."""
        deadlines = set()
        for seed in range(20):
            board = RoutedEntry().board
            event = events.BackoffRequested("engine-1", 102.0)
            list(controllers.decide_chain(event, board, 100.0, Random(seed)))
            deadlines |= set(board.backoff_deadlines_by_entry_upstream.values())
        self.assertGreater(len(deadlines), 15)
        self.assertGreaterEqual(min(deadlines), 102.0)
        self.assertLess(max(deadlines), 103.0)


class SchedulerTest(unittest.TestCase):
    """A scheduler that places the calls of other entries."""

    def setUp(self):
        self.board = scheduling_board(engine_count=2)

    def feed(self, event, now=1.0):
        return list(controllers.decide_chain(event, self.board, now, Random(1)))

    def granted(self, entry, number, now=1.0):
        found = self.feed(ask(f"{entry}-{number}", sender_id=entry), now)
        return [m.upstream_id for m in sent_messages(found, messages.AdmissionGrant)]

    def test_entry_does_not_get_the_upstream_but_others_do(self):
        """Guards against a back-off that is ignored, or that stops other entries."""
        self.feed(messages.BackoffSeen(OTHER, "engine-0", 3.0))
        found = {name for n in range(6) for name in self.granted(OTHER, n)}
        self.assertEqual(found, {"engine-1"})
        found = {name for n in range(6) for name in self.granted("entry-3", n)}
        self.assertIn("engine-0", found)

    def test_blocked_ask_does_not_block_the_asks_of_other_entries(self):
        """Guards against a queue that stops at the first entry that has to wait."""
        for name in ("engine-0", "engine-1"):
            self.feed(messages.BackoffSeen(OTHER, name, 3.0))
        self.assertEqual(self.granted(OTHER, 1), [])
        self.assertEqual(len(self.granted("entry-3", 1)), 1)
        found = self.feed(events.TimerFired("scheduling"), now=3.5)
        (grant,) = sent_messages(found, messages.AdmissionGrant)
        self.assertEqual(grant.request_id, f"{OTHER}-1")

    def test_upstream_that_wants_no_calls_is_not_polled(self):
        """Guards against load polls within the time, which are requests as well."""
        self.board.upstreams_by_id["engine-0"] = self.board.upstreams_by_id[
            "engine-0"
        ]._replace(started_at=1)
        self.feed(events.BackoffRequested("engine-0", 3.0))
        found = self.feed(events.TimerFired("load"), now=1.5)
        polled = [a.upstream_id for a in found if isinstance(a, actions.PollLoad)]
        self.assertEqual(polled, ["engine-1"])
        found = self.feed(events.TimerFired("load"), now=4.5)
        polled = [a.upstream_id for a in found if isinstance(a, actions.PollLoad)]
        self.assertEqual(polled, ["engine-0", "engine-1"])


class GrantTest(unittest.TestCase):
    """An entry whose calls another entry schedules."""

    def setUp(self):
        self.board = board_with_waiting_request(OTHER)

    def feed(self, event, now=2.0):
        return list(controllers.decide_chain(event, self.board, now, Random(1)))

    def test_scheduler_is_told(self):
        """Guards against a scheduler that grants what the entry has to decline."""
        found = self.feed(events.BackoffRequested("engine-0", 5.0))
        (told,) = sent_messages(found, messages.BackoffSeen)
        self.assertEqual(told.upstream_id, "engine-0")
        self.assertGreaterEqual(told.deadline, 5.0)

    def test_grant_within_the_time_is_declined(self):
        """Guards against a call that was granted before the refusal arrived."""
        self.feed(events.BackoffRequested("engine-0", 5.0))
        grant = messages.AdmissionGrant(
            OTHER, "r1", 1, CELL, "engine-0", "engine-0:1", 0, 9.0
        )
        found = self.feed(grant)
        self.assertFalse([a for a in found if isinstance(a, actions.OpenUpstream)])
        self.assertEqual(len(sent_messages(found, messages.BackoffSeen)), 1)
        asked = sent_messages(found, messages.AdmissionAsk)
        self.assertEqual([message.attempt for message in asked], [2])


if __name__ == "__main__":
    unittest.main()
