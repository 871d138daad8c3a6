"""A scheduler that is late: it announces it, and its cells move without a swing."""

from __future__ import annotations

import unittest
from random import Random

from carawayhitch import controllers
from carawayhitch.controllers import duties
from carawayhitch.controllers.duties import _choking
from carawayhitch.core import actions, events, messages, rows
from tests.boards import new_settings, ready_board
from tests.controllers.duties.fleets import CELLS, STRONG_VM, member

NODE = "node-1"
LATE, IN_TIME = 0.3, 0.01


class Scheduler:
    """A strong node among strong peers, whose event loop is late as told."""

    def __init__(self, vm=STRONG_VM, weak_count=20):
        self.now = 100.0
        self.board = ready_board(NODE)
        node = vm._replace(id=NODE, zone="a", region="r1")
        self.board.settings_by_name["in_force"] = new_settings(NODE, node=node)
        self.full = duties.strength_of(node)
        for index in range(7):
            peer = member(f"peer-{index}", strength=self.full)
            self.board.members_by_id[peer.node_id] = peer
        for index in range(weak_count):
            peer = member(f"weak-{index}")
            self.board.members_by_id[peer.node_id] = peer
        self.board.members_by_id[NODE] = member(NODE, strength=self.full)
        probe_round = rows.ProbeRoundRow(NODE, (), 1, 0, self.now)
        self.board.probe_round_by_node_id[NODE] = probe_round
        self.board.cells_by_id.update(CELLS)
        self.deadline = None
        self.performed = []
        self.strengths = []
        self.feed(events.MembershipChanged())

    def feed(self, event):
        for action in controllers.decide_chain(event, self.board, self.now, Random(1)):
            self.performed.append(action)
            if isinstance(
                action, actions.SetTimer
            ) and action.event == events.TimerFired(_choking.DUTY_LOAD_TIMER):
                self.deadline = action.deadline
        self.strengths.append(self.board.members_by_id[NODE].strength)

    def run(self, seconds, lag):
        end = self.now + seconds
        while self.deadline is not None and self.deadline + lag < end:
            self.now, self.deadline = self.deadline + lag, None
            self.feed(events.TimerFired(_choking.DUTY_LOAD_TIMER))
        self.now = max(self.now, end)

    @property
    def strength(self):
        return self.board.members_by_id[NODE].strength

    @property
    def cells(self):
        return self.board.duties_by_kind.get("scheduler", ())


class ChokedSchedulerTest(unittest.TestCase):
    def setUp(self):
        self.scheduler = Scheduler()

    def test_cells_move_and_peers_are_told(self):
        """Guards against entries that wait for a late scheduler for minutes."""
        before = self.scheduler.cells
        self.scheduler.run(10.0, LATE)
        self.assertEqual(self.scheduler.strength, self.scheduler.full // 2)
        self.assertLess(len(self.scheduler.cells), len(before) / 3)
        probes = [
            action.message
            for action in self.scheduler.performed
            if isinstance(action, actions.Send)
            and isinstance(action.message, messages.Probe)
        ]
        self.assertTrue(probes)
        self.assertEqual(
            probes[-1].members[0], self.scheduler.board.members_by_id[NODE]
        )
        self.assertGreater(probes[-1].members[0].incarnation, 1)

    def test_single_pauses_are_not_choking(self):
        """Guards against cells that move because a process was paused."""
        for _ in range(10):
            self.scheduler.run(6.0, IN_TIME)
            self.scheduler.run(4.5, 4.0)
        self.assertEqual(set(self.scheduler.strengths), {self.scheduler.full})

    def test_load_that_leaves_with_the_cells_does_not_swing(self):
        """Guards against cells that return every time that the load has left.

        The node is late whenever it has its whole strength and at no other time.
        """
        scheduler = self.scheduler
        for _ in range(1200):
            scheduler.run(
                0.5, LATE if scheduler.strength == scheduler.full else IN_TIME
            )
        changes = sum(
            a != b
            for a, b in zip(scheduler.strengths, scheduler.strengths[1:], strict=False)
        )
        self.assertLessEqual(changes, 9)
        self.assertEqual(
            set(scheduler.strengths), {scheduler.full, scheduler.full // 2}
        )

    def test_calm_node_takes_its_cells_back_and_forgets(self):
        """Guards against a node that stays weak, and a row that nobody deletes."""
        before = self.scheduler.cells
        self.scheduler.run(10.0, LATE)
        self.scheduler.run(40.0, IN_TIME)
        self.assertEqual(self.scheduler.strength, self.scheduler.full)
        self.assertEqual(self.scheduler.cells, before)
        self.scheduler.board.cells_by_id.clear()
        self.scheduler.feed(events.UpstreamsChanged())
        self.scheduler.run(300.0, IN_TIME)
        self.assertEqual(self.scheduler.board.duty_loads_by_node_id, {})
        self.assertIsNone(self.scheduler.deadline)

    def test_equal_fleet_keeps_its_schedulers(self):
        """Guards against schedulers that change in a burst among equal VMs."""
        equal = Scheduler(weak_count=0)
        self.assertTrue(equal.cells)
        self.assertIsNone(equal.deadline)
        self.assertEqual(equal.board.duty_loads_by_node_id, {})

    def test_lateness_without_a_duty_or_known_strength_changes_nothing(self):
        """Guards against timers and rows on nodes that do not need them."""
        unknown = Scheduler(vm=STRONG_VM._replace(**dict.fromkeys(RESOURCES, 0.0)))
        self.assertIsNone(unknown.deadline)
        self.assertEqual(unknown.board.duties_by_kind, {})
        weakest = Scheduler(vm=STRONG_VM._replace(link_megabits=1.0))
        weakest.run(20.0, LATE)
        self.assertEqual(set(weakest.strengths), {1})


RESOURCES = ("processor_share", "memory_megabytes", "link_megabits")


class DutiesTest(unittest.TestCase):
    def test_own_duties_are_logged_once_when_they_change(self):
        """Guards against duties that logs do not explain."""
        scheduler = Scheduler()
        scheduler.feed(events.MembershipChanged())
        logged = [
            action.fields
            for action in scheduler.performed
            if isinstance(action, actions.Log) and action.event == "duties changed"
        ]
        by_kind = {fields["duty"]: fields for fields in logged}
        self.assertEqual(len(logged), len(by_kind))
        self.assertEqual(by_kind["scheduler"]["subjects"], list(scheduler.cells))
        self.assertEqual(by_kind["scheduler"]["strength"], scheduler.full)
