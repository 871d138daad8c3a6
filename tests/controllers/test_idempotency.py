"""Claims of two entries against a store with faults, replayed as events."""

from __future__ import annotations

import heapq
import unittest
from collections import Counter
from random import Random
from typing import Any

from carawayhitch.board import new_board
from carawayhitch.controllers import _idempotency, _journal_sync
from carawayhitch.controllers._controller import combine_controllers
from carawayhitch.core import actions, events, result_codes, rows
from carawayhitch.core import settings as settings_types

IDEMPOTENCY = settings_types.IdempotencySettings(claim_timeout_seconds=1.0)
LAYOUT = rows.LayoutRow(2, 86400.0)
KEY_COUNT = 6
SEEDS = range(400)

decide = combine_controllers((_idempotency.decide, _journal_sync.decide))


class Simulation:
    """Two entries, one store, and a heap of events in the order of their times.

    A write may be accepted, lost, accepted with its answer lost, or take effect up
    to three seconds after its failure was reported. An entry may also be frozen.
    """

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.heap: list[tuple[float, int, Any]] = []
        self.count = 0
        self.version_by_shard: Counter[str] = Counter()
        self.records_by_shard: dict[str, tuple[rows.JournalRecord, ...]] = {}
        self.sends_by_key: Counter[str] = Counter()
        self.told: dict[str, list[str]] = {}
        self.frozen_until = [0.0, 0.0]
        self.boards = []
        for number in range(2):
            node = settings_types.NodeSettings(f"entry-{number}", "a", "r1")
            settings = settings_types.Settings(
                node,
                settings_types.PeerSettings(()),
                settings_types.StoreSettings(""),
                settings_types.PlatformSettings(""),
                idempotency=IDEMPOTENCY,
            )
            board = new_board(settings, number)
            board.journal_layouts_by_name["in_force"] = LAYOUT
            self.boards.append(board)

    def at(self, time: float, step: Any) -> None:
        self.count += 1
        heapq.heappush(self.heap, (time, self.count, step))

    def call(self, time: float, entry: int, key: str) -> None:
        """Let a call arrive at an entry that already holds a grant for it."""
        request_id = f"{key}-{self.count}"
        row = rows.RequestRow(
            request_id=request_id,
            account="hotel",
            group="register",
            rank="urgent",
            binding="register",
            target=rows.ServiceTarget("register", "POST", "/guides"),
            fingerprint="",
            body_sha256="0" * 64,
            idempotency_key=key,
            received_at=time,
            deadline=time + 10.0,
            grant_deadline=time + 100.0,
            phase="claiming",
        )

        def arrive(now: float) -> None:
            self.boards[entry].requests_by_id[request_id] = row
            self.feed(entry, events.UpstreamGranted(request_id), now)
            self.later(entry, 10.0, events.WaitExpired(request_id))

        self.at(time, arrive)

    def later(self, entry: int, delay: float, *arriving: Any) -> None:
        def deliver(now: float) -> None:
            if now < self.frozen_until[entry]:
                self.at(self.frozen_until[entry], deliver)
                return
            for event in arriving:
                self.feed(entry, event, now)

        self.at(self.now + delay, deliver)

    def feed(self, entry: int, event: Any, now: float) -> None:
        """Feed an event, then those that it emitted, as the node does."""
        board = self.boards[entry]
        emitted = []
        for action in decide(event, board, now, self.random):
            match action:
                case actions.Emit(events.ClaimGranted(request_id)):
                    self.send(entry, request_id)
                case actions.Emit(following):
                    emitted.append(following)
                case actions.SetTimer(deadline, following):
                    # Timers of the event loop may fire a little early.
                    early = self.random.choice((0.0, 0.001))
                    self.later(entry, max(0.0, deadline - now - early), following)
                case actions.RefuseCall(request_id, code):
                    self.tell(request_id, code.ran)
                case actions.SendAnswer(request_id):
                    self.tell(request_id, "yes")
                case actions.ReadJournal() | actions.WriteJournal():
                    self.call_store(entry, action)
        if isinstance(event, events.RequestEnded):
            board.requests_by_id.pop(event.request_id, None)
        for following in emitted:
            self.feed(entry, following, now)

    def tell(self, request_id: str, ran: str) -> None:
        self.told.setdefault(request_id[:5], []).append(ran)

    def send(self, entry: int, request_id: str) -> None:
        """Run a call at the upstream, with the part of the streams controller."""
        delay = self.random.uniform(0.0, 0.5)
        outcome = self.random.choice(("answer", "answer", "cut", "refused"))
        if outcome == "refused":
            # No connection: nothing was sent, and no other upstream is left.
            failed = events.UpstreamCallFailed(request_id, 1, "connect", False)
            code = result_codes.NO_UPSTREAM
        else:
            self.sends_by_key[request_id[:5]] += 1
            failed = events.UpstreamCallFailed(request_id, 1, "link_lost", True)
            code = result_codes.OUTCOME_UNKNOWN
        if outcome == "answer":
            answer = events.AnswerReceived(request_id, 1, 200, "text/plain", b"ok")
            ended = events.RequestEnded(request_id, True, None)
            self.tell(request_id, "yes")
            self.later(entry, delay, answer, ended)
            return
        self.tell(request_id, code.ran)
        ended = events.RequestEnded(request_id, False, code)
        self.later(entry, delay, failed, ended)

    def call_store(self, entry: int, action: Any) -> None:
        fault = self.random.choice(("", "", "", "", "lost", "answer_lost", "late"))
        delay = self.random.uniform(0.001, 0.1)
        failed = events.StoreCallFailed(action.operation_id, fault)
        if isinstance(action, actions.ReadJournal):
            if fault:
                self.later(entry, delay, failed)
                return
            shard = action.shard
            read = events.JournalRead(
                action.operation_id,
                self.version_by_shard[shard],
                self.records_by_shard.get(shard, ()),
            )
            self.later(entry, delay, read)
            return
        if fault in ("lost", "late"):
            self.later(entry, delay, failed)
            if fault == "late":
                late = self.now + self.random.uniform(0.0, 3.0)
                self.at(late, lambda now: self.write(action))
            return
        accepted = self.write(action)
        version = self.version_by_shard[action.shard]
        written = events.ObjectWritten(action.operation_id, accepted, version)
        self.later(entry, delay, failed if fault else written)

    def write(self, action: actions.WriteJournal) -> bool:
        if self.version_by_shard[action.shard] != action.expected_version:
            return False
        self.version_by_shard[action.shard] += 1
        self.records_by_shard[action.shard] = action.records
        return True

    def run(self) -> None:
        self.now = 0.0
        for number in range(KEY_COUNT):
            for _ in range(4):
                time = self.random.uniform(0.0, 6.0)
                self.call(time, self.random.randrange(2), f"key-{number}")
        for entry in range(2):
            start = self.random.uniform(0.0, 3.0)
            until = start + self.random.choice((0.0, 0.5, 2.5))
            self.at(start, lambda _, e=entry, u=until: self.freeze(e, u))
        while self.heap and self.now < 60.0:
            self.now, _, step = heapq.heappop(self.heap)
            step(self.now)

    def freeze(self, entry: int, until: float) -> None:
        self.frozen_until[entry] = until


class ClaimSimulationTest(unittest.TestCase):
    def test_two_entries_with_store_faults(self):
        """Guards against a second send after lost, late and conflicting writes."""
        sent = 0
        for seed in SEEDS:
            simulation = Simulation(seed)
            simulation.run()
            with self.subTest(seed=seed):
                for number in range(KEY_COUNT):
                    key = f"key-{number}"
                    sends = simulation.sends_by_key[key]
                    told = simulation.told[key]
                    self.assertLessEqual(sends, 1, key)
                    if set(told) == {"no"}:
                        self.assertEqual(sends, 0, key)
                    self.assertEqual(len(told), 4, key)
                    sent += sends
                for board in simulation.boards:
                    self.assertEqual(board.requests_by_id, {})
                    self.assertEqual(board.claims_by_key, {})
        self.assertGreater(sent, len(SEEDS) * KEY_COUNT // 2)
