"""Plain services whose servers each entry chooses: shares of a zone's calls."""

from __future__ import annotations

import unittest
from collections import Counter
from heapq import heappop, heappush, heapreplace
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from carawayhitch.controllers import locality
from carawayhitch.core import actions, declarations, events, rows
from carawayhitch.core import settings as settings_types
from tests.boards import ready_board

CELL = "portal/r1/0"
SERVICE_SECONDS = 0.08
SLOTS = 6
# The answers of a call reach the decisions of its entry a second late.
NEWS_LAG_SECONDS = 1.0


def server(name, zone):
    """Return a server of the plain service."""
    return rows.UpstreamRow(
        name, f"{name}:1", zone, "r1", "service", {}, running_limit=SLOTS
    )


def entry_board(node_id, zone, zones_by_entry, servers):
    """Return the board of an entry that chooses the servers by itself."""
    board = ready_board(
        node_id,
        node=settings_types.NodeSettings(node_id, zone, "r1"),
        locality=settings_types.LocalitySettings(enabled=True),
    )
    group = declarations.ServingGroup("portal", {}, scheduler="entry")
    board.configuration_by_name["in_force"] = declarations.Configuration(
        1, {"portal": group}, {}, {}, {}, (), {}, {}, {}
    )
    for other_id, other_zone in zones_by_entry.items():
        board.members_by_id[other_id] = rows.MemberRow(
            other_id, 1, "alive", "127.0.0.1", 1, 1, other_zone, "r1"
        )
    board.upstreams_by_id.update({row.upstream_id: row for row in servers})
    board.cells_by_id[CELL] = rows.CellRow(
        CELL, "portal", "r1", tuple(board.upstreams_by_id)
    )
    return board


def new_ask(request_id, entry_id, account="hotel"):
    """Return a call to the plain service."""
    return rows.AskRow(
        request_id, 1, entry_id, CELL, "portal", account, "r", "b", "",
        0, 0, (), (), 0.0, 60.0,
    )  # fmt: skip


class ServiceModel:
    """Entries and servers in virtual time: queues of calls, and answers that lag."""

    def __init__(self, servers, zones_by_entry, slow_zone="", seed=1):
        self.random = Random(seed)
        self.zones_by_entry = zones_by_entry
        self.slow_zone = slow_zone
        self.servers = servers
        self.free_times = {row.upstream_id: [0.0] * SLOTS for row in servers}
        self.boards = {
            entry_id: entry_board(entry_id, zone, zones_by_entry, servers)
            for entry_id, zone in zones_by_entry.items()
        }
        self.ends = []
        self.calls = []

    def run(self, seconds, rates_by_zone, account=lambda index: "hotel"):
        """Play calls; each adds (time, zone, server zone, wait, account) to calls."""
        now, index = 0.0, 0
        entries = list(self.zones_by_entry)
        weights = [rates_by_zone[self.zones_by_entry[name]] for name in entries]
        while now < seconds:
            now += self.random.expovariate(sum(weights))
            while self.ends and self.ends[0][0] <= now:
                self._end(*heappop(self.ends))
            entry_id = self.random.choices(entries, weights)[0]
            self._call(entry_id, f"r{index}", account(index), now)
            index += 1
        return self.calls

    def _call(self, entry_id, request_id, account, now):
        board = self.boards[entry_id]
        loads = dict.fromkeys(board.upstreams_by_id, 0.0)
        allowed = [
            row for row in board.upstreams_by_id.values()
            if row.accepts_new_requests(now)
        ]  # fmt: skip
        ask = new_ask(request_id, entry_id, account)
        chosen = locality.order_upstreams(board, allowed, ask, loads, {}, now)[0]
        slow = 4.0 if chosen.zone == self.slow_zone else 1.0
        seconds = SERVICE_SECONDS * slow * self.random.uniform(0.5, 1.5)
        start = max(now, self.free_times[chosen.upstream_id][0])
        heapreplace(self.free_times[chosen.upstream_id], start + seconds)
        board.requests_by_id[request_id] = rows.RequestRow(
            request_id, account, "portal", "r", "b",
            rows.RoutedTarget("GET", "h", "/"), "", "", "", now, 60.0,
            cell_id=CELL, upstream_id=chosen.upstream_id,
            opened_at=now + NEWS_LAG_SECONDS,
        )  # fmt: skip
        locality.decide(events.UpstreamGranted(request_id), board, now, self.random)
        heappush(self.ends, (start + seconds + NEWS_LAG_SECONDS, entry_id, request_id))
        own_zone = self.zones_by_entry[entry_id]
        self.calls.append((now, own_zone, chosen.zone, start - now, account))

    def _end(self, now, entry_id, request_id):
        board = self.boards[entry_id]
        ended = events.RequestEnded(request_id, True, None)
        locality.decide(ended, board, now, self.random)
        del board.requests_by_id[request_id]


def thirty_entries():
    return {f"entry-{zone}{i}": zone for zone in "abc" for i in range(10)}


def servers_by_zone(**counts):
    return [
        server(f"{zone}{index}", zone)
        for zone, count in counts.items()
        for index in range(count)
    ]


def left_shares(calls, zone, width, since):
    """Return the share of a zone's calls that left it, for each span of ``width``."""
    totals, left = Counter(), Counter()
    for now, own_zone, chosen_zone, _, _ in calls:
        if own_zone == zone and now >= since:
            totals[int(now / width)] += 1
            left[int(now / width)] += chosen_zone != zone
    return [left[span] / totals[span] for span in sorted(totals)]


class ZoneShareTest(unittest.TestCase):
    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(st.tuples(st.floats(0, 50), st.floats(0, 50)), min_size=1, max_size=5),
        st.floats(0, 0.9),
    )
    def test_no_two_zones_send_calls_to_each_other(self, numbers, target):
        zones = [
            locality.ZoneLoad(str(index), capacity, demand)
            for index, (capacity, demand) in enumerate(numbers)
        ]
        shares = {
            load.zone: locality.zone_shares(zones, load.zone, target) for load in zones
        }
        for first in zones:
            row = shares[first.zone]
            if row:
                self.assertAlmostEqual(sum(row.values()), 1.0)
            for second in zones:
                if first.zone != second.zone and first.capacity and second.capacity:
                    sent = min(
                        row.get(second.zone, 0.0),
                        shares[second.zone].get(first.zone, 0.0),
                    )
                    self.assertLess(sent, 1e-6)

    def test_dear_bytes_fill_the_zone_further_before_calls_leave(self):
        targets = [
            locality.target_utilisation(SLOTS, SERVICE_SECONDS, price)
            for price in (0.0, 0.003, 0.02, 1.0)
        ]
        self.assertEqual(targets, sorted(targets))
        self.assertLess(targets[1], 0.8)
        self.assertEqual(targets[-1], 0.9)


class EntryShareTest(unittest.TestCase):
    def test_full_zone_sends_its_excess_and_settles(self):
        # Guards against swings when 30 entries decide by news that is a second old.
        model = ServiceModel(servers_by_zone(a=1, b=2, c=2), thirty_entries())
        calls = model.run(30.0, {"a": 10.0, "b": 8.0, "c": 8.0})
        shares = left_shares(calls, "a", 2.0, since=10.0)
        # 100 calls a second arrive where 75 can be served.
        self.assertGreater(min(shares), 0.2)
        self.assertLess(max(shares), 0.6)
        self.assertLess(max(shares) - min(shares), 0.2)
        for zone in "bc":
            self.assertLess(max(left_shares(calls, zone, 5.0, since=10.0)), 0.02)
        late = [wait for now, _, _, wait, _ in calls if now >= 10.0]
        self.assertLess(sorted(late)[int(0.95 * len(late))], 0.1)

    def test_zones_with_room_keep_their_calls(self):
        model = ServiceModel(servers_by_zone(a=1, b=1, c=1), thirty_entries())
        calls = model.run(15.0, {"a": 3.0, "b": 3.0, "c": 3.0})
        self.assertLess(sum(own != other for _, own, other, _, _ in calls), 30)

    def test_no_zone_leaves_when_all_are_full(self):
        # Guards against calls that pay for leaving although no zone has room.
        model = ServiceModel(servers_by_zone(a=1, b=1, c=1), thirty_entries())
        calls = model.run(15.0, {"a": 10.0, "b": 10.0, "c": 10.0})
        left = sum(own != other for now, own, other, _, _ in calls if now > 5)
        self.assertLess(left / len(calls), 0.05)

    def test_slow_zone_keeps_a_share_that_shows_its_speed(self):
        model = ServiceModel(
            servers_by_zone(a=2, b=2, c=2), thirty_entries(), slow_zone="a"
        )
        for board in model.boards.values():
            # Before the fault, answers took the usual time.
            board.zone_demands_by_cell_id[CELL] = rows.ZoneDemandRow(
                reference_seconds=SERVICE_SECONDS, answer_count=100
            )
        calls = model.run(30.0, {"a": 4.0, "b": 4.0, "c": 4.0})
        shares = left_shares(calls, "a", 5.0, since=15.0)
        self.assertGreater(min(shares), 0.4)
        self.assertLess(max(shares), 0.9)
        self.assertLess(max(left_shares(calls, "b", 5.0, since=15.0)), 0.05)

    def test_unusable_zone_is_left_at_once(self):
        # Guards against calls that wait for servers which are drained or unreachable.
        servers = servers_by_zone(a=1, b=1, c=1)
        board = entry_board("entry-a0", "a", thirty_entries(), servers)
        loads = dict.fromkeys(board.upstreams_by_id, 0.0)
        first_zones = {True: Counter(), False: Counter()}
        for index in range(40):
            ask = new_ask(f"r{index}", "entry-a0")
            for is_usable in (True, False):
                allowed = [row for row in servers if is_usable or row.zone != "a"]
                order = locality.order_upstreams(board, allowed, ask, loads, {}, 1.0)
                first_zones[is_usable][order[0].zone] += 1
        self.assertEqual(first_zones[True], {"a": 40})
        self.assertGreater(min(first_zones[False][zone] for zone in "bc"), 10)

    def test_server_with_an_overdue_call_is_passed_over_at_once(self):
        # Guards against calls that follow others to a server which stopped answering,
        # until the answer times show it.
        servers = servers_by_zone(a=1, b=1)
        board = entry_board("entry-a0", "a", thirty_entries(), servers)
        board.zone_demands_by_cell_id[CELL] = rows.ZoneDemandRow(
            reference_seconds=SERVICE_SECONDS, answer_count=100
        )
        board.grants_by_request_id["open"] = rows.GrantRow(
            "open", 1, "entry-a0", CELL, "portal", "hotel", "r", "b", "", "a0",
            0, 0, 0, 1.0, 3.0,
        )  # fmt: skip
        board.grant_ids_by_upstream_id["a0"] = {"open": None}
        ask, loads = new_ask("r1", "entry-a0"), {"a0": 0.17, "b0": 0.0}
        first_ids = [
            locality.order_upstreams(board, servers, ask, loads, {}, now)[0].upstream_id
            for now in (1.05, 1.11, 1.13)
        ]
        self.assertEqual(first_ids, ["a0", "a0", "b0"])

    def test_accounts_leave_in_equal_shares(self):
        # Guards against a flooding account that keeps the zone and pushes others out.
        model = ServiceModel(servers_by_zone(a=1, b=2, c=2), thirty_entries())
        calls = model.run(
            20.0,
            {"a": 12.0, "b": 4.0, "c": 4.0},
            account=lambda index: "small" if index % 10 == 0 else "large",
        )
        totals, left = Counter(), Counter()
        for now, own, chosen, _, account in calls:
            if own == "a" and now >= 8.0:
                totals[account] += 1
                left[account] += chosen != "a"
        difference = left["small"] / totals["small"] - left["large"] / totals["large"]
        self.assertLess(abs(difference), 0.1)

    def test_calls_are_counted_by_zones_and_reason(self):
        board = entry_board("entry-a0", "a", thirty_entries(), servers_by_zone(b=1))
        board.requests_by_id["r1"] = rows.RequestRow(
            "r1", "hotel", "portal", "r", "b", rows.RoutedTarget("GET", "h", "/"),
            "", "", "", 1.0, 60.0, cell_id=CELL, upstream_id="b0", opened_at=1.0,
        )  # fmt: skip
        locality.decide(events.UpstreamGranted("r1"), board, 1.0, Random(1))
        ended = events.RequestEnded("r1", True, None)
        decided = locality.decide(ended, board, 1.1, Random(1))
        self.assertEqual(
            decided, (actions.CountZoneCall("a", "b", "none_usable", 1500.0),)
        )
        self.assertEqual(board.zone_reasons_by_request_id, {})
        board.cells_by_id.clear()
        locality.decide(events.UpstreamsChanged(), board, 2.0, Random(1))
        self.assertEqual(board.zone_demands_by_cell_id, {})


if __name__ == "__main__":
    unittest.main()
