"""Non-idempotent calls run at most once, and not at all if the answer says so.

Every fault case runs against real processes, once with keys chosen by the caller and
once with issued keys. The run counter of the plain service shows what ran.
"""

from __future__ import annotations

import json
import signal
import time
import unittest
import urllib.error
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple
from uuid import UUID, uuid4

from fakes.processes import ACCOUNT_TOKENS, Fleet, call

SETTINGS = """
[idempotency]
claim_timeout_seconds = 1.0
answer_timeout_seconds = 1.5
completion_interval_seconds = 0.2
journal_shards = 4
[drain]
readiness_grace_seconds = 0.2
[streams]
connect_timeout_seconds = 0.5
"""
PATH = "/services/register/guides"
ENTRIES = ("entry-1", "entry-2")
NO_ANSWER_NAME = "no answer"


class Attempt(NamedTuple):
    """Answer to one call; ``ran`` is empty if it is the answer of the service."""

    key: str
    status: int
    name: str
    ran: str
    body: bytes


class ClaimFixture:
    """Two entries, a store and a service, with a record of the answers to callers."""

    def __init__(self) -> None:
        self.fleet = Fleet(SETTINGS)
        self.attempts: list[Attempt] = []
        self.pool = ThreadPoolExecutor(8)
        self.issued = False
        self.open_posts_by_key: Counter[str] = Counter()
        self.wrongly_refused: list[Attempt] = []

    def start(self) -> None:
        self.fleet.start_platform()
        self.fleet.start_service("service-1", "register")
        self.fleet.put_defaults()
        for entry in ENTRIES:
            self.fleet.start_entry(entry)
        self.wait_until_serving()

    def stop(self) -> None:
        self.fleet.stop()
        self.pool.shutdown()

    def wait_until_serving(self) -> None:
        """Wait up to 10 s for each entry to learn of the service from the VM list."""
        for entry in ENTRIES:
            deadline = time.monotonic() + 10.0
            while self.post_search(entry) != 200 and time.monotonic() < deadline:
                time.sleep(0.05)

    def post_search(self, entry: str) -> int:
        url = self.fleet.url(entry) + "/services/register/search"
        return call("POST", url, {}, self.headers())[0]

    def headers(self, key: str = "", account: str = "hotel") -> dict[str, str]:
        headers = {
            "Authorization": f"Bearer {ACCOUNT_TOKENS[account]}",
            "Content-Type": "application/json",
        }
        return {**headers, "Idempotency-Key": key} if key else headers

    def new_key(self) -> str:
        """Return a new key; in a run with issued keys, the first entry issues it."""
        if not self.issued:
            return str(uuid4())
        url = self.fleet.url("entry-1") + "/v1/idempotency-keys"
        status, body, _ = call("POST", url, {"count": 1}, self.headers())
        assert status == 200, body
        return json.loads(body)["keys"][0]

    def post(
        self, entry: str, key: str, body: Any = None, timeout: float = 15.0
    ) -> Attempt:
        """Send a call; if all answers for its key say "not run", check the counter."""
        url = self.fleet.url(entry) + PATH
        self.open_posts_by_key[key] += 1
        try:
            status, answer, headers = call(
                "POST", url, body or {"lot": 1}, self.headers(key), timeout
            )
        except (OSError, urllib.error.URLError):
            attempt = Attempt(key, 0, NO_ANSWER_NAME, "unknown", b"")
        else:
            ran = headers.get("Carawayhitch-Ran", "")
            name = json.loads(answer)["error"]["name"] if ran else ""
            attempt = Attempt(key, status, name, ran, answer)
        self.attempts.append(attempt)
        self.open_posts_by_key[key] -= 1
        ran_answers = [other.ran for other in self.attempts if other.key == key]
        if (
            set(ran_answers) == {"no"}
            and not self.open_posts_by_key[key]
            and self.count_runs(key)
        ):
            self.wrongly_refused.append(attempt)
        return attempt

    def submit_post(self, entry: str, key: str, body: Any = None) -> Any:
        return self.pool.submit(self.post, entry, key, body)

    def post_again(self, key: str) -> list[Attempt]:
        """Send a call with the same key to both entries, like a caller that retries."""
        return [self.post(entry, key) for entry in (*ENTRIES, "entry-1")]

    def count_runs(self, key: str) -> int:
        _, body, _ = call("GET", self.fleet.url("service-1") + "/fake/runs")
        return json.loads(body).get(key, 0)

    def wait_until_run(self, key: str) -> None:
        deadline = time.monotonic() + 5.0
        while not self.count_runs(key) and time.monotonic() < deadline:
            time.sleep(0.01)

    def set_faults(self, name: str, **faults: Any) -> None:
        call("POST", self.fleet.url(name) + "/fake/faults", faults)

    def clear_faults(self) -> None:
        self.set_faults("store", down=False, delay_seconds=0.0)
        self.set_faults("service-1", delay_seconds=0.0, cut_answers=0)

    def restart_entry(self, entry: str) -> None:
        self.fleet.start_entry(entry)
        self.wait_until_serving()


def same_key_twice_at_one_entry(fixture: ClaimFixture) -> None:
    key = fixture.new_key()
    fixture.set_faults("service-1", delay_seconds=0.2)
    pending_posts = [fixture.submit_post("entry-1", key) for _ in range(4)]
    bodies = {pending_post.result().body for pending_post in pending_posts}
    assert len(bodies) == 1, bodies
    assert fixture.post("entry-1", key).body in bodies


def same_key_at_two_entries_at_once(fixture: ClaimFixture) -> None:
    for _ in range(60):
        key = fixture.new_key()
        pending_posts = [fixture.submit_post(entry, key) for entry in ENTRIES]
        statuses = [pending_post.result().status for pending_post in pending_posts]
        assert 200 in statuses, statuses


def store_answer_lost(fixture: ClaimFixture) -> None:
    key = fixture.new_key()
    fixture.set_faults("store", lost_write_answers=1)
    assert fixture.post("entry-1", key).status == 200
    fixture.post_again(key)


def store_write_takes_effect_late(fixture: ClaimFixture) -> None:
    key = fixture.new_key()
    fixture.set_faults("store", late_writes=3, late_seconds=0.5)
    fixture.post("entry-1", key)
    fixture.post_again(key)


def store_down_before_the_call(fixture: ClaimFixture) -> None:
    fixture.set_faults("store", down=True)
    key = fixture.new_key()
    first_attempt = fixture.post("entry-1", key)
    assert first_attempt.status == (200 if fixture.issued else 503), first_attempt
    fixture.post_again(key)
    fixture.clear_faults()
    assert fixture.post("entry-1", key).status == 200


def store_goes_down_after_the_claim(fixture: ClaimFixture) -> None:
    key = fixture.new_key()
    fixture.set_faults("store", writes_until_down=1)
    fixture.post("entry-1", key)
    fixture.clear_faults()
    fixture.post_again(key)


def store_slow(fixture: ClaimFixture) -> None:
    for store_delay_seconds in (0.15, 0.45, 1.2):
        key = fixture.new_key()
        fixture.set_faults("store", delay_seconds=store_delay_seconds)
        fixture.post("entry-1", key)
        fixture.post_again(key)
        fixture.clear_faults()
        fixture.post_again(key)


def writer_suspended_and_resumed(fixture: ClaimFixture) -> None:
    for pause_seconds in (0.05, 0.15, 0.3):
        key = fixture.new_key()
        fixture.set_faults("store", delay_seconds=0.1)
        first_post = fixture.submit_post("entry-1", key)
        time.sleep(pause_seconds)
        fixture.fleet.send_signal("entry-1", signal.SIGSTOP)
        fixture.clear_faults()
        second_post = fixture.submit_post("entry-2", key)
        time.sleep(1.8)
        fixture.fleet.send_signal("entry-1", signal.SIGCONT)
        first_post.result()
        second_post.result()
        fixture.post_again(key)


def entry_killed(fixture: ClaimFixture) -> None:
    for kill_moment in ("before", "during", "after"):
        key = fixture.new_key()
        if kill_moment == "before":
            fixture.set_faults("store", delay_seconds=0.2)
            fixture.set_faults("service-1", delay_seconds=0.2)
        if kill_moment == "during":
            fixture.set_faults("service-1", delay_seconds=0.5)
        first_post = fixture.submit_post("entry-1", key)
        if kill_moment == "before":
            time.sleep(0.1)
        if kill_moment == "during":
            fixture.wait_until_run(key)
        if kill_moment == "after":
            first_post.result()
        fixture.fleet.kill("entry-1")
        first_post.result()
        fixture.clear_faults()
        fixture.post("entry-2", key)
        fixture.restart_entry("entry-1")
        fixture.post_again(key)


def upstream_answers_too_late(fixture: ClaimFixture) -> None:
    key = fixture.new_key()
    fixture.set_faults("service-1", delay_seconds=2.0)
    assert fixture.post("entry-1", key).name == "OUTCOME_UNKNOWN"
    fixture.clear_faults()
    for attempt in fixture.post_again(key):
        assert attempt.name == "OUTCOME_UNKNOWN", attempt


def upstream_cuts_its_answer(fixture: ClaimFixture) -> None:
    key = fixture.new_key()
    fixture.set_faults("service-1", cut_answers=1)
    assert fixture.post("entry-1", key).name == "OUTCOME_UNKNOWN"
    for attempt in fixture.post_again(key):
        assert attempt.name == "OUTCOME_UNKNOWN", attempt


def caller_disconnects_and_resends(fixture: ClaimFixture) -> None:
    key = fixture.new_key()
    fixture.set_faults("service-1", delay_seconds=0.6)
    assert fixture.post("entry-1", key, timeout=0.3).name == NO_ANSWER_NAME
    assert fixture.post("entry-1", key).status == 200


def key_reused_with_another_body(fixture: ClaimFixture) -> None:
    key = fixture.new_key()
    fixture.set_faults("service-1", delay_seconds=0.2)
    first_post = fixture.submit_post("entry-1", key)
    fixture.wait_until_run(key)
    assert fixture.post("entry-1", key, {"lot": 2}).name == "KEY_REUSED"
    assert fixture.post("entry-2", key, {"lot": 2}).name == "KEY_REUSED"
    assert first_post.result().status == 200


def configuration_changes_during_the_call(fixture: ClaimFixture) -> None:
    key = fixture.new_key()
    fixture.set_faults("service-1", delay_seconds=0.4)
    first_post = fixture.submit_post("entry-1", key)
    fixture.wait_until_run(key)
    url = fixture.fleet.url("store") + "/v1/objects/plain_service/register"
    stored = json.loads(call("GET", url)[1])
    value = {"concurrency": 8, "routes": []}
    fixture.fleet.put_object("plain_service", "register", value, stored["version"])
    for attempt in (*fixture.post_again(key), first_post.result()):
        assert attempt.ran != "no", attempt
    stored = json.loads(call("GET", url)[1])
    search_route = {"method": "POST", "path_prefix": "/search", "idempotent": True}
    value = {"routes": [search_route]}
    fixture.fleet.put_object("plain_service", "register", value, stored["version"])


def answer_too_large_to_keep(fixture: ClaimFixture) -> None:
    key = fixture.new_key()
    body = {"lot": "x" * 8000}
    first = fixture.post("entry-1", key, body)
    assert first.status == 200, first
    repeated = fixture.post("entry-1", key, body)
    assert repeated.name == "RESULT_NOT_KEPT", repeated


FAULT_CASES: tuple[Callable[[ClaimFixture], None], ...] = (
    same_key_twice_at_one_entry,
    same_key_at_two_entries_at_once,
    store_answer_lost,
    store_write_takes_effect_late,
    store_down_before_the_call,
    store_goes_down_after_the_claim,
    store_slow,
    writer_suspended_and_resumed,
    entry_killed,
    upstream_answers_too_late,
    upstream_cuts_its_answer,
    caller_disconnects_and_resends,
    key_reused_with_another_body,
    configuration_changes_during_the_call,
    answer_too_large_to_keep,
)


def call_without_claims(fixture: ClaimFixture, key: str, timeout: float = 1.0) -> None:
    """Send a call directly to the service, and once more if it fails."""
    url = fixture.fleet.url("service-1") + "/guides"
    for _ in range(2):
        try:
            call("POST", url, {"lot": 1}, fixture.headers(key), timeout)
        except OSError:
            continue
        return


def unclaimed_cut_answer(fixture: ClaimFixture, key: str) -> None:
    fixture.set_faults("service-1", cut_answers=1)
    call_without_claims(fixture, key)


def unclaimed_late_answer(fixture: ClaimFixture, key: str) -> None:
    fixture.set_faults("service-1", delay_seconds=0.4)
    call_without_claims(fixture, key, timeout=0.2)


def unclaimed_concurrent_calls(fixture: ClaimFixture, key: str) -> None:
    pending_posts = [
        fixture.pool.submit(call_without_claims, fixture, key) for _ in range(2)
    ]
    for pending_post in pending_posts:
        pending_post.result()


UNCLAIMED_CASES = (
    unclaimed_cut_answer,
    unclaimed_late_answer,
    unclaimed_concurrent_calls,
)


class CallsWithoutClaimsTest(unittest.TestCase):
    def test_calls_without_claims_run_twice(self):
        """Guards against faults that do not cause a second run even without claims.

        With such faults, the tests below would pass without testing the claims.
        """
        fixture = ClaimFixture()
        self.addCleanup(fixture.stop)
        fixture.fleet.start_module("service-1", "fakes.plain_service")
        for case in UNCLAIMED_CASES:
            with self.subTest(case=case.__name__):
                key = str(uuid4())
                case(fixture, key)
                fixture.set_faults("service-1", delay_seconds=0.0, cut_answers=0)
                self.assertEqual(fixture.count_runs(key), 2)


class AtMostOnceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fixture = ClaimFixture()
        self.addCleanup(self.fixture.stop)
        self.fixture.start()

    def assert_at_most_one_run(self) -> None:
        """Compare the answers to callers with the run counter, for each key."""
        self.assertEqual(self.fixture.wrongly_refused, [])
        for key in {attempt.key for attempt in self.fixture.attempts}:
            key_attempts = [
                attempt for attempt in self.fixture.attempts if attempt.key == key
            ]
            run_count = self.fixture.count_runs(key)
            self.assertLessEqual(run_count, 1, key_attempts)
            if all(attempt.ran == "no" for attempt in key_attempts):
                self.assertEqual(run_count, 0, key_attempts)
            if any(attempt.status == 200 for attempt in key_attempts):
                self.assertEqual(run_count, 1, key_attempts)
        self.fixture.attempts.clear()

    def run_fault_cases(self, issued: bool) -> None:
        self.fixture.issued = issued
        for case in FAULT_CASES:
            with self.subTest(case=case.__name__, issued=issued):
                try:
                    case(self.fixture)
                finally:
                    self.fixture.clear_faults()
                    # A delayed answer or store write may still cause a run.
                    time.sleep(0.6)
                    self.assert_at_most_one_run()

    def test_caller_chosen_keys(self):
        """Guards against a second run, and a run reported as "not run".

        Keys chosen by callers are claimed in the journal.
        """
        self.run_fault_cases(issued=False)

    def test_issued_keys(self):
        """Guards against a second run, and a run reported as "not run".

        Issued keys are claimed in the memory of the entry that issued them.
        """
        self.run_fault_cases(issued=True)

    def test_issuer_drains(self):
        """Guards against a drain that cuts calls off or reports a run as "not run"."""
        fixture = self.fixture
        fixture.issued = True
        used_key, running_key, unused_key = (fixture.new_key() for _ in range(3))
        self.assertEqual(fixture.post("entry-1", used_key).status, 200)
        fixture.set_faults("service-1", delay_seconds=1.2)
        pending_post = fixture.submit_post("entry-2", running_key)
        fixture.wait_until_run(running_key)
        fixture.fleet.send_signal("entry-1", signal.SIGTERM)
        time.sleep(0.4)
        refused = fixture.post("entry-2", unused_key)
        self.assertEqual((refused.name, refused.ran), ("DRAINING", "no"))
        self.assertEqual(fixture.post("entry-2", used_key).status, 200)
        self.assertEqual(pending_post.result().status, 200)
        self.assertEqual(fixture.fleet.wait_exit("entry-1"), 0)
        for key in (used_key, running_key, unused_key):
            self.assertEqual(fixture.post("entry-2", key).name, "OUTCOME_UNKNOWN")
        fixture.restart_entry("entry-1")
        for key in (used_key, running_key, unused_key):
            self.assertEqual(fixture.post("entry-1", key).name, "OUTCOME_UNKNOWN")
        self.assert_at_most_one_run()

    def test_drain_writes_the_last_answers(self):
        """Guards against a planned stop that loses the answer of a finished call.

        The answer must be in the journal before the entry exits.
        """
        fixture = self.fixture
        key = fixture.new_key()
        fixture.set_faults("service-1", delay_seconds=0.6)
        pending_post = fixture.submit_post("entry-1", key)
        fixture.wait_until_run(key)
        fixture.fleet.send_signal("entry-1", signal.SIGTERM)
        self.assertEqual(pending_post.result().status, 200)
        self.assertEqual(fixture.fleet.wait_exit("entry-1"), 0)
        self.assertEqual(fixture.post("entry-2", key).status, 200)
        self.assert_at_most_one_run()

    def test_service_unreachable(self):
        """Guards against a claim that blocks its key although no call was sent."""
        fixture = self.fixture
        for issued in (False, True):
            fixture.issued = issued
            key = fixture.new_key()
            fixture.fleet.kill("service-1")
            # `post` reads the run counter, which is unavailable while the service is
            # down.
            url = fixture.fleet.url("entry-1") + PATH
            headers = {**fixture.headers(key), "Carawayhitch-Wait-Seconds": "1"}
            refused = call("POST", url, {"lot": 1}, headers)
            self.assertEqual(refused[2]["Carawayhitch-Ran"], "no")
            fixture.fleet.start_module("service-1", "fakes.plain_service")
            time.sleep(0.4)
            self.assertEqual(fixture.post("entry-1", key).status, 200)
            self.assert_at_most_one_run()

    def test_foreign_and_expired_keys(self):
        """Guards against answers for another account's key, and use of expired keys."""
        fixture = self.fixture
        url = fixture.fleet.url("entry-1") + PATH
        key = fixture.new_key()
        fixture.issued = True
        issued = fixture.new_key()
        own_answer = call("POST", url, {}, fixture.headers(key))
        other = call("POST", url, {}, fixture.headers(key, "inspection"))
        self.assertNotEqual(
            json.loads(own_answer[1])["run"], json.loads(other[1])["run"]
        )
        status, body, _ = call("POST", url, {}, fixture.headers(issued, "inspection"))
        self.assertEqual(json.loads(body)["error"]["name"], "KEY_INVALID")
        milliseconds = int((time.time() - 86_500) * 1000)
        expired_key = UUID(int=milliseconds << 80 | 7 << 76 | 2 << 62 | 5)
        status, body, _ = call("POST", url, {}, fixture.headers(str(expired_key)))
        self.assertEqual(json.loads(body)["error"]["name"], "KEY_EXPIRED")
        self.assertEqual(
            fixture.count_runs(str(expired_key)) + fixture.count_runs(issued), 0
        )

    def test_forwards_are_authenticated(self):
        """Guards against forwarded calls that come from no entry of the fleet."""
        fixture = self.fixture
        fixture.issued = True
        key = fixture.new_key()
        url = fixture.fleet.url("entry-1") + "/peer/v1/forwarded/register/guides"
        for proof in ("", "AAAA"):
            headers = {**fixture.headers(key), "Carawayhitch-Forward": proof}
            status, body, _ = call("POST", url, {"lot": 1}, headers)
            self.assertEqual(json.loads(body)["error"]["name"], "FORWARD_REFUSED")
        self.assertEqual(fixture.count_runs(key), 0)

    def test_entries_with_different_settings_share_one_layout(self):
        """Guards against a second run while changed journal settings are rolled out."""
        fixture = self.fixture
        fixture.fleet.settings_text = SETTINGS.replace("shards = 4", "shards = 7")
        fixture.fleet.send_signal("entry-2", signal.SIGTERM)
        fixture.fleet.wait_exit("entry-2")
        fixture.restart_entry("entry-2")
        same_key_at_two_entries_at_once(fixture)
        self.assert_at_most_one_run()
