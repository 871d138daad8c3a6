"""Tests of the scheduler: ranks, limits, fairness, memory, caches and soft state."""

from __future__ import annotations

import unittest

from carawayhitch.controllers import _fairness, _lengths, _memory
from carawayhitch.core import (
    actions,
    declarations,
    events,
    messages,
    result_codes,
    rows,
)
from tests.controllers.scheduling_world import (
    CELL,
    PATIENT,
    URGENT,
    ask,
    feed,
    finished,
    granted,
    load,
    refusals,
    report_all,
    running,
    scheduling_board,
    sent,
)


def fill_cell(board, now=1.0, rank="patient"):
    """Feed asks until the cell is full; return the granted request ids."""
    ids = []
    for index in range(200):
        decided = feed(board, ask(f"filler-{index}", rank), now)
        if not granted(decided):
            feed(
                board,
                messages.AskWithdrawn("entry-2", f"filler-{index}", 1, CELL),
                now,
            )
            return ids
        ids.append(f"filler-{index}")
    raise AssertionError("the cell still had capacity after 200 asks")


class RankTest(unittest.TestCase):
    def test_urgent_ask_is_served_before_older_patient_ask(self):
        """Guards against head-of-line blocking of urgent asks by bulk requests."""
        ranks = (URGENT._replace(floor=0.0), PATIENT._replace(floor=0.0))
        board = scheduling_board(ranks=ranks)
        report_all(board, 1.0)
        first = fill_cell(board, rank="urgent")[0]
        feed(board, ask("document", "patient"), 2.0)
        feed(board, ask("lookup", "urgent"), 3.0)
        decided = feed(board, finished(first), 4.0)
        self.assertEqual(list(granted(decided)), ["lookup"])

    def test_rank_below_its_floor_is_served_first(self):
        """Guards against starvation of the patient rank by many urgent asks."""
        board = scheduling_board()
        report_all(board, 1.0)
        first = fill_cell(board, rank="urgent")[0]
        feed(board, ask("lookup", "urgent"), 2.0)
        feed(board, ask("document", "patient"), 3.0)
        decided = feed(board, finished(first), 4.0)
        self.assertEqual(list(granted(decided)), ["document"])

    def test_first_rank_has_a_reserve_while_it_is_active(self):
        """Guards against urgent asks that wait for a long patient request to finish."""
        ranks = (URGENT, PATIENT._replace(floor=0.0))
        board = scheduling_board(engine_count=1, ranks=ranks)
        report_all(board, 1.0, running_limit=20)
        feed(board, ask("lookup-1", "urgent"), 1.0)
        fill_cell(board, 1.0, "patient")
        decided = feed(board, ask("lookup-2", "urgent"), 1.1)
        self.assertIn("lookup-2", granted(decided))

    def test_rank_within_the_floor_margin_is_served_first(self):
        """Guards against a served share that temporarily drops below the floor."""
        ranks = (URGENT._replace(floor=0.0), PATIENT._replace(floor=0.2))
        for share, first in ((0.19, "document"), (0.205, "document"), (0.22, "lookup")):
            with self.subTest(share=share):
                board = scheduling_board(ranks=ranks)
                report_all(board, 1.0)
                running_id = fill_cell(board, rank="urgent")[0]
                for rank, tokens in (("patient", share), ("urgent", 1.0 - share)):
                    row = rows.RankRateRow(1000.0 * tokens, 1.0, 4.0)
                    board.rates_by_rank[CELL, rank] = row
                feed(board, ask("document", "patient"), 4.0)
                feed(board, ask("lookup", "urgent"), 4.0)
                decided = feed(board, finished(running_id, tokens=0), 4.0)
                self.assertEqual(list(granted(decided)), [first])


class LimitTest(unittest.TestCase):
    def test_refusals_by_queue_limit_and_deadline(self):
        """Guards against unbounded queues and waits beyond the deadline."""
        accounts = (
            declarations.ClientAccount("small", (), queue_limit=2),
            declarations.ClientAccount("hotel", (), queue_limit=90),
        )
        cases = (
            ("account limit", "small", 3, 1000.0, "QUEUE_FULL"),
            ("rank limit", "hotel", 51, 1000.0, "QUEUE_FULL"),
            ("deadline passed", "hotel", 1, 2.0, "WAIT_EXPIRED"),
        )
        for name, account, count, deadline, expected in cases:
            with self.subTest(name):
                board = scheduling_board(accounts=accounts)
                report_all(board, 1.0)
                fill_cell(board, rank="urgent")
                for index in range(count):
                    event = ask(f"ask-{index}", account=account, deadline=deadline)
                    decided = feed(board, event, 2.0)
                self.assertEqual(refusals(decided), {f"ask-{count - 1}": expected})
                refused = sent(decided, messages.AdmissionRefusal)[0]
                self.assertGreaterEqual(refused.retry_after, 1.0)

    def test_full_queue_admits_asks_of_accounts_with_few_waiting(self):
        """Guards against a large account that fills the queue and locks others out."""
        accounts = (
            declarations.ClientAccount("large", ()),
            declarations.ClientAccount("small", ()),
            declarations.ClientAccount("heavy", (), quota_weight=4.0),
        )
        board = scheduling_board(accounts=accounts)
        report_all(board, 1.0)
        fill_cell(board, rank="urgent")
        for index in range(50):
            feed(board, ask(f"large-{index}", account="large"), 2.0)
        decided = feed(board, ask("small-0", account="small"), 3.0)
        # The newest ask of the account with the most waiting asks is displaced.
        self.assertEqual(refusals(decided), {"large-49": "QUEUE_FULL"})
        self.assertIn("small-0", board.asks_by_request_id)
        again = feed(board, ask("large-50", account="large"), 3.0)
        self.assertEqual(refusals(again), {"large-50": "QUEUE_FULL"})
        for index in range(100):
            feed(board, ask(f"heavy-{index}", account="heavy"), 4.0)
            feed(board, ask(f"small-{index}", account="small"), 4.0)
        waiting = board.queues_by_rank[CELL, "urgent"]
        self.assertEqual(sum(map(len, waiting.values())), 50)
        shares = {account: len(queue) for account, queue in waiting.items()}
        # 50 queue places divided by weights 1, 1 and 4.
        self.assertEqual(shares["heavy"], 34)
        self.assertEqual(shares["small"] + shares["large"], 16)
        self.assertLessEqual(abs(shares["small"] - shares["large"]), 1)

    def test_deadline_that_the_queue_cannot_meet(self):
        """Guards against asks that are queued although they will expire there."""
        board = scheduling_board(engine_count=1)
        report_all(board, 1.0)
        open_ids = fill_cell(board, rank="urgent")
        now = 10.0
        for index in range(40):
            feed(board, ask(f"waiting-{index}"), now)
        for index in range(30):
            now += 0.2
            open_ids += granted(feed(board, finished(open_ids.pop(0)), now))
            feed(board, ask(f"more-{index}"), now)
        # 40 asks wait and 5 are served per second.
        soon = feed(board, ask("soon", deadline=now + 2.0), now)
        self.assertEqual(refusals(soon), {"soon": "DEADLINE_UNREACHABLE"})
        later = feed(board, ask("later", deadline=now + 12.0), now)
        self.assertEqual(refusals(later), {})

    def test_low_arrival_rate_is_not_taken_for_low_capacity(self):
        """Guards against refusals after a period with few arrivals and few grants."""
        board = scheduling_board()
        report_all(board, 1.0)
        for index in range(40):
            feed(board, ask(f"quiet-{index}"), 2.0 + index)
            feed(board, finished(f"quiet-{index}"), 2.5 + index)
        fill_cell(board, 50.0, "urgent")
        for index in range(45):
            decided = feed(board, ask(f"burst-{index}", deadline=53.0), 50.0)
            self.assertEqual(refusals(decided), {})

    def test_timer_removes_expired_and_unrenewed_asks(self):
        """Guards against grants for callers that are no longer waiting."""
        board = scheduling_board()
        report_all(board, 1.0)
        fill_cell(board, rank="urgent")
        feed(board, ask("short", deadline=3.0), 2.0)
        feed(board, ask("abandoned"), 2.0)
        decided = feed(board, events.TimerFired("scheduling"), 3.0)
        self.assertEqual(refusals(decided), {"short": "WAIT_EXPIRED"})
        self.assertIn("abandoned", board.asks_by_request_id)
        feed(board, events.TimerFired("scheduling"), 8.0)
        self.assertEqual(board.asks_by_request_id, {})
        self.assertEqual(board.queues_by_rank, {})


class FairnessTest(unittest.TestCase):
    def test_account_with_the_lower_counter_is_served_first(self):
        """Guards against a large account that delays a small one by its whole queue."""
        board = scheduling_board()
        report_all(board, 1.0)
        first, second = fill_cell(board, rank="urgent")[:2]
        for index in range(5):
            feed(board, ask(f"large-{index}", account="hotel"), 2.0)
        feed(board, ask("small", account="inspection"), 3.0)
        feed(board, running(first, tokens=500), 3.0)
        # An account that was idle resumes at the counter of the active ones and
        # alternates with them; it does not wait for the queue of the large account.
        served = granted(feed(board, finished(first, 510), 4.0))
        served |= granted(feed(board, finished(second), 4.0))
        self.assertIn("small", served)

    def test_idle_time_earns_no_credit(self):
        """Guards against an account that monopolizes the cell after an idle period."""
        board = scheduling_board()
        report_all(board, 1.0)
        for now, tokens in ((1.0, 900), (3.0, 800)):
            feed(board, ask(f"busy-{now}", account="busy"), now)
            feed(board, finished(f"busy-{now}", tokens), now + 1.0)
        charged = _fairness.usage(board, CELL, "urgent", "busy").charged
        feed(board, ask("new", account="new"), 10.0)
        started = _fairness.usage(board, CELL, "urgent", "new").charged
        self.assertEqual(started, charged + 100)

    def test_unused_grants_are_refunded(self):
        """Guards against charges for requests that produced no output."""
        ends = {
            "never used": finished("lost", 0, complete=False),
            "failed early": finished("lost", 0, complete=False, failed=True),
            "lapsed": events.TimerFired("scheduling"),
        }
        for name, end in ends.items():
            with self.subTest(name):
                board = scheduling_board()
                report_all(board, 1.0)
                feed(board, ask("lost"), 1.0)
                key = (CELL, "urgent", "hotel")
                self.assertEqual(_fairness.usage(board, *key).charged, 100)
                feed(board, end, 7.0)
                self.assertEqual(_fairness.usage(board, *key).charged, 0)
                self.assertEqual(board.grants_by_request_id, {})

    def test_charged_tokens_are_divided_by_quota_weight(self):
        """Guards against quota weights that have no effect."""
        accounts = (declarations.ClientAccount("hotel", (), quota_weight=4.0),)
        board = scheduling_board(accounts=accounts)
        report_all(board, 1.0)
        feed(board, ask("paid"), 1.0)
        feed(board, finished("paid", 300), 2.0)
        self.assertEqual(_fairness.usage(board, CELL, "urgent", "hotel").charged, 100)


class MemoryTest(unittest.TestCase):
    def test_lengths_with_a_heavy_tail(self):
        """Guards against memory predictions that treat every output as average."""
        board = scheduling_board()
        for index in range(400):
            _lengths.record_output_length(
                board, "patient", 4000 if index % 10 == 0 else 50
            )
        fresh = _lengths.survival_shares(board, "patient", 0, 0)
        old = _lengths.survival_shares(board, "patient", 200, 0)
        at_1024 = _lengths.HORIZONS.index(1024)
        self.assertAlmostEqual(fresh[at_1024], 0.1, delta=0.02)
        self.assertGreater(old[at_1024], 0.9)
        bounded = _lengths.survival_shares(board, "patient", 200, 300)
        self.assertEqual(bounded[at_1024], 0.0)

    def test_asks_wait_when_predicted_memory_reaches_the_limit(self):
        """Guards against preemptions when requests grow after their start."""
        board = scheduling_board(engine_count=1)
        report_all(board, 1.0, memory_capacity=2000, running_limit=64)
        ids = fill_cell(board, rank="urgent")
        self.assertLess(100 * len(ids), 1800)
        self.assertLessEqual(_memory.predicted_peak(board, "engine-0"), 1800)

    def test_memory_of_unknown_work_counts(self):
        """Guards against over-admission while another scheduler grants in the cell."""
        board = scheduling_board(engine_count=1)
        report_all(board, 1.0, memory_used=9500, running_count=3)
        self.assertEqual(granted(feed(board, ask("first"), 1.1)), {})
        decided = feed(board, load("engine-0", 2.0), 2.0)
        self.assertEqual(granted(decided), {"first": "engine-0"})

    def test_delayed_report_is_corrected_by_grants_and_finishes(self):
        """Guards against counting granted memory twice or finished requests at all."""
        board = scheduling_board(engine_count=1)
        report_all(board, 1.0)
        feed(board, ask("early"), 1.0)
        feed(board, running("early", tokens=100), 2.0)
        feed(board, finished("early", 100), 3.0)
        feed(board, ask("late"), 3.1)
        # Taken while the early request ran, received after it finished.
        feed(board, load("engine-0", 2.5, memory_used=200, running_count=1), 3.2)
        ledger = board.load_reconciliations_by_upstream_id["engine-0"]
        self.assertEqual(
            (ledger.unattributed_tokens, ledger.unattributed_request_count), (0, 0)
        )
        feed(board, load("engine-0", 2.6, memory_used=900, running_count=2), 3.3)
        ledger = board.load_reconciliations_by_upstream_id["engine-0"]
        self.assertEqual(
            (ledger.unattributed_tokens, ledger.unattributed_request_count), (700, 1)
        )

    def test_preemptions_lower_the_memory_limit_temporarily(self):
        """Guards against an engine that is kept at a load at which it preempts."""
        board = scheduling_board(engine_count=1)
        report_all(board, 1.0)
        upstream = board.upstreams_by_id["engine-0"]
        self.assertEqual(_memory.memory_limit(board, upstream, 1.0), 9000)
        feed(board, load("engine-0", 2.0, preemption_count=5), 2.0)
        upstream = board.upstreams_by_id["engine-0"]
        self.assertAlmostEqual(_memory.memory_limit(board, upstream, 2.0), 8100)
        self.assertAlmostEqual(_memory.memory_limit(board, upstream, 20.0), 9000)


class CacheTest(unittest.TestCase):
    def test_cached_prefix_is_preferred_only_within_the_load_bound(self):
        """Guards against one engine that receives all requests of a common prefix."""
        board = scheduling_board()
        report_all(board, 1.0, running_limit=40, memory_capacity=100_000)
        held = events.CacheChanged("engine-2", 1, ("block-1", "block-2"), ())
        feed(board, held, 1.0)
        chosen = []
        for index in range(30):
            event = ask(f"shared-{index}", prefix_blocks=("block-1", "block-2"))
            chosen += granted(feed(board, event, 1.0)).values()
        self.assertEqual(chosen[:4], ["engine-2"] * 4)
        counts = [chosen.count(name) for name in board.upstreams_by_id]
        self.assertLessEqual(max(counts) - min(counts), 0.1 * 40 + 1)

    def test_cache_event_gaps_and_duplicates(self):
        """Guards against cache estimates corrupted by gaps or duplicate events."""
        board = scheduling_board()
        feed(board, events.CacheChanged("engine-0", 1, ("a", "b"), ()), 1.0)
        feed(board, events.CacheChanged("engine-0", 2, ("c",), ("a",)), 1.0)
        self.assertEqual(
            list(board.cached_blocks_by_upstream_id["engine-0"]), ["b", "c"]
        )
        feed(board, events.CacheChanged("engine-0", 1, ("a",), ()), 1.0)
        self.assertNotIn("a", board.cached_blocks_by_upstream_id["engine-0"])
        decided = feed(board, events.CacheChanged("engine-0", 5, ("d",), ()), 1.0)
        codes = [action.code for action in decided]
        self.assertEqual(codes, [result_codes.CACHE_EVENT_GAP])


class SoftStateTest(unittest.TestCase):
    def test_progress_rebuilds_and_renews_grants(self):
        """Guards against a new scheduler that assumes busy engines to be idle."""
        board = scheduling_board(engine_count=1)
        report_all(board, 1.0, running_limit=2)
        for index in range(2):
            feed(board, running(f"moved-{index}"), 2.0)
        self.assertEqual(granted(feed(board, ask("next"), 2.1)), {})
        feed(board, running("moved-0", tokens=60), 6.0)
        decided = feed(board, events.TimerFired("scheduling"), 7.1)
        # The second grant was not renewed, so its slot is free.
        self.assertEqual(list(board.grants_by_request_id), ["moved-0"])
        self.assertEqual(granted(decided), {})
        self.assertNotIn("next", board.asks_by_request_id)

    def test_settling_scheduler_grants_only_within_load_reports(self):
        """Guards against a new scheduler that overloads engines of unknown load."""
        board = scheduling_board(engine_count=2)
        del board.settle_deadlines_by_cell_id[CELL]
        first = feed(board, ask("first"), 5.0)
        self.assertEqual(granted(first), {})
        polled = [getattr(action, "upstream_id", "") for action in first]
        self.assertIn("engine-0", polled)
        busy = load("engine-0", 5.1, running_count=8, waiting_count=3)
        self.assertEqual(granted(feed(board, busy, 5.1)), {})
        decided = feed(board, load("engine-1", 5.1, running_count=7), 5.1)
        self.assertEqual(granted(decided), {"first": "engine-1"})
        self.assertEqual(granted(feed(board, ask("second"), 5.2)), {})

    def test_progress_for_a_cell_of_another_scheduler_is_answered(self):
        """Guards against entries that wait for a scheduler without their asks."""
        board = scheduling_board()
        message = running("elsewhere")._replace(
            cell_id="other/region-2/3", waiting_request_ids=("unknown",)
        )
        ack = sent(feed(board, message, 1.0), messages.ProgressAck)[0]
        self.assertEqual(ack.cell_id, "other/region-2/3")
        self.assertEqual(ack.unknown_request_ids, ("unknown",))
        feed(board, events.TimerFired("scheduling"), 20.0)
        self.assertEqual(board.grants_by_request_id, {})

    def test_repeated_ask_keeps_its_grant_or_queue_position(self):
        """Guards against two grants or a lost queue position for a repeated ask."""
        board = scheduling_board()
        report_all(board, 1.0)
        first = granted(feed(board, ask("twice"), 1.0))
        again = granted(feed(board, ask("twice"), 1.2))
        self.assertEqual(first, again)
        self.assertEqual(len(board.grants_by_request_id), 1)
        fill_cell(board, rank="urgent")
        for request_id in ("one", "two", "one"):
            feed(board, ask(request_id), 2.0)
        queued = list(board.queues_by_rank[CELL, "urgent"]["hotel"])
        self.assertEqual(queued, ["one", "two"])

    def test_asks_of_a_removed_cell_are_placed_again(self):
        """Guards against calls that wait in a cell that a resize removed."""
        board = scheduling_board()
        report_all(board, 1.0)
        fill_cell(board, rank="urgent")
        feed(board, ask("waiting"), 2.0)
        cell = board.cells_by_id.pop(CELL)
        board.cells_by_id["quotes/region-1/1"] = cell._replace(
            cell_id="quotes/region-1/1"
        )
        target = rows.GenerationTarget("/v1/completions", "quotes", True, 10, 10)
        board.requests_by_id["own"] = rows.RequestRow(
            "own", "hotel", "quotes", "urgent", "urgent", target, "f", "b", "", 0.0, 9.0
        )._replace(cell_id=CELL, scheduler_id="entry-1", queued=True)
        decided = feed(board, events.UpstreamsChanged(), 3.0)
        self.assertEqual(board.asks_by_request_id, {})
        placed_again = actions.Emit(events.RequestAdmitted("own"))
        self.assertIn(placed_again, decided)
        feed(board, placed_again.event, 3.0)
        self.assertEqual(board.requests_by_id["own"].cell_id, "quotes/region-1/1")
        self.assertEqual(board.requests_by_id["own"].attempt, 2)

    def test_two_schedulers_over_admit_only_until_the_next_report(self):
        """Guards against two schedulers that fill one engine beyond its limit."""
        boards = [scheduling_board(engine_count=1) for _ in range(2)]
        for board in boards:
            report_all(board, 1.0, running_limit=20)
        counts = []
        for number, board in enumerate(boards):
            for index in range(8):
                feed(board, ask(f"{number}-{index}"), 1.1)
            counts.append(len(board.grants_by_request_id))
        self.assertEqual(counts, [8, 8])
        for board in boards:
            report_all(board, 2.0, running_limit=20, running_count=16, memory_used=1700)
            for index in range(20):
                feed(board, ask(f"more-{index}"), 2.1)
            ledger = board.load_reconciliations_by_upstream_id["engine-0"]
            self.assertEqual(ledger.unattributed_request_count, 8)
            self.assertEqual(len(board.grants_by_request_id), 12)

    def test_ask_for_another_cell_leaves_its_earlier_queue(self):
        """Guards against queues that refer to asks that were removed."""
        board = scheduling_board()
        board.cells_by_id["other"] = board.cells_by_id[CELL]._replace(cell_id="other")
        board.settle_deadlines_by_cell_id["other"] = 0.0
        report_all(board, 1.0)
        fill_cell(board, rank="urgent")
        feed(board, ask("moved"), 2.0)
        feed(board, ask("moved", attempt=2, cell_id="other"), 2.1)
        self.assertNotIn((CELL, "urgent"), board.queues_by_rank)
        self.assertEqual(board.asks_by_request_id["moved"].cell_id, "other")
        feed(board, messages.AskWithdrawn("entry-2", "moved", 2, "other"), 2.2)
        self.assertEqual(board.queues_by_rank, {})

    def test_progress_moves_a_grant_to_the_upstream_in_use(self):
        """Guards against load counted on an upstream whose grant is not used."""
        board = scheduling_board()
        report_all(board, 1.0)
        feed(board, ask("twice"), 1.0)
        self.assertIn("engine-0", board.grant_ids_by_upstream_id)
        feed(board, running("twice", "engine-1"), 2.0)
        self.assertEqual(list(board.grant_ids_by_upstream_id), ["engine-1"])
        self.assertEqual(list(board.memory_forecasts_by_upstream_id), ["engine-1"])

    def test_running_request_leaves_the_queue(self):
        """Guards against granting a request again that another scheduler granted."""
        board = scheduling_board()
        report_all(board, 1.0)
        fill_cell(board, rank="urgent")
        feed(board, ask("elsewhere"), 2.0)
        feed(board, running("elsewhere"), 3.0)
        self.assertNotIn("elsewhere", board.asks_by_request_id)


if __name__ == "__main__":
    unittest.main()
