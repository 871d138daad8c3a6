"""Evacuation of leaving engines at the scheduler, event by event."""

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

# 1,000 tokens take 0.08 s within an availability zone.
CAPACITY = declarations.EngineCapacity(
    slots=8,
    memory_tokens=10_000,
    token_bytes=100_000,
    link_bits_per_second=1e10,
    can_move=True,
)
NOW = 100.0


def world(engine_count=3):
    board = scheduling_board(engine_count)
    configuration = board.configuration_by_name["in_force"]
    group = declarations.ServingGroup("quotes", {"m": "quotes"}, engine=CAPACITY)
    board.configuration_by_name["in_force"] = configuration._replace(
        serving_groups_by_name={"quotes": group}
    )
    for name in list(board.upstreams_by_id):
        feed(board, load(name, NOW - 1), NOW - 1)
    return board


def start(board, request_id, prompt=1000, tokens=100, maximum=4000, at=NOW - 10):
    """Place a request, report its first tokens, and return its engine."""
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
    """Add an idle engine beside one that has all generations."""
    other = board.upstreams_by_id[source]._replace(upstream_id="engine-9")
    board.upstreams_by_id["engine-9"] = other
    cell = board.cells_by_id[CELL]
    board.cells_by_id[CELL] = cell._replace(upstream_ids=(source, "engine-9"))


def leave(board, upstream_id, now=NOW):
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
    """Return the progress by which an entry tells a new scheduler of a generation."""
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


def report(request_id, upstream_id, outcome, attempt=2):
    return messages.MoveReport(
        "entry-2", request_id, attempt, CELL, upstream_id, outcome
    )


class EvacuationTest(unittest.TestCase):
    def test_moves_are_ordered_one_at_a_time(self):
        """Guards against copies that wait for each other on one link."""
        board = world(engine_count=2)
        source = start(board, "first")
        start(board, "other")
        start(board, "second")
        self.assertEqual(len(board.grant_ids_by_upstream_id[source]), 2)
        decided = leave(board, source)
        self.assertEqual(len(orders(decided)), 1)
        moved, target = orders(decided)[0]
        self.assertEqual(board.grants_by_request_id[moved].upstream_id, target)
        decided = feed(board, report(moved, target, "moved"), NOW + 0.1)
        self.assertEqual(len(orders(decided)), 1)
        self.assertNotEqual(orders(decided)[0][0], moved)
        self.assertEqual(board.grants_by_request_id[moved].attempt, 2)

    def test_generation_that_loses_most_goes_first(self):
        """Guards against a link that is spent on what ends by itself."""
        board = world(engine_count=1)
        source = start(board, "short", maximum=101)
        start(board, "long", maximum=4000)
        add_engine(board, source)
        self.assertEqual(orders(leave(board, source))[0][0], "long")

    def test_more_generations_are_saved_by_small_copies(self):
        """Guards against one large copy that takes the time of several others."""
        board = world(engine_count=1)
        source = start(board, "large", prompt=4000)
        start(board, "small", prompt=1000)
        add_engine(board, source)
        self.assertEqual(orders(leave(board, source))[0][0], "small")

    def test_nearer_engine_is_used_only_if_time_is_short(self):
        """Guards against one engine that gets all, and loses them when it leaves."""
        for notice, taken in ((1.5, "far"), (0.2, "near")):
            with self.subTest(taken):
                board = world(engine_count=3)
                source = start(board, "first")
                far, near = sorted(set(board.upstreams_by_id) - {source})
                loaded = start(board, "second")
                (idle,) = {far, near} - {loaded}
                names = {loaded: "near", idle: "far"}
                known = board.upstreams_by_id
                known[idle] = known[idle]._replace(zone="zone-2")
                known[source] = known[source]._replace(leaves_at=NOW + notice)
                ((_, target),) = orders(leave(board, source))
                self.assertEqual(names[target], taken)

    def test_generation_without_a_token_is_left(self):
        """Guards against orders that engines cannot follow, again and again."""
        board = world(engine_count=2)
        source = start(board, "waiting", tokens=0)
        self.assertEqual(orders(leave(board, source)), [])

    def test_copy_that_cannot_end_in_time_is_not_begun(self):
        """Guards against a link that is taken from a copy that could end."""
        board = world(engine_count=2)
        source = start(board, "large", prompt=6000)
        known = board.upstreams_by_id[source]
        board.upstreams_by_id[source] = known._replace(leaves_at=NOW + 0.3)
        self.assertEqual(orders(leave(board, source)), [])

    def test_target_has_room_and_stays(self):
        """Guards against moves to engines that are full or leave as well."""
        board = world(engine_count=3)
        source = start(board, "first", prompt=3000)
        others = [name for name in board.upstreams_by_id if name != source]
        known = board.upstreams_by_id[others[0]]
        board.upstreams_by_id[others[0]] = known._replace(leaving=True)
        full = board.upstreams_by_id[others[1]]
        board.upstreams_by_id[others[1]] = full._replace(memory_capacity=3000)
        self.assertEqual(orders(leave(board, source)), [])
        board.upstreams_by_id[others[1]] = full
        timer = events.TimerFired(_evacuation.EVACUATION_TIMER, source)
        decided = feed(board, timer, NOW + 0.1)
        self.assertEqual(orders(decided), [("first", others[1])])

    def test_engine_in_the_same_zone_is_preferred(self):
        """Guards against copies between zones, which take twice as long."""
        board = world(engine_count=3)
        source = start(board, "first")
        others = sorted(name for name in board.upstreams_by_id if name != source)
        known = board.upstreams_by_id[others[0]]
        board.upstreams_by_id[others[0]] = known._replace(zone="zone-2")
        self.assertEqual(orders(leave(board, source)), [("first", others[1])])

    def test_fault_cases_of_reports(self):
        """Guards against a place that is counted at two engines or at none."""
        for outcome, again in (
            ("failed", False),
            ("gone", False),
            ("not_started", True),
            ("lost", False),
        ):
            with self.subTest(outcome):
                board = world(engine_count=2)
                source = start(board, "first")
                moved, target = orders(leave(board, source))[0]
                now = NOW + 0.1
                if outcome == "lost":
                    now = NOW + 1.0
                else:
                    feed(board, report(moved, source, outcome, attempt=1), now)
                timer = events.TimerFired(_evacuation.EVACUATION_TIMER, source)
                decided = feed(board, timer, now)
                self.assertEqual(bool(orders(decided)), again)
                expected = target if again else source
                grant = board.grants_by_request_id["first"]
                self.assertEqual(grant.upstream_id, expected)
                self.assertIn("first", board.grant_ids_by_upstream_id[expected])

    def test_notice_is_taken_from_reports_that_know_it(self):
        """Guards against a report of before the notice, which ends it too early."""
        board = world(engine_count=2)
        source = start(board, "first")
        decided = leave(board, source)
        self.assertFalse([a for a in decided if isinstance(a, actions.PollLoad)])
        timer = events.TimerFired(_evacuation.LOAD_POLL_TIMER, source)
        polled = feed(board, timer, NOW + 0.6)
        self.assertTrue([a for a in polled if isinstance(a, actions.PollLoad)])
        told = load(source, NOW, leaves_at=NOW + 2.1)
        feed(board, told, NOW + 0.6)
        row = board.evacuations_by_upstream_id[source]
        self.assertEqual(row.deadline, NOW + 2.1)

    def test_new_scheduler_evacuates_what_it_learns_of(self):
        """Guards against generations lost because their scheduler was lost as well."""
        board = world(engine_count=2)
        source, other = sorted(board.upstreams_by_id)[:2]
        self.assertEqual(orders(leave(board, source)), [])
        self.assertEqual(
            orders(feed(board, running_on(source, "first"), NOW + 0.6)),
            [("first", other)],
        )
        # The same rows come with each further progress.
        self.assertEqual(
            orders(feed(board, running_on(source, "first"), NOW + 0.7)), []
        )

    def test_evacuation_that_ended_does_not_begin_again(self):
        """Guards against moves that failed and are ordered without end."""
        board = world(engine_count=2)
        source = start(board, "first")
        ((moved, _),) = orders(leave(board, source))
        feed(board, report(moved, source, "failed"), NOW + 0.1)
        timer = events.TimerFired(_evacuation.EVACUATION_TIMER, source)
        feed(board, timer, NOW + 5.0)
        progress = running_on(source, "first", attempt=2)
        self.assertEqual(orders(feed(board, progress, NOW + 5.1)), [])
        del board.upstreams_by_id[source]
        feed(board, events.UpstreamsChanged(), NOW + 6.0)
        self.assertNotIn(source, board.evacuations_by_upstream_id)


if __name__ == "__main__":
    unittest.main()
