"""Requests through entry, upstream and platform in separate processes."""

from __future__ import annotations

import json
import unittest

from fakes.processes import ACCOUNT_TOKENS, Fleet, call

HEADERS = {
    "Authorization": f"Bearer {ACCOUNT_TOKENS['hotel']}",
    "Content-Type": "application/json",
}


class RequestPathTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = Fleet()
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start_platform()
        cls.fleet.start_engine("engine-1")
        cls.fleet.start_service("service-1", "register")
        cls.fleet.put_defaults()
        cls.fleet.start_entry("entry-1")

    def post(self, path, body, headers=HEADERS):
        return call("POST", self.fleet.url("entry-1") + path, body, headers)

    def test_stream_has_each_token_once(self):
        """Guards against events that are lost, repeated or reordered in the relay."""
        body = {"model": "quotes", "prompt": "length=30", "stream": True}
        status, answer, headers = self.post("/v1/completions", body)
        self.assertEqual(status, 200)
        self.assertIn("Carawayhitch-Resume", headers)
        lines = answer.decode().splitlines()
        sequences = [int(line[4:]) for line in lines if line.startswith("id: ")]
        self.assertEqual(sequences, list(range(1, 32)))
        self.assertEqual(lines[-2], "data: [DONE]")

    def test_unstreamed_response_is_complete(self):
        """Guards against responses that are truncated at a chunk boundary."""
        body = {"model": "quotes", "prompt": "length=30"}
        status, answer, _ = self.post("/v1/completions", body)
        self.assertEqual(status, 200)
        self.assertEqual(json.loads(answer)["usage"]["completion_tokens"], 30)

    def test_plain_service_is_routed(self):
        """Guards against plain services that are unreachable while engines exist."""
        url = self.fleet.url("entry-1") + "/services/register/suppliers/7"
        status, answer, _ = call("GET", url, None, HEADERS)
        self.assertEqual(status, 200)
        self.assertEqual(json.loads(answer)["path"], "/suppliers/7")

    def test_unknown_token_is_refused_before_it_runs(self):
        """Guards against calls without an account that reach an upstream."""
        body = {"model": "quotes", "prompt": "length=3"}
        status, answer, headers = self.post("/v1/completions", body, {})
        self.assertEqual(status, 401)
        self.assertEqual(headers["Carawayhitch-Ran"], "no")
        self.assertEqual(json.loads(answer)["error"]["name"], "UNKNOWN_ACCOUNT")

    def test_malformed_body_is_refused(self):
        """Guards against bodies that cannot be decoded but reach an engine."""
        status, answer, _ = self.post("/v1/completions", b'{"model": ')
        self.assertEqual(status, 400)
        self.assertEqual(json.loads(answer)["error"]["ran"], "no")

    def test_non_idempotent_call_needs_a_key(self):
        """Guards against non-idempotent calls that could run twice without a key."""
        status, answer, _ = self.post("/services/register/guides", {"lot": 1})
        self.assertEqual(status, 400)
        self.assertEqual(json.loads(answer)["error"]["name"], "KEY_REQUIRED")
