"""Order of members by strength, and how the duties of a fleet fall."""

from __future__ import annotations

import math
import unittest
from collections import Counter
from contextlib import ExitStack
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from carawayhitch.controllers import _cells, duties, is_watcher
from carawayhitch.controllers._cells import order_by_rendezvous, rendezvous_score
from carawayhitch.controllers.duties import _order
from carawayhitch.controllers.duties._order import (
    FRACTION_BITS,
    SCORE_BITS,
    negative_log2,
    order_by_strength,
    order_by_weight,
)
from carawayhitch.core import rows
from carawayhitch.core import settings as settings_types
from tests.boards import new_settings, ready_board
from tests.controllers.duties.fleets import (
    CELLS,
    STRONG_VM,
    WEAK_VM,
    ZONES,
    member,
    uneven_fleet,
)

scores = st.integers(0, 2**SCORE_BITS - 1)
names = st.text(max_size=8)
strengths = st.integers(rows.MINIMUM_STRENGTH, rows.MAXIMUM_STRENGTH)


def schedulers_of(members):
    derived = duties.derive_schedulers(CELLS, members.values(), "node-1")
    return {cell_id: order[0] for cell_id, order in derived.items()}


def is_strong(node_id):
    return "-s" in node_id


class OrderTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(names, st.sets(names, min_size=1, max_size=40), strengths)
    def test_equal_strengths_give_the_unweighted_order(self, subject, ids, strength):
        """Guards against duties that move in fleets of equal VMs."""
        equal = dict.fromkeys(ids, strength)
        expected = order_by_rendezvous(subject, ids)
        self.assertEqual(order_by_weight(subject, equal), expected)
        self.assertEqual(order_by_strength(subject, equal), expected)

    @settings(derandomize=True, deadline=None)
    @given(
        names,
        st.dictionaries(names, strengths, min_size=2, max_size=20),
        strengths,
        st.data(),
    )
    def test_one_changed_strength_moves_only_that_member(
        self, subject, before, strength, data
    ):
        """Guards against a change that moves duties among all others."""
        changed = data.draw(st.sampled_from(sorted(before)))
        after = before | {changed: strength}
        orders = [
            [name for name in order_by_weight(subject, fleet) if name != changed]
            for fleet in (before, after)
        ]
        self.assertEqual(*orders)

    @settings(derandomize=True, deadline=None)
    @given(scores, scores)
    def test_logarithm_is_monotone_and_precise(self, first, second):
        """Guards against a table that prefers the lower of two scores."""
        low, high = sorted((first, second))
        self.assertGreaterEqual(negative_log2(low), negative_log2(high))
        exact = SCORE_BITS - math.log2(low + 1)
        self.assertAlmostEqual(negative_log2(low) / 2**FRACTION_BITS, exact, delta=5e-5)

    def test_order_is_the_same_on_every_processor(self):
        """Guards against entries whose arithmetic gives different owners for good."""
        self.assertEqual(negative_log2(0), SCORE_BITS << FRACTION_BITS)
        self.assertEqual(negative_log2(2**SCORE_BITS - 1), 0)
        self.assertEqual(negative_log2(0x9E3779B97F4A7C15), 2981793831)
        strengths_by_id = {f"n{index}": 1 + index % 8 for index in range(8)}
        self.assertEqual(
            order_by_weight("cell", strengths_by_id),
            ["n6", "n3", "n7", "n5", "n4", "n1", "n2", "n0"],
        )


class StrengthTest(unittest.TestCase):
    def test_scarcest_resource_decides_and_unknown_is_weakest(self):
        """Guards against a duty on a VM that lacks memory or a fast link for it."""
        self.assertEqual(duties.strength_of(STRONG_VM), 8)
        self.assertEqual(duties.strength_of(WEAK_VM), 1)
        self.assertEqual(duties.strength_of(STRONG_VM._replace(link_megabits=10)), 2)
        self.assertEqual(duties.strength_of(STRONG_VM._replace(link_megabits=0)), 8)
        unknown = settings_types.NodeSettings("n", "z", "r")
        self.assertEqual(duties.strength_of(unknown), rows.MINIMUM_STRENGTH)
        self.assertFalse(duties.is_strength_known(unknown))


class UnevenFleetTest(unittest.TestCase):
    """96 members: eight of strength 8 and 88 of strength 1."""

    def setUp(self):
        self.members = uneven_fleet()

    def test_strong_members_schedule_and_share_the_cells(self):
        """Guards against cells that the weakest VMs serve, or one strong VM alone."""
        counts = Counter(schedulers_of(self.members).values())
        strong = {name: count for name, count in counts.items() if is_strong(name)}
        self.assertGreaterEqual(sum(strong.values()), 0.95 * len(CELLS))
        self.assertEqual(len(strong), 8)
        self.assertLess(max(strong.values()), 2 * len(CELLS) / 8)

    def test_watchers_do_not_follow_the_schedulers(self):
        """Guards against schedulers that read all changes consistently."""
        for zone in ZONES:
            in_zone = [row for row in self.members.values() if row.zone == zone]
            watchers = []
            for row in in_zone:
                board = ready_board(row.node_id)
                node = board.settings.node._replace(zone=zone)
                board.settings_by_name["in_force"] = new_settings(
                    row.node_id, node=node
                )
                board.members_by_id.update(self.members)
                if is_watcher(board, 100.0):
                    watchers.append(row.node_id)
            names = [row.node_id for row in in_zone]
            expected = order_by_rendezvous(f"watch/{zone}", names)[:2]
            self.assertEqual(sorted(watchers), sorted(expected))

    def test_a_new_member_ranks_no_other_again(self):
        """Guards against hashes of the whole zone at each change of the membership."""
        board = ready_board("own")
        scored = []

        def score(subject, candidate):
            scored.append(candidate)
            return rendezvous_score(subject, candidate)

        with ExitStack() as stack:
            for module in (_cells, _order):
                stack.enter_context(patch.object(module, "rendezvous_score", score))
            for index in range(50):
                row = member(f"ranked-{index}", "a")
                board.members_by_id[row.node_id] = row
                is_watcher(board, 100.0)
        self.assertEqual(len(scored), len(set(scored)))

    def test_rest_takes_over_when_all_strong_members_fail(self):
        """Guards against cells without a scheduler or with few of the weak ones."""
        weak = {name: row for name, row in self.members.items() if not is_strong(name)}
        schedulers = schedulers_of(weak)
        self.assertEqual(
            schedulers,
            {cell_id: order_by_rendezvous(cell_id, weak)[0] for cell_id in CELLS},
        )
        self.assertLess(max(Counter(schedulers.values()).values()), 15)

    def test_loss_of_a_zone_moves_only_its_cells(self):
        """Guards against a zone loss that moves the cells of the other zones."""
        before = schedulers_of(self.members)
        left = {n: row for n, row in self.members.items() if row.zone != "natal"}
        after = schedulers_of(left)
        moved = {cell_id for cell_id in CELLS if before[cell_id] != after[cell_id]}
        lost = {c for c in CELLS if self.members[before[c]].zone == "natal"}
        self.assertEqual(moved, lost)
        self.assertTrue(lost)

    def test_unknown_strengths_of_some(self):
        """Guards against members of an earlier release that take duties first."""
        unknown = "recife-s0"
        row = self.members[unknown]._replace(strength=rows.MINIMUM_STRENGTH)
        counts = Counter(schedulers_of(self.members | {unknown: row}).values())
        self.assertLess(counts[unknown], 5)

    def test_disagreement_names_at_most_one_other_scheduler(self):
        """Guards against a lagging member table that scatters a cell over entries.

        Until it has caught up, a member sends to the scheduler from before the change.
        """
        before = schedulers_of(self.members)
        choked = "natal-s1"
        row = self.members[choked]._replace(strength=4)
        after = schedulers_of(self.members | {choked: row})
        differing = {cell_id for cell_id in CELLS if before[cell_id] != after[cell_id]}
        self.assertTrue(differing)
        for cell_id in differing:
            self.assertEqual(before[cell_id], choked)
