"""Choice of the request bodies that are dropped when memory is short."""

from __future__ import annotations

import unittest

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


if __name__ == "__main__":
    unittest.main()
