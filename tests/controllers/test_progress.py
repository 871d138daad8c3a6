"""Short progress between entry and scheduler over a network that loses datagrams."""

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
PLACE = codecs.PeerAddress("127.0.0.1", 9000)


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


def note_tokens(entry, token_count):
    for row in list(entry.requests_by_id.values()):
        updated = row._replace(token_count=token_count)
        entry.requests_by_id[row.request_id] = updated


class World:
    """One entry, its schedulers, and a network that loses, repeats and reorders."""

    def __init__(self, count, seed=1, loss=0.0, mixed=False):
        self.entry = entry_board(count)
        self.schedulers_by_id = {name: scheduler(name) for name in (FIRST, SECOND)}
        self.random = Random(seed)
        self.loss, self.mixed = loss, mixed
        self.now = 1.0
        self.sent: list[tuple[str, messages.PeerMessage]] = []

    def exchange(self):
        """Run one progress round until no message is on the way."""
        self.now += 1.0
        on_way = list(_placement.progress_messages(self.entry))
        while on_way:
            place = self.random.randrange(len(on_way)) if self.mixed else 0
            receiver, message = on_way.pop(place)
            self.sent.append((receiver, message))
            if self.random.random() < self.loss:
                continue
            if self.mixed and self.random.random() < 0.2 and len(on_way) < 8:
                on_way.append((receiver, message))
            decide, board = _placement.decide, self.entry
            if receiver != ENTRY:
                decide, board = _scheduling.decide, self.schedulers_by_id[receiver]
            decided = decide(message, board, self.now, Random(1))
            on_way += [
                (action.node_id, action.message)
                for action in decided
                if isinstance(action, actions.Send)
            ]

    def counts(self, name=FIRST):
        """Return the token counts that a scheduler holds, by request."""
        grants = self.schedulers_by_id[name].grants_by_request_id
        return {grant.request_id: grant.token_count for grant in grants.values()}

    def true_counts(self):
        found = self.entry.requests_by_id.values()
        return {row.request_id: row.token_count for row in found}


def scheduler(name):
    board = scheduling_board()
    node = board.settings.node._replace(id=name)
    board.settings_by_name["in_force"] = board.settings._replace(node=node)
    return board


class ShortProgressTest(unittest.TestCase):
    def test_rows_are_whole_until_acknowledged(self):
        """Guards against rows sent each second that the scheduler has."""
        world = World(3)
        world.exchange()
        note_tokens(world.entry, 9)
        world.sent.clear()
        world.exchange()
        (_, progress), _ = world.sent
        self.assertEqual(progress.running, ())
        self.assertEqual({count.token_count for count in progress.counts}, {9})
        self.assertEqual(world.counts(), world.true_counts())

    def test_grant_of_an_earlier_release_is_followed_by_whole_rows(self):
        """Guards against counts sent to a scheduler that does not read them."""
        for short in (False, True):
            with self.subTest(short=short):
                entry = entry_board(1)
                (request_id,) = entry.requests_by_id
                row = entry.requests_by_id[request_id]
                entry.requests_by_id[request_id] = row._replace(phase="asking")
                grant = messages.AdmissionGrant(
                    FIRST, request_id, 1, CELL, "engine-0", "a", 0, 9.0, short
                )
                _placement.decide(grant, entry, 1.0, Random(1))
                ((_, progress),) = _placement.progress_messages(entry)
                self.assertEqual(len(progress.counts), int(short))
                self.assertEqual(len(progress.running), int(not short))

    def test_counts_alone_are_sent_every_second_round(self):
        """Guards against datagrams that exceed the budget, and lapsed grants."""
        entry = entry_board(2)
        first, second = entry.requests_by_id.values()
        event = events.TimerFired(_placement.PROGRESS_TIMER)
        table = [
            ("whole rows", {}, {}, [1, 1, 1, 1]),
            ("counts", {"known_by_id": FIRST}, {"known_by_id": FIRST}, [1, 0, 1, 0]),
            ("waiting", {"known_by_id": FIRST}, {"phase": "asking"}, [1, 1, 1, 1]),
        ]
        for name, first_fields, second_fields, expected in table:
            with self.subTest(name):
                entry.requests_by_id.update(
                    {
                        first.request_id: first._replace(**first_fields),
                        second.request_id: second._replace(**second_fields),
                    }
                )
                found, upcoming = [], event
                for at in range(4):
                    decided = _placement.decide(upcoming, entry, float(at), Random(1))
                    sent = [a for a in decided if isinstance(a, actions.Send)]
                    found.append(len(sent))
                    upcoming = decided[-1].event
                    # Only a scheduler that was sent to owes an answer.
                    timers = [a for a in decided if isinstance(a, actions.SetTimer)]
                    self.assertEqual(len(timers), 1 + len(sent))
                    entry.scheduler_contacts_by_id.clear()
                self.assertEqual(found, expected)
        # Counts must come well within the time after which the scheduler drops a grant.
        scheduling = entry.settings.scheduling
        self.assertLess(
            2 * 2 * scheduling.progress_interval_seconds,
            scheduling.progress_lifetime_seconds,
        )

    def test_lost_ack_is_followed_by_whole_rows(self):
        """Guards against counts for rows that never arrived."""
        world = World(2, loss=1.0)
        for _ in range(3):
            world.exchange()
        self.assertTrue(all(not message.counts for _, message in world.sent))
        world.loss = 0.0
        world.exchange()
        self.assertEqual(world.counts(), world.true_counts())

    def test_restart_between_ack_and_next_progress(self):
        """Guards against a restarted scheduler that fills engines it thinks idle."""
        world = World(5)
        world.exchange()
        world.schedulers_by_id[FIRST] = scheduler(FIRST)
        note_tokens(world.entry, 70)
        world.exchange()
        self.assertEqual(world.counts(), world.true_counts())

    def test_second_scheduler_gets_whole_rows(self):
        """Guards against a move of a cell, and back, that loses what runs there."""
        world = World(4)
        world.exchange()
        for name in (SECOND, FIRST):
            world.entry.schedulers_by_cell_id[CELL] = (name,)
            world.schedulers_by_id[name] = scheduler(name)
            _placement._reassign_requests(world.entry, world.now)
            note_tokens(world.entry, 20)
            world.exchange()
            self.assertEqual(world.counts(name), world.true_counts())

    def test_late_acks_are_corrected(self):
        """Guards against an old ack that hides a row from the scheduler for good."""
        request_id = f"{0:032x}"
        table = [
            ("known, of the scheduler before its restart", FIRST, (request_id,), ()),
            ("unknown, of the scheduler before it knew", FIRST, (), (request_id,)),
            ("known, of the other scheduler", SECOND, (request_id,), ()),
            ("unknown, of the other scheduler", SECOND, (), (request_id,)),
            ("of a request that ended", FIRST, ("gone",), ("gone",)),
        ]
        for name, sender_id, known, unknown in table:
            for is_new in (False, True):
                with self.subTest(name, is_new=is_new):
                    world = World(1)
                    if not is_new:
                        world.exchange()
                    ack = messages.ProgressAck(sender_id, CELL, (), known, unknown)
                    _placement.decide(ack, world.entry, world.now, Random(1))
                    note_tokens(world.entry, 30)
                    world.exchange()
                    self.assertEqual(world.counts(), world.true_counts())

    def test_late_progress_does_not_bring_a_request_back(self):
        """Guards against memory held for a request that ended."""
        world = World(1)
        whole = _placement.progress_messages(world.entry)[0][1]
        (row,) = world.entry.requests_by_id.values()
        ended = _placement.finished_message(world.entry, row, True, False)
        short = whole._replace(
            running=(), counts=(messages.RunningCount(row.request_id, 1, 5),)
        )
        for order in ((whole, ended, whole, short), (ended, whole, short)):
            with self.subTest(order=[type(message).__name__ for message in order]):
                board = scheduler(FIRST)
                for message in order:
                    _scheduling.decide(message, board, 2.0, Random(1))
                self.assertEqual(board.grants_by_request_id, {})
                later = whole.running[0]._replace(attempt=2)
                again = whole._replace(running=(later,))
                _scheduling.decide(again, board, 2.1, Random(1))
                self.assertIn(row.request_id, board.grants_by_request_id)
                feed(board, events.TimerFired("scheduling"), 30.0)
                self.assertEqual(board.ended_by_request_id, {})

    def test_count_of_another_attempt_does_not_renew(self):
        """Guards against a count that is charged to an earlier attempt."""
        board = scheduling_board()
        feed(board, running("r", tokens=10), 1.0)
        for attempt, unknown in ((2, ("r",)), (1, ())):
            count = messages.RunningCount("r", attempt, 90)
            message = messages.Progress(ENTRY, CELL, (), (), (count,))
            (action,) = _scheduling.decide(message, board, 2.0, Random(1))
            self.assertEqual(action.message.unknown_running_ids, unknown)
            expected = 90 if attempt == 1 else 10
            self.assertEqual(board.grants_by_request_id["r"].token_count, expected)

    def test_random_networks(self):
        """Guards against rows that loss, repeats or reordering lose or invent."""
        for seed in range(60):
            with self.subTest(seed=seed):
                world = World(6, seed, loss=0.3, mixed=True)
                for step in range(12):
                    if world.random.random() < 0.2:
                        world.schedulers_by_id[FIRST] = scheduler(FIRST)
                    note_tokens(world.entry, 10 * step + 10)
                    world.exchange()
                    held = world.counts()
                    self.assertLessEqual(held.keys(), world.true_counts().keys())
                    self.assertLessEqual(max(held.values(), default=0), 10 * step + 10)
                world.loss, world.mixed = 0.0, False
                for _ in range(2):
                    world.exchange()
                self.assertEqual(world.counts(), world.true_counts())

    def test_progress_in_several_datagrams(self):
        """Guards against requests lost when progress exceeds a datagram."""
        world = World(400)
        world.exchange()
        world.schedulers_by_id[FIRST] = scheduler(FIRST)
        ((_, progress),) = _placement.progress_messages(world.entry)
        sequence = iter(range(1, 1000)).__next__
        datagrams = codecs.encode_datagrams(progress, 1, sequence, PLACE, KEY, 0.0)
        self.assertGreater(len(datagrams), 1)
        for datagram in reversed(datagrams):
            self.assertLessEqual(len(datagram), 1400)
            part = codecs.decode_message(datagram, PLACE, (KEY,), 0.0).message
            board = world.schedulers_by_id[FIRST]
            for action in _scheduling.decide(part, board, 3.0, Random(1)):
                answer = getattr(action, "message", None)
                if isinstance(answer, messages.ProgressAck):
                    again = _placement.decide(answer, world.entry, 3.0, Random(1))
                    for resent in again:
                        _scheduling.decide(resent.message, board, 3.0, Random(1))
        self.assertEqual(world.counts(), world.true_counts())

    def test_size_of_a_count(self):
        """Guards against progress of 85 requests that exceeds the control budget."""
        world = World(0)
        counts = tuple(
            messages.RunningCount(Random(index).randbytes(16).hex(), 1, 1000 + index)
            for index in range(85)
        )
        message = messages.Progress(ENTRY, CELL, (), (), counts)
        sequence = iter(range(1, 1000)).__next__
        datagrams = codecs.encode_datagrams(message, 1, sequence, PLACE, KEY, world.now)
        self.assertLess(sum(map(len, datagrams)) / 85, 45)


if __name__ == "__main__":
    unittest.main()
