"""Failover of entries from a silent scheduler, but not from an answering one."""

from __future__ import annotations

import unittest
from random import Random

from carawayhitch.board import new_board
from carawayhitch.controllers import _placement
from carawayhitch.core import actions, events, messages, result_codes, rows
from carawayhitch.core import settings as settings_types

CELL = rows.CellRow("quotes/r1/0", "quotes", "r1", ("engine-1",))
FIRST, SECOND, OWN = "node-1", "node-2", "node-9"
TARGET = rows.GenerationTarget("/v1/completions", "quotes", True, 10, 100)


def new_request(request_id="request-1", **fields):
    row = rows.RequestRow(
        request_id, "hotel", "quotes", "patient", "quotes", TARGET, "f", "b", "", 0, 600
    )
    return row._replace(cell_id=CELL.cell_id, scheduler_id=FIRST, **fields)


class FailoverTest(unittest.TestCase):
    def setUp(self):
        settings = settings_types.Settings(
            settings_types.NodeSettings(OWN, "a", "r1"),
            settings_types.PeerSettings((settings_types.PeerKey(1, "k" * 32),)),
            settings_types.StoreSettings(""),
            settings_types.PlatformSettings(""),
        )
        self.board = new_board(settings, 1)
        self.board.cells_by_id[CELL.cell_id] = CELL
        self.board.schedulers_by_cell_id[CELL.cell_id] = (FIRST, SECOND)
        self.now = 10.0

    def add_requests(self, *requests):
        self.board.requests_by_id.update({row.request_id: row for row in requests})

    def decide(self, event):
        return list(_placement.decide(event, self.board, self.now, Random(1)))

    def sent(self, decided, message_type):
        return [
            (action.node_id, action.message)
            for action in decided
            if isinstance(action, actions.Send)
            and isinstance(action.message, message_type)
        ]

    def run_timers(self, seconds, answering=(), is_acknowledged=lambda count: False):
        """Run timers; `answering` nodes answer all, others `is_acknowledged` ones."""
        end, decided, count = self.now + seconds, [], 0
        timers = [(self.now, events.TimerFired(_placement.PROGRESS_TIMER))]
        while timers and timers[0][0] <= end:
            self.now, event = timers.pop(0)
            found = self.decide(event)
            decided += found
            for action in found:
                if isinstance(action, actions.SetTimer):
                    timers.append((action.deadline, action.event))
            timers.sort(key=lambda timer: timer[0])
            for node_id, ask in self.sent(found, messages.AdmissionAsk):
                if node_id in answering:
                    queued = messages.AdmissionQueued(node_id, *ask[1:4])
                    self.decide(queued)
            for node_id, _ in self.sent(found, messages.Progress):
                count += 1
                if node_id in answering or is_acknowledged(count):
                    self.decide(messages.ProgressAck(node_id, CELL.cell_id, ()))
        return decided

    def test_all_requests_leave_a_silent_scheduler(self):
        """Guards against requests that stay at a dead scheduler."""
        self.add_requests(
            new_request("waiting", queued=True),
            new_request("running", phase="relaying", upstream_id="engine-1"),
        )
        decided = self.run_timers(0.7, answering=(SECOND,))
        asked = [node_id for node_id, _ in self.sent(decided, messages.AdmissionAsk)]
        self.assertEqual(asked, [SECOND])
        reported = self.sent(decided, messages.Progress)[-1]
        self.assertEqual(reported[0], SECOND)
        self.assertEqual([row.request_id for row in reported[1].running], ["running"])
        withdrawn = self.sent(decided, messages.AskWithdrawn)
        self.assertEqual([node_id for node_id, _ in withdrawn], [FIRST])
        again = _placement.choose_scheduler(self.board, CELL.cell_id, 0, self.now)
        self.assertEqual(again, SECOND)

    def test_failover_of_queued_request_precedes_the_next_report(self):
        """Guards against a wait of a second until a dead scheduler is detected."""
        self.add_requests(new_request(queued=False, phase="asking"))
        queued = messages.AdmissionQueued(FIRST, "request-1", 1, CELL.cell_id)
        decided = self.decide(queued)
        end = self.now + 0.95
        timers = [
            (action.deadline, action.event)
            for action in decided
            if isinstance(action, actions.SetTimer)
        ]
        while timers and timers[0][0] <= end:
            self.now, event = timers.pop(0)
            found = self.decide(event)
            decided += found
            timers += [
                (action.deadline, action.event)
                for action in found
                if isinstance(action, actions.SetTimer)
            ]
            timers.sort(key=lambda timer: timer[0])
        asked = [node_id for node_id, _ in self.sent(decided, messages.AdmissionAsk)]
        self.assertEqual(asked, [SECOND])

    def test_queued_requests_share_one_check(self):
        """Guards against a separate probe datagram for each waiting request."""
        self.add_requests(*(new_request(f"r{index}") for index in range(5)))
        timers = []
        for index in range(5):
            queued = messages.AdmissionQueued(FIRST, f"r{index}", 1, CELL.cell_id)
            timers += [
                action
                for action in self.decide(queued)
                if isinstance(action, actions.SetTimer)
            ]
        self.assertEqual(len(timers), 1)
        self.now = timers[0].deadline
        checks = self.sent(self.decide(timers[0].event), messages.Progress)
        self.assertEqual(
            checks, [(FIRST, messages.Progress(OWN, CELL.cell_id, (), ()))]
        )

    def test_checks_stop_with_the_last_waiting_request(self):
        """Guards against endless timers and probe datagrams."""
        self.add_requests(new_request())
        queued = messages.AdmissionQueued(FIRST, "request-1", 1, CELL.cell_id)
        (timer,) = self.decide(queued)
        self.board.requests_by_id.clear()
        self.now = timer.deadline
        self.assertEqual(self.decide(timer.event), [])

    def test_lost_acks_cause_no_failover(self):
        """Guards against a failover after each lost datagram."""
        table = [
            ("all answered", lambda count: True),
            ("every second lost", lambda count: count % 2 == 0),
            ("two of three lost", lambda count: count % 3 == 0),
        ]
        for name, answer in table:
            with self.subTest(name):
                self.setUp()
                self.add_requests(new_request(queued=True))
                decided = self.run_timers(10.0, is_acknowledged=answer)
                self.assertEqual(self.sent(decided, messages.AdmissionAsk), [])

    def test_node_schedules_for_itself_when_all_are_silent(self):
        """Guards against refused requests when no other entry answers."""
        self.add_requests(new_request(queued=True))
        decided = self.run_timers(3.0, answering=(OWN,))
        asked = [node_id for node_id, _ in self.sent(decided, messages.AdmissionAsk)]
        self.assertEqual(set(asked), {SECOND, OWN})
        refused = [a for a in decided if isinstance(a, actions.RefuseCall)]
        self.assertEqual(refused, [])
        self.assertEqual(self.board.requests_by_id["request-1"].scheduler_id, OWN)
        later = self.sent(self.run_timers(5.0, (OWN,)), messages.AdmissionAsk)
        self.assertEqual(later, [])

    def test_stale_refusal_does_not_end_a_request(self):
        """Guards against an old scheduler's refusal of a request moved to a new one."""
        table = [
            (FIRST, result_codes.QUEUE_FULL, True),
            (SECOND, result_codes.QUEUE_FULL, False),
            (FIRST, result_codes.NO_UPSTREAM, False),
        ]
        for sender_id, code, ended in table:
            with self.subTest(sender_id=sender_id, code=code.name):
                self.add_requests(new_request())
                refusal = messages.AdmissionRefusal(
                    sender_id, "request-1", 1, CELL.cell_id, code, 1.0
                )
                decided = self.decide(refusal)
                refused = [a for a in decided if isinstance(a, actions.RefuseCall)]
                self.assertEqual(bool(refused), ended)

    def test_second_grant_is_released(self):
        """Guards against engine slots that two schedulers reserve for one request."""
        self.add_requests(new_request(phase="relaying", upstream_id="engine-1"))
        grant = messages.AdmissionGrant(
            SECOND, "request-1", 1, CELL.cell_id, "engine-1", "a", 0, self.now + 2.0
        )
        returned = self.sent(self.decide(grant), messages.Finished)
        self.assertEqual([node_id for node_id, _ in returned], [SECOND])
        repeated = self.decide(grant._replace(sender_id=FIRST))
        self.assertEqual(self.sent(repeated, messages.Finished), [])

    def test_waiting_request_leaves_a_removed_cell(self):
        """Guards against requests that wait in a cell without a scheduler."""
        self.add_requests(new_request(queued=True))
        other = CELL._replace(cell_id="quotes/r1/1")
        self.board.cells_by_id.clear()
        self.board.cells_by_id[other.cell_id] = other
        decided = self.decide(events.UpstreamsChanged())
        self.assertIn(actions.Emit(events.RequestAdmitted("request-1")), decided)
