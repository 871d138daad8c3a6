"""Tests of membership with several nodes over a simulated, faulty network."""

from __future__ import annotations

import heapq
import unittest
from itertools import count
from random import Random
from typing import NamedTuple

from carawayhitch import codecs
from carawayhitch.board import new_board
from carawayhitch.controllers import _member_table, _membership
from carawayhitch.core import actions, events, messages, rows
from carawayhitch.core import settings as settings_types

SEED = 20
START_INCARNATION = 1_000_000
KEY = settings_types.PeerKey(1, "k" * 32)
CELL = rows.CellRow("quotes/r1/0", "quotes", "r1", ("engine-1",))


class Faults(NamedTuple):
    """Probabilities that the network loses, repeats or delays a message."""

    lost: float = 0.0
    repeated: float = 0.0
    delayed: float = 0.0


NO_FAULTS = Faults()


class Fleet:
    """Simulated nodes with a shared clock and the network between them."""

    def __init__(self, size, faults=NO_FAULTS, seed=SEED):
        self.random = Random(seed)
        self.faults = faults
        self.now = 100.0
        self.order = count()
        self.queue = []
        self.boards = {}
        self.generations = {}
        self.paused = {}
        self.partitioned = frozenset()
        self.sent = []
        self.changes = []
        for index in range(size):
            # The first entry has no seeds, so it has to learn of the others from them.
            self.start(f"node-{index}", index, ["node-0"] if index else [])

    def start(self, node_id, index, seeds, incarnation=0, port_base=9000):
        ports = tuple(
            settings_types.SeedPeer("127.0.0.1", 9000 + int(seed.split("-")[1]))
            for seed in seeds
        )
        settings = settings_types.Settings(
            settings_types.NodeSettings(
                node_id, "abc"[index % 3], "r1", peer_port=port_base + index
            ),
            settings_types.PeerSettings((KEY,), ports),
            settings_types.StoreSettings(""),
            settings_types.PlatformSettings(""),
        )
        incarnation = incarnation or START_INCARNATION
        board = new_board(settings, incarnation)
        self.boards[node_id] = board
        self.generations[node_id] = self.generations.get(node_id, 0) + 1
        self.feed(node_id, events.ProcessStarted(incarnation))
        board.cells_by_id[CELL.cell_id] = CELL
        self.set_lifecycle(node_id, "ready")

    def set_lifecycle(self, node_id, state):
        board = self.boards[node_id]
        lifecycle = board.lifecycle_by_node_id[node_id]._replace(state=state)
        board.lifecycle_by_node_id[node_id] = lifecycle
        self.feed(node_id, events.LifecycleChanged())

    def kill(self, node_id):
        del self.boards[node_id]
        self.generations[node_id] += 1

    def feed(self, node_id, event):
        board = self.boards[node_id]
        for action in _membership.decide(event, board, self.now, self.random):
            self.perform(node_id, action)

    def perform(self, node_id, action):
        if isinstance(action, actions.SetTimer):
            self.schedule(action.deadline, node_id, action.event)
        elif isinstance(action, actions.Send):
            row = self.boards[node_id].members_by_id.get(action.node_id)
            if row is not None:
                self.deliver(node_id, row.address, row.peer_port, action.message)
        elif isinstance(action, actions.SendToAddress):
            self.deliver(node_id, action.address, action.peer_port, action.message)
        elif isinstance(action, actions.Emit):
            self.changes.append((self.now, node_id, action.event))

    def deliver(self, sender_id, address, port, message):
        self.sent.append((self.now, sender_id, message))
        for node_id, board in list(self.boards.items()):
            node = board.settings.node
            if (node.address, node.peer_port) != (address, port):
                continue
            if (sender_id in self.partitioned) != (node_id in self.partitioned):
                return
            if self.random.random() < self.faults.lost:
                return
            for _ in range(1 + (self.random.random() < self.faults.repeated)):
                late = self.random.random() < self.faults.delayed
                delay = self.random.uniform(0.1, 0.9) if late else 0.002
                self.schedule(self.now + delay, node_id, message)
            return

    def schedule(self, deadline, node_id, event):
        entry = (
            deadline,
            next(self.order),
            node_id,
            self.generations[node_id],
            event,
        )
        heapq.heappush(self.queue, entry)

    def run(self, seconds):
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, node_id, generation, event = heapq.heappop(self.queue)
            if generation != self.generations[node_id]:
                continue
            if node_id in self.paused:
                self.paused[node_id].append(event)
                continue
            self.feed(node_id, event)
        self.now = end

    def pause_process(self, node_id):
        self.paused[node_id] = []

    def resume_process(self, node_id):
        # As in the event loop, due timers run before sockets are read.
        pending = self.paused.pop(node_id)
        pending.sort(key=lambda event: not isinstance(event, events.TimerFired))
        for event in pending:
            self.feed(node_id, event)

    def states(self, node_id):
        members = self.boards[node_id].members_by_id
        return {name: row.state for name, row in sorted(members.items())}


class FleetTest(unittest.TestCase):
    def assert_all_nodes_see(self, fleet, expected):
        for node_id in fleet.boards:
            self.assertEqual(fleet.states(node_id), expected, node_id)

    def expected_states(self, size, **others):
        expected = {f"node-{index}": "alive" for index in range(size)}
        named = {name.replace("_", "-"): state for name, state in others.items()}
        return dict(sorted({**expected, **named}.items()))

    def test_joining_over_faulty_networks(self):
        """Guards against members that are missing or dead because messages are lost."""
        table = [
            ("perfect", Faults()),
            ("lossy", Faults(lost=0.2)),
            ("repeating", Faults(repeated=0.5)),
            ("reordering", Faults(delayed=0.2)),
            ("all three", Faults(lost=0.1, repeated=0.3, delayed=0.1)),
        ]
        for name, faults in table:
            with self.subTest(name):
                fleet = Fleet(12, faults)
                fleet.run(40.0)
                wrong = [
                    (one, other)
                    for one in fleet.boards
                    for other, state in fleet.states(one).items()
                    if state not in ("alive", "suspect")
                ]
                self.assertEqual(wrong, [])
                self.assertTrue(
                    all(len(fleet.states(one)) == 12 for one in fleet.boards)
                )

    def test_first_entry_learns_of_later_ones(self):
        """Guards against joins that only the configured seeds learn of."""
        fleet = Fleet(3)
        fleet.run(3.0)
        self.assert_all_nodes_see(fleet, self.expected_states(3))

    def test_failure_is_known_to_all_nodes(self):
        """Guards against cells that stay assigned to a failed scheduler."""
        for seed in range(5):
            fleet = Fleet(9, Faults(lost=0.05), seed)
            fleet.run(10.0)
            fleet.kill("node-4")
            fleet.run(12.0)
            for node_id in fleet.boards:
                self.assertEqual(fleet.states(node_id)["node-4"], "dead", seed)

    def test_leaving_state_is_disseminated_immediately_and_kept(self):
        """Guards against a leaving node that schedules again after a suspicion."""
        fleet = Fleet(6)
        fleet.run(5.0)
        fleet.set_lifecycle("node-2", "draining")
        fleet.run(0.1)
        self.assert_all_nodes_see(fleet, self.expected_states(6, node_2="leaving"))
        fleet.set_lifecycle("node-2", "stopped")
        fleet.kill("node-2")
        fleet.run(0.1)
        self.assert_all_nodes_see(fleet, self.expected_states(6, node_2="left"))
        fleet.run(_member_table.LEFT_ROW_SECONDS + 10.0)
        self.assertNotIn("node-2", fleet.states("node-0"))

    def test_leaving_node_that_fails_becomes_dead(self):
        """Guards against permanent rows of nodes that were killed while draining."""
        fleet = Fleet(4)
        fleet.run(5.0)
        fleet.set_lifecycle("node-1", "draining")
        fleet.kill("node-1")
        fleet.run(20.0)
        self.assert_all_nodes_see(fleet, self.expected_states(4, node_1="dead"))

    def test_partition_heals(self):
        """Guards against halves that do not reconnect after a partition of an hour."""
        fleet = Fleet(6)
        fleet.run(5.0)
        fleet.partitioned = frozenset({"node-0", "node-1", "node-2"})
        fleet.run(3600.0)
        lost = {"node_0": "dead", "node_1": "dead", "node_2": "dead"}
        self.assertEqual(fleet.states("node-5"), self.expected_states(6, **lost))
        fleet.partitioned = frozenset()
        fleet.run(60.0)
        self.assert_all_nodes_see(fleet, self.expected_states(6))

    def test_paused_process_recovers(self):
        """Guards against a resumed process that declares all others dead."""
        for seconds in (2.5, 20.0, 7300.0):
            with self.subTest(seconds):
                fleet = Fleet(5)
                fleet.run(5.0)
                fleet.pause_process("node-3")
                fleet.run(seconds)
                fleet.changes.clear()
                fleet.resume_process("node-3")
                fleet.run(40.0)
                self.assert_all_nodes_see(fleet, self.expected_states(5))
                changes_by_resumed = [
                    change for change in fleet.changes if change[1] == "node-3"
                ]
                self.assertEqual(changes_by_resumed, [])

    def test_isolated_node_rejoins_through_seeds(self):
        """Guards against a node that stays isolated after all rows have expired."""
        fleet = Fleet(2)
        fleet.run(3.0)
        fleet.kill("node-0")
        fleet.run(_member_table.DEAD_ROW_SECONDS + 20.0)
        self.assertEqual(fleet.states("node-1"), {"node-1": "alive"})
        fleet.start("node-0", 0, [], START_INCARNATION + 10**9)
        fleet.run(5.0)
        self.assert_all_nodes_see(fleet, self.expected_states(2))

    def test_replaced_process_keeps_its_id(self):
        """Guards against stale addresses of a replaced VM and unnoticed restarts."""
        table = [
            ("restarted at once", 0.0, 10**7, 9000),
            ("replaced after its death", 15.0, 10**7, 9500),
            ("clock behind", 15.0, -1000, 9500),
            ("clock behind, same address", 0.0, -1000, 9000),
        ]
        for name, wait, lead, port_base in table:
            with self.subTest(name):
                fleet = Fleet(4)
                fleet.run(5.0)
                fleet.kill("node-1")
                fleet.run(wait)
                incarnation = START_INCARNATION + lead
                fleet.start("node-1", 1, ["node-0"], incarnation, port_base)
                fleet.run(20.0)
                self.assert_all_nodes_see(fleet, self.expected_states(4))
                row = fleet.boards["node-3"].members_by_id["node-1"]
                self.assertEqual(row.peer_port, port_base + 1)

    def test_two_processes_with_one_id_do_not_refute_each_other(self):
        """Guards against incarnations that two such processes increase forever."""
        fleet = Fleet(3)
        fleet.run(5.0)
        own = fleet.boards["node-1"].members_by_id["node-1"]
        other = own._replace(incarnation=own.incarnation + 5, peer_port=9900)
        fleet.feed("node-1", messages.Probe("node-0", 1, (other,), ()))
        kept = fleet.boards["node-1"].members_by_id["node-1"]
        self.assertEqual(kept.incarnation, own.incarnation)

    def test_failures_are_disseminated_before_joins(self):
        """Guards against failures of a zone that wait behind rows of new members."""
        fleet = Fleet(100)
        fleet.run(10.0)
        lost = [f"node-{index}" for index in range(1, 21)]
        for node_id in lost:
            fleet.kill(node_id)
        fleet.run(18.0)
        for node_id in fleet.boards:
            states = fleet.states(node_id)
            not_dead = [name for name in lost if states.get(name, "dead") != "dead"]
            self.assertEqual(not_dead, [], node_id)

    def test_traffic_does_not_grow_with_the_fleet(self):
        """Guards against updates that are retransmitted without a limit."""
        for size in (6, 24, 60):
            fleet = Fleet(size)
            fleet.run(60.0)
            fleet.sent.clear()
            fleet.run(30.0)
            per_node = len(fleet.sent) / size / 30.0
            self.assertLess(per_node, 2.3)
            row_count = sum(len(message.members) for _, _, message in fleet.sent)
            self.assertLessEqual(row_count / len(fleet.sent), 3.0)


class MemberReportTest(unittest.TestCase):
    """How one node handles single reports that are valid, late or forged."""

    def setUp(self):
        self.fleet = Fleet(2)
        self.fleet.run(3.0)
        self.own = self.fleet.boards["node-0"].members_by_id["node-0"]
        self.peer = self.fleet.boards["node-0"].members_by_id["node-1"]

    def report(self, row, sender_id="node-9"):
        self.fleet.feed("node-0", messages.Probe(sender_id, 5, (row,), ()))
        return self.fleet.boards["node-0"].members_by_id

    def test_report_precedence(self):
        """Guards against old or repeated reports that override newer ones."""
        table = [
            ("suspect", 0, "suspect"),
            ("dead", 0, "dead"),
            ("dead", -1, "alive"),
            ("joining", 0, "alive"),
            ("leaving", 0, "leaving"),
            ("alive", 1, "alive"),
            ("left", 3, "left"),
        ]
        for state, lead, expected in table:
            with self.subTest(state=state, lead=lead):
                self.setUp()
                incarnation = self.peer.incarnation + lead
                row = self.peer._replace(state=state, incarnation=incarnation)
                self.assertEqual(self.report(row)["node-1"].state, expected)
                repeated = self.report(self.peer)["node-1"].state
                self.assertEqual(repeated, expected)

    def test_own_row_is_refuted(self):
        """Guards against a running node that accepts a report of its failure."""
        for state in ("suspect", "dead", "left", "leaving"):
            with self.subTest(state):
                self.setUp()
                incarnation = self.own.incarnation + 7
                row = self.own._replace(state=state, incarnation=incarnation)
                kept = self.report(row)["node-0"]
                self.assertEqual(kept.state, "alive")
                self.assertEqual(kept.incarnation, incarnation + 1)

    def test_forged_incarnations(self):
        """Guards against incarnations that cannot be refuted or encoded."""
        for incarnation in (2**62, 2**64 - 1):
            for known in (self.own, self.peer):
                row = known._replace(state="dead", incarnation=incarnation)
                kept = self.report(row)[known.node_id]
                self.assertEqual((kept.state, kept.incarnation), known[2:0:-1])

    def test_unknown_dead_member_is_not_added(self):
        """Guards against rows of members that are no longer relevant."""
        row = self.peer._replace(node_id="node-7", state="dead")
        self.assertNotIn("node-7", self.report(row))

    def test_ack_of_another_member_does_not_complete_a_probe(self):
        """Guards against an answer of one member that counts for another."""
        board = self.fleet.boards["node-0"]
        probe = rows.ProbeRow(77, "node-1", self.fleet.now + 1.0)
        board.probes_by_sequence[77] = probe
        answer = messages.ProbeAck("node-9", 77, "node-9", (), ())
        self.fleet.feed("node-0", answer)
        self.assertIn(77, board.probes_by_sequence)

    def test_third_node_does_not_replace_a_revision_by_an_older_one(self):
        """Guards against an outdated digest that a third node reports."""
        newer = self.peer._replace(revision=9, configuration_digest="aa")
        self.assertEqual(self.report(newer, "node-1")["node-1"].revision, 9)
        older = self.peer._replace(revision=4, configuration_digest="bb")
        self.assertEqual(self.report(older)["node-1"].revision, 9)
        same = self.peer._replace(revision=9, configuration_digest="cc")
        self.report(same, "node-1")
        board = self.fleet.boards["node-0"]
        self.assertEqual(board.members_by_id["node-1"].configuration_digest, "cc")

    def test_largest_probe_fits_into_a_datagram(self):
        """Guards against rows that count as sent although the codec omits them."""
        board = self.fleet.boards["node-0"]
        for index in range(300):
            row = rows.MemberRow(
                f"entry-{index:03}",
                10**15,
                "alive",
                f"10.20.30.{index % 250}",
                8081,
                8080,
                "zone-a",
                "region-1",
                123_456,
                "0123456789abcdef",
                strength=rows.MAXIMUM_STRENGTH,
            )
            state = ("leaving", "suspect", "dead")[index % 3] if index > 20 else "alive"
            row = row._replace(state=state)
            board.members_by_id[row.node_id] = row
            update = rows.MemberUpdateRow(row.node_id, False, 0)
            board.member_updates_by_id[row.node_id] = update
            crash = rows.CrashRow(f"{index:064}", ("engine-1",), False, 900.0)
            board.crashes_by_fingerprint[crash.fingerprint] = crash
        for _ in range(200):
            message = _membership._probe_message(board, "entry-021", self.fleet.random)
            peer_address = codecs.PeerAddress("127.0.0.1", 1)
            datagram = codecs.encode_message(message, 1, 1, peer_address, KEY, 100.0)
            self.assertLessEqual(len(datagram), 1400)

    def test_brief_reports_apply_to_known_processes_only(self):
        """Guards against states that are applied to a process without known address."""
        brief = _member_table.disseminated_row(self.peer._replace(state="dead"))
        self.assertEqual(self.report(brief)["node-1"].state, "dead")
        self.assertEqual(self.report(brief)["node-1"].address, self.peer.address)
        unknown = brief._replace(node_id="node-8", state="suspect")
        self.assertNotIn("node-8", self.report(unknown))
        self.setUp()
        newer = self.peer.incarnation + 1
        early = brief._replace(state="suspect", incarnation=newer)
        self.assertEqual(self.report(early)["node-1"].state, "alive")

    def test_started_entry_learns_of_convictions_with_its_first_list(self):
        """Guards against an entry that serves before its first probe is answered."""
        convicted = rows.CrashRow("killer", ("a", "b"), True, self.fleet.now + 99.0)
        self.fleet.boards["node-0"].crashes_by_fingerprint["killer"] = convicted
        # The list and the keys that sign datagrams arrive in either order.
        for index, last in (
            (8, events.VmListReceived(())),
            (9, events.PeerKeysRead((KEY,))),
        ):
            with self.subTest(last):
                name = f"node-{index}"
                self.fleet.start(name, index, [])
                self.fleet.run(0.1)
                board = self.fleet.boards[name]
                self.assertEqual(board.crashes_by_fingerprint, {})
                seed = settings_types.SeedPeer("127.0.0.1", 9000)
                board.listed_entries_by_vm_id["node-0"] = seed
                self.fleet.feed(name, last)
                self.fleet.run(0.02)
                record = board.crashes_by_fingerprint.get("killer")
                self.assertTrue(record is not None and record.convicted)

    def test_conviction_is_in_each_probe_after_many_newer_records(self):
        """Guards against a new entry that repeats a convicted request for seconds.

        Each crash records all requests that ran on the upstream.
        """
        board = self.fleet.boards["node-0"]
        convicted = rows.CrashRow("killer", ("a", "b"), True, 900.0)
        board.crashes_by_fingerprint["killer"] = convicted
        for index in range(20):
            row = rows.CrashRow(f"victim-{index}", ("c",), False, 901.0 + index)
            board.crashes_by_fingerprint[row.fingerprint] = row
        for seed in range(10):
            selected = _member_table.select_crash_records(board, Random(seed))
            self.assertIn(convicted, selected)

    def test_crash_records_are_disseminated(self):
        """Guards against a request that crashes one engine per entry."""
        board = self.fleet.boards["node-1"]
        row = rows.CrashRow("f" * 64, ("engine-1",), False, self.fleet.now + 99.0)
        board.crashes_by_fingerprint[row.fingerprint] = row
        self.fleet.run(2.5)
        known = self.fleet.boards["node-0"].crashes_by_fingerprint
        self.assertEqual(known[row.fingerprint].upstream_ids, ("engine-1",))
