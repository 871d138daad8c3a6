"""Tests of the soak: its checks, its fault plan, and runs of former failing seeds."""

from __future__ import annotations

import json
import random
import signal
import unittest
from unittest.mock import Mock, patch

from fakes import processes
from fakes.platform_fleet import PLAIN_SERVICE
from soak._board import STORE, CallRow, RunRow, SoakBoard, ValidityRow
from soak._callers import find_stream_fault
from soak._checks import find_violations
from soak._faults import KillEntry, draw_cold_returns, draw_plan
from soak._run import RunOptions, run_seed
from soak._steps import AwaitExit, perform
from soak._world import SoakFleet

# Seeds that once violated a guarantee, with the cause.
REGRESSION_SEEDS = {
    1: "a second SIGTERM aborted calls that the drain had to let finish",
    14: "a SIGTERM at the end of a shutdown turned a clean exit into a failure",
    170877205: "an entry ran no watch for up to 6 s after all its peers had left",
}


def new_board(*calls: CallRow, runs: tuple[RunRow, ...] = ()) -> SoakBoard:
    """Return a board with a late served call, which satisfies the recovery check."""
    board = SoakBoard()
    board.recovery_begins_at = 90.0
    served = new_call("served", sent_at=100.0)
    for call in (*calls, served):
        board.calls_by_id[call.request_id] = call
    for run in runs:
        board.runs_by_request_id.setdefault(run.request_id, []).append(run)
    return board


def new_call(request_id, route="order", sent_at=20.0, **fields) -> CallRow:
    row = CallRow(
        request_id,
        "entry-0",
        route,
        "key",
        sent_at,
        timeout_seconds=2.0,
        ended_at=sent_at + 0.1,
        status=200,
        outcome="answered",
        is_intact=True,
    )
    return row._replace(**fields)


def run_of(request_id, server="orders-1", began_at=20.0, ended_at=20.05) -> RunRow:
    return RunRow(request_id, server, began_at, ended_at)


class ChecksTest(unittest.TestCase):
    def violated_guarantees(self, board):
        return {violation.guarantee for violation in find_violations(board)}

    def test_run_without_faults_has_no_violations(self):
        """Guards against false positives of the checks."""
        board = new_board(new_call("a"), runs=(run_of("a"),))
        self.assertEqual(find_violations(board), [])

    def test_corrupted_response(self):
        board = new_board(new_call("a", fault="expected event 2", is_intact=False))
        self.assertEqual(self.violated_guarantees(board), {"intact answers"})

    def test_unsafe_call_that_ran_twice(self):
        runs = (run_of("a"), run_of("a", "orders-2"))
        self.assertEqual(
            self.violated_guarantees(new_board(new_call("a"), runs=runs)),
            {"at most once"},
        )
        safe = new_board(new_call("a", "look"), runs=runs)
        self.assertEqual(self.violated_guarantees(safe), set())

    def test_refused_call_that_ran(self):
        board = new_board(new_call("a", status=503), runs=(run_of("a"),))
        self.assertEqual(
            self.violated_guarantees(board), {"refused calls not executed"}
        )

    def test_run_of_unknown_request(self):
        board = new_board(runs=(run_of("b"),))
        self.assertEqual(self.violated_guarantees(board), {"known requests"})

    def test_run_at_drained_server(self):
        runs = (run_of("a", began_at=22.5, ended_at=22.6),)
        board = new_board(new_call("a", sent_at=22.4), runs=runs)
        board.drained_at_by_server["orders-1"] = 20.0
        self.assertEqual(self.violated_guarantees(board), {"drained servers"})
        board.record_disturbance("entry-0", "paused", 18.0, 0.5)
        self.assertEqual(self.violated_guarantees(board), {"drained servers"})
        board.record_disturbance("entry-0", "paused", 21.0, 0.5)
        self.assertEqual(self.violated_guarantees(board), set())

    def test_run_in_a_zone_out_of_use(self):
        """Guards against a check that misses late calls or reports others."""
        cases = (
            (25.5, "a", {"drained zones"}),
            (24.5, "a", set()),
            (25.5, "b", set()),
            (31.0, "a", set()),
        )
        for began_at, zone, expected in cases:
            with self.subTest(began_at=began_at, zone=zone):
                runs = (run_of("a", began_at=began_at, ended_at=began_at + 0.1),)
                call = new_call("a", sent_at=began_at - 0.1)
                board = new_board(call, runs=runs)
                board.zones_by_server["orders-1"] = zone
                drain = ValidityRow("a", 20.0, removed_at=30.0)
                board.zone_drains.append(drain)
                self.assertEqual(self.violated_guarantees(board), expected)
                board.record_disturbance("entry-0", "paused", 23.0, 0.5)
                self.assertEqual(self.violated_guarantees(board), set())

    def test_requests_to_a_cold_server(self):
        """Guards against a check that misses an excess or reports what is allowed."""
        cases = (
            ("as many as the bound", (20.0, 20.1, 20.9), "", set()),
            ("one more", (20.0, 20.1, 20.2, 20.9), "", {"cold servers"}),
            ("over more than a second", (20.0, 20.1, 20.2, 21.0), "", set()),
            ("held back", (20.0, 20.1, 20.2, 20.9), "link one way", set()),
            ("server killed", (20.0, 20.1, 20.2, 20.9), "killed", {"cold servers"}),
        )
        for name, arrivals, kind, expected in cases:
            with self.subTest(name):
                board = new_board()
                board.cold_bounds_by_server["orders-1"] = 3
                board.cold_arrivals_by_server["orders-1"] = list(arrivals)
                if kind:
                    board.record_disturbance("orders-1", kind, 18.0, 3.0)
                # An entry that is cut off is bound as well.
                board.record_disturbance("entry-0", "paused", 15.0, 6.0)
                self.assertEqual(self.violated_guarantees(board), expected)

    def test_outdated_configuration(self):
        """Guards against removed routes still served and new ones still refused."""
        served = new_call("a", "extra-1", sent_at=13.0)
        refused = new_call("b", "extra-2", sent_at=13.0, status=404)
        board = new_board(served, refused)
        board.routes_by_name["extra-1"] = ValidityRow("extra-1", 5.0, removed_at=10.0)
        board.routes_by_name["extra-2"] = ValidityRow("extra-2", 10.0)
        found = [violation.request_id for violation in find_violations(board)]
        self.assertEqual(found, ["a", "b"])
        board.record_disturbance(STORE, "down", 9.0, 2.0)
        self.assertEqual(self.violated_guarantees(board), set())

    def test_call_lost_during_planned_operation(self):
        call = new_call("a", "draft", status=200, outcome="broken", is_intact=False)
        board = new_board(call, runs=(run_of("a"),))
        board.record_disturbance("entry-0", "stopped", 19.0, 5.0, planned=True)
        self.assertEqual(self.violated_guarantees(board), {"no lost calls"})
        board.record_disturbance("entry-0", "paused", 19.0, 5.0)
        self.assertEqual(self.violated_guarantees(board), set())

    def test_calls_that_exceed_their_timeout(self):
        calls = [new_call(f"a{index}", ended_at=25.0) for index in range(4)]
        self.assertEqual(
            self.violated_guarantees(new_board(*calls)), {"response deadline"}
        )

    def test_server_continues_after_client_disconnects(self):
        calls = [new_call(f"a{index}", outcome="left") for index in range(4)]
        runs = tuple(run_of(call.request_id, ended_at=22.0) for call in calls)
        self.assertEqual(
            self.violated_guarantees(new_board(*calls, runs=runs)), {"cancelled calls"}
        )

    def test_service_that_does_not_recover(self):
        board = new_board(
            *(new_call(f"a{n}", sent_at=95.0, status=503) for n in "1234")
        )
        self.assertEqual(self.violated_guarantees(board), {"recovery"})

    def test_stream_faults(self):
        """Guards against undetected gaps, repeated events and premature stream ends."""
        event = "id: {}\ndata: a\n\n".format
        whole = (event(1) + event(2)).encode()
        self.assertEqual(find_stream_fault("a", whole, 2), "")
        self.assertEqual(find_stream_fault("a", whole + b"id: 3\nda", 0), "")
        self.assertNotEqual(find_stream_fault("a", whole, 3), "")
        self.assertNotEqual(find_stream_fault("b", whole, 2), "")
        self.assertNotEqual(
            find_stream_fault("a", (event(1) + event(1)).encode(), 2), ""
        )


class FaultPlanTest(unittest.TestCase):
    def test_plan_depends_on_the_seed_alone(self):
        """Guards against plans that a seed does not reproduce."""
        names = ["entry-0", "entry-1"], ["model-1", "orders-2"]
        first = draw_plan(7, 16.0, *names)
        random.random()
        self.assertEqual(draw_plan(7, 16.0, *names), first)
        self.assertNotEqual(draw_plan(8, 16.0, *names), first)
        cold = draw_cold_returns(7, 16.0, *names)
        self.assertEqual(draw_cold_returns(7, 16.0, *names), cold)
        killed = {s.fault.entry for s in cold if isinstance(s.fault, KillEntry)}
        self.assertEqual(killed, set(names[0]))


class EntryStopTest(unittest.TestCase):
    def test_exit_by_signal_is_a_problem_only_after_startup(self):
        """Guards against slow starts reported as problems, and problems not reported.

        On a busy machine, an entry received SIGTERM 4.3 s after its start, before it
        had installed its signal handlers.
        """
        for has_become_ready, problems in ((False, 0), (True, 1)):
            with self.subTest(has_become_ready=has_become_ready):
                fleet = Mock(board=SoakBoard())
                fleet.exit_status.return_value = -signal.SIGTERM
                fleet.has_become_ready.return_value = has_become_ready
                perform(AwaitExit("entry-0", 110.0), fleet, 105.0)
                self.assertEqual(len(fleet.board.problems), problems)


class ColdZoneTest(unittest.TestCase):
    def test_servers_that_become_cold_keep_their_faults(self):
        """Guards against a planned fault that ends when its zone is taken back."""
        fleet = SoakFleet(SoakBoard(), limits_cold_servers=True)
        self.addCleanup(fleet.stop)
        fleet.start_store()
        fleet.start_additional_server(PLAIN_SERVICE)
        (name,) = fleet.services_by_server
        fleet.server_faults(name, failures=1)
        with patch("soak._world.WARM_UP_SECONDS", 600.0):
            fleet.cool_zone("a")
        url = fleet.url(name)
        report = json.loads(processes.call("GET", f"{url}/carawayhitch/report")[1])
        self.assertGreater(report["coldLeftMs"], 0.0)
        statuses = [processes.call("POST", f"{url}/order/1", b"")[0] for _ in range(2)]
        self.assertEqual(statuses, [500, 200])


class SoakTest(unittest.TestCase):
    def test_cold_servers_beside_zone_drains(self):
        """Guards against too many requests to cold servers."""
        options = RunOptions(102, zone_drains=True, cold_servers=True)
        result = run_seed(options)
        self.assertEqual(result.violations, [])
        self.assertGreater(result.runs, 100)

    def test_regression_seeds(self):
        """Guards against regressions of the faults that the soak has found."""
        for seed in REGRESSION_SEEDS:
            with self.subTest(seed=seed):
                result = run_seed(RunOptions(seed))
                self.assertEqual(result.violations, [])
                self.assertGreater(result.runs, 100)
