"""Waits for an upstream at an entry that is stopping."""

from __future__ import annotations

import unittest
from random import Random

from carawayhitch import controllers
from carawayhitch.core import actions, events, rows
from carawayhitch.core import settings as settings_types
from tests.boards import ready_board

LIMIT_SECONDS = 8.0
DRAIN = settings_types.DrainSettings(3.0, LIMIT_SECONDS)
STOPPED_AT = 10.0


class StoppingEntry:
    """An entry that serves calls of one binding and is asked to stop at 10 s."""

    def __init__(self) -> None:
        self.board = ready_board(drain=DRAIN)
        # Makes the tests independent of placement: asks stay unanswered.
        upstream = rows.UpstreamRow("engine-1", "e:1", "a", "r1", "engine", {})
        self.board.upstreams_by_id["engine-1"] = upstream

    def feed(self, event: object, now: float) -> list[actions.Action]:
        return list(controllers.decide_chain(event, self.board, now, Random(1)))

    def add_request(self, request_id: str, **changes: object) -> None:
        target = rows.RoutedTarget("POST", "h", "/draft/1", 100, 200, streamed=True)
        row = rows.RequestRow(
            request_id, "hotel", "g", "rank", "draft", target, "f", "", "", 0.0, 99.0
        )
        self.board.requests_by_id[request_id] = row._replace(**changes)

    def record_answer_times(self, *seconds: float) -> None:
        for index, duration in enumerate(seconds):
            name = f"done-{index}"
            self.add_request(name, phase="relaying", opened_at=1.0)
            ended = events.RequestEnded(name, True, None)
            self.feed(ended, 1.0 + duration)

    def stop(self) -> list[actions.Action]:
        return self.feed(events.StopRequested(immediate=False), STOPPED_AT)

    def expire(self, request_id: str, now: float) -> list[str]:
        return refused_codes(self.feed(events.WaitExpired(request_id), now))


def refused_codes(decided: list[actions.Action]) -> list[str]:
    return [a.code.name for a in decided if isinstance(a, actions.RefuseCall)]


def wait_timers(decided: list[actions.Action]) -> dict[str, float]:
    return {
        action.event.request_id: action.deadline
        for action in decided
        if isinstance(action, actions.SetTimer)
        and isinstance(action.event, events.WaitExpired)
    }


class DrainWaitTest(unittest.TestCase):
    def test_wait_ends_while_an_answer_can_be_sent(self):
        """Guards against waits that end with the process, without an answer."""
        entry = StoppingEntry()
        entry.add_request("waiting")
        deadline = wait_timers(entry.stop())["waiting"]
        self.assertLess(deadline, STOPPED_AT + LIMIT_SECONDS)
        self.assertEqual(entry.expire("waiting", deadline - 0.01), [])
        self.assertEqual(entry.expire("waiting", deadline), ["DRAINING"])
        self.assertNotIn("waiting", entry.board.requests_by_id)

    def test_wait_ends_before_the_last_start_of_a_whole_answer(self):
        """Guards against calls that are sent although the stop will cut them."""
        entry = StoppingEntry()
        entry.record_answer_times(*[3.0] * 40)
        entry.add_request("waiting")
        deadline = wait_timers(entry.stop())["waiting"]
        self.assertAlmostEqual(deadline, STOPPED_AT + LIMIT_SECONDS - 3.0, delta=0.2)

    def test_wait_that_cannot_succeed_ends_at_once(self):
        """Guards against holding a request that another entry could serve."""
        entry = StoppingEntry()
        entry.record_answer_times(*[LIMIT_SECONDS] * 40)
        entry.add_request("waiting")
        self.assertLessEqual(wait_timers(entry.stop())["waiting"], STOPPED_AT)
        entry.add_request("new")
        decided = entry.feed(events.RequestAdmitted("new"), STOPPED_AT + 0.1)
        self.assertEqual(refused_codes(decided), ["DRAINING"])

    def test_own_deadline_of_a_wait_is_kept(self):
        """Guards against waits that a drain extends or refuses too early."""
        entry = StoppingEntry()
        entry.add_request("short", deadline=STOPPED_AT + 1.0)
        entry.stop()
        self.assertEqual(entry.expire("short", STOPPED_AT + 0.9), [])
        self.assertEqual(entry.expire("short", STOPPED_AT + 1.0), ["WAIT_EXPIRED"])

    def test_waits_of_a_ready_entry_are_not_shortened(self):
        """Guards against refusals without a stop."""
        entry = StoppingEntry()
        entry.record_answer_times(*[30.0] * 3)
        entry.add_request("waiting")
        self.assertEqual(entry.expire("waiting", 98.0), [])

    def test_call_that_may_have_run_is_never_refused_as_not_run(self):
        """Guards against a repeated call after a false refusal."""
        entry = StoppingEntry()
        entry.add_request("retried", may_have_run=True)
        deadline = wait_timers(entry.stop())["retried"]
        self.assertEqual(entry.expire("retried", deadline), ["UPSTREAM_FAILED"])

    def test_change_of_an_operator_is_answered_before_the_stop(self):
        """Guards against operators whose connection ends without a result."""
        entry = StoppingEntry()
        requested = events.ChangeRequested("op", "c1", "binding", "b", b"{}", False, 0)
        entry.feed(requested, STOPPED_AT)
        entry.stop()
        grace = events.TimerFired("drain_grace")
        decided = entry.feed(grace, STOPPED_AT + DRAIN.readiness_grace_seconds)
        self.assertFalse([a for a in decided if isinstance(a, actions.StopProcess)])
        limit = events.TimerFired("drain_limit")
        decided = entry.feed(limit, STOPPED_AT + LIMIT_SECONDS)
        answers = [a for a in decided if isinstance(a, actions.AnswerChange)]
        self.assertEqual([a.code.name for a in answers], ["CHANGE_UNKNOWN"])
        self.assertTrue([a for a in decided if isinstance(a, actions.StopProcess)])

    def test_drain_ends_with_the_last_change(self):
        """Guards against a stop that waits for its limit after a change."""
        entry = StoppingEntry()
        requested = events.ChangeRequested("op", "c1", "binding", "b", b"{}", False, 0)
        entry.feed(requested, STOPPED_AT)
        entry.stop()
        refusing_at = STOPPED_AT + DRAIN.readiness_grace_seconds
        entry.feed(events.TimerFired("drain_grace"), refusing_at)
        entry.feed(events.ObjectWritten("op", True, 7), refusing_at + 0.05)
        decided = entry.feed(events.TimerFired("drain_changes"), refusing_at + 0.1)
        self.assertTrue([a for a in decided if isinstance(a, actions.StopProcess)])

    def test_all_unanswered_calls_are_answered_at_the_limit(self):
        """Guards against connections that end without an answer to a whole request."""
        entry = StoppingEntry()
        entry.add_request("waiting")
        entry.add_request("sent", phase="opening", upstream_id="engine-1")
        entry.add_request("streaming", phase="relaying", response_started=True)
        entry.stop()
        limit = events.TimerFired("drain_limit")
        decided = entry.feed(limit, STOPPED_AT + LIMIT_SECONDS)
        codes = {
            action.request_id: action.code.name
            for action in decided
            if isinstance(action, actions.RefuseCall)
        }
        self.assertEqual(codes, {"waiting": "DRAINING", "sent": "ENTRY_STOPPED"})
        # The answers are sent after the end of the drain.
        lifecycle = entry.board.lifecycle
        self.assertGreater(lifecycle.deadline, STOPPED_AT + LIMIT_SECONDS)


if __name__ == "__main__":
    unittest.main()
