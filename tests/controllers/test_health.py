"""Tests of passive health checks and ejection of upstreams."""

from __future__ import annotations

import unittest

from carawayhitch.controllers import _health
from carawayhitch.core import actions, events, messages, rows
from tests.controllers.scheduling_world import ask, feed, load, scheduling_board

NOW = 100.0


def actions_of_type(decided, action_type):
    return [action for action in decided if isinstance(action, action_type)]


class EjectionTest(unittest.TestCase):
    def setUp(self):
        self.board = scheduling_board(3)
        self.now = NOW
        for name in self.board.upstreams_by_id:
            feed(self.board, load(name, NOW), NOW)

    def report_failures(self, upstream_id, count=1):
        failures = messages.UpstreamFailures(upstream_id, count)
        message = messages.FailuresSeen("entry-2", (failures,))
        return feed(self.board, message, self.now)

    def ejected_ids(self):
        return {
            name
            for name in self.board.upstreams_by_id
            if _health.is_ejected(self.board, name, self.now)
        }

    def granted_ids(self, count=6):
        """Return the upstreams on which a number of asks are granted."""
        names = set()
        for index in range(count):
            decided = feed(self.board, ask(f"{self.now}-{index}"), self.now)
            for sent in actions_of_type(decided, actions.Send):
                if isinstance(sent.message, messages.AdmissionGrant):
                    names.add(sent.message.upstream_id)
        return names

    def test_upstream_that_fails_more_than_others_receives_no_work(self):
        """Guards against a failing upstream that looks idle and attracts all calls."""
        self.report_failures("engine-0", 2)
        self.assertEqual(self.ejected_ids(), set())
        (logged,) = actions_of_type(self.report_failures("engine-0"), actions.Log)
        self.assertEqual(logged.fields["upstream"], "engine-0")
        self.assertEqual(self.granted_ids(), {"engine-1", "engine-2"})
        self.now += _health.EJECTION_SECONDS
        self.assertIn("engine-0", self.granted_ids())

    def test_calls_that_fail_everywhere_eject_no_upstream(self):
        """Guards against ejecting healthy upstreams because of faulty calls."""
        for _ in range(20):
            for name in self.board.upstreams_by_id:
                self.report_failures(name)
        self.assertEqual(self.ejected_ids(), set())

    def test_rare_failures_do_not_add_up(self):
        """Guards against ejecting upstreams for failures far apart in time."""
        for _ in range(20):
            self.report_failures("engine-0")
            self.now += 2 * _health.FAILURE_DECAY_SECONDS
        self.assertEqual(self.ejected_ids(), set())

    def test_repeated_ejections_last_longer(self):
        """Guards against calls lost each time a faulty upstream is tried again."""
        self.report_failures("engine-0", 3)
        for seconds in (4.0, 8.0, 8.0):
            known = self.board.health_by_upstream_id["engine-0"]
            self.now = known.ejected_until + 0.1
            self.report_failures("engine-0")
            known = self.board.health_by_upstream_id["engine-0"]
            self.assertAlmostEqual(known.ejected_until - self.now, seconds)
        self.now = known.ejected_until + _health.TRIAL_SECONDS
        self.report_failures("engine-0")
        self.assertEqual(self.ejected_ids(), set())

    def test_upstream_is_ejected_again_by_one_failure_above_the_mean(self):
        """Guards against several lost calls each time an upstream is tried again."""
        self.report_failures("engine-0", 3)
        self.now += _health.EJECTION_SECONDS + 0.1
        for name in ("engine-1", "engine-2"):
            self.report_failures(name, 2)
        self.report_failures("engine-0", 2)
        self.assertEqual(self.ejected_ids(), set())
        self.report_failures("engine-0")
        self.assertEqual(self.ejected_ids(), {"engine-0"})

    def test_ejected_upstreams_are_used_if_they_are_the_majority(self):
        """Guards against overloading the few upstreams that have not failed yet."""
        for name in ("engine-0", "engine-1"):
            health = rows.HealthRow(name, ejected_until=NOW + 2.0)
            self.board.health_by_upstream_id[name] = health
        self.assertEqual(self.granted_ids(), set(self.board.upstreams_by_id))

    def test_failures_of_leaving_and_unknown_upstreams_are_ignored(self):
        """Guards against health rows that are never removed."""
        known = self.board.upstreams_by_id["engine-0"]
        self.board.upstreams_by_id["engine-0"] = known._replace(leaving=True)
        self.report_failures("engine-0", 9)
        self.report_failures("engine-9", 9)
        self.assertEqual(self.board.health_by_upstream_id, {})


class OwnFailuresTest(unittest.TestCase):
    def setUp(self):
        self.board = scheduling_board(3)
        for node_id, state in (("entry-2", "alive"), ("entry-3", "left")):
            self.board.members_by_id[node_id] = rows.MemberRow(
                node_id, 1, state, "127.0.0.1", 1, 2, "zone-1", "region-1"
            )
        self.board.requests_by_id["call"] = rows.RequestRow(
            request_id="call",
            target=rows.RoutedTarget("POST", "shop", "/order/1"),
            account="hotel",
            group="quotes",
            binding="order",
            rank="urgent",
            fingerprint="f",
            body_sha256="",
            idempotency_key="",
            received_at=NOW,
            deadline=NOW + 9.0,
            phase="opening",
            upstream_id="engine-0",
        )

    def reports_to_others(self, decided, now):
        """Return the failures sent to other entries when the report timer fires."""
        timers = [
            timer
            for timer in actions_of_type(decided, actions.SetTimer)
            if timer.event == events.TimerFired(_health.FAILURE_REPORT_TIMER)
        ]
        if not timers:
            return None
        fired = feed(self.board, timers[0].event, timers[0].deadline)
        return timers[0].deadline - now, [
            (sent.node_id, sent.message.failures)
            for sent in actions_of_type(fired, actions.Send)
            if isinstance(sent.message, messages.FailuresSeen)
        ]

    def failure(self, **fields):
        failed = events.UpstreamCallFailed("call", 1, "truncated", True)
        return failed._replace(**fields)

    def test_failure_is_reported_immediately_then_batched(self):
        """Guards against a faulty upstream that fails calls of every entry in turn."""
        decided = _health.decide(self.failure(), self.board, NOW, None)
        failures = (messages.UpstreamFailures("engine-0", 1),)
        self.assertEqual(
            self.reports_to_others(decided, NOW), (0.0, [("entry-2", failures)])
        )
        first = _health.decide(self.failure(), self.board, NOW, None)
        second = _health.decide(self.failure(), self.board, NOW, None)
        self.assertIsNone(self.reports_to_others(second, NOW))
        failures = (messages.UpstreamFailures("engine-0", 2),)
        delay, reports = self.reports_to_others(first, NOW)
        self.assertAlmostEqual(delay, _health.FAILURE_REPORT_INTERVAL_SECONDS)
        self.assertEqual(reports, [("entry-2", failures)])

    def test_what_counts_as_a_failure(self):
        """Guards against missed failures and outcomes that are no upstream's fault."""
        answer = events.AnswerReceived("call", 1, 500, "", b"", 0)
        for event, counts in (
            (answer, True),
            (answer._replace(status=404), False),
            (self.failure(kind="stalled"), True),
            (self.failure(kind="refused"), False),
            (self.failure(sent=False), False),
            (self.failure(attempt=2), False),
            (events.AnswerOverdue("call"), True),
        ):
            with self.subTest(event):
                self.board.health_by_upstream_id.clear()
                self.board.unreported_failures_by_upstream_id.clear()
                _health.decide(event, self.board, NOW, None)
                self.assertEqual(bool(self.board.health_by_upstream_id), counts)
