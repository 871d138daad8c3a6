"""Tests of short progress messages over a network that loses datagrams."""

from __future__ import annotations

import unittest
from random import Random

from carawayhitch import codecs
from carawayhitch.board import new_board
from carawayhitch.controllers import _placement, _scheduling
from carawayhitch.core import actions, events, messages, rows
from carawayhitch.core import settings as settings_types
from tests.controllers.scheduling_world import CELL, feed, running, scheduling_board

ENTRY, FIRST, SECOND = "entry-2", "entry-1", "entry-3"
TARGET = rows.GenerationTarget("/v1/completions", "quotes", True, 100, 200)
KEY = settings_types.PeerKey(1, "k" * 32)
PEER_ADDRESS = codecs.PeerAddress("127.0.0.1", 9000)


def entry_board(count):
    """Return the board of an entry whose requests the first scheduler granted."""
    settings = settings_types.Settings(
        settings_types.NodeSettings(ENTRY, "a", "region-1"),
        settings_types.PeerSettings((KEY,)),
        settings_types.StoreSettings(""),
        settings_types.PlatformSettings(""),
    )
    board = new_board(settings, 1)
    board.cells_by_id[CELL] = rows.CellRow(CELL, "quotes", "region-1", ("engine-0",))
    board.schedulers_by_cell_id[CELL] = (FIRST,)
    for index in range(count):
        request_id = f"{index:032x}"
        board.requests_by_id[request_id] = rows.RequestRow(
            request_id, "a", "quotes", "urgent", "b", TARGET, f"f{index}", "", "", 0, 99
        )._replace(
            cell_id=CELL,
            scheduler_id=FIRST,
            phase="relaying",
            upstream_id="engine-0",
            token_count=5,
        )
    return board


def set_token_counts(entry, token_count):
    for row in list(entry.requests_by_id.values()):
        updated = row._replace(token_count=token_count)
        entry.requests_by_id[row.request_id] = updated


class SimulatedNetwork:
    """An entry, its schedulers, and a lossy, duplicating and reordering network."""

    def __init__(self, count, seed=1, loss=0.0, reordering=False):
        self.entry = entry_board(count)
        self.schedulers_by_id = {
            name: scheduler_board(name) for name in (FIRST, SECOND)
        }
        self.random = Random(seed)
        self.loss, self.reordering = loss, reordering
        self.now = 1.0
        self.sent: list[tuple[str, messages.PeerMessage]] = []

    def run_progress_round(self):
        """Run one progress round until no message is in flight."""
        self.now += 1.0
        in_flight = list(_placement.progress_messages(self.entry))
        while in_flight:
            index = self.random.randrange(len(in_flight)) if self.reordering else 0
            receiver, message = in_flight.pop(index)
            self.sent.append((receiver, message))
            if self.random.random() < self.loss:
                continue
            if self.reordering and self.random.random() < 0.2 and len(in_flight) < 8:
                in_flight.append((receiver, message))
            decide, board = _placement.decide, self.entry
            if receiver != ENTRY:
                decide, board = _scheduling.decide, self.schedulers_by_id[receiver]
            decided = decide(message, board, self.now, Random(1))
            in_flight += [
                (action.node_id, action.message)
                for action in decided
                if isinstance(action, actions.Send)
            ]

    def counts(self, name=FIRST):
        """Return the token counts that a scheduler holds, by request id."""
        grants = self.schedulers_by_id[name].grants_by_request_id
        return {grant.request_id: grant.token_count for grant in grants.values()}

    def expected_counts(self):
        request_rows = self.entry.requests_by_id.values()
        return {row.request_id: row.token_count for row in request_rows}


def scheduler_board(name):
    board = scheduling_board()
    node = board.settings.node._replace(id=name)
    board.settings_by_name["in_force"] = board.settings._replace(node=node)
    return board


class ShortProgressTest(unittest.TestCase):
    def test_full_rows_are_sent_until_acknowledged(self):
        """Guards against sending rows each second that the scheduler already has."""
        network = SimulatedNetwork(3)
        network.run_progress_round()
        set_token_counts(network.entry, 9)
        network.sent.clear()
        network.run_progress_round()
        (_, progress), _ = network.sent
        self.assertEqual(progress.running, ())
        self.assertEqual({count.token_count for count in progress.counts}, {9})
        self.assertEqual(network.counts(), network.expected_counts())

    def test_grant_without_short_progress_support_gets_full_rows(self):
        """Guards against counts sent to an earlier release that does not read them."""
        for short_progress in (False, True):
            with self.subTest(short=short_progress):
                entry = entry_board(1)
                (request_id,) = entry.requests_by_id
                row = entry.requests_by_id[request_id]
                entry.requests_by_id[request_id] = row._replace(phase="asking")
                grant = messages.AdmissionGrant(
                    FIRST, request_id, 1, CELL, "engine-0", "a", 0, 9.0, short_progress
                )
                _placement.decide(grant, entry, 1.0, Random(1))
                ((_, progress),) = _placement.progress_messages(entry)
                self.assertEqual(len(progress.counts), int(short_progress))
                self.assertEqual(len(progress.running), int(not short_progress))

    def test_progress_with_only_counts_is_sent_every_second_round(self):
        """Guards against exceeding the datagram budget and against expired grants."""
        entry = entry_board(2)
        first, second = entry.requests_by_id.values()
        event = events.TimerFired(_placement.PROGRESS_TIMER)
        cases = [
            ("whole rows", {}, {}, [1, 1, 1, 1]),
            (
                "counts",
                {"acknowledged_by_id": FIRST},
                {"acknowledged_by_id": FIRST},
                [1, 0, 1, 0],
            ),
            (
                "waiting",
                {"acknowledged_by_id": FIRST},
                {"phase": "asking"},
                [1, 1, 1, 1],
            ),
        ]
        for name, first_fields, second_fields, expected in cases:
            with self.subTest(name):
                entry.requests_by_id.update(
                    {
                        first.request_id: first._replace(**first_fields),
                        second.request_id: second._replace(**second_fields),
                    }
                )
                message_counts, next_event = [], event
                for at in range(4):
                    decided = _placement.decide(next_event, entry, float(at), Random(1))
                    sent = [a for a in decided if isinstance(a, actions.Send)]
                    message_counts.append(len(sent))
                    next_event = decided[-1].event
                    # An acknowledgement is expected only after a message was sent.
                    timers = [a for a in decided if isinstance(a, actions.SetTimer)]
                    self.assertEqual(len(timers), 1 + len(sent))
                    entry.scheduler_contacts_by_id.clear()
                self.assertEqual(message_counts, expected)
        # Counts must arrive well before the scheduler expires a grant.
        scheduling = entry.settings.scheduling
        self.assertLess(
            2 * 2 * scheduling.progress_interval_seconds,
            scheduling.progress_lifetime_seconds,
        )

    def test_lost_ack_causes_full_rows_again(self):
        """Guards against counts for rows that the scheduler never received."""
        network = SimulatedNetwork(2, loss=1.0)
        for _ in range(3):
            network.run_progress_round()
        self.assertTrue(all(not message.counts for _, message in network.sent))
        network.loss = 0.0
        network.run_progress_round()
        self.assertEqual(network.counts(), network.expected_counts())

    def test_scheduler_restart_between_ack_and_next_progress(self):
        """Guards against a restarted scheduler that assumes busy engines to be idle."""
        network = SimulatedNetwork(5)
        network.run_progress_round()
        network.schedulers_by_id[FIRST] = scheduler_board(FIRST)
        set_token_counts(network.entry, 70)
        network.run_progress_round()
        self.assertEqual(network.counts(), network.expected_counts())

    def test_second_scheduler_receives_full_rows(self):
        """Guards against losing running requests when a cell changes its scheduler."""
        network = SimulatedNetwork(4)
        network.run_progress_round()
        for name in (SECOND, FIRST):
            network.entry.schedulers_by_cell_id[CELL] = (name,)
            network.schedulers_by_id[name] = scheduler_board(name)
            _placement._reassign_requests(network.entry, network.now)
            set_token_counts(network.entry, 20)
            network.run_progress_round()
            self.assertEqual(network.counts(name), network.expected_counts())

    def test_delayed_acks_are_corrected(self):
        """Guards against an old ack after which a row is never sent again."""
        request_id = f"{0:032x}"
        cases = [
            ("known, of the scheduler before its restart", FIRST, (request_id,), ()),
            ("unknown, of the scheduler before it knew", FIRST, (), (request_id,)),
            ("known, of the other scheduler", SECOND, (request_id,), ()),
            ("unknown, of the other scheduler", SECOND, (), (request_id,)),
            ("of a request that ended", FIRST, ("gone",), ("gone",)),
        ]
        for name, sender_id, known, unknown in cases:
            for is_new in (False, True):
                with self.subTest(name, is_new=is_new):
                    network = SimulatedNetwork(1)
                    if not is_new:
                        network.run_progress_round()
                    ack = messages.ProgressAck(sender_id, CELL, (), known, unknown)
                    _placement.decide(ack, network.entry, network.now, Random(1))
                    set_token_counts(network.entry, 30)
                    network.run_progress_round()
                    self.assertEqual(network.counts(), network.expected_counts())

    def test_delayed_progress_does_not_restore_an_ended_request(self):
        """Guards against memory reserved for a request that has ended."""
        network = SimulatedNetwork(1)
        full_progress = _placement.progress_messages(network.entry)[0][1]
        (row,) = network.entry.requests_by_id.values()
        finished_message = _placement.finished_message(network.entry, row, True, False)
        short_progress = full_progress._replace(
            running=(), counts=(messages.RunningCount(row.request_id, 1, 5),)
        )
        for order in (
            (full_progress, finished_message, full_progress, short_progress),
            (finished_message, full_progress, short_progress),
        ):
            with self.subTest(order=[type(message).__name__ for message in order]):
                board = scheduler_board(FIRST)
                for message in order:
                    _scheduling.decide(message, board, 2.0, Random(1))
                self.assertEqual(board.grants_by_request_id, {})
                later = full_progress.running[0]._replace(attempt=2)
                later_progress = full_progress._replace(running=(later,))
                _scheduling.decide(later_progress, board, 2.1, Random(1))
                self.assertIn(row.request_id, board.grants_by_request_id)
                feed(board, events.TimerFired("scheduling"), 30.0)
                self.assertEqual(board.ended_requests_by_id, {})

    def test_count_of_another_attempt_does_not_renew(self):
        """Guards against charging the token count of one attempt to another."""
        board = scheduling_board()
        feed(board, running("r", tokens=10), 1.0)
        for attempt, unknown in ((2, ("r",)), (1, ())):
            count = messages.RunningCount("r", attempt, 90)
            message = messages.Progress(ENTRY, CELL, (), (), (count,))
            (action,) = _scheduling.decide(message, board, 2.0, Random(1))
            self.assertEqual(action.message.unknown_running_ids, unknown)
            expected = 90 if attempt == 1 else 10
            self.assertEqual(board.grants_by_request_id["r"].token_count, expected)

    def test_random_loss_duplication_and_reordering(self):
        """Guards against lost or spurious grants under loss and reordering."""
        for seed in range(60):
            with self.subTest(seed=seed):
                network = SimulatedNetwork(6, seed, loss=0.3, reordering=True)
                for step in range(12):
                    if network.random.random() < 0.2:
                        network.schedulers_by_id[FIRST] = scheduler_board(FIRST)
                    set_token_counts(network.entry, 10 * step + 10)
                    network.run_progress_round()
                    held = network.counts()
                    self.assertLessEqual(held.keys(), network.expected_counts().keys())
                    self.assertLessEqual(max(held.values(), default=0), 10 * step + 10)
                network.loss, network.reordering = 0.0, False
                for _ in range(2):
                    network.run_progress_round()
                self.assertEqual(network.counts(), network.expected_counts())

    def test_progress_in_several_datagrams(self):
        """Guards against losing requests when progress exceeds one datagram."""
        network = SimulatedNetwork(400)
        network.run_progress_round()
        network.schedulers_by_id[FIRST] = scheduler_board(FIRST)
        ((_, progress),) = _placement.progress_messages(network.entry)
        sequence = iter(range(1, 1000)).__next__
        datagrams = codecs.encode_datagrams(
            progress, 1, sequence, PEER_ADDRESS, KEY, 0.0
        )
        self.assertGreater(len(datagrams), 1)
        for datagram in reversed(datagrams):
            self.assertLessEqual(len(datagram), 1400)
            part = codecs.decode_message(datagram, PEER_ADDRESS, (KEY,), 0.0).message
            board = network.schedulers_by_id[FIRST]
            for action in _scheduling.decide(part, board, 3.0, Random(1)):
                answer = getattr(action, "message", None)
                if isinstance(answer, messages.ProgressAck):
                    resent_actions = _placement.decide(
                        answer, network.entry, 3.0, Random(1)
                    )
                    for resent in resent_actions:
                        _scheduling.decide(resent.message, board, 3.0, Random(1))
        self.assertEqual(network.counts(), network.expected_counts())

    def test_encoded_size_of_running_counts(self):
        """Guards against progress of 85 requests that exceeds the control budget."""
        network = SimulatedNetwork(0)
        counts = tuple(
            messages.RunningCount(Random(index).randbytes(16).hex(), 1, 1000 + index)
            for index in range(85)
        )
        message = messages.Progress(ENTRY, CELL, (), (), counts)
        sequence = iter(range(1, 1000)).__next__
        datagrams = codecs.encode_datagrams(
            message, 1, sequence, PEER_ADDRESS, KEY, network.now
        )
        self.assertLess(sum(map(len, datagrams)) / 85, 45)


if __name__ == "__main__":
    unittest.main()
