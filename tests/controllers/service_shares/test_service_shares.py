"""Accounts at a plain service that each entry uses by itself, crowded by a few."""

from __future__ import annotations

import unittest
from collections import Counter
from math import ceil
from random import Random

from carawayhitch import controllers
from carawayhitch.controllers import _fairness, service_shares
from carawayhitch.controllers._configuration import build_configuration
from carawayhitch.controllers.service_shares._limits import limit_key
from carawayhitch.core import actions, declarations, events, messages, result_codes
from carawayhitch.core import settings as settings_types
from carawayhitch.node import _status
from tests.controllers.scheduling_world import sent
from tests.controllers.service_shares.crowded_service import (
    CELL,
    RANK,
    CrowdedService,
    new_ask,
    refuse,
    share_in_goal,
)

SMALL = {f"small-{index:02}": 6.25 for index in range(23)}
CROWDED = {"large": 450.0, **SMALL}
STATE = service_shares.ServerState


def find_state(boards):
    """Return the names of the controller's tables that have rows."""
    names = (
        "call_rates_by_account", "answer_rates_by_upstream_id",
        "refused_attempts_by_request_id", "service_reports_by_cell_id",
        "reported_loads_by_cell_entry", "service_shares_by_cell_id",
        "share_limits_by_account",
    )  # fmt: skip
    return [name for board in boards for name in names if getattr(board, name)]


class CrowdTest(unittest.TestCase):
    def test_small_accounts_are_served_beside_a_large_one(self):
        # Guards against an account that fills the servers over entries that each see
        # few of its calls. 300 calls a second can be answered, 594 arrive.
        model = CrowdedService(CROWDED, enabled=False)
        self.assertLess(share_in_goal(model.run(15.0), SMALL), 0.3)
        # A deployment that does not ask for shares has no rows and no messages.
        self.assertEqual(
            (model.message_count, find_state(model.boards.values())), (0, [])
        )
        model = CrowdedService(CROWDED)
        results = model.run(15.0)
        self.assertGreater(share_in_goal(results, SMALL), 0.9)
        # What the small accounts leave is used.
        self.assertGreater(share_in_goal(results, ["large"]), 0.25)
        # 30 entries report twice a second and are answered, whatever the calls.
        self.assertLess(model.message_count, 30 * 4 * 15.0 + 1)

    def test_quota_weights_divide_a_crowded_service(self):
        rates = {"light": 300.0, "heavy": 300.0}
        account = declarations.ClientAccount("heavy", (), quota_weight=3.0)
        results = CrowdedService(rates, accounts=[account]).run(15.0)
        light, heavy = (share_in_goal(results, [name]) for name in rates)
        self.assertAlmostEqual(heavy / light, 3.0, delta=0.6)

    def test_account_is_not_limited_while_there_is_room(self):
        # Guards against limits by the size of an account alone.
        results = CrowdedService({"large": 125.0, **SMALL}).run(15.0)
        self.assertGreater(share_in_goal(results, ["large"]), 0.97)

    def test_state_is_deleted_after_the_crowd(self):
        model = CrowdedService(dict(CROWDED), entry_count=6)
        model.run(8.0)
        self.assertNotEqual(find_state(model.boards.values()), [])
        model.rates_by_account.update(dict.fromkeys(CROWDED, 0.0))
        model.run(25.0)
        self.assertEqual(find_state(model.boards.values()), [])


class FailureTest(unittest.TestCase):
    def play(self, fail, **changes):
        """Return a model that fails at 6 s, and the small accounts' share in goal."""
        model = CrowdedService(CROWDED, **changes)
        model.at(6.0, lambda now: fail(model))
        return model, share_in_goal(model.run(15.0, warm_up=9.0), SMALL)

    def test_counting_entry_is_lost(self):
        # Guards against limits that depend on one entry.
        def fail(model):
            row = model.boards["entry-00"].service_reports_by_cell_id[CELL]
            model.dead.add(row.candidate_ids[0])

        model, share = self.play(fail)
        self.assertGreater(share, 0.85)
        # News of other members do not undo the failover.
        model.decide("entry-00", events.MembershipChanged(), 15.0)
        row = model.boards["entry-00"].service_reports_by_cell_id[CELL]
        self.assertEqual(row.candidate_index, 1)

    def test_entry_that_is_cut_off_keeps_no_outdated_limit(self):
        model, share = self.play(lambda model: model.cut.add("entry-00"))
        self.assertGreater(share, 0.85)
        limits = model.boards["entry-00"].share_limits_by_account.values()
        self.assertFalse({row.counted_by for row in limits} - {"entry-00"})

    def test_late_news(self):
        # Guards against swings between full queues and idle servers.
        _, share = self.play(lambda model: None, message_seconds=0.5)
        self.assertGreater(share, 0.75)


class EntryTest(unittest.TestCase):
    def setUp(self):
        self.board = CrowdedService({"large": 0.0}, entry_count=1).boards["entry-00"]
        self.call("r0", "large", 1.0)
        shares = (messages.AccountShare("large", RANK.priority, 0.25),)
        self.feed(messages.ServiceShares("entry-09", CELL, shares), 1.0)

    def feed(self, event, now):
        return list(controllers.decide(event, self.board, now, Random(1)))

    def call(self, request_id, account, now, attempt=1):
        ask = new_ask("entry-00", request_id, account, now)
        return self.feed(ask._replace(attempt=attempt), now)

    def finish(self, request_id, now, **changes):
        ended = messages.Finished("entry-00", request_id, 1, CELL, 0, True, False)
        self.feed(ended._replace(**changes), now)

    def test_limited_account_gets_its_share_of_calls(self):
        decided = []
        for index in range(1, 41):
            decided += self.call(f"r{index}", "large", 1.1)
        refused = sent(decided, messages.AdmissionRefusal)
        self.assertEqual(len(refused), 30)
        self.assertEqual({row.code.name for row in refused}, {"ACCOUNT_SHARE_EXCEEDED"})
        self.assertTrue(all(row.retry_after >= 1.0 for row in refused))
        # A call that was accepted once is not limited when it is tried again.
        self.call("again", "large", 1.1, attempt=2)
        self.assertIn("again", self.board.grants_by_request_id)
        # Guards against refusals that `status` and `explain` do not account for.
        (shown,) = _status.describe_status(self.board, 1.1)["account_shares"]
        self.assertEqual((shown["account"], shown["share"]), ("large", 0.25))
        lines = (row.fields for row in decided if isinstance(row, actions.Log))
        line = next(row for row in lines if row["code"] == "ACCOUNT_SHARE_EXCEEDED")
        self.assertEqual((line["share"], line["counted_by"]), (0.25, "entry-09"))

    def test_calls_refused_in_a_burst_are_told_different_times(self):
        # Guards against refused calls that come back together.
        for share, least, most in ((0.25, 1.0, 3.0), (0.0001, 30.0, 60.0)):
            with self.subTest(share=share):
                self.setUp()
                shares = (messages.AccountShare("large", RANK.priority, share),)
                self.feed(messages.ServiceShares("entry-09", CELL, shares), 1.0)
                decided = []
                for index in range(1, 61):
                    decided += self.call(f"r{index}", "large", 1.1)
                refused = sent(decided, messages.AdmissionRefusal)
                times = [row.retry_after for row in refused]
                self.assertGreaterEqual(len(times), 40)
                self.assertTrue(least <= min(times) and max(times) <= most, times)
                (_, largest), *_ = Counter(map(ceil, times)).most_common(1)
                self.assertLess(largest, 0.75 * len(times))

    def test_entry_without_the_setting_follows_no_peer(self):
        # Guards against limits at an entry that has no shares, while its peers have.
        rates = (messages.AccountRate("large", RANK.priority, 100.0),)
        loads = (messages.ServerLoad("server-0", 40, 50.0, 20.0),)
        shares = (messages.AccountShare("large", RANK.priority, 0.02),)
        groups = self.board.configuration.serving_groups_by_name
        for name in ("switched off", "scheduled by cell"):
            with self.subTest(name):
                self.setUp()
                self.finish("r0", 1.1)
                if name == "switched off":
                    self.change(settings=settings_types.SchedulingSettings())
                else:
                    group = groups["portal"]._replace(scheduler="cell")
                    self.change(group=group)
                decided = self.feed(
                    messages.ServiceLoad("entry-01", CELL, rates, loads), 1.2
                )
                decided += self.feed(
                    messages.ServiceShares("entry-09", CELL, shares), 1.2
                )
                self.assertEqual(decided, [])
                for index in range(20):
                    decided += self.call(f"r{index}", "large", 1.2)
                self.assertEqual(sent(decided, messages.AdmissionRefusal), [])
                shown = _status.describe_status(self.board, 1.2)
                self.assertFalse(shown.get("account_shares"))
                timer = events.TimerFired("service_report", CELL)
                self.assertEqual(self.feed(timer, 1.5), [])
                self.assertEqual(find_state([self.board]), [])

    def change(self, settings=None, group=None):
        """Put other settings of scheduling or another serving group into force."""
        if settings is not None:
            self.board.settings_by_name["in_force"] = self.board.settings._replace(
                scheduling=settings
            )
        if group is not None:
            self.board.configuration_by_name["in_force"] = (
                self.board.configuration._replace(
                    serving_groups_by_name={group.name: group}
                )
            )

    def test_limits_are_deleted_with_the_last_report(self):
        # Guards against limits that stay until the next call, or for good if the cell
        # is removed.
        self.finish("r0", 1.1)
        shares = (messages.AccountShare("large", RANK.priority, 0.25),)
        self.feed(messages.ServiceShares("entry-09", CELL, shares), 5.9)
        timer = events.TimerFired("service_report", CELL)
        self.assertEqual(self.feed(timer, 6.0), [])
        self.assertEqual(find_state([self.board]), [])

    def test_waiting_accounts_take_turns(self):
        # Guards against a queue of calls without tokens in order of account names.
        for name, count in (("a", 40), ("b", 8)):
            for index in range(count):
                self.call(f"{name}{index}", name, 2.0)
        for request_id in list(self.board.grants_by_request_id)[:8]:
            self.finish(request_id, 2.1)
        started = [name for name in self.board.grants_by_request_id if name[0] == "b"]
        self.assertGreaterEqual(len(started), 4)

    def test_failed_calls_are_refunded_what_was_charged(self):
        # Guards against an account that waits longer because its calls have failed.
        for request_id, complete, expected in (("f", False, 0.0), ("a", True, 1.0)):
            with self.subTest(complete=complete):
                self.call(request_id, "small", 1.0)
                key = (CELL, RANK.name, "small")
                charged = _fairness.usage(self.board, *key).charged - 1.0
                self.finish(request_id, 1.1, complete=complete)
                later = _fairness.usage(self.board, *key).charged
                self.assertEqual(later - charged, expected)

    def test_refusals_of_servers_are_no_answers(self):
        # Guards against a capacity that grows with the calls that servers refuse and
        # that the retry budget does not try again.
        codes = (result_codes.RETRY_REFUSED, result_codes.RETRY_FAILED_ANSWER)
        for code, count in zip(codes, (0, 1), strict=True):
            with self.subTest(code=code.name):
                self.call(code.name, "small", 1.0)
                refuse(self.board, code.name, code, 1.1)
                self.finish(code.name, 1.1)
                self.assertEqual(len(self.board.answer_rates_by_upstream_id), count)

    def test_calls_without_an_answer_are_no_answers(self):
        # Guards against a capacity by the timeouts of a hanging server or the errors of
        # one that fails fast. Their time counts: they have used a slot.
        cases = (
            ("failed", {"complete": False, "upstream_failed": True}, 0),
            ("given up", {"complete": False}, 0),
            ("broken off", {"complete": False, "began": True}, 1),
            ("answered", {}, 1),
        )
        for name, changes, count in cases:
            with self.subTest(name):
                self.setUp()
                self.call(name, "small", 1.0)
                self.finish(name, 1.5, **changes)
                (rate,) = self.board.answer_rates_by_upstream_id.values()
                self.assertEqual((rate.calls, rate.seconds), (count, 0.5))

    def test_answer_names_accounts_that_the_entry_has_not_seen(self):
        # Guards against accepting the first call of an account at each of many entries.
        rates = (messages.AccountRate("large", RANK.priority, 100.0),)
        loads = (messages.ServerLoad("server-0", 40, 50.0, 20.0),)
        self.feed(messages.ServiceLoad("entry-01", CELL, rates, loads), 3.0)
        empty = messages.ServiceLoad("entry-02", CELL, (), ())
        (answer,) = sent(self.feed(empty, 3.0), messages.ServiceShares)
        self.assertEqual([row.account for row in answer.shares], ["large"])

    def test_answer_names_accounts_with_the_most_refused_calls(self):
        # Guards against a large account without a limit beside many small ones of a
        # later priority, whose shares are lower.
        small = [messages.AccountRate(f"a{n:02}", 1, 1.0) for n in range(40)]
        rates = (messages.AccountRate("large", RANK.priority, 600.0), *small)
        loads = (messages.ServerLoad("server-0", 12, 75.0, 6.0),)
        report = messages.ServiceLoad("entry-01", CELL, rates, loads)
        (answer,) = sent(self.feed(report, 3.0), messages.ServiceShares)
        self.assertEqual(len(answer.shares), 24)
        self.assertIn("large", [row.account for row in answer.shares])

    def test_limits_hold_between_answers_of_several_seconds(self):
        # Guards against limits that end in each window without an answer, and against
        # a capacity that holds for good where no server answers any more.
        rates = (messages.AccountRate("large", RANK.priority, 100.0),)
        cases = ((3.0, 50.0, 1), (3.3, 0.0, 1), (12.9, 0.0, 1), (13.3, 0.0, 0))
        for now, answers, count in cases:
            loads = (messages.ServerLoad("server-0", 40, answers, answers / 2),)
            report = messages.ServiceLoad("entry-01", CELL, rates, loads)
            (answer,) = sent(self.feed(report, now), messages.ServiceShares)
            self.assertEqual(len(answer.shares), count, now)

    def test_routes_of_one_priority_have_a_common_limit(self):
        # Guards against a route that is refused alone for its slightly longer goal, and
        # against priorities of routes and of declared ranks on two scales.
        routes = [
            declarations.HttpRoute(name, "h", f"/{name}", (), 5, goal_seconds=goal)
            for name, goal in (("first", 0.372), ("second", 0.374))
        ]
        urgent = declarations.HttpRoute("urgent", "h", "/u", (), 1, goal_seconds=1.0)
        declared = declarations.RankClass("declared", 5)
        self.board.configuration_by_name["in_force"] = build_configuration(
            1, [*routes, urgent, declared]
        )
        ranks = self.board.configuration.rank_classes_by_name
        priorities = [limit_key(self.board, CELL, name, "a")[1] for name in ranks]
        self.assertEqual(priorities, [0, 1, 1, 5])


class AllotmentTest(unittest.TestCase):
    def test_priorities_get_capacity_in_order_after_their_floors(self):
        urgent = service_shares.PriorityDemand(0, 0.1, {"a": 90.0, "b": 30.0})
        patient = service_shares.PriorityDemand(10, 0.2, {"a": 50.0})
        shares = service_shares.accepted_shares([patient, urgent], {"b": 1.0}, 100.0)
        expected = {(0, "a"): 50 / 90, (10, "a"): 20 / 50}
        self.assertEqual(shares.keys(), expected.keys())
        for key, share in expected.items():
            self.assertAlmostEqual(shares[key], share)
        (share,) = service_shares.accepted_shares([patient], {}, 0.0).values()
        self.assertGreater(share, 0.0)

    def test_capacity_counts_servers_that_answer(self):
        cases = (
            # A little more than the servers answer is accepted, to find more capacity.
            ("partly used", [STATE(6, 3, 50.0, 4.0)] * 2, 172.5),
            ("a hanging server", [STATE(6, 12, 75, 8), STATE(6, 30, 0, 0)], 75.0),
            ("long queues are worked off", [STATE(6, 24, 75.0, 24.0)] * 2, 105.0),
            ("no answer at all", [STATE(6, 30, 0.0, 0.0)], None),
            ("no server", [], None),
        )
        for name, servers, expected in cases:
            with self.subTest(name):
                self.assertEqual(service_shares.service_capacity(servers), expected)


if __name__ == "__main__":
    unittest.main()
