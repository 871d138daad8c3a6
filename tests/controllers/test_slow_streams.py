"""Slow but sound streams, stalled ones, and streams that break late."""

from __future__ import annotations

import unittest

from carawayhitch.core import actions, events
from tests.controllers.test_routed_calls import (
    CALL,
    RoutedEntry,
    opened,
    refused,
)

# Gap without events after which callers abandon a stream.
PATIENCE_SECONDS = 16.0
STALL_SECONDS = 5.0
TOTAL_SECONDS = 39.0


class StreamingEntry(RoutedEntry):
    """An entry with the streams ``draft`` (runs once) and ``ask`` (resumable)."""

    def __init__(self, name: str) -> None:
        super().__init__()
        configuration = self.board.configuration
        routes = tuple(
            route._replace(patience_seconds=PATIENCE_SECONDS, timeout_seconds=30.0)
            for route in configuration.routes_by_host["shop.example"]
        )
        self.board.configuration_by_name["in_force"] = configuration._replace(
            routes_by_host={"shop.example": routes}
        )
        self.timers: list[actions.SetTimer] = []
        self.keep_timers(self.call(name, wait_seconds=TOTAL_SECONDS))

    def keep_timers(self, found: list[object]) -> list[object]:
        # `feed` has already handled the event of a retry.
        self.timers += [
            action
            for action in found
            if isinstance(action, actions.SetTimer)
            and not isinstance(action.event, events.RequestAdmitted)
        ]
        return found

    def wait(self, seconds: float) -> list[object]:
        """Let time pass; return the actions of the timers that are due."""
        end = self.now + seconds
        found: list[object] = []
        while due := [timer for timer in self.timers if timer.deadline <= end]:
            timer = min(due, key=lambda timer: timer.deadline)
            self.timers.remove(timer)
            self.now = max(self.now, timer.deadline)
            found += self.keep_timers(self.feed(timer.event))
        self.now = end
        return found

    def send_events(self, count: int, gap: float) -> list[object]:
        """Let the upstream send events with a gap before each."""
        found: list[object] = []
        for _ in range(count):
            found += self.wait(gap)
            if CALL not in self.board.requests_by_id:
                break
            found += self.keep_timers(self.chunk(self.row.last_sequence + 1))
        return found


class StallTest(unittest.TestCase):
    def test_stalled_stream_ends(self):
        """Guards against streams that a byte now and then keeps open without end.

        Such bytes are no events, so none reaches the controllers.
        """
        for name in ("draft", "ask"):
            with self.subTest(name):
                entry = StreamingEntry(name)
                entry.send_events(2, 0.1)
                entry.wait(2 * (PATIENCE_SECONDS + STALL_SECONDS))
                self.assertNotIn(CALL, entry.board.requests_by_id)

    def test_sound_stream_with_long_pauses_is_not_cut(self):
        """Guards against cutting a stream that its caller still waits for.

        A preempted generation pauses for seconds and then goes on.
        """
        entry = StreamingEntry("draft")
        found = entry.send_events(3, PATIENCE_SECONDS - 1.0)
        self.assertEqual(refused(found), "")
        self.assertIn(CALL, entry.board.requests_by_id)

    def test_stream_goes_on_elsewhere_if_it_may(self):
        """Guards against waiting for a silent upstream when another could go on."""
        entry = StreamingEntry("ask")
        entry.send_events(2, 0.1)
        found = entry.wait(STALL_SECONDS + 0.2)
        self.assertEqual([a.last_sequence for a in opened(found)], [2])

    def test_pausing_stream_is_not_cut_at_the_last_attempt(self):
        """Guards against ending a stream that no other upstream may continue.

        After a pause that would move it elsewhere, it still goes on by itself.
        """
        entry = StreamingEntry("ask")
        entry.send_events(2, 0.1)
        entry.keep_timers(entry.fail())
        self.assertEqual(entry.row.attempt, 2)
        found = entry.send_events(2, 2 * STALL_SECONDS)
        self.assertEqual(refused(found), "")
        self.assertEqual(entry.row.last_sequence, 4)

    def test_pausing_stream_is_not_cut_without_retry_budget(self):
        """Guards against ending a sound stream because the retry budget is empty."""
        entry = StreamingEntry("ask")
        entry.send_events(2, 0.1)
        budgets = entry.board.retry_budgets_by_group
        budgets["engines"] = budgets["engines"]._replace(
            retries=-100.0, updated_at=entry.now
        )
        found = entry.send_events(2, 2 * STALL_SECONDS)
        self.assertEqual(refused(found), "")
        self.assertEqual(opened(found), [])


class LateBreakTest(unittest.TestCase):
    def test_stream_that_breaks_late_goes_on_elsewhere(self):
        """Guards against losing a stream that breaks after its waiting time.

        The limit on the wait for the first event ended retries of streams that had
        been running for longer, although their callers had events and waited on.
        """
        entry = StreamingEntry("ask")
        entry.send_events(30, 1.0)
        found = entry.keep_timers(entry.fail())
        self.assertEqual([a.last_sequence for a in opened(found)], [30])

    def test_continued_stream_waits_as_long_as_its_caller(self):
        """Guards against a wait for an upstream beyond the caller's patience."""
        entry = StreamingEntry("ask")
        entry.send_events(20, 1.0)
        for name in ("engine-1", "engine-2"):
            known = entry.board.upstreams_by_id[name]
            entry.board.upstreams_by_id[name] = known._replace(leaving=True)
        entry.keep_timers(entry.fail())
        entry.wait(PATIENCE_SECONDS * 0.5)
        self.assertIn(CALL, entry.board.requests_by_id)
        entry.wait(PATIENCE_SECONDS * 0.5)
        self.assertNotIn(CALL, entry.board.requests_by_id)

    def test_continued_stream_does_not_outlive_its_caller(self):
        """Guards against upstreams that start work after the caller's deadline."""
        entry = StreamingEntry("ask")
        entry.send_events(36, 1.0)
        entry.keep_timers(entry.fail())
        self.assertLessEqual(entry.row.deadline, 100.0 + TOTAL_SECONDS)

    def test_first_event_is_still_awaited_for_its_own_time(self):
        """Guards against a longer wait for the first event."""
        entry = StreamingEntry("ask")
        before = entry.row.deadline
        entry.keep_timers(entry.fail("connect", sent=False))
        self.assertEqual(entry.row.deadline, before)


if __name__ == "__main__":
    unittest.main()
