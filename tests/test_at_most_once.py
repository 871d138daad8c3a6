"""A non-idempotent call runs at most once, and never after the answer "not run".

Every case runs with keys chosen by the caller and with issued keys, against real
processes; the judge is the run counter of the plain service.
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
NO_CONNECTION = "no answer"


class Attempt(NamedTuple):
    """One answer to a caller; ``ran`` is empty if the call has an answer."""

    key: str
    status: int
    name: str
    ran: str
    body: bytes


class Scene:
    """Two entries, a store, a service, and what callers were told."""

    def __init__(self) -> None:
        self.fleet = Fleet(SETTINGS)
        self.attempts: list[Attempt] = []
        self.pool = ThreadPoolExecutor(8)
        self.issued = False
        self.open_by_key: Counter[str] = Counter()
        self.wrongly_refused: list[Attempt] = []

    def start(self) -> None:
        self.fleet.start_platform()
        self.fleet.start_service("service-1", "register")
        self.fleet.put_defaults()
        for entry in ENTRIES:
            self.fleet.start_entry(entry)
        self.wait_serving()

    def stop(self) -> None:
        self.fleet.stop()
        self.pool.shutdown()

    def wait_serving(self) -> None:
        """Wait until every entry knows the service from the VM list."""
        for entry in ENTRIES:
            deadline = time.monotonic() + 10.0
            while self.search(entry) != 200 and time.monotonic() < deadline:
                time.sleep(0.05)

    def search(self, entry: str) -> int:
        url = self.fleet.url(entry) + "/services/register/search"
        return call("POST", url, {}, self.headers())[0]

    def headers(self, key: str = "", account: str = "hotel") -> dict[str, str]:
        headers = {
            "Authorization": f"Bearer {ACCOUNT_TOKENS[account]}",
            "Content-Type": "application/json",
        }
        return {**headers, "Idempotency-Key": key} if key else headers

    def new_key(self) -> str:
        """Return a fresh key, issued by the first entry in a run with issued keys."""
        if not self.issued:
            return str(uuid4())
        url = self.fleet.url("entry-1") + "/v1/idempotency-keys"
        status, body, _ = call("POST", url, {"count": 1}, self.headers())
        assert status == 200, body
        return json.loads(body)["keys"][0]

    def post(
        self, entry: str, key: str, body: Any = None, timeout: float = 15.0
    ) -> Attempt:
        """Send one call; check "not run" against the run counter at once."""
        url = self.fleet.url(entry) + PATH
        self.open_by_key[key] += 1
        try:
            status, answer, headers = call(
                "POST", url, body or {"lot": 1}, self.headers(key), timeout
            )
        except (OSError, urllib.error.URLError):
            attempt = Attempt(key, 0, NO_CONNECTION, "unknown", b"")
        else:
            ran = headers.get("Carawayhitch-Ran", "")
            name = json.loads(answer)["error"]["name"] if ran else ""
            attempt = Attempt(key, status, name, ran, answer)
        self.attempts.append(attempt)
        self.open_by_key[key] -= 1
        told = [other.ran for other in self.attempts if other.key == key]
        if set(told) == {"no"} and not self.open_by_key[key] and self.runs(key):
            self.wrongly_refused.append(attempt)
        return attempt

    def post_later(self, entry: str, key: str, body: Any = None) -> Any:
        return self.pool.submit(self.post, entry, key, body)

    def resend(self, key: str) -> list[Attempt]:
        """Send a key again at both entries, as a caller does after an error."""
        return [self.post(entry, key) for entry in (*ENTRIES, "entry-1")]

    def runs(self, key: str) -> int:
        _, body, _ = call("GET", self.fleet.url("service-1") + "/fake/runs")
        return json.loads(body).get(key, 0)

    def wait_run(self, key: str) -> None:
        deadline = time.monotonic() + 5.0
        while not self.runs(key) and time.monotonic() < deadline:
            time.sleep(0.01)

    def fault(self, name: str, **faults: Any) -> None:
        call("POST", self.fleet.url(name) + "/fake/faults", faults)

    def clear(self) -> None:
        self.fault("store", down=False, delay_seconds=0.0)
        self.fault("service-1", delay_seconds=0.0, cut_answers=0)

    def restart(self, entry: str) -> None:
        self.fleet.start_entry(entry)
        self.wait_serving()


def same_key_twice_at_one_entry(scene: Scene) -> None:
    key = scene.new_key()
    scene.fault("service-1", delay_seconds=0.2)
    running = [scene.post_later("entry-1", key) for _ in range(4)]
    bodies = {later.result().body for later in running}
    assert len(bodies) == 1, bodies
    assert scene.post("entry-1", key).body in bodies


def same_key_at_two_entries_at_once(scene: Scene) -> None:
    for _ in range(60):
        key = scene.new_key()
        both = [scene.post_later(entry, key) for entry in ENTRIES]
        statuses = [later.result().status for later in both]
        assert 200 in statuses, statuses


def store_answer_lost(scene: Scene) -> None:
    key = scene.new_key()
    scene.fault("store", lost_write_answers=1)
    assert scene.post("entry-1", key).status == 200
    scene.resend(key)


def store_write_takes_effect_late(scene: Scene) -> None:
    key = scene.new_key()
    scene.fault("store", late_writes=3, late_seconds=0.5)
    scene.post("entry-1", key)
    scene.resend(key)


def store_down_before_the_call(scene: Scene) -> None:
    scene.fault("store", down=True)
    key = scene.new_key()
    first = scene.post("entry-1", key)
    assert first.status == (200 if scene.issued else 503), first
    scene.resend(key)
    scene.clear()
    assert scene.post("entry-1", key).status == 200


def store_goes_down_after_the_claim(scene: Scene) -> None:
    key = scene.new_key()
    scene.fault("store", writes_until_down=1)
    scene.post("entry-1", key)
    scene.clear()
    scene.resend(key)


def store_slow(scene: Scene) -> None:
    for delay in (0.15, 0.45, 1.2):
        key = scene.new_key()
        scene.fault("store", delay_seconds=delay)
        scene.post("entry-1", key)
        scene.resend(key)
        scene.clear()
        scene.resend(key)


def writer_frozen_and_woken(scene: Scene) -> None:
    for pause in (0.05, 0.15, 0.3):
        key = scene.new_key()
        scene.fault("store", delay_seconds=0.1)
        first = scene.post_later("entry-1", key)
        time.sleep(pause)
        scene.fleet.send_signal("entry-1", signal.SIGSTOP)
        scene.clear()
        second = scene.post_later("entry-2", key)
        time.sleep(1.8)
        scene.fleet.send_signal("entry-1", signal.SIGCONT)
        first.result()
        second.result()
        scene.resend(key)


def entry_killed(scene: Scene) -> None:
    for moment in ("before", "during", "after"):
        key = scene.new_key()
        if moment == "before":
            scene.fault("store", delay_seconds=0.2)
            scene.fault("service-1", delay_seconds=0.2)
        if moment == "during":
            scene.fault("service-1", delay_seconds=0.5)
        first = scene.post_later("entry-1", key)
        if moment == "before":
            time.sleep(0.1)
        if moment == "during":
            scene.wait_run(key)
        if moment == "after":
            first.result()
        scene.fleet.kill("entry-1")
        first.result()
        scene.clear()
        scene.post("entry-2", key)
        scene.restart("entry-1")
        scene.resend(key)


def upstream_answers_too_late(scene: Scene) -> None:
    key = scene.new_key()
    scene.fault("service-1", delay_seconds=2.0)
    assert scene.post("entry-1", key).name == "OUTCOME_UNKNOWN"
    scene.clear()
    for attempt in scene.resend(key):
        assert attempt.name == "OUTCOME_UNKNOWN", attempt


def upstream_cuts_its_answer(scene: Scene) -> None:
    key = scene.new_key()
    scene.fault("service-1", cut_answers=1)
    assert scene.post("entry-1", key).name == "OUTCOME_UNKNOWN"
    for attempt in scene.resend(key):
        assert attempt.name == "OUTCOME_UNKNOWN", attempt


def caller_leaves_and_resends(scene: Scene) -> None:
    key = scene.new_key()
    scene.fault("service-1", delay_seconds=0.6)
    assert scene.post("entry-1", key, timeout=0.3).name == NO_CONNECTION
    assert scene.post("entry-1", key).status == 200


def key_reused_with_another_body(scene: Scene) -> None:
    key = scene.new_key()
    scene.fault("service-1", delay_seconds=0.2)
    first = scene.post_later("entry-1", key)
    scene.wait_run(key)
    assert scene.post("entry-1", key, {"lot": 2}).name == "KEY_REUSED"
    assert scene.post("entry-2", key, {"lot": 2}).name == "KEY_REUSED"
    assert first.result().status == 200


def configuration_changes_meanwhile(scene: Scene) -> None:
    key = scene.new_key()
    scene.fault("service-1", delay_seconds=0.4)
    first = scene.post_later("entry-1", key)
    scene.wait_run(key)
    url = scene.fleet.url("store") + "/v1/objects/plain_service/register"
    stored = json.loads(call("GET", url)[1])
    value = {"concurrency": 8, "routes": []}
    scene.fleet.put_object("plain_service", "register", value, stored["version"])
    for attempt in (*scene.resend(key), first.result()):
        assert attempt.ran != "no", attempt
    stored = json.loads(call("GET", url)[1])
    search = {"method": "POST", "path_prefix": "/search", "idempotent": True}
    value = {"routes": [search]}
    scene.fleet.put_object("plain_service", "register", value, stored["version"])


def answer_too_large_to_keep(scene: Scene) -> None:
    key = scene.new_key()
    body = {"lot": "x" * 8000}
    assert scene.post("entry-1", key, body).status == 200
    assert scene.post("entry-1", key, body).name == "RESULT_NOT_KEPT"


CASES: tuple[Callable[[Scene], None], ...] = (
    same_key_twice_at_one_entry,
    same_key_at_two_entries_at_once,
    store_answer_lost,
    store_write_takes_effect_late,
    store_down_before_the_call,
    store_goes_down_after_the_claim,
    store_slow,
    writer_frozen_and_woken,
    entry_killed,
    upstream_answers_too_late,
    upstream_cuts_its_answer,
    caller_leaves_and_resends,
    key_reused_with_another_body,
    configuration_changes_meanwhile,
    answer_too_large_to_keep,
)


def call_naively(scene: Scene, key: str, timeout: float = 1.0) -> None:
    """Send a call as the stub without claims did: directly, again on failure."""
    url = scene.fleet.url("service-1") + "/guides"
    for _ in range(2):
        try:
            call("POST", url, {"lot": 1}, scene.headers(key), timeout)
        except OSError:
            continue
        return


def naive_cut_answer(scene: Scene, key: str) -> None:
    scene.fault("service-1", cut_answers=1)
    call_naively(scene, key)


def naive_late_answer(scene: Scene, key: str) -> None:
    scene.fault("service-1", delay_seconds=0.4)
    call_naively(scene, key, timeout=0.2)


def naive_two_entries(scene: Scene, key: str) -> None:
    both = [scene.pool.submit(call_naively, scene, key) for _ in range(2)]
    for later in both:
        later.result()


NAIVE_CASES = (naive_cut_answer, naive_late_answer, naive_two_entries)


class NaiveVersionTest(unittest.TestCase):
    def test_naive_version_runs_calls_twice(self):
        """Guards against fault cases that would not notice a second run."""
        scene = Scene()
        self.addCleanup(scene.stop)
        scene.fleet.start_module("service-1", "fakes.plain_service")
        for case in NAIVE_CASES:
            with self.subTest(case=case.__name__):
                key = str(uuid4())
                case(scene, key)
                scene.fault("service-1", delay_seconds=0.0, cut_answers=0)
                self.assertEqual(scene.runs(key), 2)


class AtMostOnceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.scene = Scene()
        self.addCleanup(self.scene.stop)
        self.scene.start()

    def check(self) -> None:
        """Compare what callers were told about each key with what ran."""
        self.assertEqual(self.scene.wrongly_refused, [])
        for key in {attempt.key for attempt in self.scene.attempts}:
            told = [attempt for attempt in self.scene.attempts if attempt.key == key]
            runs = self.scene.runs(key)
            self.assertLessEqual(runs, 1, told)
            if all(attempt.ran == "no" for attempt in told):
                self.assertEqual(runs, 0, told)
            if any(attempt.status == 200 for attempt in told):
                self.assertEqual(runs, 1, told)
        self.scene.attempts.clear()

    def run_cases(self, issued: bool) -> None:
        self.scene.issued = issued
        for case in CASES:
            with self.subTest(case=case.__name__, issued=issued):
                try:
                    case(self.scene)
                finally:
                    self.scene.clear()
                    # An answer or a write that is under way may still run a call.
                    time.sleep(0.6)
                    self.check()

    def test_keys_of_callers(self):
        """Guards against a second run, or a run after "not run", by journal claims."""
        self.run_cases(issued=False)

    def test_issued_keys(self):
        """Guards against the same with keys whose claims live in one process."""
        self.run_cases(issued=True)

    def test_draining_issuer(self):
        """Guards against a drain that cuts calls or denies a call that ran."""
        scene = self.scene
        scene.issued = True
        used, running, unused = (scene.new_key() for _ in range(3))
        self.assertEqual(scene.post("entry-1", used).status, 200)
        scene.fault("service-1", delay_seconds=1.2)
        later = scene.post_later("entry-2", running)
        scene.wait_run(running)
        scene.fleet.send_signal("entry-1", signal.SIGTERM)
        time.sleep(0.4)
        refused = scene.post("entry-2", unused)
        self.assertEqual((refused.name, refused.ran), ("DRAINING", "no"))
        self.assertEqual(scene.post("entry-2", used).status, 200)
        self.assertEqual(later.result().status, 200)
        self.assertEqual(scene.fleet.wait_exit("entry-1"), 0)
        for key in (used, running, unused):
            self.assertEqual(scene.post("entry-2", key).name, "OUTCOME_UNKNOWN")
        scene.restart("entry-1")
        for key in (used, running, unused):
            self.assertEqual(scene.post("entry-1", key).name, "OUTCOME_UNKNOWN")
        self.check()

    def test_drain_writes_the_last_answers(self):
        """Guards against a planned stop that leaves a finished call unknown."""
        scene = self.scene
        key = scene.new_key()
        scene.fault("service-1", delay_seconds=0.6)
        later = scene.post_later("entry-1", key)
        scene.wait_run(key)
        scene.fleet.send_signal("entry-1", signal.SIGTERM)
        self.assertEqual(later.result().status, 200)
        self.assertEqual(scene.fleet.wait_exit("entry-1"), 0)
        self.assertEqual(scene.post("entry-2", key).status, 200)
        self.check()

    def test_service_unreachable(self):
        """Guards against a claim that blocks its key although nothing was sent."""
        scene = self.scene
        for issued in (False, True):
            scene.issued = issued
            key = scene.new_key()
            scene.fleet.kill("service-1")
            # The run counter is down with the service, so `post` cannot judge this.
            url = scene.fleet.url("entry-1") + PATH
            headers = {**scene.headers(key), "Carawayhitch-Wait-Seconds": "1"}
            refused = call("POST", url, {"lot": 1}, headers)
            self.assertEqual(refused[2]["Carawayhitch-Ran"], "no")
            scene.fleet.start_module("service-1", "fakes.plain_service")
            time.sleep(0.4)
            self.assertEqual(scene.post("entry-1", key).status, 200)
            self.check()

    def test_accounts_and_old_keys(self):
        """Guards against reading another account's answers and against old keys."""
        scene = self.scene
        url = scene.fleet.url("entry-1") + PATH
        key = scene.new_key()
        scene.issued = True
        issued = scene.new_key()
        mine = call("POST", url, {}, scene.headers(key))
        other = call("POST", url, {}, scene.headers(key, "inspection"))
        self.assertNotEqual(json.loads(mine[1])["run"], json.loads(other[1])["run"])
        status, body, _ = call("POST", url, {}, scene.headers(issued, "inspection"))
        self.assertEqual(json.loads(body)["error"]["name"], "KEY_INVALID")
        milliseconds = int((time.time() - 86_500) * 1000)
        old = UUID(int=milliseconds << 80 | 7 << 76 | 2 << 62 | 5)
        status, body, _ = call("POST", url, {}, scene.headers(str(old)))
        self.assertEqual(json.loads(body)["error"]["name"], "KEY_EXPIRED")
        self.assertEqual(scene.runs(str(old)) + scene.runs(issued), 0)

    def test_forwards_are_authenticated(self):
        """Guards against calls that enter beside the callers' interface."""
        scene = self.scene
        scene.issued = True
        key = scene.new_key()
        url = scene.fleet.url("entry-1") + "/peer/v1/forwarded/register/guides"
        for proof in ("", "AAAA"):
            headers = {**scene.headers(key), "Carawayhitch-Forward": proof}
            status, body, _ = call("POST", url, {"lot": 1}, headers)
            self.assertEqual(json.loads(body)["error"]["name"], "FORWARD_REFUSED")
        self.assertEqual(scene.runs(key), 0)

    def test_entries_with_other_settings_share_one_layout(self):
        """Guards against two runs while other journal settings are rolled out."""
        scene = self.scene
        scene.fleet.settings_text = SETTINGS.replace("shards = 4", "shards = 7")
        scene.fleet.send_signal("entry-2", signal.SIGTERM)
        scene.fleet.wait_exit("entry-2")
        scene.restart("entry-2")
        same_key_at_two_entries_at_once(scene)
        self.check()
