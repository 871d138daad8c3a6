"""Requests to cold upstreams, which crash well above the rate that they tolerate."""

from __future__ import annotations

import unittest
from random import Random

from carawayhitch import controllers
from carawayhitch.controllers import cold_start
from carawayhitch.core import actions, declarations, events, rows
from tests.controllers.scheduling_world import (
    NODE,
    ask,
    feed,
    granted,
    load,
    scheduling_board,
)
from tests.controllers.test_evacuation import (
    NOW,
    announce_leaving,
    evacuation_board,
    move_report,
    orders,
    running_on,
)

GROUP = "quotes"
WARM_UP_SECONDS = 1.0
SCHEDULING = {
    "cold_overage": 1.5,
    "cold_slack": 5.0,
    "cell_size": 60,
    "load_interval_seconds": 4.0,
}
# 22 requests a second times 1.5 plus 5.
BOUND = 38
# Arrival within one second, lifetime of a grant and time-out of a connection.
WINDOW_SECONDS = 1.0 + 2.0 + 0.3


def registration(name, **changes):
    kind = "engine" if name.startswith("engine") else "service"
    labels = {"service": GROUP}
    vm = events.VmListed(name, f"{name}:1", "zone-1", "region-1", kind, labels, False)
    return vm._replace(running_limit=64, **changes)


class Entry:
    """One entry of a fleet, and the grants that it gave."""

    def __init__(self, names, node_id=NODE, fleet=(NODE,), scheduler="cell", **changes):
        self.names = names
        self.board = board = scheduling_board(engine_count=0)
        settings = board.settings
        self.board.settings_by_name["in_force"] = settings._replace(
            node=settings.node._replace(id=node_id),
            scheduling=settings.scheduling._replace(**{**SCHEDULING, **changes}),
        )
        for own_table in (board.lifecycle_by_node_id, board.object_set_by_node_id):
            own_table[node_id] = own_table[NODE]
        board.cells_by_id.clear()
        board.settle_deadlines_by_cell_id.clear()
        group = declarations.ServingGroup(
            GROUP,
            {"service": GROUP},
            scheduler=scheduler,
            warm_up_seconds=WARM_UP_SECONDS,
            cold_requests_per_second=22.0,
        )
        board.configuration_by_name["in_force"] = board.configuration._replace(
            serving_groups_by_name={GROUP: group}
        )
        for name in fleet:
            board.members_by_id[name] = rows.MemberRow(
                name, 1, "alive", "10.0.0.1", 1, 1, "zone-1", "region-1"
            )
        self.granted_at = {name: [] for name in names}
        self.asked = 0

    def feed(self, event, now):
        decided = list(controllers.decide_chain(event, self.board, now, Random(1)))
        self.record(decided, now)
        return decided

    def record(self, decided, now):
        for upstream_id in granted(decided).values():
            self.granted_at[upstream_id].append(now)

    def list_upstreams(self, now, **changes):
        listed = tuple(registration(name, **changes) for name in self.names)
        return self.feed(events.VmListReceived(listed), now)

    def report(self, now, **changes):
        for name in self.names:
            self.feed(load(name, now, running_limit=64, **changes), now)

    def warm(self, now=1.0):
        """List and poll the upstreams; return the time from which all are warm."""
        self.list_upstreams(now)
        self.report(now)
        return now + WARM_UP_SECONDS + WINDOW_SECONDS

    def ask(self, count, now):
        before = sum(map(len, self.granted_at.values()))
        for _ in range(count):
            self.asked += 1
            # The asks reach this entry whatever it believes about other schedulers.
            self.record(feed(self.board, ask(f"{self.asked}", "urgent"), now), now)
        return sum(map(len, self.granted_at.values())) - before


def most_in_window(entries, name):
    """Return the most requests of which all can arrive within the same second."""
    times = sorted(time for entry in entries for time in entry.granted_at[name])
    return max(
        (sum(start <= time < start + WINDOW_SECONDS for time in times))
        for start in (times or [0.0])
    )


def engines(count):
    return tuple(f"engine-{index}" for index in range(count))


class BurstTest(unittest.TestCase):
    def test_fifteen_engines_return_cold_in_a_burst(self):
        """Guards against a burst that crashes the servers of a zone as they return."""
        entry = Entry(engines(15))
        entry.warm()
        start = 6.0
        entry.list_upstreams(start, started_at=1_700_000_000_000)
        entry.report(start)
        for step in range(20):
            entry.ask(60, start + 0.05 * step)
        for name in entry.names:
            self.assertEqual(most_in_window([entry], name), BOUND // 2)

    def test_waiting_asks_are_granted_after_the_warm_up(self):
        """Guards against asks that wait although the engine is warm."""
        entry = Entry(engines(1))
        entry.warm()
        entry.list_upstreams(6.0, started_at=1_700_000_000_000)
        entry.report(6.0)
        self.assertEqual(entry.ask(30, 6.0), BOUND // 2)
        entry.feed(events.TimerFired("scheduling"), 6.9)
        self.assertEqual(len(entry.granted_at["engine-0"]), BOUND // 2)
        entry.feed(events.TimerFired("scheduling"), 7.1)
        self.assertEqual(len(entry.granted_at["engine-0"]), 30)

    def test_warm_engine_takes_what_a_cold_one_may_not(self):
        """Guards against asks that wait beside a warm engine."""
        entry = Entry(engines(2))
        entry.warm()
        entry.feed(events.ColdAnnounced("engine-0", 7.0), 6.0)
        self.assertEqual(entry.ask(60, 6.0), 60)
        self.assertEqual(len(entry.granted_at["engine-0"]), BOUND // 2)

    def test_grants_before_a_server_became_cold_count(self):
        """Guards against new grants beside those that are still to be used."""
        entry = Entry(engines(1))
        now = entry.warm()
        self.assertEqual(entry.ask(30, now), 30)
        entry.feed(events.ColdAnnounced("engine-0", now + 2.0), now + 0.1)
        self.assertEqual(entry.ask(5, now + 0.2), 0)

    def test_nothing_is_limited_without_the_settings_or_the_declared_rate(self):
        """Guards against an effect on deployments that do not ask for the limit."""
        entry = Entry(engines(1), cold_overage=0.0)
        entry.list_upstreams(1.0)
        entry.report(1.0)
        self.assertEqual(entry.board.cold_starts_by_upstream_id, {})
        self.assertEqual(entry.ask(40, 1.0), 40)
        self.assertEqual(entry.board.cold_grant_deadlines_by_upstream_id, {})


class FleetTest(unittest.TestCase):
    def schedulers(self, names, fleet, **changes):
        found = [Entry(names, node_id, fleet, **changes) for node_id in fleet]
        for entry in found:
            entry.list_upstreams(1.0)
            entry.report(1.0)
        return found

    def test_scheduler_lost_while_engines_are_cold(self):
        """Guards against a second scheduler that gives the first one's grants again."""
        fleet = tuple(f"entry-{index}" for index in range(6))
        entries = self.schedulers(engines(1), fleet)
        (cell,) = entries[0].board.cells_by_id
        first, second = entries[0].board.schedulers_by_cell_id[cell][:2]
        lost, successor = (entries[fleet.index(name)] for name in (first, second))
        self.assertEqual(lost.ask(40, 1.1), BOUND // 2)
        board = successor.board
        board.listed_entries_by_vm_id[first] = object()
        board.members_by_id[first] = board.members_by_id[first]._replace(state="dead")
        successor.feed(events.MembershipChanged(), 1.5)
        self.assertEqual(successor.ask(40, 1.6), BOUND // 4)
        self.assertLessEqual(most_in_window(entries, "engine-0"), BOUND)

    def test_all_entries_schedule_at_once(self):
        """Guards against entries that are cut off and each schedule for themselves."""
        fleet = tuple(f"entry-{index}" for index in range(112))
        entries = self.schedulers(engines(1), fleet)
        for entry in entries:
            entry.ask(25, 1.1)
        self.assertEqual(most_in_window(entries, "engine-0"), BOUND)

    def test_96_entries_and_a_cold_plain_server(self):
        """Guards against one request of each entry that together exceed the bound."""
        fleet = tuple(f"entry-{index}" for index in range(96))
        names = ("portal-0", "portal-1")
        entries = self.schedulers(names, fleet, scheduler="entry")
        for entry in entries:
            entry.ask(3, 1.1)
        for name in names:
            self.assertEqual(most_in_window(entries, name), BOUND // 2)

    def test_shares_add_up_to_the_bound_at_most(self):
        """Guards against rounding that gives one request too many."""
        for bound in range(60):
            with self.subTest(bound=bound):
                shares = [rows.SchedulerShareRow(bound, at) for at in range(100)]
                self.assertLessEqual(sum(map(cold_start.grant_limit, shares)), bound)
                for count in (1, 3, 47, 96):
                    parts = [
                        rows.EntryShareRow(bound, at, count) for at in range(count)
                    ]
                    limits = map(cold_start.grant_limit, parts)
                    self.assertEqual(sum(limits), bound // 2)


class ColdTimeTest(unittest.TestCase):
    def setUp(self):
        self.entry = Entry(engines(1))
        self.board = self.entry.board

    def is_cold(self, now):
        return cold_start.is_cold(self.board, "engine-0", now)

    def test_new_engine_is_cold_until_its_warm_up_ends(self):
        """Guards against a full rate at an engine that was just registered."""
        self.entry.list_upstreams(1.0)
        self.assertTrue(self.is_cold(1.5))
        self.entry.report(1.5)
        self.assertTrue(self.is_cold(2.4))
        self.assertFalse(self.is_cold(2.5))

    def test_late_report(self):
        """Guards against a full rate at an engine that may have been away unseen."""
        now = self.entry.warm()
        last_report_at = 1.0
        interval = self.board.settings.scheduling.load_interval_seconds
        old_at = last_report_at + 2 * interval + 1.0
        self.assertTrue(self.is_cold(old_at))
        self.entry.report(now + 10.0)
        self.assertTrue(self.is_cold(now + 10.9))
        self.assertFalse(self.is_cold(now + 11.1))

    def test_return_after_an_outage(self):
        """Guards against a burst of waiting asks at an engine that comes back."""
        now = self.entry.warm()
        self.entry.report(now)
        self.entry.feed(events.LoadUnavailable("engine-0", "no answer"), now)
        self.entry.report(now + 0.5)
        self.assertTrue(self.is_cold(now + 2.9))
        self.entry.report(now + 2.9)
        self.assertFalse(self.is_cold(now + 3.1))

    def test_registration_that_lapsed_and_returned(self):
        """Guards against a server whose outage is only seen in the store."""
        now = self.entry.warm()
        self.entry.report(now)
        self.entry.ask(1, now)
        self.entry.feed(events.VmListReceived(()), now)
        self.entry.list_upstreams(now + 1.0)
        self.assertTrue(self.is_cold(now + 1.5))

    def test_zone_that_is_taken_back(self):
        """Guards against a burst to servers that became cold while out of use."""
        entry = Entry(engines(2))
        at = entry.warm()
        drained = events.ZoneDrainsChanged(("zone-1",), ())
        self.assertFalse(entry.feed(drained, at))
        self.assertFalse(cold_start.is_cold(entry.board, "engine-0", at))
        entry.feed(events.ZoneDrainsChanged((), ("zone-2",)), at)
        self.assertFalse(cold_start.is_cold(entry.board, "engine-0", at))
        entry.feed(events.ZoneDrainsChanged((), ("zone-1",)), at)
        entry.ask(200, at)
        for name in entry.names:
            self.assertEqual(len(entry.granted_at[name]), BOUND // 2)

    def test_absurd_remaining_time_is_bounded(self):
        """Guards against a server that stays cold because its clock is wrong."""
        now = self.entry.warm()
        self.entry.report(now)
        for seconds in (1e9, float("inf")):
            self.entry.list_upstreams(now, cold_left_seconds=seconds)
            self.assertTrue(self.is_cold(now + 0.9))
            self.assertFalse(self.is_cold(now + 1.1))
            now += 1.5
            self.entry.report(now, cold_until=now + seconds)
            self.assertTrue(self.is_cold(now + 0.9))
            self.assertFalse(self.is_cold(now + 1.1))
            now += 1.5

    def test_same_registration_read_again_does_not_prolong_the_time(self):
        """Guards against cold time that grows with each change of another server."""
        now = self.entry.warm()
        self.entry.report(now)
        self.entry.list_upstreams(now, cold_left_seconds=0.8)
        self.entry.list_upstreams(now + 0.7, cold_left_seconds=0.8)
        self.assertFalse(self.is_cold(now + 0.9))

    def test_same_time_in_another_registration_counts(self):
        """Guards against a missed sign where a write between two was not read."""
        now = self.entry.warm()
        self.entry.report(now)
        self.entry.list_upstreams(now, cold_left_seconds=0.8, version=5)
        self.entry.list_upstreams(now + 2.0, cold_left_seconds=0.8, version=9)
        self.assertTrue(self.is_cold(now + 2.7))
        self.assertFalse(self.is_cold(now + 2.9))

    def test_change_is_logged_once_where_the_cell_is_scheduled(self):
        """Guards against a limit that no operator can see."""
        now = self.entry.warm()
        self.entry.report(now)
        decided = self.entry.feed(events.ColdAnnounced("engine-0", now + 0.5), now)
        (line,) = (item for item in decided if isinstance(item, actions.Log))
        self.assertEqual(line.fields["reason"], "answer")
        again = self.entry.feed(events.ColdAnnounced("engine-0", now + 0.5), now)
        self.assertEqual(again, [])
        counts = cold_start.count_cold_upstreams(self.board, now)
        self.assertEqual(counts, {"free": 1, "used_up": 0})

    def test_state_of_removed_upstreams_is_deleted(self):
        """Guards against rows that grow with each replaced server."""
        now = self.entry.warm()
        cold_start.record_grant(self.board, "engine-0", now)
        self.entry.feed(events.VmListReceived((registration("engine-9"),)), now)
        self.assertEqual(list(self.board.cold_starts_by_upstream_id), ["engine-9"])
        self.assertEqual(self.board.cold_grant_deadlines_by_upstream_id, {})


class MoveTest(unittest.TestCase):
    def test_moves_count_at_a_cold_target(self):
        """Guards against generations that are moved together to a cold engine."""
        board = evacuation_board(engine_count=2)
        scheduling = board.settings.scheduling._replace(cold_overage=1.0)
        board.settings_by_name["in_force"] = board.settings._replace(
            scheduling=scheduling
        )
        groups = board.configuration.serving_groups_by_name
        groups[GROUP] = groups[GROUP]._replace(
            warm_up_seconds=5.0, cold_requests_per_second=3.0
        )
        board.cold_starts_by_upstream_id["engine-1"] = rows.ColdStartRow(
            "engine-1", "engine-1:1", 0, cold_until=NOW + 5.0
        )
        for request_id in ("doc-1", "doc-2"):
            feed(board, running_on("engine-0", request_id), NOW - 0.1)
        # The share of the scheduler is one request, of a bound of three.
        ((moved_id, target_id),) = orders(announce_leaving(board, "engine-0"))
        self.assertEqual(target_id, "engine-1")
        report = move_report(moved_id, target_id, "moved")
        self.assertEqual(orders(feed(board, report, NOW + 0.3)), [])
