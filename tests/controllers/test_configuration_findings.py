"""Tests of the findings of ``check``: rules, exit statuses, odd input."""

from __future__ import annotations

import contextlib
import io
import json
import re
import tempfile
import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from carawayhitch.cli import main
from carawayhitch.controllers import configuration_checks
from carawayhitch.core import declarations
from tests.controllers.test_configuration_checks import BINDING_TOML, VALID_TOML

DOCUMENT = Path(__file__).parents[2] / "docs" / "declarations.md"
ROUTE_TOML = '[[http_route]]\nname = "r"\nshares = [{group = "quotes"}]\n'
PLACE = 'host = "a.example"\npath_prefix = "/"\n'
ROUTE = ROUTE_TOML + PLACE
SERVICE_TOML = '[[plain_service]]\nname = "s"\nroutes = '
ACCOUNT_TOML = f'[[client_account]]\nname = "x"\ntoken_sha256s = ["{"b" * 64}"]\n'
SETTINGS_TOML = """
[node]
id = "n"
zone = "z"
region = "here"
[peers]
[store]
url = "http://127.0.0.1:2"
[platform]
[gateway]
address = "127.0.0.1:1"
regions_by_zone = {z = "here"}
"""
# Rule, text added to valid declarations, and a text with a small change that is clean.
CASES = (
    ("route-hidden", ROUTE + ROUTE.replace('"r"', '"q"'), ROUTE),
    (
        "route-hidden",
        SERVICE_TOML + '[{method = "GET", path_prefix = "/a", idempotent = true},'
        '{method = "GET", path_prefix = "/a/", idempotent = true}]',
        SERVICE_TOML + '[{method = "GET", path_prefix = "/a", idempotent = true},'
        '{method = "POST", path_prefix = "/a/", idempotent = true}]',
    ),
    (
        "path-never-matches",
        SERVICE_TOML + '[{method = "GET", path_prefix = "/a/../b", idempotent = true}]',
        SERVICE_TOML + '[{method = "GET", path_prefix = "/a/..b", idempotent = true}]',
    ),
    ("path-never-matches", ROUTE.replace('"/"', '"/a?b/"'), ROUTE),
    ("host-never-matches", ROUTE.replace("a.ex", "*.ex"), ROUTE),
    (
        "share-never-chosen",
        ROUTE.replace('"quotes"}', '"quotes"}, {group = "quotes", weight = 0}'),
        ROUTE.replace('"quotes"}', '"quotes", weight = 0}'),
    ),
    (
        "selector-selects-nothing",
        ACCOUNT_TOML + 'labels = {a = "1"}\n' + BINDING_TOML + "precedence = 1\n"
        'account_selector = {account = "hotel", a = "1"}',
        ACCOUNT_TOML + 'labels = {a = "1"}\n' + BINDING_TOML + "precedence = 1\n"
        'account_selector = {account = "x", a = "1"}',
    ),
    (
        "binding-hidden",
        BINDING_TOML
        + 'request_selector = {work = "a"}\nprecedence = 2\n'
        + BINDING_TOML.replace('"b"', '"c"')
        + 'request_selector = {work = "a", x = "1"}\nprecedence = 1',
        BINDING_TOML
        + 'request_selector = {work = "a", x = "1"}\nprecedence = 2\n'
        + BINDING_TOML.replace('"b"', '"c"')
        + 'request_selector = {work = "a"}\nprecedence = 1',
    ),
    ("timeout-under-goal", ROUTE + "timeout_seconds = 59", ROUTE),
    (
        "patience-under-goal",
        ROUTE + "patience_seconds = 59",
        ROUTE + "patience_seconds = 60",
    ),
    (
        "attempts-without-budget",
        ROUTE + "attempt_limit = 2",
        ROUTE + 'attempt_limit = 2\nwork = "repeatable"',
    ),
    (
        "attempts-without-budget",
        ROUTE + 'attempt_limit = 99\nwork = "repeatable"',
        ROUTE + 'attempt_limit = 2\nwork = "stream"\nresumable = true',
    ),
    (
        "region-without-servers",
        ROUTE + 'allowed_regions = ["there"]',
        ROUTE + 'allowed_regions = ["here"]',
    ),
    (
        "no-common-region",
        VALID_TOML.replace("[[binding]]", 'allowed_regions = ["here"]\n[[binding]]')
        + ROUTE
        + 'allowed_regions = ["there"]',
        ROUTE + 'allowed_regions = ["here"]',
    ),
    (
        "warm-up-without-rate",
        '[[serving_group]]\nname = "g"\nselector = {a = "b"}\nwarm_up_seconds = 1',
        '[[serving_group]]\nname = "g"\nselector = {a = "b"}\nwarm_up_seconds = 1\n'
        "cold_requests_per_second = 1",
    ),
    (
        "rate-without-warm-up",
        '[[serving_group]]\nname = "g"\nselector = {a = "b"}\n'
        "cold_requests_per_second = 1",
        '[[serving_group]]\nname = "g"\nselector = {a = "b"}',
    ),
    (
        "wait-under-target",
        '[[rank_class]]\nname = "x"\npriority = 1\nmaximum_wait_seconds = 1',
        '[[rank_class]]\nname = "x"\npriority = 1\nmaximum_wait_seconds = 2',
    ),
    (
        "quota-over-capacity",
        ACCOUNT_TOML + "queue_limit = 1001",
        ACCOUNT_TOML + "queue_limit = 1000",
    ),
)
odd_texts = st.sampled_from(
    (
        "x = " + "[" * 100_000,
        "[[rank_class]]\nname = " + "{a = " * 5000,
        '[[rank_class]]\nname = "x"\npriority = ' + "9" * 5000,
        '[[rank_class]]\nname = "x"\npriority = 0x' + "f" * 5000,
        '[[rank_class]]\nname = "x"\npriority = ' + "9" * 400,
        '[[rank_class]]\nname = "x\\n\\u0007"\npriority = 1',
        '[[rank_class]]\nname = "x"\npriority = 1\nfloor = nan',
        ROUTE + "timeout_seconds = 1e400",
        ROUTE.replace('"/"', '"\\n\\u0001/"'),
        "[[http_route]]\nname = 1979-05-27",
    )
).map(str.encode)
mutations = st.tuples(
    st.sampled_from(CASES), st.integers(0, 300), st.binary(max_size=6)
)
inputs = (
    odd_texts
    | st.binary(max_size=80)
    | mutations.map(
        lambda m: m[0][1].encode()[: m[1]] + m[2] + m[0][1].encode()[m[1] :]
    )
)


class CheckFindingsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "declared.toml"
        self.settings = Path(folder.name) / "settings"
        self.settings.write_text(SETTINGS_TOML)

    def check(self, content, *arguments):
        self.file.write_bytes(content)
        output, errors_output = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(errors_output),
        ):
            status = main(["check", str(self.file), *arguments])
        return status, output.getvalue(), errors_output.getvalue()

    def test_each_rule_finds_its_case_and_not_the_corrected_one(self):
        """Guards against entries without effect that stay unnoticed, and false ones."""
        extra = ("--json", "--settings", str(self.settings))
        for rule, wrong, corrected in CASES:
            with self.subTest(rule, wrong=wrong):
                base = "" if '[[binding]]\nname = "quotes"' in wrong else VALID_TOML
                status, output, error = self.check((base + wrong).encode(), *extra)
                self.assertEqual((status, error), (1, ""))
                found = {item["rule"] for item in json.loads(output)["findings"]}
                self.assertIn(rule, found)
                status, output, _ = self.check(
                    (VALID_TOML + corrected).encode(), *extra
                )
                self.assertEqual((status, json.loads(output)["findings"]), (0, []))

    def test_documented_rules_are_those_of_the_code(self):
        """Guards against a rule that scripts rely on and that no page names."""
        section = DOCUMENT.read_text().partition("## Findings")[2].partition("\n## ")[0]
        documented = re.findall(r"^\| `([a-z-]+)` \|", section, re.MULTILINE)
        self.assertEqual(documented, list(configuration_checks.RULES))
        tested = {rule for rule, _, _ in CASES} | {"invalid-declaration"}
        self.assertEqual(tested, set(documented))

    def test_all_invalid_values_are_listed(self):
        """Guards against a check that has to be repeated for each invalid value."""
        wrong = ROUTE.replace('"quotes"', '"absent"') + BINDING_TOML + "precedence = 5"
        status, output, error = self.check((VALID_TOML + wrong).encode())
        self.assertEqual((status, len(error.splitlines())), (2, 1))
        self.assertEqual(output.count("invalid-declaration: "), 2)

    def test_group_that_selects_no_listed_upstream_is_found(self):
        """Guards against a selector that is tested without the added labels."""
        group = declarations.ServingGroup("g", {"a": "1", "b": "2"})
        added = declarations.UpstreamLabels("u", {"b": "2"})
        known = configuration_checks.Known(None, {"u": {"a": "1"}})
        self.assertEqual(configuration_checks.find_findings([group, added], known), [])
        (found,) = configuration_checks.find_findings([group], known)
        self.assertEqual(found.rule, "selector-selects-nothing")

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


if __name__ == "__main__":
    unittest.main()
