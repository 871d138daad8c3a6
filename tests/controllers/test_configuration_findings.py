"""Tests of the findings of ``check``: rules, exit statuses, odd input."""

from __future__ import annotations

import io
import json
import re
import tempfile
import threading
import unittest
from contextlib import redirect_stderr, redirect_stdout
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from carawayhitch.cli import main
from carawayhitch.controllers import configuration_checks
from carawayhitch.node import describe_status
from tests.boards import ready_board
from tests.controllers.test_configuration_checks import BINDING_TOML, VALID_TOML

DOCUMENT = Path(__file__).parents[2] / "docs" / "declarations.md"
ROUTE = (
    '[[http_route]]\nname = "r"\nshares = [{group = "quotes"}]\n'
    'host = "a.example"\npath_prefix = "/"\n'
)
ACCOUNT = f'[[client_account]]\nname = "x"\ntoken_sha256s = ["{"b" * 64}"]\n'
LABELLED = ACCOUNT + 'labels = {a = "1"}\n' + BINDING_TOML + "precedence = 1\n"
GROUP = '[[serving_group]]\nname = "g"\nselector = {a = "b"}\n'
RANK = '[[rank_class]]\nname = "x"\npriority = 1\n'
SETTINGS_TOML = """
node = {id = "n", zone = "z", region = "here"}
peers = {}
store = {url = "http://127.0.0.1:2"}
platform = {}
gateway = {address = "127.0.0.1:1", regions_by_zone = {z = "here"}}
"""


def service(*calls):
    routes = (
        'method = "{}", path_prefix = "{}", idempotent = true'.format(*call.split())
        for call in calls
    )
    return f'[[plain_service]]\nname = "s"\nroutes = [{{{"}, {".join(routes)}}}]\n'


NARROW = BINDING_TOML + 'request_selector = {work = "a", x = "1"}\nprecedence = 2\n'
WIDE = BINDING_TOML.replace('"b"', '"c"') + 'request_selector = {work = "a"}\n'
HERE, THERE = 'allowed_regions = ["here"]\n', 'allowed_regions = ["there"]\n'
HOTEL_HERE = VALID_TOML.replace("[[binding]]", HERE + "[[binding]]")
SELECT_X = 'account_selector = {account = "x", a = "1"}'
SELECT_HOTEL = SELECT_X.replace('"x"', '"hotel"')
UNUSED = '{group = "quotes", weight = 0}]'
ONLY_UNUSED = ROUTE.replace('{group = "quotes"}]', UNUSED)
REPEATABLE = 'work = "repeatable"\n'
REPEATED = ROUTE + REPEATABLE
WARM_UP = GROUP + "warm_up_seconds = 1\n"
# Rule, common text, text with which the rule finds it, and text with which it is clean.
CASES = (
    ("route-hidden", ROUTE, ROUTE.replace('"r"', '"q"'), ""),
    ("route-hidden", "", service("GET /a", "GET /a/"), service("GET /a", "POST /a/")),
    ("path-never-matches", "", service("GET /a/../b"), service("GET /a/..b")),
    ("path-never-matches", "", ROUTE.replace('"/"', '"/a?b/"'), ROUTE),
    ("path-never-matches", "", ROUTE.replace('"/"', '"/é/"'), ROUTE),
    ("host-never-matches", "", ROUTE.replace("a.ex", "*.ex"), ROUTE),
    ("share-never-chosen", "", ROUTE.replace("}]", "}, " + UNUSED), ONLY_UNUSED),
    ("selector-selects-nothing", LABELLED, SELECT_HOTEL, SELECT_X),
    ("binding-hidden", NARROW + WIDE, "precedence = 3", "precedence = 1"),
    ("timeout-under-goal", ROUTE, "timeout_seconds = 59", "timeout_seconds = 60"),
    ("patience-under-goal", ROUTE, "patience_seconds = 59", "patience_seconds = 60"),
    ("attempts-without-budget", ROUTE + "attempt_limit = 2\n", "", REPEATABLE),
    ("attempts-without-budget", REPEATED, "attempt_limit = 99", "attempt_limit = 2"),
    ("region-without-servers", ROUTE, THERE, HERE),
    ("no-common-region", HOTEL_HERE + ROUTE, THERE, HERE),
    ("warm-up-without-rate", WARM_UP, "", "cold_requests_per_second = 1"),
    ("rate-without-warm-up", GROUP, "cold_requests_per_second = 1", ""),
    ("wait-under-target", RANK, "maximum_wait_seconds = 1", "maximum_wait_seconds = 2"),
    ("quota-over-capacity", ACCOUNT, "queue_limit = 1001", "queue_limit = 1000"),
)


PRIORITY = '[[rank_class]]\nname = "x"\npriority = '
ODD_TEXTS = (
    "x = " + "[" * 100_000,
    "[[rank_class]]\nname = " + "{a = " * 5000,
    PRIORITY + "9" * 5000,
    PRIORITY + "0x" + "f" * 5000,
    PRIORITY + "9" * 400,
    PRIORITY + "1\nfloor = nan",
    ROUTE + "timeout_seconds = 1e400",
    ROUTE.replace('"/"', '"\\n\\u0001/"'),
    ROUTE.replace("a.ex", "é.ex"),
    "[[http_route]]\nname = 1979-05-27",
)


def with_valid(text):
    return (text if text.startswith(VALID_TOML[:20]) else VALID_TOML + text).encode()


def with_inserted(case, place, inserted):
    text = with_valid(case[1] + case[2])
    return text[:place] + inserted + text[place:]


parts = (st.sampled_from(CASES), st.integers(0, 500), st.binary(max_size=6))
inputs = st.sampled_from(ODD_TEXTS).map(str.encode) | st.binary(max_size=80)
inputs |= st.builds(with_inserted, *parts)


class OperatorInterface(BaseHTTPRequestHandler):
    """Stand-in for the operators' interface of an entry."""

    def do_GET(self):
        status, body = self.server.answers_by_path[self.path]
        self.send_response(status)
        self.send_header("Content-Length", str(self.server.announced or len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format, *arguments):
        pass


def stored(kind, name, declaration):
    versions = {"version": 1, "write_version": 1, "change_id": "c"}
    return {"kind": kind, "name": name, "declaration": declaration, **versions}


class CheckTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "declared.toml"
        self.settings = Path(folder.name) / "settings"
        self.settings.write_text(SETTINGS_TOML)
        self.token = Path(folder.name) / "token"
        self.token.write_text("t")
        self.server = HTTPServer(("127.0.0.1", 0), OperatorInterface)
        self.server.announced = 0
        thread = threading.Thread(target=self.server.serve_forever, args=(0.01,))
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        self.url = f"http://127.0.0.1:{self.server.server_port}"

    def check(self, content, *arguments):
        self.file.write_bytes(content)
        output, errors_output = io.BytesIO(), io.StringIO()
        ascii_output = io.TextIOWrapper(output, "ascii", write_through=True)
        with redirect_stdout(ascii_output), redirect_stderr(errors_output):
            status = main(["check", str(self.file), *arguments])
        return status, output.getvalue().decode(), errors_output.getvalue()

    def test_each_rule_finds_its_case_and_not_the_corrected_one(self):
        """Guards against entries without effect that stay unnoticed, and false ones."""
        extra = ("--json", "--settings", str(self.settings))
        for rule, common, wrong, corrected in CASES:
            with self.subTest(rule, wrong=wrong):
                status, output, error = self.check(with_valid(common + wrong), *extra)
                self.assertEqual((status, error), (1, ""))
                found = {item["rule"] for item in json.loads(output)["findings"]}
                self.assertIn(rule, found)
                status, output, _ = self.check(with_valid(common + corrected), *extra)
                self.assertEqual((status, json.loads(output)["findings"]), (0, []))

    def test_documented_rules_are_those_of_the_code(self):
        """Guards against a rule that scripts rely on and that no page names."""
        section = DOCUMENT.read_text().split("| rule | found |")[1].split("\n\n")[0]
        documented = re.findall(r"^\| `([a-z-]+)` \|", section, re.MULTILINE)
        self.assertEqual(documented, list(configuration_checks.RULES))
        tested = {rule for rule, *_ in CASES} | {"invalid-declaration"}
        self.assertEqual(tested, set(documented))

    def test_all_invalid_values_are_listed(self):
        """Guards against a check that has to be repeated for each invalid value."""
        wrong = ROUTE.replace('"quotes"', '"absent"') + BINDING_TOML + "precedence = 5"
        status, output, error = self.check(with_valid(wrong))
        self.assertEqual((status, len(error.splitlines())), (2, 1))
        self.assertEqual(output.count("invalid-declaration: "), 2)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(inputs)
    def test_any_input_ends_with_a_message_and_an_exit_status(self, content):
        """Guards against input that ends the command with a traceback."""
        status, output, error = self.check(content)
        self.assertIn(status, (0, 1, 2))
        self.assertTrue(error if status == 2 else output)
        self.assertEqual(len(error.splitlines()), 1 if status == 2 else 0)
        status_with_json, output, _ = self.check(content, "--json")
        self.assertEqual(status_with_json, status)
        self.assertEqual(bool(json.loads(output)["error"]), status == 2)

    def check_against(self, url, *arguments, added=b""):
        options = ("--against", url, "--token-file", str(self.token))
        return self.check(VALID_TOML.encode() + added, *options, *arguments)

    def answer(self, objects, upstreams=(), **changed):
        listed = {"node": "n", "revision": 1, "complete": True, "objects": objects}
        status = describe_status(ready_board(), 0.0)
        upstream = {"id": "u", "kind": "engine", "leaving": False}
        upstream |= {"serving_groups": [], "bindings": []}
        status["upstreams"] = [upstream | {"labels": labels} for labels in upstreams]
        self.server.answers_by_path = {
            "/admin/v1/objects": (200, json.dumps(listed | changed).encode()),
            "/admin/v1/status": (200, json.dumps(status).encode()),
        }

    def test_differences_are_listed_by_field(self):
        """Guards against changes, removals and deleted objects shown wrongly."""
        objects = [
            stored("rank_class", "urgent", {"name": "urgent", "priority": 3}),
            stored("rank_class", "gone", {"name": "gone", "priority": 1}),
            stored("rank_class", "deleted", None),
            stored(
                "serving_group",
                "quotes",
                {"name": "quotes", "old": 1, "selector": {"model": "quotes"}},
            ),
        ]
        self.answer(objects, [{"model": "quotes"}])
        status, output, error = self.check_against(self.url)
        self.assertEqual((status, error), (0, ""))
        expected = [
            "added: binding/quotes",
            "added: client_account/hotel",
            "removed: rank_class/gone",
            "changed: rank_class/urgent: priority 3 -> 0",
        ]
        self.assertEqual(output.splitlines()[1:-1], expected)
        self.assertIn("old 1 -> None", output.splitlines()[-1])
        self.assertNotIn("selector", output.splitlines()[-1])
        differences = json.loads(self.check_against(self.url, "--json")[1])[
            "differences"
        ]
        field = {"field": "priority", "in_force": "3", "declared": "0"}
        self.assertEqual(differences[3]["fields"], [field])

    def test_groups_are_compared_with_listed_upstreams(self):
        """Guards against findings without listed upstreams or without added labels."""
        added = b'[[upstream]]\nname = "u"\nlabels = {model = "quotes"}'
        other = [{"model": "other"}]
        cases = (([], b"", 0), (other, b"", 1), (other, added, 0))
        for upstreams, text, expected in cases:
            self.answer([], upstreams)
            status, output, _ = self.check_against(self.url, added=text)
            self.assertEqual(status, expected, output)

    def test_an_entry_that_cannot_be_read_gives_status_2(self):
        """Guards against a comparison with nothing that looks like success."""
        self.answer([], complete=False)
        incomplete = self.server.answers_by_path["/admin/v1/objects"]
        for url, answer, announced, part in (
            (self.url, incomplete, 0, "no complete configuration"),
            (self.url, (200, b"[" * 9999), 0, "MALFORMED"),
            (self.url, (200, b""), 0, "MALFORMED"),
            (self.url, (403, b"{}"), 99, "cut off"),
            ("http://127.0.0.1:1", (200, b""), 0, "no response"),
            ("nowhere", (200, b""), 0, "unknown url type"),
        ):
            with self.subTest(url=url, answer=answer):
                self.server.announced = announced
                self.server.answers_by_path["/admin/v1/objects"] = answer
                status, _, error = self.check_against(url)
                self.assertEqual((status, len(error.splitlines())), (2, 1), error)
                self.assertIn(part, error)
