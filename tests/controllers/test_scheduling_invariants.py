"""Property tests of scheduler invariants under random event sequences."""

from __future__ import annotations

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from carawayhitch.controllers import _memory
from carawayhitch.core import events, messages
from tests.controllers.scheduling_world import (
    CELL,
    PATIENT,
    URGENT,
    ask,
    feed,
    finished,
    granted,
    load,
    report_all,
    running,
    scheduling_board,
    sent,
)

ENGINES = 3
RUNNING_LIMIT = 6

steps = st.lists(
    st.tuples(
        st.sampled_from(
            ["ask", "ask", "ask", "ask", "progress", "finish", "finish", "crash"]
            + ["load", "leaving", "unavailable", "sweep", "withdraw", "rebuild"]
        ),
        st.integers(0, 40),
        st.integers(0, 400),
    ),
    min_size=20,
    max_size=120,
)


def event_of(board, step, now):
    """Return the event for a step, or None if the step does not apply."""
    kind, number, tokens = step
    engine = f"engine-{number % ENGINES}"
    grants = list(board.grants_by_request_id)
    chosen = grants[number % len(grants)] if grants else ""
    grant = board.grants_by_request_id.get(chosen)
    if kind == "ask":
        return ask(
            f"request-{number}",
            rank="urgent" if number % 3 else "patient",
            account=f"account-{number % 4}",
            attempt=1 + tokens % 2,
            fingerprint=f"fingerprint-{number % 15}",
            prompt_tokens=tokens,
            maximum_tokens=0,
            cell_id=CELL if tokens % 7 else "other",
            excluded_upstream_ids=(engine,) if tokens % 5 == 0 else (),
            deadline=now + 20.0,
        )
    if kind == "rebuild":
        return running(f"moved-{number}", engine, tokens)
    if kind == "load":
        return load(
            engine,
            now - 0.3,
            memory_capacity=3000,
            running_limit=RUNNING_LIMIT,
            running_count=number % 4,
            memory_used=tokens,
        )
    if kind == "leaving" and engine == "engine-2" and tokens > 300:
        return load(engine, now, leaving=True, running_limit=RUNNING_LIMIT)
    if kind == "unavailable":
        return events.LoadUnavailable(engine, "refused")
    if kind == "sweep":
        return events.TimerFired("scheduling")
    if kind == "withdraw":
        return messages.AskWithdrawn("entry-2", f"request-{number}", 2, CELL)
    if grant is None:
        return None
    if kind in ("finish", "crash"):
        crashed = kind == "crash"
        return finished(chosen, tokens, not crashed, crashed, grant.attempt)
    request = running(chosen, grant.upstream_id, grant.token_count + tokens, grant.rank)
    progress = request.running[0]._replace(attempt=grant.attempt)
    return request._replace(running=(progress,))


class InvariantTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(steps)
    def test_invariants(self, sequence):
        """Guards against grants that no limit allows and tables that drift apart."""
        board = scheduling_board(ENGINES)
        board.cells_by_id["other"] = board.cells_by_id[CELL]._replace(
            cell_id="other", upstream_ids=("engine-0",)
        )
        report_all(board, 1.0, memory_capacity=3000, running_limit=RUNNING_LIMIT)
        now = 1.0
        for step in sequence:
            now += 0.1 + step[1] / 40
            event = event_of(board, step, now)
            if event is None:
                continue
            known = set(board.grants_by_request_id)
            decided = feed(board, event, now)
            self.check_grants(board, decided, known, now)
            self.check_tables(board)

    def check_grants(self, board, decided, known, now):
        for message in sent(decided, messages.AdmissionGrant):
            if message.request_id in known:
                continue
            grant = board.grants_by_request_id[message.request_id]
            upstream = board.upstreams_by_id[grant.upstream_id]
            self.assertFalse(upstream.leaving)
            self.assertGreaterEqual(now, upstream.unreachable_until)
            open_ids = board.grant_ids_by_upstream_id[grant.upstream_id]
            ledger = _memory.ledger(board, grant.upstream_id)
            if len(open_ids) == 1:
                continue
            self.assertLessEqual(
                len(open_ids) + ledger.unattributed_request_count,
                upstream.running_limit,
            )
            # Later grants of the same event can only increase this sum.
            self.assertLessEqual(
                _memory.predicted_peak(board, grant.upstream_id),
                _memory.memory_limit(board, upstream, now) + 1e-6,
            )
        for name, ids in board.grant_ids_by_upstream_id.items():
            new = [
                board.grants_by_request_id[request_id].fingerprint
                for request_id in ids
                if request_id not in known
            ]
            suspects = {
                board.grants_by_request_id[request_id].fingerprint
                for request_id in ids
                if board.grants_by_request_id[request_id].fingerprint
                in board.crashes_by_fingerprint
            }
            if suspects & set(new) and granted(decided):
                self.assertEqual(len(suspects), 1, name)

    def check_tables(self, board):
        grants = board.grants_by_request_id.values()
        by_upstream = Counter(grant.upstream_id for grant in grants)
        counted = {
            name: len(ids) for name, ids in board.grant_ids_by_upstream_id.items()
        }
        self.assertEqual(counted, by_upstream)
        asks = board.asks_by_request_id.values()
        waiting = Counter((ask.cell_id, ask.rank, ask.account) for ask in asks)
        queued = {
            (*key, account): len(ids)
            for key, accounts in board.queues_by_rank.items()
            for account, ids in accounts.items()
        }
        self.assertEqual(queued, waiting)
        open_work = waiting + Counter(
            (grant.cell_id, grant.rank, grant.account) for grant in grants
        )
        used = {
            key: row.open_count
            for key, row in board.usage_by_account.items()
            if row.open_count
        }
        self.assertEqual(used, open_work)
        in_flight = Counter(grant.fingerprint for grant in grants)
        counted = {
            name: len(ids)
            for name, ids in board.granted_upstreams_by_fingerprint.items()
        }
        self.assertEqual(counted, in_flight)
        for name in by_upstream:
            total = sum(
                grant.memory.means[0] for grant in grants if grant.upstream_id == name
            )
            held = board.memory_forecasts_by_upstream_id[name].means[0]
            self.assertAlmostEqual(held, total, places=3)
        self.assertEqual(set(board.memory_forecasts_by_upstream_id), set(by_upstream))


class FloorTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=12, deadline=None)
    @given(
        st.floats(0.05, 0.6),
        st.integers(20, 400),
        st.integers(20, 400),
        st.integers(50, 500),
    )
    def test_floor_is_kept_while_both_ranks_wait(
        self, floor, urgent_tokens, patient_tokens, prompt_tokens
    ):
        """Guards against a rank that gets less than its floor of the tokens."""
        ranks = (
            URGENT._replace(floor=0.0, queue_limit=10_000),
            PATIENT._replace(floor=floor, queue_limit=10_000),
        )
        board = scheduling_board(1, ranks=ranks)
        feed(board, load("engine-0", 1.0, memory_capacity=0, running_limit=4), 1.0)
        tokens_by_rank = {"urgent": urgent_tokens, "patient": patient_tokens}
        served = Counter()
        now = 1.0
        for number in range(900):
            for rank in ranks:
                name = f"{rank.name}-{number}"
                event = ask(name, rank.name, prompt_tokens=prompt_tokens, deadline=1e9)
                feed(board, event, now)
            now += 0.05
            open_ids = list(board.grants_by_request_id)
            grant = board.grants_by_request_id[open_ids[0]]
            length = tokens_by_rank[grant.rank]
            feed(board, finished(grant.request_id, length), now)
            if number > 400:
                served[grant.rank] += prompt_tokens + length
        share = served["patient"] / served.total()
        # Requests are indivisible, so the share may be slightly below the floor.
        self.assertGreaterEqual(share, floor * 0.95)


if __name__ == "__main__":
    unittest.main()
