"""Log lines of refusals, retries and failures: fields and absence of secrets."""

from __future__ import annotations

import json
import re
import signal
import unittest
from uuid import uuid4

from fakes.processes import ACCOUNT_TOKENS, ADMIN_TOKEN, PEER_SECRET, Fleet, call
from fakes.stream_caller import StreamCaller
from tests.test_streams import HEADERS

REQUIRED_FIELDS = ("request_id", "account", "rank", "upstream", "code")
BODY = "chandelier of the east hall"
CALLER_KEY = str(uuid4())
UNKNOWN_TOKEN = "token-of-nobody"
GUIDES = "/services/register/guides"
REGISTER_CALL_FIELDS = {"account": "hotel", "rank": "urgent", "upstream": "service-1"}
QUOTES_CALL_FIELDS = {"account": "hotel", "rank": "patient", "upstream": "engine-1"}
# Result code, and the fields that are known when a call reaches it.
EXPECTED_FIELDS: tuple[tuple[str, dict[str, str]], ...] = (
    ("UNKNOWN_ACCOUNT", {"account": ""}),
    ("MALFORMED_REQUEST", {"account": ""}),
    ("NOT_FOUND", {"account": ""}),
    ("KEY_REQUIRED", {"account": "hotel"}),
    ("KEY_INVALID", {"account": ""}),
    ("RESUME_INVALID", {"account": ""}),
    ("KEY_REUSED", {"account": "hotel", "rank": "urgent"}),
    ("OUTCOME_UNKNOWN", REGISTER_CALL_FIELDS),
    ("RESUME_LINK_LOST", QUOTES_CALL_FIELDS),
    ("STREAM_LOST", QUOTES_CALL_FIELDS),
)


class LogTest(unittest.TestCase):
    def start_fleet(self, log_format: str) -> None:
        self.fleet = Fleet(f'[logs]\nformat = "{log_format}"\n')
        self.addCleanup(self.fleet.stop)
        self.fleet.start_platform()
        self.fleet.start_engine("engine-1")
        self.fleet.start_service("service-1", "register")
        self.fleet.put_defaults()
        self.fleet.start_entry("entry-1")

    def post(self, path, body, headers=HEADERS) -> str:
        """Return the error name of the response, or an empty string."""
        _, answer, _ = call("POST", self.fleet.url("entry-1") + path, body, headers)
        return json.loads(answer).get("error", {}).get("name", "")

    def trigger_all_outcomes(self) -> tuple[list[str], list[str]]:
        """Trigger refusals, retries and failures; return error names and secrets."""
        prompt = {"model": "quotes", "prompt": f"{BODY} length=3"}
        unknown = {**HEADERS, "Authorization": f"Bearer {UNKNOWN_TOKEN}"}
        key = {**HEADERS, "Idempotency-Key": CALLER_KEY}
        forged = {**HEADERS, "Idempotency-Key": f"chk1.{CALLER_KEY}"}
        _, answer, _ = call(
            "POST", self.fleet.url("entry-1") + "/v1/idempotency-keys", {}, HEADERS
        )
        issued_key = json.loads(answer)["keys"][0]
        names = [
            self.post("/v1/completions", prompt, unknown),
            self.post("/v1/completions", BODY.encode()),
            self.post("/no/such/path", BODY.encode()),
            self.post(GUIDES, {"lot": BODY}),
            self.post(GUIDES, {"lot": BODY}, forged),
            self.post(GUIDES, {"lot": BODY}, {**key, "Idempotency-Key": issued_key}),
            self.post(GUIDES, {"lot": BODY}, key),
            self.post(GUIDES, {"lot": "another"}, key),
        ]
        faults = {"cut_answers": 1}
        call("POST", self.fleet.url("service-1") + "/fake/faults", faults)
        second = {**HEADERS, "Idempotency-Key": f"{CALLER_KEY}-second"}
        names.append(self.post(GUIDES, {"lot": BODY}, second))
        token = {**HEADERS, "Carawayhitch-Resume": "no-such-token"}
        url = self.fleet.url("entry-1") + "/v1/streams/resume"
        _, answer, _ = call("GET", url, None, token)
        names.append(json.loads(answer)["error"]["name"])
        body = {**prompt, "prompt": f"{BODY} length=300", "stream": True}
        caller = StreamCaller(
            self.fleet.url("entry-1"), "/v1/completions", body, HEADERS
        )
        self.addCleanup(caller.close)
        resume_token = caller.open().headers["Carawayhitch-Resume"]
        caller.read_tokens(3)
        self.fleet.kill("engine-1")
        names += re.findall(r'"name":"(\w+)"', caller.finish().text)
        self.fleet.send_signal("entry-1", signal.SIGTERM)
        self.fleet.send_signal("entry-1", signal.SIGTERM)
        self.fleet.wait_exit("entry-1")
        return [name for name in names if name], [issued_key, resume_token]

    def assert_no_secrets(self, text: str, issued_secrets: list[str]) -> None:
        tokens = (*ACCOUNT_TOKENS.values(), ADMIN_TOKEN, UNKNOWN_TOKEN, PEER_SECRET)
        for secret in (*tokens, BODY, CALLER_KEY, *issued_secrets):
            self.assertNotIn(secret, text)

    def test_json_lines_have_all_fields(self):
        """Guards against outcomes that are missing or incomplete in JSON logs."""
        self.start_fleet("json")
        names, issued_secrets = self.trigger_all_outcomes()
        text = self.fleet.log_text("entry-1")
        lines = [json.loads(line) for line in text.splitlines()]
        logged = {line["code"]: line for line in lines if line.get("code")}
        self.assertLessEqual(set(names), set(logged))
        for name, known_fields in EXPECTED_FIELDS:
            with self.subTest(name):
                line = logged[name]
                self.assertLessEqual(set(REQUIRED_FIELDS), set(line))
                self.assertTrue(line["request_id"])
                self.assertEqual(
                    {field: line[field] for field in known_fields}, known_fields
                )
        self.assert_no_secrets(text, issued_secrets)

    def test_console_lines_have_all_fields(self):
        """Guards against console logs that omit fields or contain secrets."""
        self.start_fleet("console")
        names, issued_secrets = self.trigger_all_outcomes()
        text = re.sub(r"\x1b\[\d*m", "", self.fleet.log_text("entry-1"))
        self.assertLessEqual(set(names), set(re.findall(r"code=(\w+)", text)))
        for name, _ in EXPECTED_FIELDS:
            lines = [line for line in text.splitlines() if f"code={name}" in line]
            self.assertTrue(lines, name)
            for field in REQUIRED_FIELDS:
                self.assertIn(f"{field}=", lines[0])
        self.assert_no_secrets(text, issued_secrets)


if __name__ == "__main__":
    unittest.main()
