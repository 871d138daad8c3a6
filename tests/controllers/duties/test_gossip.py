"""Strength in the member table: how it arrives and what it changes."""

from __future__ import annotations

import unittest
from random import Random

from carawayhitch.controllers import _member_table
from carawayhitch.core import actions, events
from tests.boards import ready_board
from tests.controllers.duties.fleets import member
from tests.controllers.test_membership import Faults, Fleet


class MemberTableTest(unittest.TestCase):
    def setUp(self):
        self.board = ready_board()
        self.board.members_by_id["node-1"] = member("node-1")

    def merge(self, sender_id, row):
        return _member_table.merge_members(
            self.board, sender_id, (row,), 10.0, Random(1)
        )

    def strength(self):
        return self.board.members_by_id["b"].strength

    def reassigns(self, found):
        return actions.Emit(events.MembershipChanged()) in found

    def test_changed_strength_reassigns_cells(self):
        """Guards against cells that stay with a member that became weaker."""
        self.merge("b", member("b", strength=8))
        found = self.merge("c", member("b", strength=4, incarnation=2))
        self.assertTrue(self.reassigns(found))
        self.assertEqual(self.strength(), 4)
        self.assertFalse(self.reassigns(self.merge("c", member("b", strength=8))))
        self.assertEqual(self.strength(), 4)

    def test_member_corrects_a_strength_lost_on_the_way(self):
        """Guards against a wrong order for good after a relay by an earlier release."""
        self.merge("old-release", member("b"))
        self.assertTrue(self.reassigns(self.merge("b", member("b", strength=8))))
        self.assertFalse(self.reassigns(self.merge("old-release", member("b"))))
        self.assertEqual(self.strength(), 8)

    def test_brief_rows_keep_the_strength(self):
        """Guards against a suspicion that takes the duties of a strong member."""
        self.merge("b", member("b", strength=8))
        brief = member("b", state="suspect", address="", region="", zone="")
        self.assertFalse(self.reassigns(self.merge("c", brief)))
        self.assertEqual(self.strength(), 8)


class FleetTest(unittest.TestCase):
    """96 nodes over a network that loses a tenth of the messages."""

    def test_lowered_strength_is_known_everywhere_within_seconds(self):
        """Guards against entries that use the order from before for minutes."""
        fleet = Fleet(96, Faults(lost=0.1))
        fleet.run(60.0)
        for strength in (8, 4):
            fleet.feed("node-5", events.StrengthChanged(strength))
            began = fleet.now
            while not self.known_everywhere(fleet, strength):
                self.assertLess(fleet.now - began, 8.0)
                fleet.run(0.5)

    def known_everywhere(self, fleet, strength):
        return all(
            board.members_by_id["node-5"].strength == strength
            for board in fleet.boards.values()
        )
