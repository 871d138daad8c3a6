"""Counts of calls and bytes by pair of availability zones."""

from __future__ import annotations

import unittest

from carawayhitch.core import actions
from carawayhitch.node import Node
from carawayhitch.node._performers import perform
from tests.boards import ready_board
from tests.node.test_metrics import scraped_samples


class ZoneMetricsTest(unittest.TestCase):
    def test_calls_and_bytes_are_added_by_zones_and_reason(self):
        node = Node(ready_board().settings)
        for byte_count in (1500.0, 65_000.0):
            perform(actions.CountZoneCall("a", "b", "less_wait", byte_count), node)
        labels = {"entry_zone": "a", "upstream_zone": "b", "reason": "less_wait"}
        values = scraped_samples(node)
        for name, expected in (
            ("carawayhitch_zone_calls_total", 2),
            ("carawayhitch_zone_estimated_bytes_total", 66_500),
        ):
            self.assertEqual(values[(name, *sorted(labels.items()))], expected)


if __name__ == "__main__":
    unittest.main()
