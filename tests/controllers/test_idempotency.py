"""Simulates claims of two entries that share a faulty store."""

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
    """Discrete-event simulation of two entries and one store.

    A store write is accepted, lost, accepted with its answer lost, or applied up to
    three seconds after its failure was reported. Each entry may be suspended once.
    """

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.scheduled_steps: list[tuple[float, int, Any]] = []
        self.step_count = 0
        self.version_by_shard: Counter[str] = Counter()
        self.records_by_shard: dict[str, tuple[rows.JournalRecord, ...]] = {}
        self.sends_by_key: Counter[str] = Counter()
        self.ran_answers_by_key: dict[str, list[str]] = {}
        self.suspended_until_by_entry = [0.0, 0.0]
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

    def schedule(self, time: float, step: Any) -> None:
        self.step_count += 1
        heapq.heappush(self.scheduled_steps, (time, self.step_count, step))

    def schedule_call(self, time: float, entry: int, key: str) -> None:
        """Schedule the arrival of a call at an entry that already holds its grant."""
        request_id = f"{key}-{self.step_count}"
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
            self.process_event(entry, events.UpstreamGranted(request_id), now)
            self.deliver_after(entry, 10.0, events.WaitExpired(request_id))

        self.schedule(time, arrive)

    def deliver_after(
        self, entry: int, delay_seconds: float, *delivered_events: Any
    ) -> None:
        def deliver(now: float) -> None:
            if now < self.suspended_until_by_entry[entry]:
                self.schedule(self.suspended_until_by_entry[entry], deliver)
                return
            for event in delivered_events:
                self.process_event(entry, event, now)

        self.schedule(self.now + delay_seconds, deliver)

    def process_event(self, entry: int, event: Any, now: float) -> None:
        """Handle an event, then the events that it emitted, as the node does."""
        board = self.boards[entry]
        emitted_events = []
        for action in decide(event, board, now, self.random):
            match action:
                case actions.Emit(events.ClaimGranted(request_id)):
                    self.run_upstream_call(entry, request_id)
                case actions.Emit(emitted_event):
                    emitted_events.append(emitted_event)
                case actions.SetTimer(deadline, emitted_event):
                    # Event loops round timers, so a timer may fire 1 ms early.
                    early_seconds = self.random.choice((0.0, 0.001))
                    self.deliver_after(
                        entry, max(0.0, deadline - now - early_seconds), emitted_event
                    )
                case actions.RefuseCall(request_id, code):
                    self.record_ran_answer(request_id, code.ran)
                case actions.SendAnswer(request_id):
                    self.record_ran_answer(request_id, "yes")
                case actions.ReadJournal() | actions.WriteJournal():
                    self.call_store(entry, action)
        if isinstance(event, events.RequestEnded):
            board.requests_by_id.pop(event.request_id, None)
        for emitted_event in emitted_events:
            self.process_event(entry, emitted_event, now)

    def record_ran_answer(self, request_id: str, ran: str) -> None:
        self.ran_answers_by_key.setdefault(request_id[:5], []).append(ran)

    def run_upstream_call(self, entry: int, request_id: str) -> None:
        """Run a call at the upstream, in place of the streams controller."""
        delay_seconds = self.random.uniform(0.0, 0.5)
        outcome = self.random.choice(("answer", "answer", "cut", "refused"))
        if outcome == "refused":
            # The connection failed before anything was sent, and there is no other
            # upstream.
            failed = events.UpstreamCallFailed(request_id, 1, "connect", False)
            code = result_codes.NO_UPSTREAM
        else:
            self.sends_by_key[request_id[:5]] += 1
            failed = events.UpstreamCallFailed(request_id, 1, "link_lost", True)
            code = result_codes.OUTCOME_UNKNOWN
        if outcome == "answer":
            answer = events.AnswerReceived(request_id, 1, 200, "text/plain", b"ok")
            ended = events.RequestEnded(request_id, True, None)
            self.record_ran_answer(request_id, "yes")
            self.deliver_after(entry, delay_seconds, answer, ended)
            return
        self.record_ran_answer(request_id, code.ran)
        ended = events.RequestEnded(request_id, False, code)
        self.deliver_after(entry, delay_seconds, failed, ended)

    def call_store(self, entry: int, action: Any) -> None:
        fault = self.random.choice(("", "", "", "", "lost", "answer_lost", "late"))
        delay_seconds = self.random.uniform(0.001, 0.1)
        failed = events.StoreCallFailed(action.operation_id, fault)
        if isinstance(action, actions.ReadJournal):
            if fault:
                self.deliver_after(entry, delay_seconds, failed)
                return
            shard = action.shard
            read = events.JournalRead(
                action.operation_id,
                self.version_by_shard[shard],
                self.records_by_shard.get(shard, ()),
            )
            self.deliver_after(entry, delay_seconds, read)
            return
        if fault in ("lost", "late"):
            self.deliver_after(entry, delay_seconds, failed)
            if fault == "late":
                effective_at = self.now + self.random.uniform(0.0, 3.0)
                self.schedule(effective_at, lambda now: self.apply_store_write(action))
            return
        accepted = self.apply_store_write(action)
        version = self.version_by_shard[action.shard]
        written = events.ObjectWritten(action.operation_id, accepted, version)
        self.deliver_after(entry, delay_seconds, failed if fault else written)

    def apply_store_write(self, action: actions.WriteJournal) -> bool:
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
                self.schedule_call(time, self.random.randrange(2), f"key-{number}")
        for entry in range(2):
            suspended_at = self.random.uniform(0.0, 3.0)
            resume_at = suspended_at + self.random.choice((0.0, 0.5, 2.5))
            self.schedule(
                suspended_at,
                lambda _, number=entry, until=resume_at: self.suspend_entry(
                    number, until
                ),
            )
        while self.scheduled_steps and self.now < 60.0:
            self.now, _, step = heapq.heappop(self.scheduled_steps)
            step(self.now)

    def suspend_entry(self, entry: int, resume_at: float) -> None:
        self.suspended_until_by_entry[entry] = resume_at


class ClaimSimulationTest(unittest.TestCase):
    def test_two_entries_with_store_faults(self):
        """Guards against sending a call twice after lost, late or conflicting writes.

        It also guards against reporting "not run" for a call that was sent.
        """
        send_count = 0
        for seed in SEEDS:
            simulation = Simulation(seed)
            simulation.run()
            with self.subTest(seed=seed):
                for number in range(KEY_COUNT):
                    key = f"key-{number}"
                    key_send_count = simulation.sends_by_key[key]
                    ran_answers = simulation.ran_answers_by_key[key]
                    self.assertLessEqual(key_send_count, 1, key)
                    if set(ran_answers) == {"no"}:
                        self.assertEqual(key_send_count, 0, key)
                    self.assertEqual(len(ran_answers), 4, key)
                    send_count += key_send_count
                for board in simulation.boards:
                    self.assertEqual(board.requests_by_id, {})
                    self.assertEqual(board.claims_by_key, {})
        self.assertGreater(send_count, len(SEEDS) * KEY_COUNT // 2)
