"""Prompt blocks that crash engines: convictions, and requests that share blocks."""

from __future__ import annotations

import unittest

from carawayhitch.core import events, messages
from tests.controllers.scheduling_world import (
    ask,
    feed,
    load,
    refusals,
    report_all,
    scheduling_board,
)

ROOT, DEADLY = "root:26", "deadly:95"


class EngineWorld:
    """A cell of engines whose requests come with prompt blocks."""

    def __init__(self, engine_count=9):
        self.board = scheduling_board(engine_count)
        self.now = 10.0
        self.number = 0
        report_all(self.board, self.now)

    def request(self, *blocks):
        """Place a request; return its id, or None if it is refused."""
        self.number += 1
        request_id = f"r{self.number}"
        asked = ask(request_id, prefix_blocks=blocks)
        if refusals(feed(self.board, asked, self.now)):
            return None
        return request_id

    def upstream(self, request_id):
        return self.board.grants_by_request_id[request_id].upstream_id

    def answer(self, request_id, tokens=5):
        """Let a request produce tokens."""
        cell_id = self.board.grants_by_request_id[request_id].cell_id
        count = messages.RunningCount(request_id, 1, tokens)
        feed(
            self.board,
            messages.Progress("entry-2", cell_id, (), (), (count,)),
            self.now,
        )

    def crash(self, request_id, others=()):
        """Crash the engine of a request that it had begun to answer."""
        upstream_id = self.upstream(request_id)
        for lost_id, began in ((request_id, True), *((name, False) for name in others)):
            grant = self.board.grants_by_request_id[lost_id]
            ended = messages.Finished(
                "entry-2",
                lost_id,
                1,
                grant.cell_id,
                grant.token_count,
                complete=False,
                upstream_failed=True,
                began=began,
            )
            feed(self.board, ended, self.now)
        feed(self.board, events.LoadUnavailable(upstream_id, "refused"), self.now)
        self.now += 0.2
        timer = events.TimerFired("crash_evidence", upstream_id)
        feed(self.board, timer, self.now)
        self.now += 4.0
        upstream = self.board.upstreams_by_id[upstream_id]
        self.board.upstreams_by_id[upstream_id] = upstream._replace(
            started_at=upstream.started_at + 1
        )
        feed(self.board, load(upstream_id, self.now), self.now)

    def convicted(self):
        return sorted(
            row.fingerprint
            for row in self.board.crashes_by_fingerprint.values()
            if row.convicted
        )


class DeadlyBlockTest(unittest.TestCase):
    def test_block_that_crashes_three_engines_is_refused_in_any_prompt(self):
        """Guards against unlike requests with one block that crash all engines."""
        world = EngineWorld()
        for number in range(3):
            world.crash(world.request(ROOT, f"middle-{number}:9", DEADLY))
        self.assertEqual(world.convicted(), [f"block {DEADLY}"])
        self.assertIsNone(world.request(ROOT, "new:7", DEADLY))
        self.assertIsNone(world.request("other:1", DEADLY, "later:2"))
        self.assertIsNotNone(world.request(ROOT, "middle-1:9"))

    def test_waiting_request_is_refused_when_its_block_is_convicted(self):
        """Guards against a fourth crash by a request that waited for a place."""
        world = EngineWorld(engine_count=1)
        for _ in range(2):
            world.crash(world.request(ROOT, DEADLY))
        report_all(world.board, world.now, running_limit=1)
        last = world.request(ROOT, DEADLY)
        waiting = world.request(ROOT, DEADLY)
        world.crash(last)
        self.assertNotIn(waiting, world.board.grants_by_request_id)
        self.assertNotIn(waiting, world.board.asks_by_request_id)

    def test_shared_first_block_is_not_convicted_by_crashes_at_the_same_time(self):
        """Guards against refusing a whole route for the block of some requests.

        Several engines can crash before a sound request produces its next token.
        """
        world = EngineWorld()
        world.answer(world.request(ROOT, "middle:9"))
        for _ in range(3):
            world.crash(world.request(ROOT, "middle:9", DEADLY))
        self.assertEqual(world.convicted(), [f"block {DEADLY}"])
        self.assertIsNotNone(world.request(ROOT, "middle:9"))

    def test_answered_block_that_becomes_deadly_is_convicted_by_the_fifth_crash(self):
        """Guards against a block that crashes engines only after some time."""
        world = EngineWorld()
        world.answer(world.request(ROOT, "old:9"))
        for number in range(5):
            self.assertEqual(world.convicted(), [], number)
            world.crash(world.request(ROOT, "old:9"))
            world.answer(world.request(ROOT, "other:4"))
        self.assertEqual(world.convicted(), ["block old:9"])

    def test_request_that_had_not_begun_is_no_suspect(self):
        """Guards against blaming requests whose prompts were still being read."""
        world = EngineWorld(engine_count=1)
        for _ in range(3):
            deadly = world.request(ROOT, DEADLY)
            beside = world.request("side:3", "waits:8")
            world.crash(deadly, [beside])
        self.assertEqual(world.convicted(), [f"block {DEADLY}"])
        self.assertNotIn("block waits:8", world.board.crashes_by_fingerprint)

    def test_streaming_request_is_no_suspect(self):
        """Guards against blaming requests that the engine had answered for a while."""
        world = EngineWorld(engine_count=1)
        for _ in range(3):
            streaming = world.request("side:3", "long:8")
            world.answer(streaming)
            world.crash(world.request(ROOT, DEADLY), [streaming])
        self.assertEqual(world.convicted(), [f"block {DEADLY}"])

    def test_token_that_the_scheduler_had_not_heard_of_clears_a_request(self):
        """Guards against evidence from a progress report that is a second old."""
        world = EngineWorld(engine_count=1)
        streaming = world.request("side:3", "long:8")
        deadly = world.request(ROOT, DEADLY)
        cell_id = world.board.grants_by_request_id[streaming].cell_id
        ended = messages.Finished(
            "entry-2", streaming, 1, cell_id, 9, False, True, began=True
        )
        feed(world.board, ended, world.now)
        world.crash(deadly)
        self.assertNotIn("block long:8", world.board.crashes_by_fingerprint)
        self.assertIn(f"block {DEADLY}", world.board.crashes_by_fingerprint)

    def test_crash_by_a_convicted_block_is_no_evidence_against_others(self):
        """Guards against convicting further blocks by requests that still ran."""
        world = EngineWorld()
        running = [world.request(ROOT, "middle:9", DEADLY) for _ in range(8)]
        for request_id in running:
            if request_id in world.board.grants_by_request_id:
                world.crash(request_id)
        self.assertEqual(world.convicted(), [f"block {DEADLY}"])

    def test_records_of_a_crash_are_bounded(self):
        """Guards against hundreds of records and messages for one long prompt."""
        world = EngineWorld()
        world.crash(world.request(*(f"block-{number}:1" for number in range(500))))
        records = world.board.crashes_by_fingerprint
        blocks = [name for name in records if name.startswith("block ")]
        self.assertEqual(len(blocks), 32)

    def test_engine_that_survived_adds_no_record(self):
        """Guards against records for streams that a link or the engine broke off."""
        world = EngineWorld(engine_count=1)
        request_id = world.request(ROOT, DEADLY)
        grant = world.board.grants_by_request_id[request_id]
        ended = messages.Finished(
            "entry-2", request_id, 1, grant.cell_id, 0, False, True, began=True
        )
        feed(world.board, ended, world.now)
        alive = load("engine-0", world.now + 0.1, started_at=1.0)
        feed(world.board, alive._replace(polled_at=world.now + 0.05), world.now + 0.1)
        timer = events.TimerFired("crash_evidence", "engine-0")
        feed(world.board, timer, world.now + 0.2)
        self.assertEqual(world.board.crashes_by_fingerprint, {})

    def test_rebuilt_grant_keeps_the_blocks_of_an_unanswered_request(self):
        """Guards against lost evidence after a change of scheduler."""
        world = EngineWorld(engine_count=1)
        cell_id = next(iter(world.board.cells_by_id))
        for number, blocks in enumerate(((ROOT, DEADLY),) * 3):
            request = messages.RunningRequest(
                f"moved-{number}",
                1,
                "quotes",
                "hotel",
                "urgent",
                "b",
                f"print-{number}",
                "engine-0",
                100,
                200,
                0,
                blocks,
            )
            progress = messages.Progress("entry-2", cell_id, (request,), ())
            feed(world.board, progress, world.now)
            world.crash(request.request_id)
        self.assertEqual(world.convicted(), [f"block {DEADLY}"])


if __name__ == "__main__":
    unittest.main()
