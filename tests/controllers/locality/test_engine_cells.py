"""Engines that the scheduler of a cell chooses: the price of leaving the zone."""

from __future__ import annotations

import unittest
from collections import Counter

from carawayhitch.controllers import locality
from carawayhitch.core import actions, declarations, rows
from carawayhitch.core import settings as settings_types
from tests.controllers.scheduling_world import (
    CELL,
    NODE,
    ask,
    feed,
    finished,
    granted,
    report_all,
    scheduling_board,
)

ZONES = ("zone-1", "zone-1", "zone-2", "zone-2")
# Between the expected waits at six and at seven occupied slots of the eight that the
# engines report, 0.39 and 1.3 s at the ranks' target of 2 s.
HALF_SECOND = settings_types.LocalitySettings(
    enabled=True, round_trip_seconds=0.5, seconds_per_megabyte=0.0
)


def zoned_board(changes=HALF_SECOND, accounts=()):
    """Return a board with two engines in each of two zones, and an entry in each."""
    board = scheduling_board(4, accounts=accounts)
    board.settings_by_name["in_force"] = board.settings._replace(locality=changes)
    for index, zone in enumerate(ZONES):
        name = f"engine-{index}"
        board.upstreams_by_id[name] = board.upstreams_by_id[name]._replace(zone=zone)
    for node_id, zone in (("entry-2", "zone-1"), ("entry-3", "zone-2")):
        board.members_by_id[node_id] = rows.MemberRow(
            node_id, 1, "alive", "127.0.0.1", 1, 1, zone, "region-1"
        )
    report_all(board, 10.0)
    return board


def place(board, count, prefix="r", now=10.0, **changes):
    """Return the numbers of asks that were placed in each zone."""
    counts = Counter()
    for index in range(count):
        decided = feed(board, ask(f"{prefix}{index}", **changes), now)
        for upstream_id in granted(decided).values():
            counts[board.upstreams_by_id[upstream_id].zone] += 1
    return counts


class EngineCellTest(unittest.TestCase):
    def test_calls_stay_until_the_zone_is_busier_by_the_price(self):
        # Guards against leaving while the zone's own engines are hardly busier.
        board = zoned_board()
        self.assertEqual(place(board, 14), {"zone-1": 14})

    def test_excess_leaves_one_by_one(self):
        # Guards against a switch: all calls would go to the other zone and back.
        board = zoned_board()
        place(board, 14)
        self.assertEqual(place(board, 14, "s"), {"zone-2": 14})
        # The other zone is as full now, and nobody pays for leaving any more.
        self.assertEqual(place(board, 2, "t"), {"zone-1": 2})

    def test_price_is_not_paid_when_both_zones_are_equally_full(self):
        # Guards against two zones that send their excess to each other.
        board = zoned_board()
        for index in range(12):
            own = place(board, 1, f"a{index}-", sender_id="entry-2")
            other = place(board, 1, f"b{index}-", sender_id="entry-3")
            self.assertEqual((own, other), ({"zone-1": 1}, {"zone-2": 1}))

    def test_unusable_zone_holds_no_call_back(self):
        # Guards against calls that wait for a zone which is drained or cut off.
        for changes in ({"draining": True}, {"unreachable_until": 100.0}):
            with self.subTest(**changes):
                board = zoned_board(HALF_SECOND._replace(round_trip_seconds=1000.0))
                for name in ("engine-0", "engine-1"):
                    row = board.upstreams_by_id[name]
                    board.upstreams_by_id[name] = row._replace(**changes)
                self.assertEqual(place(board, 2), {"zone-2": 2})
                reason = locality.find_zone_reason(
                    board, CELL, "zone-1", "engine-2", 10.0
                )
                self.assertEqual(reason, "none_usable")

    def test_no_call_goes_to_a_zone_that_is_cut_off(self):
        board = zoned_board()
        for name in ("engine-2", "engine-3"):
            row = board.upstreams_by_id[name]
            board.upstreams_by_id[name] = row._replace(unreachable_until=100.0)
        counts = place(board, 20)
        self.assertEqual(counts["zone-2"], 0)
        self.assertGreater(len(board.asks_by_request_id), 0)

    def test_log_line_tells_why_a_call_left(self):
        # `carawayhitch explain` prints the fields of this line.
        board = zoned_board(HALF_SECOND._replace(round_trip_seconds=0.0))
        place(board, 2, "base", sender_id="entry-3")
        reasons = [
            action.fields["zone_reason"]
            for index in range(3)
            for action in feed(board, ask(f"r{index}", sender_id="entry-3"), 10.0)
            if isinstance(action, actions.Log) and action.event == "ask granted"
        ]
        self.assertEqual(reasons, ["less_wait", "less_wait", "own_zone"])

    def test_full_zone_sends_calls_away_at_any_price(self):
        board = zoned_board(HALF_SECOND._replace(round_trip_seconds=1000.0))
        counts = place(board, 20)
        self.assertGreaterEqual(counts["zone-2"], 4)

    def test_slow_engines_lose_calls_by_their_prefill_backlog(self):
        # Guards against a zone of slow engines that keeps its calls at equal counts.
        board = zoned_board(HALF_SECOND._replace(round_trip_seconds=0.05))
        scheduling = board.settings.scheduling._replace(prefill_tokens_per_second=1000)
        board.settings_by_name["in_force"] = board.settings._replace(
            scheduling=scheduling
        )
        place(board, 2, "slow", prompt_tokens=300)
        self.assertEqual(place(board, 1, now=10.01), {"zone-2": 1})

    def test_dear_bytes_keep_long_answers_longer_than_short_ones(self):
        board = zoned_board(
            HALF_SECOND._replace(round_trip_seconds=0.0, seconds_per_megabyte=20.0)
        )
        place(board, 10, "base")
        long = place(board, 1, "long", prompt_tokens=3000, maximum_tokens=2000)
        short = place(board, 1, "short", prompt_tokens=10, maximum_tokens=8)
        self.assertEqual((long, short), ({"zone-1": 1}, {"zone-2": 1}))

    def test_cached_prefix_is_weighed_against_the_zone(self):
        # Guards against a call that pays for leaving to save less prefill time.
        for price, zone in ((0.05, "zone-2"), (0.2, "zone-1")):
            with self.subTest(price=price):
                board = zoned_board(HALF_SECOND._replace(round_trip_seconds=price))
                scheduling = board.settings.scheduling._replace(
                    prefill_tokens_per_second=1000.0
                )
                board.settings_by_name["in_force"] = board.settings._replace(
                    scheduling=scheduling
                )
                board.cached_blocks_by_upstream_id["engine-3"] = {"block": None}
                counts = place(board, 1, prefix_blocks=("block",))
                self.assertEqual(counts, {zone: 1})

    def test_flooding_account_does_not_push_others_out_of_the_zone(self):
        # Guards against zones that take the place of fairness between accounts.
        accounts = [declarations.ClientAccount(name, ()) for name in ("large", "small")]
        for enabled in (False, True):
            with self.subTest(enabled=enabled):
                board = zoned_board(HALF_SECOND._replace(enabled=enabled), accounts)
                place(board, 40, "large", account="large")
                place(board, 4, "small", account="small")
                order = []
                for index in range(8):
                    decided = feed(board, finished(f"large{index}"), 11.0)
                    order += granted(decided)
                self.assertEqual(sum("small" in name for name in order), 4)

    def test_disabled_feature_ignores_prices(self):
        # Guards against an effect on deployments that do not ask for the feature.
        board = zoned_board(settings_types.LocalitySettings(round_trip_seconds=1000.0))
        self.assertEqual(place(board, 4), {"zone-1": 2, "zone-2": 2})
        self.assertEqual(board.zone_demands_by_cell_id, {})

    def test_unknown_zone_of_an_entry_has_no_price(self):
        # Guards against a scheduler that takes its own zone for that of the caller.
        board = zoned_board()
        self.assertEqual(place(board, 4, sender_id="new"), {"zone-1": 2, "zone-2": 2})
        self.assertEqual(locality.find_entry_zone(board, NODE), "zone-1")


if __name__ == "__main__":
    unittest.main()
