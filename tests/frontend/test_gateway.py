"""Refusals of calls on declared routes."""

from __future__ import annotations

import unittest

from carawayhitch.core import actions, result_codes
from carawayhitch.frontend import _gateway


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


if __name__ == "__main__":
    unittest.main()
