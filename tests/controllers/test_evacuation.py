"""Evacuation of leaving engines at the scheduler of their cell."""

from __future__ import annotations

import unittest

from carawayhitch.controllers import _evacuation
from carawayhitch.core import actions, declarations, events, messages
from tests.controllers.scheduling_world import (
    CELL,
    ask,
    feed,
    granted,
    load,
    scheduling_board,
    sent,
)

# The copy of 1,000 tokens takes 0.08 s within an availability zone.
CAPACITY = declarations.EngineCapacity(
    slots=8,
    memory_tokens=10_000,
    token_bytes=100_000,
    link_bits_per_second=1e10,
    can_move=True,
)
NOW = 100.0


def evacuation_board(engine_count=3):
    board = scheduling_board(engine_count)
    configuration = board.configuration_by_name["in_force"]
    group = declarations.ServingGroup("quotes", {"m": "quotes"}, engine=CAPACITY)
    board.configuration_by_name["in_force"] = configuration._replace(
        serving_groups_by_name={"quotes": group}
    )
    for name in list(board.upstreams_by_id):
        feed(board, load(name, NOW - 1), NOW - 1)
    return board


def start_generation(
    board, request_id, prompt=1000, tokens=100, maximum=4000, at=NOW - 10
):
    """Place a request, report its first tokens, and return the id of its engine."""
    asked = ask(
        request_id,
        "patient",
        prompt_tokens=prompt,
        maximum_tokens=maximum,
        fingerprint=f"print of {request_id}",
    )
    upstream_id = granted(feed(board, asked, at))[request_id]
    if tokens:
        count = messages.RunningCount(request_id, 1, tokens)
        progress = messages.Progress("entry-2", CELL, (), (), (count,))
        feed(board, progress, NOW - 0.1)
    return upstream_id


def add_engine(board, source):
    """Add an idle engine to the cell of an engine that runs all generations."""
    other = board.upstreams_by_id[source]._replace(upstream_id="engine-9")
    board.upstreams_by_id["engine-9"] = other
    cell = board.cells_by_id[CELL]
    board.cells_by_id[CELL] = cell._replace(upstream_ids=(source, "engine-9"))


def announce_leaving(board, upstream_id, now=NOW):
    """Mark an engine as leaving and return the actions."""
    known = board.upstreams_by_id[upstream_id]
    board.upstreams_by_id[upstream_id] = known._replace(leaving=True, leaving_since=now)
    return feed(board, events.UpstreamLeaving(upstream_id), now)


def orders(decided):
    return [
        (message.request_id, message.target_id)
        for message in sent(decided, messages.MoveOrder)
    ]


def running_on(upstream_id, request_id, attempt=1):
    """Return the progress message that reports a generation to a new scheduler."""
    running = messages.RunningRequest(
        request_id,
        attempt,
        "quotes",
        "hotel",
        "patient",
        "b",
        f"print of {request_id}",
        upstream_id,
        1000,
        4000,
        100,
    )
    return messages.Progress("entry-2", CELL, (running,), ())


def move_report(request_id, upstream_id, outcome, attempt=2):
    return messages.MoveReport(
        "entry-2", request_id, attempt, CELL, upstream_id, outcome
    )


class EvacuationTest(unittest.TestCase):
    def test_moves_are_ordered_one_at_a_time(self):
        """Guards against concurrent copies that delay each other on one link."""
        board = evacuation_board(engine_count=2)
        source = start_generation(board, "first")
        start_generation(board, "other")
        start_generation(board, "second")
        self.assertEqual(len(board.grant_ids_by_upstream_id[source]), 2)
        decided = announce_leaving(board, source)
        self.assertEqual(len(orders(decided)), 1)
        moved, target = orders(decided)[0]
        self.assertEqual(board.grants_by_request_id[moved].upstream_id, target)
        decided = feed(board, move_report(moved, target, "moved"), NOW + 0.1)
        self.assertEqual(len(orders(decided)), 1)
        self.assertNotEqual(orders(decided)[0][0], moved)
        self.assertEqual(board.grants_by_request_id[moved].attempt, 2)

    def test_generation_with_the_largest_loss_moves_first(self):
        """Guards against link time used for a generation that ends by itself."""
        board = evacuation_board(engine_count=1)
        source = start_generation(board, "short", maximum=101)
        start_generation(board, "long", maximum=4000)
        add_engine(board, source)
        self.assertEqual(orders(announce_leaving(board, source))[0][0], "long")

    def test_small_copies_are_preferred(self):
        """Guards against a large copy that uses the time of several small ones."""
        board = evacuation_board(engine_count=1)
        source = start_generation(board, "large", prompt=4000)
        start_generation(board, "small", prompt=1000)
        add_engine(board, source)
        self.assertEqual(orders(announce_leaving(board, source))[0][0], "small")

    def test_same_zone_engine_is_preferred_only_if_time_is_short(self):
        """Guards against an engine that receives all moves and then leaves as well."""
        for notice, taken in ((1.5, "far"), (0.2, "near")):
            with self.subTest(taken):
                board = evacuation_board(engine_count=3)
                source = start_generation(board, "first")
                far, near = sorted(set(board.upstreams_by_id) - {source})
                loaded = start_generation(board, "second")
                (idle,) = {far, near} - {loaded}
                names = {loaded: "near", idle: "far"}
                known = board.upstreams_by_id
                known[idle] = known[idle]._replace(zone="zone-2")
                known[source] = known[source]._replace(leaves_at=NOW + notice)
                ((_, target),) = orders(announce_leaving(board, source))
                self.assertEqual(names[target], taken)

    def test_generation_without_a_token_is_not_moved(self):
        """Guards against repeated orders that an engine cannot execute."""
        board = evacuation_board(engine_count=2)
        source = start_generation(board, "waiting", tokens=0)
        self.assertEqual(orders(announce_leaving(board, source)), [])

    def test_copy_that_cannot_complete_in_time_is_not_started(self):
        """Guards against a copy that occupies the link without completing in time."""
        board = evacuation_board(engine_count=2)
        source = start_generation(board, "large", prompt=6000)
        known = board.upstreams_by_id[source]
        board.upstreams_by_id[source] = known._replace(leaves_at=NOW + 0.3)
        self.assertEqual(orders(announce_leaving(board, source)), [])

    def test_full_and_leaving_targets_are_skipped(self):
        """Guards against moves to engines that are full or leave as well."""
        board = evacuation_board(engine_count=3)
        source = start_generation(board, "first", prompt=3000)
        others = [name for name in board.upstreams_by_id if name != source]
        known = board.upstreams_by_id[others[0]]
        board.upstreams_by_id[others[0]] = known._replace(leaving=True)
        full = board.upstreams_by_id[others[1]]
        board.upstreams_by_id[others[1]] = full._replace(memory_capacity=3000)
        self.assertEqual(orders(announce_leaving(board, source)), [])
        board.upstreams_by_id[others[1]] = full
        timer = events.TimerFired(_evacuation.EVACUATION_TIMER, source)
        decided = feed(board, timer, NOW + 0.1)
        self.assertEqual(orders(decided), [("first", others[1])])

    def test_engines_that_leave_together_copy_to_different_targets(self):
        """Guards against copies that wait for each other at the only idle engine."""
        board = evacuation_board(engine_count=4)
        sources = [
            start_generation(board, name, prompt=prompt)
            for name, prompt in (("a", 500), ("b", 500), ("c", 3000))
        ]
        self.assertEqual(len(set(sources)), 3)
        idle = (board.upstreams_by_id.keys() - set(sources)).pop()
        self.assertEqual(orders(announce_leaving(board, sources[0])), [("a", idle)])
        second = orders(announce_leaving(board, sources[1]))
        self.assertEqual(second, [("b", sources[2])])
        # A copy that waits is better than none.
        third = orders(announce_leaving(board, sources[2]))
        self.assertEqual([target for _, target in third], [idle])

    def test_same_zone_engine_is_preferred_at_equal_load(self):
        """Guards against needless copies between zones, which take twice as long."""
        board = evacuation_board(engine_count=3)
        source = start_generation(board, "first")
        others = sorted(name for name in board.upstreams_by_id if name != source)
        known = board.upstreams_by_id[others[0]]
        board.upstreams_by_id[others[0]] = known._replace(zone="zone-2")
        self.assertEqual(
            orders(announce_leaving(board, source)), [("first", others[1])]
        )

    def test_unsuccessful_moves_restore_the_grant(self):
        """Guards against a grant that is counted at two engines or at none."""
        for outcome, is_reordered in (
            ("failed", False),
            ("gone", False),
            ("not_started", True),
            ("lost", False),
        ):
            with self.subTest(outcome):
                board = evacuation_board(engine_count=2)
                source = start_generation(board, "first")
                moved, target = orders(announce_leaving(board, source))[0]
                now = NOW + 0.1
                if outcome == "lost":
                    now = NOW + 1.0
                else:
                    feed(board, move_report(moved, source, outcome, attempt=1), now)
                timer = events.TimerFired(_evacuation.EVACUATION_TIMER, source)
                decided = feed(board, timer, now)
                self.assertEqual(bool(orders(decided)), is_reordered)
                expected = target if is_reordered else source
                grant = board.grants_by_request_id["first"]
                self.assertEqual(grant.upstream_id, expected)
                self.assertIn("first", board.grant_ids_by_upstream_id[expected])

    def test_generation_whose_target_leaves_moves_to_another_one(self):
        """Guards against a stream cut as its target was removed after the order."""
        board = evacuation_board(engine_count=3)
        source = start_generation(board, "first")
        ((_, target),) = orders(announce_leaving(board, source))
        known = board.upstreams_by_id[target]
        board.upstreams_by_id[target] = known._replace(leaving=True)
        decided = feed(board, move_report("first", source, "failed"), NOW + 0.2)
        (other,) = board.upstreams_by_id.keys() - {source, target}
        self.assertEqual(orders(decided), [("first", other)])
        ordered = sent(decided, messages.MoveOrder)
        self.assertEqual([order.attempt for order in ordered], [2])

    def test_order_without_a_report_is_repeated(self):
        """Guards against a generation that is lost with a single datagram.

        Entries ignore the repetition of an order that they carry out.
        """
        board = evacuation_board(engine_count=2)
        source = start_generation(board, "first")
        ordered = sent(announce_leaving(board, source), messages.MoveOrder)
        timer = events.TimerFired(_evacuation.EVACUATION_TIMER, source)
        found = feed(board, timer, NOW + _evacuation.EVACUATION_CHECK_INTERVAL_SECONDS)
        self.assertEqual(sent(found, messages.MoveOrder), ordered)

    def test_repeated_order_keeps_its_target(self):
        """Guards against an order to move a generation to the engine that leaves."""
        board = evacuation_board(engine_count=2)
        source = start_generation(board, "first")
        ordered = sent(announce_leaving(board, source), messages.MoveOrder)
        # A report from before the order sets the grant back to the leaving engine.
        feed(board, running_on(source, "first"), NOW + 0.05)
        self.assertEqual(board.grants_by_request_id["first"].upstream_id, source)
        timer = events.TimerFired(_evacuation.EVACUATION_TIMER, source)
        self.assertEqual(
            sent(feed(board, timer, NOW + 0.1), messages.MoveOrder), ordered
        )

    def test_deadline_is_read_from_a_report_after_the_notice(self):
        """Guards against a deadline taken from a load report before the notice."""
        board = evacuation_board(engine_count=2)
        source = start_generation(board, "first")
        decided = announce_leaving(board, source)
        self.assertFalse([a for a in decided if isinstance(a, actions.PollLoad)])
        timer = events.TimerFired(_evacuation.LOAD_POLL_TIMER, source)
        polled = feed(board, timer, NOW + 0.6)
        self.assertTrue([a for a in polled if isinstance(a, actions.PollLoad)])
        report_with_deadline = load(source, NOW, leaves_at=NOW + 2.1)
        feed(board, report_with_deadline, NOW + 0.6)
        row = board.evacuations_by_upstream_id[source]
        self.assertEqual(row.deadline, NOW + 2.1)

    def test_new_scheduler_evacuates_reported_generations(self):
        """Guards against lost generations when their scheduler fails as well."""
        board = evacuation_board(engine_count=2)
        source, other = sorted(board.upstreams_by_id)[:2]
        self.assertEqual(orders(announce_leaving(board, source)), [])
        self.assertEqual(
            orders(feed(board, running_on(source, "first"), NOW + 0.6)),
            [("first", other)],
        )
        # Further progress messages may contain the same rows.
        self.assertEqual(
            orders(feed(board, running_on(source, "first"), NOW + 0.7)), []
        )

    def test_ended_evacuation_does_not_restart(self):
        """Guards against endless orders of moves that failed."""
        board = evacuation_board(engine_count=2)
        source = start_generation(board, "first")
        ((moved, _),) = orders(announce_leaving(board, source))
        feed(board, move_report(moved, source, "failed"), NOW + 0.1)
        timer = events.TimerFired(_evacuation.EVACUATION_TIMER, source)
        feed(board, timer, NOW + 5.0)
        progress = running_on(source, "first", attempt=2)
        self.assertEqual(orders(feed(board, progress, NOW + 5.1)), [])
        del board.upstreams_by_id[source]
        feed(board, events.UpstreamsChanged(), NOW + 6.0)
        self.assertNotIn(source, board.evacuations_by_upstream_id)


if __name__ == "__main__":
    unittest.main()
