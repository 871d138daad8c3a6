"""Tests of the validation of declarations, from TOML files to complete sets."""

from __future__ import annotations

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from carawayhitch import codecs, controllers
from carawayhitch.cli import main
from carawayhitch.core import declarations, errors

EXAMPLE = Path(__file__).parents[2] / "docs" / "example"
VALID_TOML = """
[[rank_class]]
name = "urgent"
priority = 0
[[serving_group]]
name = "quotes"
selector = {model = "quotes"}
[[client_account]]
name = "hotel"
token_sha256s = ["TOKEN"]
[[binding]]
name = "quotes"
group = "quotes"
rank = "urgent"
""".replace("TOKEN", "a" * 64)
BINDING_TOML = '[[binding]]\nname = "b"\ngroup = "quotes"\nrank = "urgent"\n'
ACCOUNT_TOML = '[[client_account]]\nname = "x"\n'
# Added TOML text by case, and the parts that the error line has to contain.
INVALID_TOML_BY_CASE = {
    "unknown kind": ('[[rank]]\nname = "x"', ("'rank'", "rank_class")),
    "one table": ('[upstream]\nname = "x"', ("'upstream'", "[[upstream]]")),
    "unknown key": (
        '[[rank_class]]\nname = "x"\npriority = 1\nflor = 0.1',
        ("rank_class/x", "flor"),
    ),
    "key of derived ranks only": (
        '[[rank_class]]\nname = "x"\npriority = 1\nroute_priority = 1',
        ("rank_class/x", "route_priority"),
    ),
    "wrong type": (
        '[[rank_class]]\nname = "x"\npriority = "high"',
        ("rank_class/x", "'priority'", "'high'", "int"),
    ),
    "missing key": ('[[rank_class]]\nname = "x"', ("rank_class/x", "priority")),
    "range": (
        '[[rank_class]]\nname = "x"\npriority = 1\nfloor = 1.5',
        ("'floor'", "1.5", "<= 1"),
    ),
    "not a number": (
        f'{ACCOUNT_TOML}token_sha256s = ["{"b" * 64}"]\nquota_weight = inf',
        ("client_account/x", "'quota_weight'", "inf", "finite"),
    ),
    "floors": (
        '[[rank_class]]\nname = "x"\npriority = 1\nfloor = 0.6\n'
        '[[rank_class]]\nname = "y"\npriority = 1\nfloor = 0.6',
        ("'floor'", "0.6", "at most 1, not 1.2"),
    ),
    "duplicate name": (
        '[[rank_class]]\nname = "urgent"\npriority = 1',
        ("rank_class/urgent", "'name'", "does not declare"),
    ),
    "duplicate token": (
        f'{ACCOUNT_TOML}token_sha256s = ["{"a" * 64}"]',
        ("client_account/hotel", "token_sha256s", "'x'", "a" * 64),
    ),
    "plain token": (
        f'{ACCOUNT_TOML}token_sha256s = ["secret"]',
        ("token_sha256s[0]", "'secret'", "SHA-256"),
    ),
    "no token": (
        f"{ACCOUNT_TOML}token_sha256s = []",
        ("token_sha256s", "at least one"),
    ),
    "name of a path": (
        '[[upstream]]\nname = "a/b"',
        ("upstream/a/b", "'a/b'", "letters"),
    ),
    "empty group selector": (
        '[[serving_group]]\nname = "all"\nselector = {}',
        ("serving_group/all", "selector", "at least one label"),
    ),
    "unknown group": (
        BINDING_TOML.replace('"quotes"', '"absent"') + "precedence = 1",
        ("binding/b", "'group'", "'absent'", "serving_group"),
    ),
    "unknown rank": (
        BINDING_TOML.replace('"urgent"', '"absent"'),
        ("binding/b", "'rank'", "'absent'", "rank_class"),
    ),
    "unknown account": (
        f'{BINDING_TOML}account_selector = {{account = "absent"}}\nprecedence = 1',
        ("account_selector.account", "'absent'", "client_account"),
    ),
    "unknown label": (
        f'{BINDING_TOML}account_selector = {{tier = "large"}}\nprecedence = 1',
        ("account_selector.tier", "'large'", "carries"),
    ),
    "unknown service": (
        f'{BINDING_TOML}request_selector = {{service = "absent"}}\nprecedence = 1',
        ("request_selector.service", "'absent'", "plain_service"),
    ),
    "overlap": (
        f'{BINDING_TOML}request_selector = {{work = "lookup"}}',
        ("binding/", "'precedence'", "0", "another precedence"),
    ),
    "hidden bindings": (
        f"{BINDING_TOML}precedence = 5",
        ("binding/b", "'precedence'", "5", "lowest"),
    ),
    "route without slash": (
        '[[plain_service]]\nname = "s"\n'
        'routes = [{method = "GET", path_prefix = "x", idempotent = true}]',
        ("routes[0].path_prefix", "'x'", "leading"),
    ),
    "order for nothing": (
        '[[engine_order]]\nname = "o"\ngroup = "absent"',
        ("engine_order/o", "'group'", "'absent'"),
    ),
    "not TOML": ("[[rank_class", ("added.toml",)),
}


class CheckCommandTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "good.toml").write_text(VALID_TOML)

    def check(self, *arguments):
        errors_text = io.StringIO()
        with (
            contextlib.redirect_stderr(errors_text),
            contextlib.redirect_stdout(io.StringIO()),
        ):
            status = main(["check", *arguments])
        return status, errors_text.getvalue()

    def test_example_folder_is_valid(self):
        """Guards against documented examples that `check` rejects."""
        self.assertEqual(self.check(str(EXAMPLE)), (0, ""))

    def test_invalid_values_are_reported_in_one_line(self):
        """Guards against undetected invalid values, and errors without a location."""
        self.assertEqual(self.check(str(self.folder))[0], 0)
        for name, (added, parts) in INVALID_TOML_BY_CASE.items():
            with self.subTest(name):
                (self.folder / "added.toml").write_text(added)
                status, message = self.check(str(self.folder))
                self.assertEqual(status, 2, message)
                self.assertEqual(len(message.splitlines()), 1)
                for part in (".toml", *parts):
                    self.assertIn(part, message)

    def test_empty_folder_is_refused(self):
        """Guards against a mistyped path that deletes all objects when pruning."""
        status, message = self.check(str(self.folder / "absent"))
        self.assertEqual(status, 2)
        self.assertIn("absent", message)


label_text = st.text(min_size=1, max_size=12)
names = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,9}", fullmatch=True)


class DeclarationPropertiesTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(names, st.dictionaries(label_text, label_text, max_size=4), st.integers())
    def test_declarations_round_trip_through_toml(self, name, labels, priority):
        """Guards against exported strings or numbers that are read back differently."""
        declared = {}
        for declaration in (
            declarations.RankClass(name, priority % 2**40, 0.1, 1e-7),
            declarations.UpstreamLabels(name, labels),
            declarations.ServingGroup(name, {"a": "b", **labels}),
            declarations.PlainService(
                name, (declarations.ServiceRoute("GET", "/é\x7f", True),)
            ),
        ):
            kind = controllers.kind_of(declaration)
            declared[declarations.ObjectKey(kind, name)] = declaration
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "all.toml"
            path.write_text(codecs.encode_declarations_toml(declared), encoding="utf-8")
            found = codecs.read_declarations(folder)
        self.assertEqual(found.declarations_by_key, declared)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        st.lists(
            st.dictionaries(st.sampled_from("abc"), st.sampled_from("xy")), max_size=6
        )
    )
    def test_overlaps_equal_those_of_a_pairwise_comparison(self, selectors):
        """Guards against missed or false overlaps due to the grouping by labels."""
        bindings = [
            declarations.Binding(f"b{index}", "g", "r", {}, selector)
            for index, selector in enumerate(selectors)
        ]
        found = [
            problem
            for problem in controllers.find_declaration_problems(bindings)
            if "another precedence" in problem.expected
        ]
        expected = any(
            all(second.get(key, value) == value for key, value in first.items())
            for index, first in enumerate(selectors)
            for second in selectors[:index]
        )
        self.assertEqual(bool(found), expected)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.binary(max_size=60) | st.from_regex(r'\{"_change":.{0,30}\}').map(str.encode)
    )
    def test_any_stored_value_is_decoded_or_described(self, value):
        """Guards against a store value that terminates the event loop."""
        for kind in (*declarations.declaration_types_by_kind, "other"):
            try:
                codecs.decode_declaration(kind, "n", value)
            except errors.InvalidValueError as error:
                self.assertIn(f"{kind}/n", error.message)
