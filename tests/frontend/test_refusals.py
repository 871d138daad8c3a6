"""Conversion of errors to refusals; internal details must not reach the caller."""

from __future__ import annotations

import json
import unittest
from types import SimpleNamespace
from unittest import mock

from sanic import exceptions

from carawayhitch.core import errors, result_codes
from carawayhitch.frontend import _refusals


class RefusalsTest(unittest.TestCase):
    def refusal(self, error, method="POST"):
        node = mock.Mock()
        request = SimpleNamespace(method=method, path="/v1/completions", id="r1")
        response = _refusals.error_response(node, request, error)
        node.count.assert_called_once()
        return response, json.loads(response.body)["error"], node

    def test_internal_error_has_no_details(self):
        """Guards against secrets in responses and logs, and against unlogged errors."""
        response, error, node = self.refusal(KeyError("secret-token"))
        self.assertEqual((response.status, error["name"]), (500, "INTERNAL_ERROR"))
        self.assertEqual((error["ran"], error["code"]), ("unknown", 2041))
        self.assertNotIn(b"secret-token", response.body)
        node.log.error.assert_called_once()
        fields = node.log.error.call_args.kwargs
        self.assertEqual((fields["request_id"], fields["error"]), ("r1", "KeyError"))
        self.assertNotIn("secret-token", str(fields))

    def test_sanic_errors_have_result_codes(self):
        """Guards against sanic errors that are reported as internal errors."""
        code_names_by_error = {
            exceptions.NotFound("x"): "NOT_FOUND",
            exceptions.MethodNotAllowed("x", "GET", ["POST"]): "METHOD_NOT_ALLOWED",
            exceptions.BadRequest("x"): "MALFORMED_REQUEST",
            exceptions.InvalidHeader("x"): "MALFORMED_REQUEST",
            exceptions.ExpectationFailed("x"): "MALFORMED_REQUEST",
            exceptions.PayloadTooLarge("x"): "BODY_TOO_LARGE",
            exceptions.RequestTimeout("x"): "REQUEST_TIMEOUT",
            errors.CallRefusedError(result_codes.DRAINING, "x"): "DRAINING",
        }
        for error, name in code_names_by_error.items():
            response, body, _ = self.refusal(error)
            self.assertEqual(body["name"], name)
            self.assertEqual(response.headers["Carawayhitch-Ran"], "no")
        _, body, _ = self.refusal(exceptions.PayloadTooLarge("x"), "NONE")
        self.assertEqual(body["name"], "HEADERS_TOO_LARGE")
