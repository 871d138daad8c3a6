"""Tests of crash records: refusals, false convictions and the number of crashes."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from carawayhitch.controllers import merge_crashes
from carawayhitch.core import actions, events, messages, rows
from tests.controllers.scheduling_world import (
    NODE,
    ask,
    board_with_waiting_request,
    feed,
    finished,
    granted,
    load,
    refusals,
    report_all,
    scheduling_board,
    sent,
)


def crash(board, request_ids, upstream_id, now):
    """Report failed requests and an engine that is unavailable afterwards."""
    for request_id in request_ids:
        feed(board, finished(request_id, 0, False, failed=True), now)
    return feed(board, events.LoadUnavailable(upstream_id, "refused"), now + 0.01)


def restart(board, upstream_id, now):
    return feed(board, load(upstream_id, now), now)


class ConvictionTest(unittest.TestCase):
    def test_crashing_request_takes_down_only_two_upstreams(self):
        """Guards against a resent request that crashes one engine after another."""
        board = scheduling_board(engine_count=4)
        lost_ids = []
        now = 1.0
        report_all(board, now)
        for index in range(6):
            now += 5.0
            report_all(board, now)
            event = ask(f"resent-{index}", fingerprint="killer", deadline=now + 4)
            decided = feed(board, event, now)
            for request_id, upstream_id in granted(decided).items():
                lost_ids.append(upstream_id)
                crash(board, [request_id], upstream_id, now + 1.0)
        self.assertEqual(len(lost_ids), 2)
        self.assertEqual(refusals(decided), {"resent-5": "SUSPECT_REFUSED"})

    def test_identical_requests_in_flight_share_one_upstream(self):
        """Guards against identical simultaneous requests that each crash an engine."""
        board = scheduling_board(engine_count=4)
        report_all(board, 1.0)
        upstreams = set()
        for index in range(4):
            event = ask(f"copy-{index}", fingerprint="killer")
            upstreams |= set(granted(feed(board, event, 1.0)).values())
        self.assertEqual(len(upstreams), 1)
        feed(board, finished("copy-0"), 2.0)
        spread = ask("harmless", fingerprint="killer")
        self.assertNotIn(granted(feed(board, spread, 2.1))["harmless"], upstreams)

    def test_identical_requests_with_a_record_share_one_upstream(self):
        """Guards against two crashes by a request that only sometimes crashes."""
        board = scheduling_board(engine_count=4)
        report_all(board, 1.0)
        feed(board, ask("lucky", fingerprint="killer"), 1.0)
        feed(board, finished("lucky"), 2.0)
        died = granted(feed(board, ask("first", fingerprint="killer"), 3.0))["first"]
        crash(board, ["first"], died, 4.0)
        upstreams = set()
        for index in range(3):
            event = ask(f"copy-{index}", fingerprint="killer")
            upstreams |= set(granted(feed(board, event, 5.0)).values())
        self.assertEqual(len(upstreams), 1)

    def test_unrelated_requests_are_not_convicted(self):
        """Guards against refusals of requests that twice ran beside a crashing one."""
        board = scheduling_board(engine_count=3)
        report_all(board, 1.0)
        for index in range(6):
            feed(board, ask(f"innocent-{index}"), 1.0)
        first = granted(feed(board, ask("killer-1", fingerprint="killer"), 1.0))
        died = first["killer-1"]
        lost_ids = [
            grant.request_id
            for grant in board.grants_by_request_id.values()
            if grant.upstream_id == died
        ]
        crash(board, lost_ids, died, 2.0)
        for request_id in lost_ids:
            if request_id != "killer-1":
                feed(board, ask(request_id, attempt=2), 2.1)
        again = granted(feed(board, ask("killer-2", fingerprint="killer"), 2.1))
        for now in (3.0, 4.0, 5.0):
            report_all(board, now)
            for request_id, grant in list(board.grants_by_request_id.items()):
                if grant.fingerprint == "killer":
                    again[request_id] = grant.upstream_id
                elif grant.attempt == 2:
                    feed(board, finished(request_id, attempt=2), now)
        second = again["killer-2"]
        crash(board, ["killer-2"], second, 6.0)
        convicted = [
            name for name, row in board.crashes_by_fingerprint.items() if row.convicted
        ]
        self.assertEqual(convicted, ["killer"])

    def test_network_fault_adds_no_crash_record(self):
        """Guards against crash records for network faults."""
        board = scheduling_board(engine_count=1)
        report_all(board, 1.0)
        for index in range(3):
            feed(board, ask(f"running-{index}"), 1.0)
        feed(board, finished("running-0", 0, False, failed=True), 5.0)
        retried = ask("running-0", attempt=2)
        self.assertEqual(granted(feed(board, retried, 5.1)), {})
        alive = load("engine-0", 5.2, running_count=2, memory_used=300)
        decided = feed(board, alive, 5.3)
        self.assertEqual(board.crashes_by_fingerprint, {})
        self.assertEqual(granted(decided), {"running-0": "engine-0"})

    def test_crash_records_by_event_sequence(self):
        """Guards against missed crashes and against false crash records."""
        failed = finished("running", 0, False, failed=True)
        unavailable = events.LoadUnavailable("engine-0", "refused")
        cases = {
            "restarted at once": ([failed, load("engine-0", 3.3)], 1),
            "does not answer": ([failed, unavailable], 1),
            "never polled": ([failed, events.TimerFired("scheduling")], 1),
            "old report": ([failed, load("engine-0", 2.0, running_count=5)], 0),
            "refused by the engine": ([finished("running", 0, False)], 0),
            "told by the platform": ([events.UpstreamDied("engine-0")], 1),
            "end was lost": (
                [
                    unavailable,
                    ask("running", attempt=2, excluded_upstream_ids=("engine-0",)),
                    unavailable,
                ],
                1,
            ),
        }
        for name, (sequence, count) in cases.items():
            with self.subTest(name):
                board = scheduling_board(engine_count=1)
                report_all(board, 0.5)
                feed(board, ask("running"), 0.5)
                for event in sequence:
                    is_timer = isinstance(event, events.TimerFired)
                    feed(board, event, 6.3 if is_timer else 3.2)
                self.assertEqual(len(board.crashes_by_fingerprint), count)

    def test_leaving_upstream_adds_no_crash_record(self):
        """Guards against crash records for requests that the platform ended."""
        board = scheduling_board(engine_count=1)
        report_all(board, 1.0)
        feed(board, ask("running"), 1.0)
        feed(board, load("engine-0", 2.0, leaving=True, running_count=1), 2.0)
        crash(board, ["running"], "engine-0", 3.0)
        self.assertEqual(board.crashes_by_fingerprint, {})

    def test_many_failures_of_one_death_count_once(self):
        """Guards against a conviction by two reports of one crash."""
        board = scheduling_board(engine_count=1)
        report_all(board, 1.0)
        ids = [f"running-{index}" for index in range(4)]
        for request_id in ids:
            feed(board, ask(request_id, fingerprint="same"), 1.0)
        crash(board, ids[:2], "engine-0", 2.0)
        crash(board, ids[2:], "engine-0", 2.5)
        record = board.crashes_by_fingerprint["same"]
        self.assertEqual(record.upstream_ids, ("engine-0",))
        self.assertFalse(record.convicted)

    def test_dead_upstream_receives_no_work_before_it_reports(self):
        """Guards against grants to an engine that is still down."""
        board = scheduling_board(engine_count=1)
        report_all(board, 1.0)
        feed(board, ask("killer"), 1.0)
        crash(board, ["killer"], "engine-0", 2.0)
        self.assertEqual(granted(feed(board, ask("next"), 30.0)), {})
        self.assertEqual(
            granted(restart(board, "engine-0", 31.0)), {"next": "engine-0"}
        )


def service_board():
    """Return the board of an entry that chooses among three plain servers."""
    board = scheduling_board(engine_count=3)
    for name, upstream in list(board.upstreams_by_id.items()):
        board.upstreams_by_id[name] = upstream._replace(kind="service", started_at=7)
    for node_id in (NODE, "entry-2", "entry-3"):
        row = rows.MemberRow(node_id, 1, "alive", "127.0.0.1", 1, 1, "z", "region-1")
        board.members_by_id[node_id] = row
    return board


def lose_call(board, request_id, now, outcome="refused", fingerprint="killer"):
    """Lose a call at a server that starts again; return the server and the actions."""
    decided = feed(board, ask(request_id, fingerprint=fingerprint), now)
    (upstream_id,) = granted(decided).values()
    decided = feed(board, finished(request_id, 0, False, failed=True), now + 0.1)
    checked = [a for a in decided if isinstance(a, actions.CheckListening)]
    assert [check.upstream_id for check in checked] == [upstream_id]
    event = events.ListeningChecked(upstream_id, outcome)
    decided = feed(board, event, now + 0.2)
    upstream = board.upstreams_by_id[upstream_id]
    restarted = upstream._replace(started_at=upstream.started_at + 1)
    board.upstreams_by_id[upstream_id] = restarted
    return upstream_id, decided


class ServiceCrashTest(unittest.TestCase):
    def test_call_that_crashes_three_servers_is_refused(self):
        """Guards against crashes of plain services that no entry records."""
        board = service_board()
        for number in range(1, 4):
            lose_call(board, f"r{number}", 10.0 * number)
        decided = feed(board, ask("again", fingerprint="killer"), 50.0)
        self.assertEqual(refusals(decided), {"again": "SUSPECT_REFUSED"})

    def test_repetition_waits_for_the_check_that_can_convict_it(self):
        """Guards against a fourth crash while the third is being confirmed."""
        for outcome, expected in (
            ("refused", {"r3": "SUSPECT_REFUSED"}),
            ("listening", {}),
        ):
            with self.subTest(outcome):
                board = service_board()
                for number in (1, 2):
                    lose_call(board, f"r{number}", 10.0 * number)
                decided = feed(board, ask("r3", fingerprint="killer"), 30.0)
                (lost,) = granted(decided).values()
                feed(board, finished("r3", 0, False, failed=True), 30.1)
                again = ask(
                    "r3", fingerprint="killer", attempt=2, excluded_upstream_ids=(lost,)
                )
                self.assertEqual(granted(feed(board, again, 30.11)), {})
                decided = feed(board, events.ListeningChecked(lost, outcome), 30.2)
                self.assertEqual(refusals(decided), expected)
                self.assertEqual(len(granted(decided)), 1 - len(expected))

    def test_each_crash_is_sent_to_the_other_entries_at_once(self):
        """Guards against records that reach other entries only with the next probes."""
        board = service_board()
        _, decided = lose_call(board, "r1", 10.0)
        receivers = {
            action.node_id
            for action in decided
            if isinstance(action, actions.Send)
            and isinstance(action.message, messages.CrashesSeen)
        }
        self.assertEqual(receivers, {"entry-2", "entry-3"})

    def test_one_crash_seen_by_several_entries_counts_once(self):
        """Guards against a conviction by several reports of the same crash."""
        board = service_board()
        lost, _ = lose_call(board, "r1", 10.0)
        (record,) = board.crashes_by_fingerprint.values()
        feed(board, messages.CrashesSeen("entry-2", (record,)), 10.3)
        self.assertEqual(board.crashes_by_fingerprint, {"killer": record})
        self.assertEqual(record.upstream_ids, (f"{lost}/7",))

    def test_lost_call_at_a_listening_or_silent_server_is_no_crash(self):
        """Guards against crash records for resets and partitions."""
        for outcome in ("listening", "unknown"):
            with self.subTest(outcome):
                board = service_board()
                for number in range(1, 5):
                    lose_call(board, f"r{number}", 10.0 * number, outcome)
                self.assertEqual(board.crashes_by_fingerprint, {})

    def test_undecided_check_is_no_crash(self):
        """Guards against a crash record for a check that never ended."""
        board = service_board()
        feed(board, ask("r1", fingerprint="killer"), 1.0)
        feed(board, finished("r1", 0, False, failed=True), 1.1)
        feed(board, events.TimerFired("scheduling"), 9.0)
        self.assertEqual(board.crashes_by_fingerprint, {})
        self.assertEqual(board.last_failures_by_upstream_id, {})

    def answer(self, board, status, now):
        """Let a server answer a call with the fingerprint of the crashing one."""
        waiting = board_with_waiting_request(NODE).requests_by_id["r1"]
        board.requests_by_id["r1"] = waiting._replace(
            fingerprint="killer", upstream_id="engine-0", answer_status=status
        )
        decided = feed(board, events.RequestEnded("r1", True, None), now)
        board.requests_by_id.clear()
        return decided

    def test_answered_call_is_cleared_of_earlier_crashes(self):
        """Guards against refusing a frequent lookup that ran beside crashing calls."""
        board = service_board()
        for number in range(1, 6):
            lose_call(board, f"r{number}", 10.0 * number)
            decided = self.answer(board, 200, 10.0 * number + 1.0)
            self.assertEqual(len(sent(decided, messages.CrashesSeen)), 2)
        self.assertFalse(board.crashes_by_fingerprint["killer"].convicted)

    def test_error_answer_clears_no_crash(self):
        """Guards against a failing server that answers before it runs a call."""
        board = service_board()
        for number in range(1, 4):
            lose_call(board, f"r{number}", 10.0 * number)
            self.answer(board, 500, 10.0 * number + 1.0)
        self.assertTrue(board.crashes_by_fingerprint["killer"].convicted)


records = st.builds(
    rows.CrashRow,
    st.sampled_from(["f", "g"]),
    st.lists(st.sampled_from(["a", "b", "c"]), min_size=1, max_size=3)
    .map(sorted)
    .map(tuple),
    st.booleans(),
    st.floats(10.0, 1000.0),
    st.lists(st.sampled_from(["a", "b", "c"]), max_size=3).map(tuple),
)


class MergeTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.lists(records, max_size=6), st.integers(0, 10**6))
    def test_order_and_repeats_have_no_effect(self, received, seed):
        """Guards against nodes that disagree for good about crash records."""
        shuffled = received * 2
        Random(seed).shuffle(shuffled)
        first, second = scheduling_board(), scheduling_board()
        merge_crashes(first, received, 5.0)
        merge_crashes(second, shuffled, 5.0)
        self.assertEqual(first.crashes_by_fingerprint, second.crashes_by_fingerprint)
        self.assertEqual(merge_crashes(first, received, 5.0), ())

    def test_received_conviction_refuses_waiting_and_new_asks(self):
        """Guards against running a request that was convicted in another cell."""
        board = scheduling_board(engine_count=1)
        report_all(board, 1.0, running_limit=1)
        feed(board, ask("running"), 1.0)
        feed(board, ask("waiting", fingerprint="killer"), 1.0)
        record = rows.CrashRow("killer", ("x", "y"), True, 900.0)
        self.assertEqual(merge_crashes(board, [record], 2.0), (record,))
        decided = feed(board, finished("running"), 2.0)
        decided += feed(board, ask("new", fingerprint="killer"), 2.0)
        self.assertEqual(
            refusals(decided),
            {"waiting": "SUSPECT_REFUSED", "new": "SUSPECT_REFUSED"},
        )

    def test_expired_records_are_dropped(self):
        """Guards against records that gossip renews indefinitely."""
        board = scheduling_board()
        old = rows.CrashRow("old", ("x",), True, 4.0)
        far = rows.CrashRow("far", ("x",), True, 1e9)
        self.assertEqual(len(merge_crashes(board, [old, far], 5.0)), 1)
        self.assertLess(board.crashes_by_fingerprint["far"].deadline, 5.0 + 3600)
        feed(board, events.TimerFired("scheduling"), 5000.0)
        self.assertEqual(board.crashes_by_fingerprint, {})


class WithdrawnTest(unittest.TestCase):
    def test_old_withdrawal_does_not_remove_a_newer_ask(self):
        """Guards against reordered messages that remove a waiting request."""
        board = scheduling_board(engine_count=1)
        feed(board, ask("moved", attempt=2), 1.0)
        withdrawn = messages.AskWithdrawn("entry-2", "moved", 1, "quotes/region-1/0")
        feed(board, withdrawn, 1.1)
        self.assertTrue(
            {"moved"}
            & (board.asks_by_request_id.keys() | board.grants_by_request_id.keys())
        )


if __name__ == "__main__":
    unittest.main()
