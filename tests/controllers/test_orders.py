"""Orders to engines: steps, drains and leases."""

from __future__ import annotations

import unittest
from random import Random
from typing import NamedTuple

from carawayhitch import controllers
from carawayhitch.controllers import _configuration, _leases, _orders
from carawayhitch.core import actions, declarations, events, rows
from tests.boards import ready_board

WANTED = declarations.EngineOrder("o", "g", models=("m2",), adapters=("x",))
GROUP = declarations.ServingGroup("g", {"model": "g"})


def engine_state(
    models=("m2",), adapters=("x",), role="serve", busy=0, upstream_id="e1"
) -> rows.EngineStateRow:
    return rows.EngineStateRow(upstream_id, models, adapters, role, busy, 0.0)


class StepCase(NamedTuple):
    name: str
    state: rows.EngineStateRow
    may_drain: bool
    step: tuple[str, str] | None


STEP_CASES = (
    StepCase("as wanted", engine_state(), True, None),
    StepCase("wrong model", engine_state(("m1",)), True, ("set_role", "draining")),
    StepCase("wrong model, another engine drains", engine_state(("m1",)), False, None),
    StepCase(
        "drained, idle for a moment, schedulers may not know it",
        engine_state(("m1",), (), "draining")._replace(settle_deadline=2.0),
        True,
        None,
    ),
    StepCase("drained but busy", engine_state(("m1",), (), "draining", 3), True, None),
    StepCase(
        "drained and idle",
        engine_state(("m1",), (), "draining"),
        True,
        ("unload_model", "m1"),
    ),
    StepCase("empty", engine_state((), (), "draining"), True, ("load_model", "m2")),
    StepCase(
        "loaded", engine_state(("m2",), (), "draining"), True, ("set_role", "serve")
    ),
    StepCase("adapter missing", engine_state(adapters=()), True, ("load_adapter", "x")),
    StepCase("adapter in use", engine_state(adapters=("x", "y"), busy=1), True, None),
    StepCase(
        "adapter not wanted",
        engine_state(adapters=("x", "y")),
        True,
        ("unload_adapter", "y"),
    ),
)


def board_with_orders(node_id="node-1"):
    board = ready_board(node_id)
    configuration = _configuration.build_configuration(1, [GROUP, WANTED])
    board.configuration_by_name["in_force"] = configuration
    for upstream_id in ("e1", "e2"):
        board.upstreams_by_id[upstream_id] = rows.UpstreamRow(
            upstream_id, f"{upstream_id}:1", "a", "r1", "engine", {"model": "g"}
        )
    return board


def decide(board, event, now):
    return list(controllers.decide_chain(event, board, now, Random(1)))


def lease_read(version):
    stored = events.StoredObject(_leases.LEASE_KIND, "g", version, b"")
    return events.ObjectRead(f"{_leases.LEASE_READ_PREFIX}g", stored)


def lease_written(accepted, version):
    return events.ObjectWritten(f"{_leases.LEASE_WRITE_PREFIX}g", accepted, version)


def state_read(upstream_id, models, role="serve", busy=0):
    return events.EngineStateRead(upstream_id, models, ("x",), role, busy)


class FindStepTest(unittest.TestCase):
    def test_steps(self):
        """Guards against orders that interrupt generations or never end."""
        for case in STEP_CASES:
            with self.subTest(case.name):
                found = _orders.find_next_order_step(
                    WANTED, case.state, case.may_drain, 1.0
                )
                self.assertEqual(found, case.step)


class DrainTest(unittest.TestCase):
    def test_only_one_engine_is_drained_at_a_time(self):
        """Guards against a model change that takes the whole group out of service."""
        board = board_with_orders()
        board.leases_by_group["g"] = rows.LeaseRow("g", 5, True, 100.0)
        board.engine_states_by_upstream_id["e2"] = engine_state(upstream_id="e2")
        first = decide(board, state_read("e1", ("m1",)), 1.0)
        second = decide(board, state_read("e2", ("m1",)), 1.1)
        self.assertEqual([order.upstream_id for order in first], ["e1"])
        self.assertEqual(second, [])

    def test_unknown_engine_counts_as_out_of_service(self):
        """Guards against draining a second engine before the first one is known."""
        board = board_with_orders()
        board.leases_by_group["g"] = rows.LeaseRow("g", 5, True, 100.0)
        self.assertEqual(decide(board, state_read("e1", ("m1",)), 1.0), [])

    def test_no_order_without_the_lease(self):
        """Guards against two nodes that give orders at the same time."""
        board = board_with_orders()
        for lease in (None, rows.LeaseRow("g", 5, True, 1.0)):
            if lease:
                board.leases_by_group["g"] = lease
            self.assertEqual(decide(board, state_read("e1", ("m1",)), 1.0), [])

    def test_drain_settles_before_models_are_replaced(self):
        """Guards against an order between a late grant and its request."""
        board = board_with_orders()
        board.leases_by_group["g"] = rows.LeaseRow("g", 5, True, 100.0)
        board.engine_states_by_upstream_id["e2"] = engine_state(upstream_id="e2")
        settle = board.settings.orders.drain_settle_seconds
        (drain,) = decide(board, state_read("e1", ("m1",)), 1.0)
        self.assertEqual(drain.subject, "draining")
        for at in (1.2, 2.0, 1.2 + settle - 0.1):
            idle = state_read("e1", ("m1",), "draining")
            self.assertEqual(decide(board, idle, at), [])
        (unload,) = decide(board, idle, 1.2 + settle)
        self.assertEqual(unload.kind, "unload_model")


class LeaseTest(unittest.TestCase):
    def test_absent_lease_is_taken_at_once(self):
        """Guards against waiting for a holder that never was."""
        board = board_with_orders()
        (write,) = decide(board, lease_read(0), 10.0)
        self.assertIsInstance(write, actions.WriteObject)
        decide(board, lease_written(True, 7), 10.1)
        self.assertTrue(_leases.holds_lease(board, "g", 10.2))
        self.assertEqual(board.leases_by_group["g"].version, 7)

    def test_lifetime_counts_from_before_the_write(self):
        """Guards against a slow write that prolongs the lease beyond its lapse."""
        board = board_with_orders()
        decide(board, lease_read(0), 10.0)
        decide(board, lease_written(True, 7), 15.0)
        lifetime = board.settings.orders.lease_lifetime_seconds
        self.assertEqual(board.leases_by_group["g"].deadline, 10.0 + lifetime)

    def test_unchanged_lease_is_taken_only_after_lifetime_and_margin(self):
        """Guards against two holders while the first one still counts its lifetime."""
        board = board_with_orders()
        orders = board.settings.orders
        lapse = orders.lease_lifetime_seconds + orders.lease_margin_seconds
        self.assertEqual(decide(board, lease_read(7), 10.0), [])
        self.assertEqual(decide(board, lease_read(7), 10.0 + lapse - 0.1), [])
        (write,) = decide(board, lease_read(7), 10.0 + lapse)
        self.assertEqual(write.expected_version, 7)

    def test_renewed_lease_starts_the_wait_again(self):
        """Guards against taking over from a holder that lives."""
        board = board_with_orders()
        decide(board, lease_read(7), 10.0)
        decide(board, lease_read(8), 21.0)
        self.assertEqual(decide(board, lease_read(8), 25.0), [])

    def test_holder_whose_write_is_refused_stops(self):
        """Guards against a holder that another node has replaced."""
        board = board_with_orders()
        board.leases_by_group["g"] = rows.LeaseRow("g", 7, True, 100.0)
        decide(board, lease_written(False, 9), 20.0)
        self.assertFalse(_leases.holds_lease(board, "g", 20.0))

    def test_holder_that_was_frozen_gives_the_lease_up(self):
        """Guards against orders of a process that wakes up after its lease lapsed."""
        board = board_with_orders()
        board.leases_by_group["g"] = rows.LeaseRow("g", 7, True, 30.0)
        decided = decide(board, events.TimerFired(_leases.LEASE_TIMER), 31.0)
        self.assertNotIn("g", board.leases_by_group)
        self.assertIn("ReadObject", [type(action).__name__ for action in decided])

    def test_lost_answer_to_a_write_is_not_a_lease(self):
        """Guards against orders under a lease that may belong to another node."""
        board = board_with_orders()
        decide(board, lease_read(0), 10.0)
        failed = events.StoreCallFailed(f"{_leases.LEASE_WRITE_PREFIX}g", "timeout")
        decide(board, failed, 12.0)
        self.assertFalse(_leases.holds_lease(board, "g", 12.0))
        decide(board, lease_read(8), 13.0)
        self.assertFalse(_leases.holds_lease(board, "g", 13.0))
