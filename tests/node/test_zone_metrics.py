"""Counts of calls and bytes by pair of availability zones."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from carawayhitch.core import actions
from carawayhitch.node._metrics import new_metrics
from carawayhitch.node._performers import perform


class ZoneMetricsTest(unittest.TestCase):
    def test_calls_and_bytes_are_added_by_zones_and_reason(self):
        node = SimpleNamespace(metrics=new_metrics())
        for byte_count in (1500.0, 65_000.0):
            perform(actions.CountZoneCall("a", "b", "less_wait", byte_count), node)
        labels = {"entry_zone": "a", "upstream_zone": "b", "reason": "less_wait"}
        value = node.metrics.registry.get_sample_value
        self.assertEqual(value("carawayhitch_zone_calls_total", labels), 2)
        name = "carawayhitch_zone_estimated_bytes_total"
        self.assertEqual(value(name, labels), 66_500)


if __name__ == "__main__":
    unittest.main()
