"""Entries on the stand-ins of the users' platform, over real processes."""

from __future__ import annotations

import fcntl
import http.client
import json
import os
import signal
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

# Target of the users for changes and for leaving upstreams, in seconds.
CHANGE_SECONDS = 2.0


def sequences(body: bytes) -> list[int]:
    lines = body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


def within(seconds, condition):
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

    def test_every_kind_of_call_is_served_unchanged(self):
        """Guards against changed bytes, headers of the caller's and wrong accounts."""
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

    def test_calls_that_no_configuration_allows(self):
        """Guards against calls on unknown routes or with unknown keys that run."""
        self.start()
        self.assertEqual(self.fleet.ask("entry-0", "/none/1")[0], 404)
        self.assertEqual(self.fleet.ask("entry-0", "/order/1", key="wrong")[0], 401)
        self.assertEqual(self.fleet.server_call_record("plain-0")["seen"], [])

    def test_headers_above_the_declared_limit_are_refused(self):
        """Guards against a limit that operators declare and nobody keeps."""
        self.fleet.configure(limits={"headerBytes": 8192})
        self.start()
        for size, wanted in ((7000, 200), (9000, 431), (20_000, 431)):
            with self.subTest(size=size):
                status, _, headers = self.fleet.ask(
                    "entry-0", "/order/1", Filler="x" * size
                )
                self.assertEqual(status, wanted)
                self.assertNotIn("Retry-After", headers)
        self.assertEqual(self.runs_of("plain-0"), 1)

    def test_entry_without_configuration_promises_nothing_ran(self):
        """Guards against 401 and 404 from an entry that knows no configuration."""
        self.fleet.store_call("DELETE", f"{OBJECTS}/config/main")
        self.fleet.start_gateway("entry-0", wait=False)
        answered = within(5, lambda: self._status("entry-0", "/order/1") is not None)
        self.assertTrue(answered)
        self.assertEqual(self._status("entry-0", "/order/1"), 503)
        self.assertFalse(self.fleet.is_ready("entry-0"))

    def _status(self, entry, path):
        try:
            return self.fleet.ask(entry, path)[0]
        except OSError:
            return None

    def test_change_is_in_force_everywhere_although_watches_are_lost(self):
        """Guards against a watch that says nothing and is taken for no change."""
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
                        within(
                            CHANGE_SECONDS,
                            lambda name=name, wanted=wanted: (
                                self._status(name, "/late/1") == wanted
                            ),
                        ),
                        name,
                    )

    def test_last_entry_in_service_learns_of_changes_in_time(self):
        """Guards against an entry that watches nothing when its peers have just left.

        It took itself for one that has not met its peers yet, for up to 6 s.
        """
        self.start(entries=2)
        # Every entry compares with a peer within 3.9 s.
        time.sleep(4.0)
        self.fleet.send_signal("entry-1", signal.SIGTERM)
        self.assertEqual(self.fleet.wait_exit("entry-1"), 0)
        # The watch that ran when the other one left ends within 1 s.
        time.sleep(1.2)
        self.fleet.configure((*DEFAULT_ROUTES, route("late", "safe", PLAIN_SERVICE)))
        self.assertTrue(
            within(CHANGE_SECONDS, lambda: self._status("entry-0", "/late/1") == 200)
        )

    def test_taken_key_is_refused_in_time(self):
        self.start()
        self.fleet.configure(keys=("another",))
        self.assertTrue(
            within(CHANGE_SECONDS, lambda: self._status("entry-0", "/order/1") == 401)
        )

    def test_leaving_upstream_gets_no_more_work(self):
        """Guards against work for upstreams that drain or are no longer listed."""
        self.start(services=2)
        self.fleet.register("plain-0", PLAIN_SERVICE, state="draining")
        time.sleep(CHANGE_SECONDS / 2)
        before = len(self.fleet.server_call_record("plain-0")["seen"])
        for _ in range(20):
            self.assertEqual(self.fleet.ask("entry-0", "/order/1")[0], 200)
        self.assertEqual(len(self.fleet.server_call_record("plain-0")["seen"]), before)
        # It starts again under the id that it had.
        self.fleet.register("plain-0", PLAIN_SERVICE, born=2000)
        time.sleep(CHANGE_SECONDS / 2)
        self.fleet.store_call("DELETE", f"{OBJECTS}/servers/plain-1")
        time.sleep(CHANGE_SECONDS / 2)
        before = len(self.fleet.server_call_record("plain-1")["seen"])
        for _ in range(20):
            self.assertEqual(self.fleet.ask("entry-0", "/order/1")[0], 200)
        self.assertEqual(len(self.fleet.server_call_record("plain-1")["seen"]), before)

    def test_silent_connections_to_the_store_are_left_in_time(self):
        """Guards against scopes that wait for each other when all fall silent at once.

        An entry counts as in touch again 3 s after its connections fell silent.
        """
        link = FakeLink(self.fleet.ports_by_name["store"])
        self.addCleanup(link.stop)
        self.fleet.store_url = lambda entry: f"http://127.0.0.1:{link.port}"
        self.start(services=2)
        for _ in range(3):
            link.silence()
            silent_at = time.monotonic()
            self.fleet.register("plain-0", PLAIN_SERVICE, state="draining")
            time.sleep(max(0.0, silent_at + 3.0 - time.monotonic()))
            before = self.runs_of("plain-0")
            for index in range(10):
                self.fleet.ask("entry-0", f"/order/{index}")
            self.assertEqual(self.runs_of("plain-0"), before)
            self.fleet.register("plain-0", PLAIN_SERVICE)
            time.sleep(CHANGE_SECONDS / 2)

    def test_registrations_of_other_writers_do_no_harm(self):
        """Guards against an entry that stops to follow the store at a bad object."""
        self.start()
        bad = (
            {"service": 5},
            "text",
            None,
            {"service": PLAIN_SERVICE, "address": "x", "zone": "a", "state": "ready"},
            {"service": PLAIN_SERVICE, "address": "1:1", "zone": "a", "state": "odd"},
        )
        for index, spec in enumerate(bad):
            body = {"metadata": {"name": f"bad-{index}"}, "spec": spec}
            self.fleet.store_call("POST", f"{OBJECTS}/servers", body)
        self.fleet.start_server("plain-9", PLAIN_SERVICE)
        self.fleet.store_call("DELETE", f"{OBJECTS}/servers/plain-0")
        time.sleep(CHANGE_SECONDS / 2)
        for _ in range(5):
            self.assertEqual(self.fleet.ask("entry-0", "/order/1")[0], 200)
        self.assertEqual(len(self.fleet.server_call_record("plain-9")["seen"]), 5)

    def test_safe_call_is_tried_again_and_unsafe_one_is_not(self):
        """Guards against unsafe calls that run twice."""
        self.start(services=2)
        self.fleet.server_faults("plain-0", failures=1000)
        answers = [self.fleet.ask("entry-0", f"/look/{n}", "GET") for n in range(10)]
        self.assertEqual({status for status, _, _ in answers}, {200})
        self.assertEqual(
            {headers["Carawayhitch-Server-Seal"] for _, _, headers in answers},
            {"seal-of-plain-1"},
        )
        looks = self.runs_of("plain-0")
        self.assertGreater(looks, 0)
        statuses = [self.fleet.ask("entry-0", f"/order/{n}")[0] for n in range(10)]
        self.assertEqual(statuses.count(500), self.runs_of("plain-0") - looks)
        self.assertEqual(self.runs_of("plain-0") + self.runs_of("plain-1"), 20 + looks)

    def test_failing_server_is_ejected_at_all_entries(self):
        """Guards against entries that each lose calls at the same faulty server."""
        self.start(entries=2, services=3)
        time.sleep(1.0)
        self.fleet.server_faults("plain-0", failures=1000)
        asked = 0
        while self.runs_of("plain-0") < 3 and asked < 60:
            self.fleet.ask("entry-0", f"/order/{asked}")
            asked += 1
        # Three failures eject the server, or a few more on a slow machine, where they
        # fade in between. Without that, ten of the next thirty calls go there.
        for entry in ("entry-0", "entry-1"):
            for n in range(15):
                self.fleet.ask(entry, f"/order/{n}")
        self.assertLessEqual(self.runs_of("plain-0"), 6)

    def runs_of(self, name):
        return self.fleet.server_call_record(name)["counts"].get("runs", 0)

    def test_stream_that_breaks_is_continued_or_cut(self):
        """Guards against broken streams that look complete or have gaps."""
        self.start(engines=2)
        self.fleet.server_faults("engine-0", cut_after=3)
        _, body, _ = self.fleet.ask("entry-0", "/ask/1?events=8")
        self.assertEqual(sequences(body), list(range(1, 9)))
        self.assertEqual(self.runs_of("engine-1"), 1)
        for name in ("engine-0", "engine-1"):
            self.fleet.server_faults(name, cut_after=3)
        with self.assertRaises(http.client.IncompleteRead):
            self.fleet.ask("entry-0", "/draft/1?events=8")

    def test_generation_outlives_its_engine(self):
        """Guards against streams that are cut when their engine is reclaimed."""
        self.start(entries=2, engines=1, event_seconds=0.05)
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
        # A scheduler that starts grants only on engines that have reported, so with two
        # engines all generations may run on the one that is not reclaimed.
        self.assertTrue(within(2.0, lambda: self.runs_of("engine-0") == 4))
        self.fleet.start_server("engine-1", MODEL_SERVICE, "a", 0.05)
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
        """Guards against calls that are cut by a planned stop."""
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
        self.assertTrue(within(1.0, lambda: not self.fleet.is_ready("entry-0")))
        caller.join()
        self.assertEqual(sequences(answers[0][1]), list(range(1, 31)))
        self.assertEqual(self.fleet.wait_exit("entry-0"), 0)

    def test_reload_interrupts_nothing(self):
        """Guards against a process that ends on SIGHUP."""
        self.start()
        self.fleet.send_signal("entry-0", signal.SIGHUP)
        time.sleep(0.3)
        self.assertEqual(self.fleet.ask("entry-0", "/order/1")[0], 200)

    def test_outage_of_the_store_stops_no_call(self):
        self.start()
        for fault in ({"status": 503}, {"status": 0, "silent": True}):
            call("POST", self.fleet.url("store") + "/fake/faults", fault)
            time.sleep(1.0)
            self.assertEqual(self.fleet.ask("entry-0", "/order/1")[0], 200)

    def test_metrics_and_log(self):
        """Guards against an entry whose failures cannot be explained afterwards."""
        self.start()
        self.fleet.ask("entry-0", "/none/1", Carawayhitch_Request_Id="id-of-none")
        port = self.fleet.gateways_by_name["entry-0"]["metrics"]
        _, text, _ = call("GET", f"http://127.0.0.1:{port}/metrics")
        self.assertIn(b'name="NO_ROUTE"', text)
        (refused,) = self.lines_of("entry-0", "id-of-none")
        self.assertEqual(refused["code"], "NO_ROUTE")

    def lines_of(self, entry, request_id):
        lines = [
            json.loads(line)
            for line in self.fleet.log_text(entry).splitlines()
            if line.startswith("{")
        ]
        return [line for line in lines if line.get("request_id") == request_id]

    def test_status_of_a_running_entry(self):
        """Guards against an operator who cannot see what an entry believes."""
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

    def test_log_leads_from_a_request_to_its_cause(self):
        """Guards against decisions without a line, or without what decided them."""
        self.start(services=2)
        for name in ("plain-0", "plain-1"):
            self.fleet.server_faults(name, failures=5)
        status, *_ = self.fleet.ask(
            "entry-0", "/look/1", "GET", b"", Carawayhitch_Request_Id="id-1"
        )
        self.assertEqual(status, 500)
        lines = self.lines_of("entry-0", "id-1")
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

    def test_output_that_nobody_reads_stops_no_call(self):
        """Guards against entries that wait for the reader of their log."""
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
