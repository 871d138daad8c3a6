"""Entries as real processes on fake services of the users' platform."""

from __future__ import annotations

import fcntl
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
import unittest
from uuid import uuid4

from fakes.link import FakeLink
from fakes.platform_fleet import (
    DEFAULT_ROUTES,
    MODEL_SERVICE,
    OBJECTS,
    PLAIN_SERVICE,
    PlatformFleet,
    route,
)
from fakes.processes import call

# Requirement of the users: within this time a configuration change is in force and a
# leaving upstream gets no new work.
CHANGE_LIMIT_SECONDS = 2.0


def sequences(body: bytes) -> list[int]:
    lines = body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


def becomes_true_within(seconds, condition):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.02)
    return condition()


class PlatformPathTest(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet()
        self.addCleanup(self.fleet.stop)
        self.fleet.start_store()
        self.fleet.configure()

    def start(self, entries=1, engines=1, services=1, event_seconds=0.02):
        for index in range(services):
            self.fleet.start_server(f"plain-{index}", PLAIN_SERVICE)
        for index in range(engines):
            name = f"engine-{index}"
            self.fleet.start_server(name, MODEL_SERVICE, "a", event_seconds)
        for index in range(entries):
            self.fleet.start_gateway(f"entry-{index}", wait=False)
        for index in range(entries):
            self.fleet.wait_gateway(f"entry-{index}")

    def test_each_kind_of_call_is_forwarded_unchanged(self):
        """Guards against altered bytes, forged internal headers and wrong accounts."""
        self.start()
        request_id = uuid4().hex
        status, body, headers = self.fleet.ask(
            "entry-0",
            "/order/a%2Fb//c?x=%41",
            body=b"\x00\xff",
            Carawayhitch_Request_Id=request_id,
            Carawayhitch_Tenant="forged",
            Carawayhitch_Hold="forged",
            Kv_From="forged",
        )
        self.assertEqual((status, body), (200, b"\x00\xff"))
        self.assertEqual(headers["Carawayhitch-Server-Seal"], "seal-of-plain-0")
        seen = self.fleet.server_call_record("plain-0")["seen"][-1]
        self.assertEqual(seen["path"], "/order/a%2Fb//c?x=%41")
        sent = seen["headers"]
        self.assertEqual(sent["carawayhitch-tenant"], "hotel")
        self.assertEqual(sent["carawayhitch-expect-instance"], "plain-0")
        self.assertLessEqual(int(sent["carawayhitch-deadline-ms"]), 5000)
        for name in ("authorization", "carawayhitch-hold", "kv-from"):
            self.assertNotIn(name, sent)
        for path, count in (("/draft/1", 30), ("/ask/1", 4)):
            answer = self.fleet.ask("entry-0", f"{path}?events={count}")
            self.assertEqual(sequences(answer[1]), list(range(1, count + 1)))

    def test_calls_outside_the_configuration_are_refused(self):
        """Guards against running calls with an unknown route or an unknown API key."""
        self.start()
        self.assertEqual(self.fleet.ask("entry-0", "/none/1")[0], 404)
        self.assertEqual(self.fleet.ask("entry-0", "/order/1", key="wrong")[0], 401)
        self.assertEqual(self.fleet.server_call_record("plain-0")["seen"], [])

    def test_headers_above_the_declared_limit_are_refused(self):
        """Guards against a header limit that is declared but not enforced."""
        self.fleet.configure(limits={"headerBytes": 8192})
        self.start()
        for size, wanted in ((7000, 200), (9000, 431), (20_000, 431)):
            with self.subTest(size=size):
                status, _, headers = self.fleet.ask(
                    "entry-0", "/order/1", Filler="x" * size
                )
                self.assertEqual(status, wanted)
                self.assertNotIn("Retry-After", headers)
        self.assertEqual(self.run_count("plain-0"), 1)

    def test_entry_without_configuration_answers_503(self):
        """Guards against 401 and 404 from an entry that has no configuration yet."""
        self.fleet.store_call("DELETE", f"{OBJECTS}/config/main")
        self.fleet.start_gateway("entry-0", wait=False)
        answered = becomes_true_within(
            5, lambda: self._status_or_none("entry-0", "/order/1") is not None
        )
        self.assertTrue(answered)
        self.assertEqual(self._status_or_none("entry-0", "/order/1"), 503)
        self.assertFalse(self.fleet.is_ready("entry-0"))

    def _status_or_none(self, entry, path):
        try:
            return self.fleet.ask(entry, path)[0]
        except OSError:
            return None

    def test_change_is_in_force_at_all_entries_despite_lost_watches(self):
        """Guards against missed changes when a store watch stops delivering events."""
        self.start(entries=2)
        new = (*DEFAULT_ROUTES, route("late", "safe", PLAIN_SERVICE))
        for fault in ({}, {"forget": True}):
            with self.subTest(fault):
                if fault:
                    call("POST", self.fleet.url("store") + "/fake/faults", fault)
                self.fleet.configure(new if not fault else DEFAULT_ROUTES)
                wanted = 404 if fault else 200
                for name in ("entry-0", "entry-1"):
                    self.assertTrue(
                        becomes_true_within(
                            CHANGE_LIMIT_SECONDS,
                            lambda name=name, wanted=wanted: (
                                self._status_or_none(name, "/late/1") == wanted
                            ),
                        ),
                        name,
                    )

    def test_last_running_entry_applies_changes_in_time(self):
        """Guards against an entry that stops watching the store after its peers left.

        The last entry assumed for up to 6 s that it had not contacted its peers yet,
        and watched nothing in that time.
        """
        self.start(entries=2)
        # Every entry compares its configuration with a peer within 3.9 s.
        time.sleep(4.0)
        self.fleet.send_signal("entry-1", signal.SIGTERM)
        self.assertEqual(self.fleet.wait_exit("entry-1"), 0)
        # The watch that was open when the other entry left ends within 1 s.
        time.sleep(1.2)
        self.fleet.configure((*DEFAULT_ROUTES, route("late", "safe", PLAIN_SERVICE)))
        self.assertTrue(
            becomes_true_within(
                CHANGE_LIMIT_SECONDS,
                lambda: self._status_or_none("entry-0", "/late/1") == 200,
            )
        )

    def test_revoked_key_is_refused_in_time(self):
        self.start()
        self.fleet.configure(keys=("another",))
        self.assertTrue(
            becomes_true_within(
                CHANGE_LIMIT_SECONDS,
                lambda: self._status_or_none("entry-0", "/order/1") == 401,
            )
        )

    def test_leaving_upstream_gets_no_new_work(self):
        """Guards against sending work to draining or unregistered upstreams."""
        self.start(services=2)
        self.fleet.register("plain-0", PLAIN_SERVICE, state="draining")
        time.sleep(CHANGE_LIMIT_SECONDS / 2)
        before = len(self.fleet.server_call_record("plain-0")["seen"])
        for _ in range(20):
            self.assertEqual(self.fleet.ask("entry-0", "/order/1")[0], 200)
        self.assertEqual(len(self.fleet.server_call_record("plain-0")["seen"]), before)
        # The server registers again under its previous id.
        self.fleet.register("plain-0", PLAIN_SERVICE, born=2000)
        time.sleep(CHANGE_LIMIT_SECONDS / 2)
        self.fleet.store_call("DELETE", f"{OBJECTS}/servers/plain-1")
        time.sleep(CHANGE_LIMIT_SECONDS / 2)
        before = len(self.fleet.server_call_record("plain-1")["seen"])
        for _ in range(20):
            self.assertEqual(self.fleet.ask("entry-0", "/order/1")[0], 200)
        self.assertEqual(len(self.fleet.server_call_record("plain-1")["seen"]), before)

    def test_upstream_that_announces_its_leaving_gets_no_new_work(self):
        """Guards against work for an upstream that says in an answer that it leaves.

        The store is silent meanwhile, so the answer is the only source.
        """
        self.start(services=2)
        call("POST", self.fleet.url("store") + "/fake/faults", {"silent": True})
        self.fleet.server_faults("plain-0", announces_leaving=True)
        announced = False
        while not announced:
            _, _, headers = self.fleet.ask("entry-0", "/order/1")
            announced = headers.get("Server-Leaving") == "1"
        before = self.run_count("plain-0")
        statuses = [self.fleet.ask("entry-0", "/order/1")[0] for _ in range(20)]
        self.assertEqual(set(statuses), {200})
        self.assertEqual(self.run_count("plain-0"), before)

    def test_refusing_upstream_gets_no_calls_for_the_time_it_names(self):
        """Guards against calls and retries that keep an overloaded server busy."""
        self.start(services=2)
        self.fleet.server_faults("plain-0", refusals=1000, retry_after=1.5)
        refused_at = 0.0
        while not refused_at:
            self.assertEqual(self.fleet.ask("entry-0", "/order/1")[0], 200)
            if self.refusal_count("plain-0"):
                refused_at = time.monotonic()
        while time.monotonic() < refused_at + 1.3:
            self.assertEqual(self.fleet.ask("entry-0", "/order/1")[0], 200)
        self.assertEqual(self.refusal_count("plain-0"), 1)
        # All servers refuse, and the call's goal of 1 s cannot be met.
        self.fleet.server_faults("plain-1", refusals=1000, retry_after=7.5)
        self.fleet.server_faults("plain-0", refusals=1000, retry_after=8.5)
        statuses: list[int] = []
        while not statuses or time.monotonic() < refused_at + 4.0:
            started = time.monotonic()
            status, _, headers = self.fleet.ask("entry-0", "/order/1")
            statuses.append(status)
            last = time.monotonic() - started, headers
        self.assertEqual(set(statuses), {503})
        self.assertLess(last[0], 0.5)
        self.assertGreater(float(last[1]["Retry-After"]), 3.0)
        self.assertLessEqual(self.refusal_count("plain-0"), 2)
        self.assertEqual(self.refusal_count("plain-1"), 1)

    def refusal_count(self, name):
        return self.fleet.server_call_record(name)["counts"].get("refusals", 0)

    def test_stalled_store_connections_are_replaced_in_time(self):
        """Guards against watch scopes that wait for each other after a common stall.

        All connections to the store stall at once. The entry must follow the store
        again within 3 s of the stall.
        """
        link = FakeLink(self.fleet.ports_by_name["store"])
        self.addCleanup(link.stop)
        self.fleet.store_url = lambda entry: f"http://127.0.0.1:{link.port}"
        self.start(services=2)
        for _ in range(3):
            link.silence()
            stalled_at = time.monotonic()
            self.fleet.register("plain-0", PLAIN_SERVICE, state="draining")
            time.sleep(max(0.0, stalled_at + 3.0 - time.monotonic()))
            before = self.run_count("plain-0")
            for index in range(10):
                self.fleet.ask("entry-0", f"/order/{index}")
            self.assertEqual(self.run_count("plain-0"), before)
            self.fleet.register("plain-0", PLAIN_SERVICE)
            time.sleep(CHANGE_LIMIT_SECONDS / 2)

    def test_invalid_registrations_are_ignored(self):
        """Guards against an entry that stops reading the store at an invalid object."""
        self.start()
        invalid_specs = (
            {"service": 5},
            "text",
            None,
            {"service": PLAIN_SERVICE, "address": "x", "zone": "a", "state": "ready"},
            {"service": PLAIN_SERVICE, "address": "1:1", "zone": "a", "state": "odd"},
        )
        for index, spec in enumerate(invalid_specs):
            body = {"metadata": {"name": f"bad-{index}"}, "spec": spec}
            self.fleet.store_call("POST", f"{OBJECTS}/servers", body)
        self.fleet.start_server("plain-9", PLAIN_SERVICE)
        self.fleet.store_call("DELETE", f"{OBJECTS}/servers/plain-0")
        time.sleep(CHANGE_LIMIT_SECONDS / 2)
        for _ in range(5):
            self.assertEqual(self.fleet.ask("entry-0", "/order/1")[0], 200)
        self.assertEqual(len(self.fleet.server_call_record("plain-9")["seen"]), 5)

    def test_only_safe_calls_are_retried(self):
        """Guards against retrying unsafe calls, which would then run twice."""
        self.start(services=2)
        self.fleet.server_faults("plain-0", failures=1000)
        answers = [self.fleet.ask("entry-0", f"/look/{n}", "GET") for n in range(10)]
        self.assertEqual({status for status, _, _ in answers}, {200})
        self.assertEqual(
            {headers["Carawayhitch-Server-Seal"] for _, _, headers in answers},
            {"seal-of-plain-1"},
        )
        look_run_count = self.run_count("plain-0")
        self.assertGreater(look_run_count, 0)
        statuses = [self.fleet.ask("entry-0", f"/order/{n}")[0] for n in range(10)]
        self.assertEqual(
            statuses.count(500), self.run_count("plain-0") - look_run_count
        )
        self.assertEqual(
            self.run_count("plain-0") + self.run_count("plain-1"), 20 + look_run_count
        )

    def test_failing_server_is_ejected_by_all_entries(self):
        """Guards against each entry losing calls to the same faulty server.

        Entries must share the failures they see.
        """
        self.start(entries=2, services=3)
        time.sleep(1.0)
        self.fleet.server_faults("plain-0", failures=1000)
        call_count = 0
        while self.run_count("plain-0") < 3 and call_count < 60:
            self.fleet.ask("entry-0", f"/order/{call_count}")
            call_count += 1
        # Three failures eject the server. A slow machine needs a few more, because
        # earlier failures decay in between. A server that is not ejected would receive
        # ten of the next thirty calls.
        for entry in ("entry-0", "entry-1"):
            for n in range(15):
                self.fleet.ask(entry, f"/order/{n}")
        self.assertLessEqual(self.run_count("plain-0"), 6)

    def run_count(self, name):
        return self.fleet.server_call_record(name)["counts"].get("runs", 0)

    def test_interrupted_stream_is_continued_or_truncated(self):
        """Guards against interrupted streams that look complete or have gaps."""
        self.start(engines=2)
        self.fleet.server_faults("engine-0", cut_after=3)
        _, body, _ = self.fleet.ask("entry-0", "/ask/1?events=8")
        self.assertEqual(sequences(body), list(range(1, 9)))
        self.assertEqual(self.run_count("engine-1"), 1)
        for name in ("engine-0", "engine-1"):
            self.fleet.server_faults(name, cut_after=3)
        with self.assertRaises(http.client.IncompleteRead):
            self.fleet.ask("entry-0", "/draft/1?events=8")

    def test_generations_move_off_a_reclaimed_engine(self):
        """Guards against interrupted streams when their engine is reclaimed.

        Running generations must move to another engine before the engine stops.
        """
        self.check_moves(unframed=False)

    def test_streams_without_framing_move_off_a_reclaimed_engine(self):
        """Guards against half a stream that ends as complete when it is moved.

        The engine closes the connection of a stopped generation, which is also the end
        of a response that has neither a length nor chunks.
        """
        self.check_moves(unframed=True)

    def check_moves(self, unframed):
        self.start(entries=2, engines=1, event_seconds=0.05)
        self.fleet.server_faults("engine-0", unframed=unframed)
        answers = []

        def draft(entry):
            answers.append(
                self.fleet.ask(
                    entry,
                    "/draft/1?events=80",
                    Carawayhitch_Request_Id=uuid4().hex,
                    Carawayhitch_Token_Count="100,2000",
                )
            )

        callers = [
            threading.Thread(target=draft, args=(f"entry-{index % 2}",))
            for index in range(4)
        ]
        for caller in callers:
            caller.start()
        # The second engine starts after all generations run on the first. A scheduler
        # that has just started uses only engines that have reported, so with both
        # engines all generations might run on the one that is not reclaimed.
        self.assertTrue(
            becomes_true_within(2.0, lambda: self.run_count("engine-0") == 4)
        )
        self.fleet.start_server("engine-1", MODEL_SERVICE, "a", 0.05)
        self.fleet.server_faults("engine-1", unframed=unframed)
        time.sleep(0.3)
        self.fleet.register("engine-0", MODEL_SERVICE, state="draining")
        time.sleep(1.0)
        self.assertEqual(
            self.fleet.server_call_record("engine-0")["counts"].get("lost", 0), 0
        )
        self.fleet.kill("engine-0")
        for caller in callers:
            caller.join()
        for _, body, headers in answers:
            self.assertEqual(sequences(body), list(range(1, 81)))
            self.assertEqual(headers["Carawayhitch-Server-Seal"], "seal-of-engine-0")
        continued = self.fleet.server_call_record("engine-1")["counts"].get(
            "continued", 0
        )
        self.assertEqual(continued, 4)

    def test_stop_interrupts_nothing(self):
        """Guards against interrupted calls during a planned stop."""
        self.start(event_seconds=0.05)
        answers = []
        caller = threading.Thread(
            target=lambda: answers.append(
                self.fleet.ask("entry-0", "/draft/1?events=30")
            )
        )
        caller.start()
        time.sleep(0.3)
        self.fleet.send_signal("entry-0", signal.SIGTERM)
        self.assertTrue(
            becomes_true_within(1.0, lambda: not self.fleet.is_ready("entry-0"))
        )
        caller.join()
        self.assertEqual(sequences(answers[0][1]), list(range(1, 31)))
        self.assertEqual(self.fleet.wait_exit("entry-0"), 0)

    def test_reload_interrupts_nothing(self):
        """Guards against a process that exits on SIGHUP."""
        self.start()
        self.fleet.send_signal("entry-0", signal.SIGHUP)
        time.sleep(0.3)
        self.assertEqual(self.fleet.ask("entry-0", "/order/1")[0], 200)

    def test_calls_are_served_during_a_store_outage(self):
        self.start()
        for fault in ({"status": 503}, {"status": 0, "silent": True}):
            call("POST", self.fleet.url("store") + "/fake/faults", fault)
            time.sleep(1.0)
            self.assertEqual(self.fleet.ask("entry-0", "/order/1")[0], 200)

    def test_refusal_is_counted_and_logged(self):
        """Guards against refusals that appear in neither the metrics nor the log."""
        self.start()
        self.fleet.ask("entry-0", "/none/1", Carawayhitch_Request_Id="id-of-none")
        port = self.fleet.gateways_by_name["entry-0"]["metrics"]
        _, text, _ = call("GET", f"http://127.0.0.1:{port}/metrics")
        self.assertIn(b'name="NO_ROUTE"', text)
        (refused,) = self.log_lines_of("entry-0", "id-of-none")
        self.assertEqual(refused["code"], "NO_ROUTE")

    def test_refusal_before_the_body_is_logged_with_its_request_id(self):
        """Guards against a refused request that cannot be found by its id."""
        self.start()
        head = "POST /none/1 HTTP/1.1", "Host: h", "Content-Length: 9"
        sent_id = "Carawayhitch-Request-Id: id-of-none"
        port = self.fleet.ports_by_name["entry-0"]
        with socket.create_connection(("127.0.0.1", port), timeout=20.0) as caller:
            caller.sendall("\r\n".join((*head, sent_id, "", "")).encode())
            self.assertEqual(caller.recv(12), b"HTTP/1.1 404")
        (refused,) = self.log_lines_of("entry-0", "id-of-none")
        self.assertEqual(refused["code"], "NO_ROUTE")

    def log_lines_of(self, entry, request_id):
        lines = [
            json.loads(line)
            for line in self.fleet.log_text(entry).splitlines()
            if line.startswith("{")
        ]
        return [line for line in lines if line.get("request_id") == request_id]

    def test_status_command_describes_a_running_entry(self):
        """Guards against a status command that omits parts of the entry's state."""
        self.start()
        port = self.fleet.gateways_by_name["entry-0"]["metrics"]
        command = [sys.executable, "-m", "carawayhitch", "status", "--metrics"]
        finished = subprocess.run(
            [*command, f"http://127.0.0.1:{port}"], capture_output=True, text=True
        )
        self.assertEqual(finished.returncode, 0, finished.stderr)
        for expected in (
            "entry entry-0: ready",
            f"configuration: version {self.fleet.version}, in force for",
            "store upstreams: answered",
            "scheduled by entry-0",
            "open requests: 0",
            "upstream plain-0 (service)",
        ):
            self.assertIn(expected, finished.stdout)
        refused = subprocess.run(
            [*command, "not a URL"], capture_output=True, text=True
        )
        self.assertEqual(refused.returncode, 2)
        self.assertEqual(len(refused.stderr.splitlines()), 1)

    def test_log_explains_the_course_of_a_request(self):
        """Guards against decisions that are logged without inputs or not at all."""
        self.start(services=2)
        for name in ("plain-0", "plain-1"):
            self.fleet.server_faults(name, failures=5)
        status, *_ = self.fleet.ask(
            "entry-0", "/look/1", "GET", b"", Carawayhitch_Request_Id="id-1"
        )
        self.assertEqual(status, 500)
        lines = self.log_lines_of("entry-0", "id-1")
        names = [line["event"] for line in lines]
        attempt = ["ask granted", "upstream granted"]
        self.assertEqual(
            names,
            ["call admitted", *attempt, "call retried", *attempt, "request ended"],
        )
        self.assertEqual(lines[0]["version"], self.fleet.version)
        self.assertGreaterEqual(lines[0]["revision_age"], 0.0)
        self.assertNotEqual(lines[2]["upstream"], lines[5]["upstream"])
        self.assertEqual(lines[3]["code"], "RETRY_FAILED_ANSWER")
        self.assertEqual((lines[6]["status"], lines[6]["attempt"]), (500, 2))
        for name in ("plain-0", "plain-1"):
            self.fleet.server_faults(name)
        self.assertEqual(self.fleet.ask("entry-0", "/order/1")[0], 200)
        port = self.fleet.gateways_by_name["entry-0"]["metrics"]
        _, body, _ = call("GET", f"http://127.0.0.1:{port}/metrics")
        text = body.decode()
        for stage in ("queue", "first", "whole"):
            wanted = 'stage_seconds_count{kind="order",rank="priority-1/goal-1",'
            self.assertIn(f'{wanted}stage="{stage}"}}', text)
        self.assertIn("carawayhitch_configuration_age_seconds", text)
        self.assertIn('store_contact_age_seconds{scope="upstreams"}', text)

    def test_unread_log_output_blocks_no_call(self):
        """Guards against entries that block on writing their log.

        The log goes to a full pipe that nobody reads.
        """
        self.start(entries=0)
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
        self.fleet.start_gateway("entry-0", output=writer)
        started = time.monotonic()
        for _ in range(300):
            self.assertEqual(self.fleet.ask("entry-0", "/order/1")[0], 200)
        self.assertLess(time.monotonic() - started, 15.0)
        port = self.fleet.gateways_by_name["entry-0"]["metrics"]
        _, text, _ = call("GET", f"http://127.0.0.1:{port}/metrics")
        self.assertIn(b'carawayhitch_dropped_log_lines{reason="backlog"}', text)
        self.fleet.send_signal("entry-0", signal.SIGTERM)
        self.fleet.wait_exit("entry-0")


if __name__ == "__main__":
    unittest.main()
