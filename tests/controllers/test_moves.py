"""Moves of generations at the entry that relays their streams."""

from __future__ import annotations

import unittest
from random import Random

from carawayhitch import controllers
from carawayhitch.core import actions, events, messages, rows
from tests.boards import ready_board

ORDER = messages.MoveOrder(
    "scheduler", "r1", 1, "cell", "engine-1", "engine-2", "engine-2:1", 12.0
)
TARGET = rows.RoutedTarget("POST", "h", "/draft/1", 100, 200, streamed=True)


def relaying_board(started=True):
    """Return the board of an entry that relays one stream."""
    board = ready_board()
    for name in ("engine-1", "engine-2"):
        board.upstreams_by_id[name] = rows.UpstreamRow(
            name, f"{name}:1", "a", "r1", "engine", {}
        )
    board.requests_by_id["r1"] = rows.RequestRow(
        "r1", "hotel", "g", "rank", "b", TARGET, "f", "", "", 0.0, 99.0
    )._replace(
        phase="relaying",
        upstream_id="engine-1",
        address="engine-1:1",
        scheduler_id="scheduler",
        cell_id="cell",
        last_sequence=7 if started else 0,
        response_started=started,
        caller_deadline=50.0,
    )
    return board


def feed(board, event, now=10.0):
    return list(controllers.decide_chain(event, board, now, Random(1)))


def of_type(decided, action_type):
    return [action for action in decided if isinstance(action, action_type)]


def reports(decided):
    return [
        action.message.outcome
        for action in of_type(decided, actions.Send)
        if isinstance(action.message, messages.MoveReport)
    ]


def copied(is_final, outcome="copied", handle="h", attempt=1):
    addresses = ("engine-1:1", "engine-2:1")
    return events.MemoryCopied("r1", attempt, is_final, outcome, handle, addresses)


class MoveTest(unittest.TestCase):
    def test_stream_continues_at_the_target_after_its_last_event(self):
        """Guards against a stop before the first copy, and events lost by the move."""
        board = relaying_board()
        first = of_type(feed(board, ORDER), actions.CopyMemory)
        self.assertEqual([copy.is_final for copy in first], [False])
        last = of_type(feed(board, copied(False)), actions.CopyMemory)
        self.assertEqual([copy.is_final for copy in last], [True])
        feed(board, events.ChunkReceived("r1", 1, 8, 8, b"x"))
        # The stream at the source breaks off, which must not abandon the attempt.
        cut = events.UpstreamCallFailed("r1", 1, "truncated", True)
        self.assertEqual(feed(board, cut), [])
        decided = feed(board, copied(True, handle="h2"))
        opened = of_type(decided, actions.OpenUpstream)[0]
        self.assertEqual(
            (opened.upstream_id, opened.last_sequence, opened.source, opened.attempt),
            ("engine-2", 8, "engine-1:1/h2", 2),
        )
        self.assertEqual(reports(decided), ["moved"])
        late = events.ChunkReceived("r1", 1, 9, 9, b"late")
        self.assertFalse(of_type(feed(board, late), actions.ForwardChunk))
        continued = events.ChunkReceived("r1", 2, 9, 9, b"next")
        self.assertTrue(of_type(feed(board, continued), actions.ForwardChunk))
        self.assertFalse(board.moves_by_request_id)

    def test_orders_that_cannot_be_executed_are_rejected(self):
        """Guards against moves of other attempts, and moves before the first event."""
        cases = (
            (relaying_board(), ORDER._replace(attempt=2), "gone"),
            (relaying_board(), ORDER._replace(upstream_id="engine-2"), "gone"),
            (relaying_board(), ORDER._replace(request_id="r2"), "gone"),
            (relaying_board(started=False), ORDER, "not_started"),
        )
        for board, order, outcome in cases:
            with self.subTest(order=order, outcome=outcome):
                decided = feed(board, order)
                self.assertFalse(of_type(decided, actions.CopyMemory))
                self.assertEqual(reports(decided), [outcome])

    def test_order_to_a_target_that_leaves_is_rejected(self):
        """Guards against a scheduler that moves streams by what it knew before."""
        board = relaying_board()
        target = board.upstreams_by_id["engine-2"]
        board.upstreams_by_id["engine-2"] = target._replace(leaving=True)
        decided = feed(board, ORDER)
        self.assertFalse(of_type(decided, actions.CopyMemory))
        self.assertEqual(reports(decided), ["failed"])

    def test_target_that_leaves_after_the_order_is_reported(self):
        """Guards against a generation that is stopped for a target that is going.

        The scheduler may not know of the leaving, and would give up the generation.
        """
        notice = messages.LeavingSeen(relaying_board().node_id, "engine-2", 0.0)
        for is_stopped in (False, True):
            with self.subTest(is_stopped=is_stopped):
                board = relaying_board()
                feed(board, ORDER)
                if is_stopped:
                    feed(board, copied(False))
                target = board.upstreams_by_id["engine-2"]
                board.upstreams_by_id["engine-2"] = target._replace(
                    leaving=True, is_listed=True
                )
                outcome = "refused" if is_stopped else "copied"
                decided = feed(board, copied(is_stopped, outcome))
                self.assertFalse(of_type(decided, actions.CopyMemory))
                sent = [action.message for action in of_type(decided, actions.Send)]
                self.assertEqual(sent[0], notice)
                self.assertEqual(reports(decided), ["failed"])

    def test_repeated_order_starts_no_second_move(self):
        """Guards against two concurrent moves of one generation."""
        board = relaying_board()
        feed(board, ORDER)
        self.assertEqual(feed(board, ORDER), [])

    def test_repeated_order_of_a_completed_move_is_reported_again(self):
        """Guards against a scheduler that counts a moved generation at the source."""
        board = relaying_board()
        for event in (ORDER, copied(False), copied(True)):
            feed(board, event)
        feed(board, events.ChunkReceived("r1", 2, 8, 8, b"x"))
        decided = feed(board, ORDER)
        self.assertFalse(of_type(decided, actions.CopyMemory))
        self.assertEqual(reports(decided), ["moved"])

    def test_failed_move_is_not_begun_again_by_a_repetition(self):
        """Guards against a second copy when a repeated order crosses its report."""
        board = relaying_board()
        feed(board, ORDER)
        self.assertEqual(reports(feed(board, copied(False, "refused"))), ["failed"])
        decided = feed(board, ORDER._replace(deadline=12.1))
        self.assertFalse(of_type(decided, actions.CopyMemory))
        self.assertEqual(reports(decided), ["failed"])
        # Another target is a new order.
        other = ORDER._replace(target_id="engine-3", target_address="engine-3:1")
        self.assertTrue(of_type(feed(board, other), actions.CopyMemory))
        feed(board, events.RequestEnded("r1", True, None))
        self.assertFalse(board.answered_moves_by_request_id)

    def test_failed_first_copy_does_not_interrupt_the_stream(self):
        """Guards against a stream that is stopped although no copy exists."""
        for outcome, reported in (("refused", "failed"), ("gone", "gone")):
            with self.subTest(outcome):
                board = relaying_board()
                feed(board, ORDER)
                decided = feed(board, copied(False, outcome, handle=""))
                self.assertEqual(reports(decided), [reported])
                self.assertFalse(of_type(decided, actions.CloseUpstream))
                self.assertEqual(board.requests_by_id["r1"].upstream_id, "engine-1")

    def test_refused_final_copy_continues_at_the_source(self):
        """Guards against a stopped generation that is never continued."""
        board = relaying_board()
        feed(board, ORDER)
        feed(board, copied(False))
        decided = feed(board, copied(True, "refused", handle="h2"))
        opened = of_type(decided, actions.OpenUpstream)[0]
        self.assertEqual(opened.upstream_id, "engine-1")
        self.assertEqual(opened.source, "engine-1:1/h2")
        self.assertEqual(reports(decided), ["failed"])

    def test_stream_that_stalls_after_its_move_ends(self):
        """Guards against a caller that waits forever for a silent target."""
        board = relaying_board()
        feed(board, ORDER)
        feed(board, copied(False))
        pending = of_type(feed(board, copied(True, handle="h2")), actions.SetTimer)
        codes = []
        while not codes:
            checks = [a for a in pending if isinstance(a.event, events.StallCheck)]
            self.assertTrue(checks, "no check of the stream is set")
            decided = feed(board, checks[0].event, checks[0].deadline)
            pending = of_type(decided, actions.SetTimer)
            codes = [a.code.name for a in of_type(decided, actions.RefuseCall)]
        self.assertEqual(codes, ["STREAM_LOST"])

    def test_unanswered_final_copy_ends_the_stream(self):
        """Guards against a caller that waits forever for a stopped stream."""
        board = relaying_board()
        feed(board, ORDER)
        feed(board, copied(False))
        decided = feed(board, copied(True, "unknown", handle=""))
        codes = [action.code.name for action in of_type(decided, actions.RefuseCall)]
        self.assertEqual(codes, ["STREAM_LOST"])

    def test_connection_closed_by_a_move_does_not_end_the_stream(self):
        """Guards against half a stream without framing that looks complete."""
        board = relaying_board()
        feed(board, ORDER)
        feed(board, copied(False))
        closed = events.StreamEnded("r1", 1, is_delimited=False)
        self.assertEqual(feed(board, closed), [])
        decided = feed(board, copied(True, handle="h2"))
        opened = of_type(decided, actions.OpenUpstream)[0]
        self.assertEqual((opened.upstream_id, opened.last_sequence), ("engine-2", 7))

    def test_end_of_a_generation_is_told_from_its_stop_by_the_final_copy(self):
        """Guards against a caller that waits for the end of a finished stream."""
        closed = events.StreamEnded("r1", 1, is_delimited=False)
        broken = events.UpstreamCallFailed("r1", 1, "truncated", True)
        cases = (
            (closed, "gone", ""),
            (broken, "gone", "STREAM_LOST"),
            (closed, "unknown", "STREAM_LOST"),
            (broken, "unknown", "STREAM_LOST"),
        )
        for end, outcome, code in cases:
            with self.subTest(end=end, outcome=outcome):
                board = relaying_board()
                feed(board, ORDER)
                feed(board, copied(False))
                self.assertEqual(feed(board, end), [])
                decided = feed(board, copied(True, outcome, handle=""))
                refused = [a.code.name for a in of_type(decided, actions.RefuseCall)]
                self.assertEqual(refused, [code] if code else [])
                finished = of_type(decided, actions.FinishStream)
                self.assertEqual(bool(finished), not code)
                self.assertNotIn("r1", board.requests_by_id)

    def test_delimited_end_finishes_a_stream_during_its_move(self):
        """Guards against a finished stream whose end waits for a copy."""
        board = relaying_board()
        feed(board, ORDER)
        feed(board, copied(False))
        decided = feed(board, events.StreamEnded("r1", 1, is_delimited=True))
        self.assertTrue(of_type(decided, actions.FinishStream))

    def test_unused_copies_are_released(self):
        """Guards against engine memory leaked by unused copies."""
        board = relaying_board()
        feed(board, ORDER)
        feed(board, copied(False))
        decided = feed(board, events.StreamEnded("r1", 1))
        freed = of_type(decided, actions.ReleaseMemory)
        self.assertEqual([action.handle for action in freed], ["h"])
        # A copy that completes after the end of the request is released as well.
        board = relaying_board()
        feed(board, ORDER)
        feed(board, events.StreamEnded("r1", 1))
        decided = feed(board, copied(False))
        freed = of_type(decided, actions.ReleaseMemory)
        self.assertEqual(freed[0].addresses, ("engine-1:1", "engine-2:1"))

    def test_disconnected_caller_ends_the_move(self):
        """Guards against a move that outlives its request."""
        board = relaying_board()
        feed(board, ORDER)
        decided = feed(board, events.CallerGone("r1"))
        self.assertEqual(reports(decided), ["gone"])
        self.assertFalse(board.moves_by_request_id)


if __name__ == "__main__":
    unittest.main()
