"""Peer keys, the admin token and the log level are reloaded without a restart."""

from __future__ import annotations

import json
import re
import signal
import tempfile
import time
import unittest
from pathlib import Path

from carawayhitch.node import replay_trace
from fakes.processes import ADMIN_TOKEN, PEER_SECRET, Fleet, call, token_hash
from fakes.stream_caller import StreamCaller
from tests.load_callers import load
from tests.test_streams import HEADERS, wait_until

ENTRIES = ["entry-1", "entry-2", "entry-3"]
OLD_KEY = (1, PEER_SECRET)
NEW_KEY = (2, "second-loopback-secret-of-the-stand-ins")
CALL_KINDS = ("stream", "whole", "lookup", "service", "guide", "issued_guide")
ALIVE_MEMBERS = re.compile(
    r'^carawayhitch_members\{state="alive"\} (\d+)', re.MULTILINE
)
GUIDES = "/services/register/guides"
# Longer than the suspicion timeout of 3 s, after which a suspected member is dead.
OLD_KEY_REMOVAL_SECONDS = 4.5


def count_alive_members(fleet: Fleet, entry: str) -> int:
    _, body, _ = call("GET", fleet.url(entry) + "/metrics")
    match = ALIVE_MEMBERS.search(body.decode())
    return int(match[1]) if match else 0


def fetch_peer_key_ids(fleet: Fleet, entry: str) -> list[int]:
    url = fleet.url(entry) + "/admin/v1/status"
    headers = {"Authorization": f"Bearer {fleet.admin_token}"}
    return json.loads(call("GET", url, None, headers)[1])["peer_key_ids"]


def open_stream(fleet: Fleet, entry: str) -> tuple[StreamCaller, str]:
    """Return a long-running open stream and its resume token."""
    body = {"model": "quotes", "prompt": "length=20000", "stream": True}
    caller = StreamCaller(fleet.url(entry), "/v1/completions", body, HEADERS)
    token = caller.open().headers["Carawayhitch-Resume"]
    caller.read_tokens(3)
    return caller, token


def resume(fleet: Fleet, entry: str, token: str) -> StreamCaller:
    headers = {**HEADERS, "Carawayhitch-Resume": token, "Last-Event-ID": "2"}
    return StreamCaller(fleet.url(entry), "/v1/streams/resume", None, headers)


def issue_key(fleet: Fleet, entry: str) -> str:
    url = fleet.url(entry) + "/v1/idempotency-keys"
    return json.loads(call("POST", url, {}, HEADERS)[1])["keys"][0]


def run_guide(fleet: Fleet, entry: str, key: str) -> tuple[int, str]:
    """Return the HTTP status of a call and its error name, empty if it succeeded."""
    headers = {**HEADERS, "Idempotency-Key": key}
    status, body, _ = call("POST", fleet.url(entry) + GUIDES, {"lot": 1}, headers)
    return status, json.loads(body).get("error", {}).get("name", "")


def fetch_runs_by_key(fleet: Fleet) -> dict[str, int]:
    return json.loads(call("GET", fleet.url("service-1") + "/fake/runs")[1])


class PeerKeyRotationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()
        self.addCleanup(self.fleet.stop)
        self.fleet.start_platform()
        self.fleet.start_engine("engine-1")
        self.fleet.start_engine("engine-2")
        self.fleet.start_service("service-1", "register")
        self.fleet.put_defaults()
        for name in ENTRIES:
            self.fleet.start_entry(name)
        self.incomplete_member_counts: list[tuple[str, int]] = []
        wait_until(lambda: self.count_members() == [3, 3, 3])

    def count_members(self) -> list[int]:
        return [count_alive_members(self.fleet, name) for name in ENTRIES]

    def install_keys(self, *keys: tuple[int, str], seconds: float = 1.0) -> None:
        """Reload all entries with the keys one by one and record lost members."""
        self.fleet.peer_keys = list(keys)
        expected = [number for number, _ in keys]
        for name in ENTRIES:
            self.fleet.write_settings(name)
            self.fleet.send_signal(name, signal.SIGHUP)
            wait_until(
                lambda name=name: fetch_peer_key_ids(self.fleet, name) == expected
            )
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for name, count in zip(ENTRIES, self.count_members(), strict=True):
                if count != 3:
                    self.incomplete_member_counts.append((name, count))
            time.sleep(0.05)

    def open_stream(self) -> str:
        caller, token = open_stream(self.fleet, "entry-1")
        self.addCleanup(caller.close)
        return token

    def assert_resumes(self, token: str) -> None:
        caller = resume(self.fleet, "entry-2", token)
        self.addCleanup(caller.close)
        self.assertEqual(caller.open().status, 200)
        caller.read_tokens(3)

    def test_key_rotation_under_load_refuses_no_calls(self):
        """Guards against refused calls and lost tokens or members during a rotation."""
        with load(self.fleet, CALL_KINDS, list(ENTRIES), count=1) as callers:
            time.sleep(0.5)
            old_token = self.open_stream()
            old_keys = [issue_key(self.fleet, "entry-1") for _ in range(2)]
            self.install_keys(OLD_KEY, NEW_KEY)
            self.install_keys(NEW_KEY, OLD_KEY)
            self.assert_resumes(old_token)
            used = run_guide(self.fleet, "entry-2", old_keys[0])
            self.assertEqual(used, (200, ""))
            new_token = self.open_stream()
            new_key = issue_key(self.fleet, "entry-1")
            self.install_keys(NEW_KEY, seconds=OLD_KEY_REMOVAL_SECONDS)
        refused = resume(self.fleet, "entry-2", old_token).finish()
        self.assertEqual(json.loads(refused.text)["error"]["name"], "RESUME_INVALID")
        self.assert_resumes(new_token)
        late = run_guide(self.fleet, "entry-2", old_keys[1])
        self.assertEqual(late, (400, "KEY_INVALID"))
        self.assertEqual(run_guide(self.fleet, "entry-2", new_key), (200, ""))
        runs = fetch_runs_by_key(self.fleet)
        self.assertNotIn(old_keys[1], runs)
        for caller in callers:
            self.assertEqual((caller.kind, caller.lost), (caller.kind, []))
            self.assertEqual((caller.kind, caller.refusals), (caller.kind, []))
            # A stream takes more than a second, so each caller completes only a few.
            self.assertGreater(caller.completed_count, 4, caller.kind)
            for key in caller.completed_keys:
                self.assertEqual(runs[key], 1)
        self.assertEqual(self.incomplete_member_counts, [])
        for name in ENTRIES:
            for _, secret in (OLD_KEY, NEW_KEY):
                self.assertNotIn(secret, self.fleet.log_text(name))


class SettingsReloadTest(unittest.TestCase):
    """Reload of changed, invalid and restart-only settings on SIGHUP."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.trace = Path(directory.name) / "entry.trace"
        self.logs = f'[logs]\ntrace_file = "{self.trace}"\n'
        self.fleet = Fleet(self.logs)
        self.addCleanup(self.fleet.stop)
        self.fleet.start_platform()
        self.fleet.start_service("service-1", "register")
        self.fleet.put_defaults()
        self.fleet.start_entry("entry-1")

    def reload_settings(
        self, message: str, added_text: str = ""
    ) -> list[dict[str, object]]:
        """Reload the settings with SIGHUP and return the log lines that follow."""
        line_count_before = len(self.log_lines())
        self.fleet.write_settings("entry-1", added_text=added_text)
        self.fleet.send_signal("entry-1", signal.SIGHUP)
        wait_until(lambda: message in str(self.log_lines()[line_count_before:]))
        return self.log_lines()[line_count_before:]

    def log_lines(self) -> list[dict[str, object]]:
        text = self.fleet.log_text("entry-1")
        return [json.loads(line) for line in text.splitlines() if line[:1] == "{"]

    def search(self) -> int:
        url = self.fleet.url("entry-1") + "/services/register/search"
        return call("POST", url, {}, HEADERS)[0]

    def admin_status_code(self, token: str) -> int:
        headers = {"Authorization": f"Bearer {token}"}
        url = self.fleet.url("entry-1") + "/admin/v1/status"
        return call("GET", url, None, headers)[0]

    def test_admin_token_is_reloaded(self):
        """Guards against an admin token that remains valid after its replacement."""
        self.fleet.admin_token = "second-admin-token"
        self.reload_settings("settings read")
        self.assertEqual(self.admin_status_code("second-admin-token"), 200)
        self.assertEqual(self.admin_status_code(ADMIN_TOKEN), 403)

    def test_log_level_is_reloaded(self):
        """Guards against a log level that takes effect only after a restart."""
        self.search()
        self.assertIn("request ended", str(self.log_lines()))
        self.fleet.settings_text = self.logs + 'level = "error"\n'
        self.fleet.write_settings("entry-1")
        self.fleet.send_signal("entry-1", signal.SIGHUP)
        time.sleep(0.5)
        line_count_before = len(self.log_lines())
        self.assertEqual(self.search(), 200)
        self.assertEqual(self.log_lines()[line_count_before:], [])
        self.fleet.settings_text = self.logs
        self.reload_settings("settings read")
        self.search()
        self.assertIn("request ended", str(self.log_lines()[line_count_before:]))

    def test_restart_only_settings_are_logged_and_ignored(self):
        """Guards against restart-only settings that are ignored without a log line."""
        added = "[drain]\nlimit_seconds = 7.0\n[retries]\nbudget_share = 0.5\n"
        lines = self.reload_settings("settings read", added)
        ignored = [line["key"] for line in lines if "ignored" in str(line["event"])]
        self.assertEqual(ignored, ["retries.budget_share", "drain.limit_seconds"])

    def test_invalid_settings_file_is_rejected_as_a_whole(self):
        """Guards against partially applied settings and secrets in the log."""
        cases = [
            ([(2, "too-short-secret")], "", "peers.keys[0].secret"),
            ([], "", "peers.keys"),
            ([OLD_KEY, (1, NEW_KEY[1])], "", "peers.keys"),
            ([NEW_KEY], "[drain]\nlimit_seconds = -3.5\n", "-3.5"),
            ([NEW_KEY], "[drain\n", "line"),
        ]
        self.fleet.admin_token = "second-admin-token"
        for keys, added, expected_text in cases:
            self.fleet.peer_keys = list(keys)
            line = self.reload_settings("settings rejected", added)[0]
            self.assertEqual(
                (line["level"], line["code"]), ("error", "INVALID_SETTING")
            )
            self.assertIn("entry-1.toml", str(line["problem"]))
            self.assertIn(expected_text, str(line["problem"]))
            self.assertEqual(self.admin_status_code(ADMIN_TOKEN), 200)
            self.assertEqual(self.search(), 200)
        text = self.fleet.log_text("entry-1")
        for secret in ("too-short-secret", NEW_KEY[1], PEER_SECRET):
            self.assertNotIn(secret, text)

    def test_trace_of_settings_reload_replays_without_secrets(self):
        """Guards against secrets in traces and decisions that depend on secrets."""
        self.fleet.peer_keys = [(1, NEW_KEY[1])]
        self.fleet.admin_token = "second-admin-token"
        self.reload_settings("settings read", "[drain]\nlimit_seconds = 7.0\n")
        self.fleet.peer_keys = []
        self.reload_settings("settings rejected")
        self.fleet.send_signal("entry-1", signal.SIGTERM)
        self.fleet.send_signal("entry-1", signal.SIGTERM)
        self.fleet.wait_exit("entry-1")
        text = self.trace.read_text()
        self.assertIn('"type":"SettingsRead"', text)
        self.assertIn('"type":"SettingsRejected"', text)
        for secret in (PEER_SECRET, NEW_KEY[1], token_hash("second-admin-token")):
            self.assertNotIn(secret, text)
        with self.trace.open("rb") as lines:
            self.assertEqual(replay_trace(lines, str(self.trace)).differences, ())
