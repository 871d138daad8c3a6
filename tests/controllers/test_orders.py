"""Orders to engines: order of the steps, draining, and leases."""

from __future__ import annotations

import unittest
from random import Random
from typing import NamedTuple

from carawayhitch import controllers
from carawayhitch.controllers import _configuration, _leases, _orders
from carawayhitch.core import actions, declarations, events, rows
from tests.boards import ready_board

DESIRED = declarations.EngineOrder("o", "g", models=("m2",), adapters=("x",))
SERVING_GROUP = declarations.ServingGroup("g", {"model": "g"})


def engine_state(
    models=("m2",), adapters=("x",), role="serve", busy_count=0, upstream_id="e1"
) -> rows.EngineStateRow:
    return rows.EngineStateRow(upstream_id, models, adapters, role, busy_count, 0.0)


class StepCase(NamedTuple):
    name: str
    state: rows.EngineStateRow
    may_drain: bool
    expected_step: tuple[str, str] | None


STEP_CASES = (
    StepCase("as desired", engine_state(), True, None),
    StepCase("wrong model", engine_state(("m1",)), True, ("set_role", "draining")),
    StepCase(
        "wrong model, no further drain allowed", engine_state(("m1",)), False, None
    ),
    StepCase(
        "draining and idle, schedulers may not know it yet",
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
    StepCase(
        "adapter in use", engine_state(adapters=("x", "y"), busy_count=1), True, None
    ),
    StepCase(
        "undesired adapter",
        engine_state(adapters=("x", "y")),
        True,
        ("unload_adapter", "y"),
    ),
)


def board_with_orders(node_id="node-1"):
    board = ready_board(node_id)
    configuration = _configuration.build_configuration(1, [SERVING_GROUP, DESIRED])
    board.configuration_by_name["in_force"] = configuration
    for upstream_id in ("e1", "e2"):
        board.upstreams_by_id[upstream_id] = rows.UpstreamRow(
            upstream_id, f"{upstream_id}:1", "a", "r1", "engine", {"model": "g"}
        )
    return board


def decide(board, event, now):
    return list(controllers.decide_chain(event, board, now, Random(1)))


def lease_read_event(version):
    stored = events.StoredObject(_leases.LEASE_KIND, "g", version, b"")
    return events.ObjectRead(f"{_leases.LEASE_READ_PREFIX}g", stored)


def lease_written_event(accepted, version):
    return events.ObjectWritten(f"{_leases.LEASE_WRITE_PREFIX}g", accepted, version)


def state_read_event(upstream_id, models, role="serve", busy_count=0):
    return events.EngineStateRead(upstream_id, models, ("x",), role, busy_count)


class NextOrderStepTest(unittest.TestCase):
    def test_next_order_steps(self):
        """Guards against orders that interrupt generations or repeat without end."""
        for case in STEP_CASES:
            with self.subTest(case.name):
                step = _orders.find_next_order_step(
                    DESIRED, case.state, case.may_drain, 1.0
                )
                self.assertEqual(step, case.expected_step)


class DrainTest(unittest.TestCase):
    def test_only_one_engine_is_drained_at_a_time(self):
        """Guards against a model change that drains all engines of a group at once."""
        board = board_with_orders()
        board.leases_by_group["g"] = rows.LeaseRow("g", 5, True, 100.0)
        board.engine_states_by_upstream_id["e2"] = engine_state(upstream_id="e2")
        first_orders = decide(board, state_read_event("e1", ("m1",)), 1.0)
        second_orders = decide(board, state_read_event("e2", ("m1",)), 1.1)
        self.assertEqual([order.upstream_id for order in first_orders], ["e1"])
        self.assertEqual(second_orders, [])

    def test_unknown_engine_counts_as_out_of_service(self):
        """Guards against draining an engine while another may already be draining.

        The state of an engine is unknown until it has been read once.
        """
        board = board_with_orders()
        board.leases_by_group["g"] = rows.LeaseRow("g", 5, True, 100.0)
        self.assertEqual(decide(board, state_read_event("e1", ("m1",)), 1.0), [])

    def test_no_order_without_the_lease(self):
        """Guards against orders from two nodes at the same time.

        Without a lease, or with an expired one, another node may be the holder.
        """
        board = board_with_orders()
        for lease in (None, rows.LeaseRow("g", 5, True, 1.0)):
            if lease:
                board.leases_by_group["g"] = lease
            self.assertEqual(decide(board, state_read_event("e1", ("m1",)), 1.0), [])

    def test_drain_settles_before_models_are_replaced(self):
        """Guards against unloading a model between a late grant and its call.

        A scheduler that does not know of the drain yet may still place a call there.
        """
        board = board_with_orders()
        board.leases_by_group["g"] = rows.LeaseRow("g", 5, True, 100.0)
        board.engine_states_by_upstream_id["e2"] = engine_state(upstream_id="e2")
        settle_seconds = board.settings.orders.drain_settle_seconds
        (drain,) = decide(board, state_read_event("e1", ("m1",)), 1.0)
        self.assertEqual(drain.subject, "draining")
        for now in (1.2, 2.0, 1.2 + settle_seconds - 0.1):
            idle_state = state_read_event("e1", ("m1",), "draining")
            self.assertEqual(decide(board, idle_state, now), [])
        (unload,) = decide(board, idle_state, 1.2 + settle_seconds)
        self.assertEqual(unload.kind, "unload_model")


class LeaseTest(unittest.TestCase):
    def test_missing_lease_is_acquired_at_once(self):
        """Guards against waiting for a takeover although there was no holder."""
        board = board_with_orders()
        (write,) = decide(board, lease_read_event(0), 10.0)
        self.assertIsInstance(write, actions.WriteObject)
        decide(board, lease_written_event(True, 7), 10.1)
        self.assertTrue(_leases.holds_lease(board, "g", 10.2))
        self.assertEqual(board.leases_by_group["g"].version, 7)

    def test_lifetime_starts_before_the_write(self):
        """Guards against a slow write that extends the lease past its takeover time."""
        board = board_with_orders()
        decide(board, lease_read_event(0), 10.0)
        decide(board, lease_written_event(True, 7), 15.0)
        lifetime_seconds = board.settings.orders.lease_lifetime_seconds
        self.assertEqual(board.leases_by_group["g"].deadline, 10.0 + lifetime_seconds)

    def test_lease_is_taken_over_only_after_lifetime_and_margin(self):
        """Guards against two holders, if the lease of the first has not expired yet."""
        board = board_with_orders()
        order_settings = board.settings.orders
        takeover_seconds = (
            order_settings.lease_lifetime_seconds + order_settings.lease_margin_seconds
        )
        self.assertEqual(decide(board, lease_read_event(7), 10.0), [])
        self.assertEqual(
            decide(board, lease_read_event(7), 10.0 + takeover_seconds - 0.1), []
        )
        (write,) = decide(board, lease_read_event(7), 10.0 + takeover_seconds)
        self.assertEqual(write.expected_version, 7)

    def test_renewal_restarts_the_takeover_wait(self):
        """Guards against taking a lease over although its holder still renews it."""
        board = board_with_orders()
        decide(board, lease_read_event(7), 10.0)
        decide(board, lease_read_event(8), 21.0)
        self.assertEqual(decide(board, lease_read_event(8), 25.0), [])

    def test_holder_loses_the_lease_when_its_write_is_refused(self):
        """Guards against orders from a holder that another node has replaced."""
        board = board_with_orders()
        board.leases_by_group["g"] = rows.LeaseRow("g", 7, True, 100.0)
        decide(board, lease_written_event(False, 9), 20.0)
        self.assertFalse(_leases.holds_lease(board, "g", 20.0))

    def test_suspended_holder_drops_the_expired_lease(self):
        """Guards against orders from a process that resumes after its lease expired."""
        board = board_with_orders()
        board.leases_by_group["g"] = rows.LeaseRow("g", 7, True, 30.0)
        decided = decide(board, events.TimerFired(_leases.LEASE_TIMER), 31.0)
        self.assertNotIn("g", board.leases_by_group)
        self.assertIn("ReadObject", [type(action).__name__ for action in decided])

    def test_lost_write_answer_grants_no_lease(self):
        """Guards against orders under a lease that may belong to another node.

        After a failed write, the version in the store may be that of either node.
        """
        board = board_with_orders()
        decide(board, lease_read_event(0), 10.0)
        failed = events.StoreCallFailed(f"{_leases.LEASE_WRITE_PREFIX}g", "timeout")
        decide(board, failed, 12.0)
        self.assertFalse(_leases.holds_lease(board, "g", 12.0))
        decide(board, lease_read_event(8), 13.0)
        self.assertFalse(_leases.holds_lease(board, "g", 13.0))
