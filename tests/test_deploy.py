"""Files with which the users' platform builds and starts an entry."""

from __future__ import annotations

import re
import tempfile
import tomllib
import unittest
from pathlib import Path

from carawayhitch import codecs
from carawayhitch.controllers.store_watch import answer_interval_seconds
from fakes.platform_template import render

ROOT = Path(__file__).parent.parent
# Template fields under the names of the platform, with the bounds of a deployment.
TEMPLATE_FIELDS = {
    "nodeName": "entry-a-1",
    "ip": "10.1.0.19",
    "zone": "a",
    "region": "r1",
    "zones": {"a": "r1", "b": "r1"},
    "bind": {"frontend": "10.1.0.19:8740", "readiness": "10.1.0.19:8749"},
    "internalPorts": [7200, 7215],
    "bounds": {
        "contactMs": 3000,
        "drainMs": 2000,
        "configMs": 2000,
        "graceS": 8,
        "retrySlack": 113,
        "budgetWindowS": 10,
    },
    "platform": {"address": "10.200.1.7:8742"},
    "limits": {
        "cpuShare": 0.717,
        "cores": 3,
        "memoryMb": 136,
        "linkMbps": 100.0,
        "maxFds": 1535,
    },
}


def read_rendered_settings(fields):
    template = (ROOT / "deploy" / "settings.toml").read_text()
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(render(template, fields))
        file.flush()
        return codecs.read_settings(file.name)


class TemplateTest(unittest.TestCase):
    def setUp(self):
        self.settings = read_rendered_settings(TEMPLATE_FIELDS)

    def test_resources_of_the_vm(self):
        """Guards against duties given without regard to the strength of VMs."""
        node = self.settings.node
        self.assertAlmostEqual(node.processor_share * node.processor_cores, 2.151)
        self.assertEqual((node.memory_megabytes, node.link_megabits), (136, 100))
        unknown = read_rendered_settings(
            {**TEMPLATE_FIELDS, "limits": {"memoryMb": 136}}
        )
        self.assertEqual(unknown.node.processor_share, 0)

    def test_bounds_may_be_fractions(self):
        """Guards against an entry that exits because a bound is not a whole number.

        Bounds are whole numbers or fractions; a deployment played at a share of its
        size has a retry slack of 35.83.
        """
        bounds = {
            name: value + 0.83 for name, value in TEMPLATE_FIELDS["bounds"].items()
        }
        settings = read_rendered_settings({**TEMPLATE_FIELDS, "bounds": bounds})
        self.assertEqual(settings.retries.fleet_limit, 113.83)
        self.assertEqual(settings.retries.fleet_window_seconds, 10.83)

    def test_rendered_template_is_valid(self):
        """Guards against a settings template that an entry rejects at start-up."""
        self.assertEqual(self.settings.node.id, "entry-a-1")
        self.assertEqual(self.settings.node.http_port, 7200)
        self.assertEqual(self.settings.gateway.address, "10.1.0.19:8740")
        regions = {"a": "r1", "b": "r1"}
        self.assertEqual(self.settings.gateway.regions_by_zone, regions)
        self.assertEqual(self.settings.store.url, "http://10.200.1.7:8742")
        self.assertEqual(self.settings.retries.fleet_limit, 113)

    def test_cold_servers_are_limited_where_a_bound_says_so(self):
        """Guards against a limit on deployments without the bound, or without it."""
        self.assertEqual(self.settings.scheduling.cold_overage, 0.0)
        bounds = {**TEMPLATE_FIELDS["bounds"], "coldOverage": 1.5, "coldSlack": 0}
        settings = read_rendered_settings({**TEMPLATE_FIELDS, "bounds": bounds})
        self.assertEqual(settings.scheduling.cold_overage, 1.5)
        self.assertEqual(settings.scheduling.cold_slack, 0.0)

    def test_timeouts_are_within_platform_bounds(self):
        """Guards against timeouts too long to keep the bounds of the platform."""
        store, bounds = self.settings.store, TEMPLATE_FIELDS["bounds"]
        for factor in (0.6, 1.0, 1.5, 2.0):
            scaled = {name: value * factor for name, value in bounds.items()}
            settings = read_rendered_settings({**TEMPLATE_FIELDS, "bounds": scaled})
            watch_seconds = answer_interval_seconds(settings.store)
            with self.subTest(factor=factor):
                silence_detection_seconds = watch_seconds + store.timeout_seconds
                self.assertLess(silence_detection_seconds, scaled["contactMs"] / 1000)
                self.assertLess(watch_seconds, scaled["configMs"] / 1000)
                self.assertLess(watch_seconds, scaled["drainMs"] / 1000)
        self.assertLess(self.settings.drain.limit_seconds, bounds["graceS"])
        self.assertLessEqual(set(store.slow_scopes), set(store.stale_scopes))
        self.assertLessEqual(set(store.stale_scopes), set(store.scopes))

    def test_zone_drains_are_read_where_the_platform_bounds_them(self):
        """Guards against a bound without its scope, and calls where there is none."""
        self.assertNotIn("zone_drains", self.settings.store.scopes)
        self.assertEqual(self.settings.store.zone_drain_milliseconds, 0.0)
        bounds = {**TEMPLATE_FIELDS["bounds"], "evacuateMs": 5000}
        store = read_rendered_settings({**TEMPLATE_FIELDS, "bounds": bounds}).store
        self.assertEqual(store.scopes[-1], "zone_drains")
        self.assertEqual(store.consistent_scopes, ("zone_drains",))
        self.assertNotIn("zone_drains", store.stale_scopes + store.slow_scopes)
        self.assertEqual(store.zone_drain_milliseconds, 5000)

    def test_promises_do_not_rest_on_stale_reads_alone(self):
        """Guards against late changes, since a stale read may be seconds old."""
        store = self.settings.store
        for scope in ("configuration", "upstreams"):
            self.assertNotIn(scope, store.stale_scopes)
        self.assertGreaterEqual(store.watchers_per_zone, 2)


class BuildTest(unittest.TestCase):
    def test_role_refers_to_existing_files(self):
        """Guards against a deploy file that refers to missing files."""
        system = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        for role in system["roles"].values():
            _, program, *_ = role["run"].split()
            self.assertTrue((ROOT / program).exists(), program)
            self.assertTrue((ROOT / role["template"]).exists(), role["template"])

    def test_requirements_match_project_and_are_pinned(self):
        """Guards against deployed library versions that differ from the tested ones."""
        pins = re.findall(r"^([\w.-]+)==", (ROOT / "constraints.txt").read_text(), re.M)
        lines = (ROOT / "deploy" / "requirements.txt").read_text().split("\n")
        self.assertEqual(lines[0], "-c ../constraints.txt")
        required = {line for line in lines[1:] if line}
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
        self.assertEqual(required, set(project["dependencies"]))
        self.assertLessEqual({name.lower() for name in required}, set(pins))
