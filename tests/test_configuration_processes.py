"""Configuration changes on real entry processes with an unreliable store."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import threading
import time
import unittest
from pathlib import Path

from fakes.processes import ADMIN_TOKEN, Fleet, call, token_hash

IN_FORCE_LIMIT_SECONDS = 8.0
ADMIN_HEADERS = {"Authorization": f"Bearer {ADMIN_TOKEN}"}
ENTRIES = ("entry-1", "entry-2", "entry-3", "entry-4")


class ConfigurationTestCase(unittest.TestCase):
    entries = ENTRIES

    def setUp(self) -> None:
        self.fleet = Fleet()
        self.addCleanup(self.fleet.stop)
        self.fleet.start_platform()
        self.fleet.put_defaults()
        for name in self.entries:
            self.fleet.reserve_entry_ports(name)
        for index, name in enumerate(self.entries):
            self.fleet.start_entry(name, zone="ab"[index % 2], wait=False)
        for name in self.entries:
            self.fleet.wait_ready(name)

    def faults(self, **faults):
        url = self.fleet.url("store") + "/fake/faults"
        self.assertEqual(call("POST", url, faults)[0], 200)

    def status(self, name):
        url = self.fleet.url(name) + "/admin/v1/status"
        return json.loads(call("GET", url, None, ADMIN_HEADERS)[1])

    def objects(self, name):
        url = self.fleet.url(name) + "/admin/v1/objects"
        listed = json.loads(call("GET", url, None, ADMIN_HEADERS)[1])["objects"]
        return {(item["kind"], item["name"]): item for item in listed}

    def account(self, name):
        return self.objects(name)["client_account", "hotel"]

    def change(self, entry, version, weight, change_id):
        body = {
            "change_id": change_id,
            "expected_version": version,
            "declaration": {
                "name": "hotel",
                "token_sha256s": [token_hash("hotel-token")],
                "quota_weight": weight,
            },
        }
        url = self.fleet.url(entry) + "/admin/v1/objects/client_account/hotel"
        status, answer, _ = call("PUT", url, body, ADMIN_HEADERS)
        return status, json.loads(answer)

    def wait_in_force(self, revision, names=None):
        """Wait until a revision is in force at all entries; return the seconds."""
        started = time.monotonic()
        waiting = set(names or self.entries)
        while waiting and time.monotonic() - started < 30:
            waiting -= {
                name
                for name in waiting
                if self.status(name)["in_force_revision"] >= revision
            }
            time.sleep(0.02)
        self.assertEqual(
            waiting,
            set(),
            f"revision {revision} not in force at these entries after 30 s",
        )
        return time.monotonic() - started


class PropagationTest(ConfigurationTestCase):
    def test_change_is_in_force_at_all_entries_though_the_store_goes_down(self):
        """Guards against changes that reach entries only through the store's watch."""
        version = self.account("entry-1")["version"]
        status, answer = self.change("entry-1", version, 2.0, "c1")
        self.faults(down=True)
        self.assertEqual(status, 200)
        self.assertLess(self.wait_in_force(answer["version"]), IN_FORCE_LIMIT_SECONDS)

    def test_change_missed_by_the_watch_reaches_all_entries(self):
        """Guards against a change that stays unknown if the watch misses its event."""
        version = self.account("entry-1")["version"]
        self.faults(skipped_changes=1)
        status, answer = self.change("entry-3", version, 3.0, "c1")
        self.assertEqual(status, 200)
        self.assertLess(self.wait_in_force(answer["version"]), IN_FORCE_LIMIT_SECONDS)

    def test_change_made_in_the_store_is_found_after_a_long_outage(self):
        """Guards against watchers that stop retrying or miss changes during an outage.

        The store keeps one change only, so that the watch cannot resume where it was.
        """
        self.faults(history_limit=1)
        self.faults(down=True)
        time.sleep(4.0)
        self.faults(down=False)
        for index in range(3):
            version = self.fleet.put_object(
                "upstream", f"u{index}", {"labels": {"a": "b"}}
            )
        self.wait_in_force(version)

    def test_two_operators_change_one_object_at_once(self):
        """Guards against a lost update when two operators use different entries."""
        version = self.account("entry-1")["version"]
        outcomes = {}

        def change(entry, weight):
            outcomes[entry] = self.change(entry, version, weight, f"by-{entry}")

        threads = [
            threading.Thread(target=change, args=pair)
            for pair in (("entry-1", 2.0), ("entry-2", 5.0))
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        won = [entry for entry, (status, _) in outcomes.items() if status == 200]
        self.assertEqual(sorted(s for s, _ in outcomes.values()), [200, 409])
        lost = next(entry for entry in outcomes if entry not in won)
        self.assertIn(f"by-{won[0]}", outcomes[lost][1]["error"]["message"])
        self.wait_in_force(outcomes[won[0]][1]["version"])
        changes = {self.account(name)["change_id"] for name in self.entries}
        self.assertEqual(changes, {f"by-{won[0]}"})

    def test_lost_answer_of_an_accepted_write_is_resolved(self):
        """Guards against reporting an accepted change as failed after a lost answer."""
        version = self.account("entry-1")["version"]
        self.faults(lost_write_answers=1)
        status, answer = self.change("entry-1", version, 2.0, "c1")
        self.assertEqual(status, 200, answer)
        self.assertEqual(self.account("entry-1")["change_id"], "c1")
        self.wait_in_force(answer["version"])

    def test_invalid_object_keeps_the_last_valid_configuration(self):
        """Guards against an outage caused by an invalid object in the store."""
        valid_revision = self.status("entry-1")["in_force_revision"]
        invalid_revision = self.fleet.put_object(
            "binding", "bad", {"group": "absent", "rank": "x"}
        )
        deadline = time.monotonic() + IN_FORCE_LIMIT_SECONDS
        while time.monotonic() < deadline:
            found = [self.status(name) for name in self.entries]
            if all(status["known_revision"] >= invalid_revision for status in found):
                break
            time.sleep(0.05)
        for status in found:
            self.assertEqual(status["in_force_revision"], valid_revision)
            self.assertEqual(status["state"], "ready")
            self.assertIn("binding/bad", status["problems"][0])
            self.assertGreaterEqual(status["rejected_count"], 1)

    def test_store_restarted_without_data_changes_no_configuration(self):
        """Guards against removing all accounts when the store restarts empty."""
        before = self.objects("entry-1")
        self.faults(forget_all=True)
        time.sleep(3.0)
        for name in self.entries:
            self.assertEqual(self.objects(name), before)
            self.assertEqual(self.status(name)["state"], "ready")

    def test_new_entry_reads_configuration_from_peers_while_the_store_is_down(self):
        """Guards against new entries that cannot start while the store is down."""
        version = self.account("entry-1")["version"]
        _, answer = self.change("entry-1", version, 2.0, "c1")
        self.wait_in_force(answer["version"])
        self.faults(down=True)
        self.fleet.start_entry("entry-5")
        self.assertEqual(self.account("entry-5")["version"], answer["version"])

    def test_simultaneous_restart_lists_the_store_at_most_once_per_entry(self):
        """Guards against exceeding the store's rate limits when all entries restart."""
        for name in self.entries:
            self.fleet.kill(name)
        calls_url = self.fleet.url("store") + "/fake/calls"
        before = json.loads(call("GET", calls_url)[1])["GET list"]
        for name in self.entries:
            self.fleet.start_entry(name, wait=False)
        for name in self.entries:
            self.fleet.wait_ready(name)
        time.sleep(2.0)
        lists = json.loads(call("GET", calls_url)[1])["GET list"] - before
        self.assertLessEqual(lists, len(self.entries))

    def test_single_entry_without_the_store_is_not_ready(self):
        """Guards against an entry that reports ready without a configuration."""
        self.faults(down=True)
        for name in self.entries:
            self.fleet.kill(name)
        self.fleet.start_entry("entry-1", wait=False)
        time.sleep(3.0)
        status = call("GET", self.fleet.url("entry-1") + "/readyz")[0]
        self.assertEqual(status, 503)

    def test_peer_exchange_without_the_key_is_refused(self):
        """Guards against reading or writing configuration without the peer key."""
        url = self.fleet.url("entry-1") + "/peer/v1/objects"
        body = {
            "peer_id": "x",
            "revision": 0,
            "complete_revision": -1,
            "digest": "",
            "since": -1,
            "objects": [],
        }
        status, answer, _ = call("POST", url, body, {"Carawayhitch-Peer": "1:00"})
        self.assertEqual(status, 403)
        self.assertNotIn(b"token_sha256s", answer)


class CommandTest(ConfigurationTestCase):
    entries = ("entry-1", "entry-2")

    def run_command(self, *arguments, token=ADMIN_TOKEN):
        environment = {**os.environ, "CARAWAYHITCH_ADMIN_TOKEN": token}
        finished = subprocess.run(
            [sys.executable, "-m", "carawayhitch", *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
        )
        return finished.returncode, finished.stdout, finished.stderr

    def run_against_entry(self, command, *arguments, **options):
        url = self.fleet.url("entry-1")
        return self.run_command(command, *arguments, "--entry", url, **options)

    def write_declarations(self, text):
        folder = Path(self.fleet.folder.name) / "declared"
        folder.mkdir(exist_ok=True)
        (folder / "all.toml").write_text(text)
        return str(folder)

    def test_get_output_can_be_applied_and_prune_deletes(self):
        """Guards against exports that lose or alter a declaration."""
        status, text, _ = self.run_against_entry("get", "-o", "toml")
        self.assertEqual(status, 0)
        folder = self.write_declarations(text)
        self.assertEqual(self.run_against_entry("diff", folder, "--prune")[:2], (0, ""))
        against = ("--json", "--against", self.fleet.url("entry-1"))
        _, output, error = self.run_command("check", folder, *against)
        self.assertEqual((json.loads(output)["differences"], error), ([], ""))
        changed = text.replace("precedence = 10", "precedence = 11")
        changed = changed.replace('name = "inspection"', 'name = "guides"')
        folder = self.write_declarations(changed)
        status, output, _ = self.run_against_entry("diff", folder, "--prune")
        self.assertEqual(status, 1)
        expected = [
            "+ client_account/guides",
            "~ binding/lookups",
            "- client_account/inspection",
        ]
        self.assertEqual(output.splitlines(), expected)
        status, output, error = self.run_against_entry("apply", folder, "--prune")
        self.assertEqual(status, 0, error)
        self.assertEqual(self.run_against_entry("diff", folder, "--prune")[:2], (0, ""))
        deadline = time.monotonic() + IN_FORCE_LIMIT_SECONDS
        key = ("client_account", "inspection")
        while time.monotonic() < deadline:
            if self.objects("entry-2")[key]["declaration"] is None:
                break
            time.sleep(0.05)
        self.assertIsNone(self.objects("entry-2")[key]["declaration"])
        status, output, _ = self.run_against_entry("status")
        self.assertEqual(status, 0)
        self.assertIn("entry entry-1: ready", output)
        self.assertIn("entry entry-2: ready", output)
        seconds = re.search(r"in force everywhere after (\S+) s", output)
        self.assertIsNotNone(seconds, output)
        self.assertLess(float(seconds[1]), IN_FORCE_LIMIT_SECONDS)

    def test_invalid_input_changes_nothing_and_exits_with_status_2(self):
        """Guards against partly applied folders and errors that name no location."""
        before = self.objects("entry-1")
        _, text, _ = self.run_against_entry("get")
        broken = text + '\n[[binding]]\nname = "x"\ngroup = "absent"\nrank = "urgent"\n'
        folder = self.write_declarations(
            broken + 'request_selector = {a = "b"}\nprecedence = 30\n'
        )
        for command in ("check", "diff", "apply"):
            run = self.run_command if command == "check" else self.run_against_entry
            status, _, error = run(command, folder)
            self.assertEqual(status, 2)
            self.assertEqual(len(error.splitlines()), 1)
            for part in ("all.toml", "binding/x", "'group'", "'absent'", "expected"):
                self.assertIn(part, error)
        self.assertEqual(self.objects("entry-1"), before)

    def test_wrong_token_is_refused(self):
        """Guards against configuration access without a valid operator token."""
        status, output, error = self.run_against_entry("get", token="wrong")
        self.assertEqual((status, output), (1, ""))
        self.assertIn("OPERATOR_REFUSED", error)
