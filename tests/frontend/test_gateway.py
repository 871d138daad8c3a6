"""Refusals of calls on declared routes."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from carawayhitch.core import actions, declarations, result_codes
from carawayhitch.frontend import _gateway
from carawayhitch.node import Node
from tests.boards import ready_board


class RefusalTest(unittest.TestCase):
    def test_refused_suspect_gets_status_503(self):
        """Guards against a 4xx status, on which callers give up a valid call."""
        code = result_codes.SUSPECT_REFUSED
        refused = _gateway.refusal_response(actions.RefuseCall("r", code, ""))
        self.assertEqual(refused.status, 503)

    def test_call_that_may_have_run_gets_no_retry_status(self):
        """Guards against statuses and headers that make callers repeat the call."""
        for code in result_codes.codes_by_number.values():
            if code.ran == "no":
                continue
            action = actions.RefuseCall("r", code, "", 1.0)
            refused = _gateway.refusal_response(action)
            with self.subTest(code.name):
                self.assertNotIn(refused.status, (408, 421, 429, 503))
                self.assertNotIn("Retry-After", refused.headers)


class CallerLimitsTest(unittest.TestCase):
    def test_changed_limits_are_applied_and_unchanged_ones_cost_nothing(self):
        """Guards against timeouts that never change, or are set for each call."""
        node = Node(ready_board().settings)
        application = _gateway.new_gateway_application(node)
        first = declarations.CallerLimits("main", header_seconds=3.0)
        changed = first._replace(header_seconds=5.0)
        for seconds, limits in ((3.0, first), (99.0, first), (5.0, changed)):
            in_force = SimpleNamespace(caller_limits=limits)
            node.board.configuration_by_name["in_force"] = in_force
            _gateway.apply_caller_limits(application, node)
            self.assertEqual(application.config.REQUEST_TIMEOUT, seconds)
            application.config.REQUEST_TIMEOUT = 99.0


if __name__ == "__main__":
    unittest.main()
