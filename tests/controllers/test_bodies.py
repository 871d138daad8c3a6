"""Choice of the request bodies that are dropped when memory is short."""

from __future__ import annotations

import unittest
from random import Random

from carawayhitch.controllers._bodies import decide as bodies_decide
from carawayhitch.core import actions, events, messages, rows
from tests.controllers.test_moves import ORDER, feed, of_type, relaying_board, reports

SIZE = 4_000_000


def board_with_streams(**changes_by_id):
    """Return a board with a stream of 4 MB for each id."""
    board = relaying_board()
    row = board.requests_by_id.pop("r1")
    for index, (request_id, changes) in enumerate(changes_by_id.items()):
        started = row._replace(
            request_id=request_id, body_bytes=SIZE, first_token_at=9.0 - index
        )
        board.requests_by_id[request_id] = started._replace(**changes)
    return board


def dropped(board, missing_bytes):
    decided = feed(board, events.BodyMemoryNeeded(missing_bytes))
    return [action.request_id for action in of_type(decided, actions.DropBody)]


class DropTest(unittest.TestCase):
    def test_oldest_streams_go_first_and_no_more_than_needed(self):
        """Guards against streams that cannot be moved any more without need."""
        board = board_with_streams(r1={}, r2={}, r3={})
        self.assertEqual(dropped(board, SIZE + 1), ["r3", "r2"])
        self.assertEqual(dropped(board, SIZE + 1), ["r1"])

    def test_bodies_that_may_be_sent_again_are_kept(self):
        """Guards against calls that are sent again without their body."""
        board = board_with_streams(
            waiting={"response_started": False},
            resumable={"target": rows.RoutedTarget("POST", "h", "/a/", resumable=True)},
            moving={},
        )
        move = messages.MoveOrder(
            "scheduler", "moving", 1, "cell", "engine-1", "engine-2", "e:1", 12.0
        )
        feed(board, move)
        self.assertIn("moving", board.moves_by_request_id)
        self.assertEqual(dropped(board, SIZE), [])

    def test_stream_without_its_body_is_not_moved(self):
        """Guards against a move that sends the target an empty request."""
        board = board_with_streams(r1={})
        self.assertEqual(dropped(board, SIZE), ["r1"])
        decided = feed(board, ORDER)
        self.assertFalse(of_type(decided, actions.CopyMemory))
        self.assertEqual(reports(decided), ["failed"])


NOW = 100.0


def use(connection_id, stage, held_bytes, seconds):
    """Return a connection whose client has not moved for some seconds."""
    return rows.ConnectionUse(connection_id, stage, held_bytes, NOW - seconds)


def closed(event):
    """Return the ids and the codes of the connections that are closed."""
    decided = bodies_decide(event, relaying_board(), NOW, Random(1))
    chosen = of_type(decided, actions.CloseConnection)
    return [(action.connection_id, action.code.name) for action in chosen]


class CloseTest(unittest.TestCase):
    def test_who_holds_most_and_moves_least_is_closed_first(self):
        """Guards against small and moving clients that are closed for large ones."""
        uses = (
            use(1, "receiving", 1000, 3.0),
            use(2, "sending", SIZE, 4.0),
            use(3, "receiving", SIZE, 9.0),
            use(4, "receiving", SIZE, 1.9),
            use(5, "running", SIZE, 50.0),
            use(6, "idle", 0, 50.0),
        )
        for missing_bytes, expected in (
            (SIZE, [(3, "CLIENT_STALLED")]),
            (SIZE + 1, [(3, "CLIENT_STALLED"), (2, "ANSWER_NOT_READ")]),
        ):
            event = events.BodyMemoryNeeded(missing_bytes, uses)
            with self.subTest(missing_bytes=missing_bytes):
                self.assertEqual(closed(event), expected)
        event = events.BodyMemoryNeeded(9 * SIZE, uses)
        self.assertEqual([chosen for chosen, _ in closed(event)], [3, 2, 1])

    def test_moving_clients_go_when_the_memory_is_exceeded(self):
        """Guards against a process that ends because all of its clients move."""
        uses = (use(1, "sending", SIZE, 0.1), use(2, "running", SIZE, 9.0))
        self.assertEqual(closed(events.BodyMemoryNeeded(SIZE, uses)), [])
        event = events.BodyMemoryNeeded(SIZE, uses, is_urgent=True)
        self.assertEqual(closed(event), [(1, "ANSWER_NOT_READ")])

    def test_idle_connections_make_room_and_running_calls_stay(self):
        """Guards against connections without a call that take the places of callers."""
        uses = (
            use(1, "idle", 0, 3.0),
            use(2, "running", 0, 60.0),
            use(3, "idle", 0, 12.0),
            use(4, "idle", 0, 1.0),
        )
        event = events.ConnectionsNeeded(1, uses)
        self.assertEqual(closed(event), [(3, "CONNECTION_DISPLACED")])
        event = events.ConnectionsNeeded(9, uses)
        self.assertEqual([chosen for chosen, _ in closed(event)], [3, 1])

    def test_connections_without_a_request_make_room_soon(self):
        """Guards against clients that reconnect and take each place that is freed."""
        uses = (
            use(1, "unused", 0, 0.3),
            use(2, "unused", 0, 0.4),
            use(3, "unused", 0, 0.1),
            use(4, "idle", 0, 0.4),
            use(5, "idle", 0, 3.0),
        )
        for missing_count, expected in ((1, [2, 1]), (3, [2, 1, 5])):
            with self.subTest(missing_count=missing_count):
                event = events.ConnectionsNeeded(missing_count, uses)
                self.assertEqual([chosen for chosen, _ in closed(event)], expected)


if __name__ == "__main__":
    unittest.main()
