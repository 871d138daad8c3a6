"""What the start of a process took, for the log."""

from __future__ import annotations

import time
import unittest

from carawayhitch.node import read_start_costs


class StartCostsTest(unittest.TestCase):
    def test_elapsed_time_begins_when_the_process_was_created(self):
        """Guards against a wrong field, and a time that begins with the imports."""
        first = read_start_costs()
        assert first.elapsed_seconds is not None
        self.assertLess(first.elapsed_seconds, time.clock_gettime(time.CLOCK_BOOTTIME))
        self.assertGreater(first.elapsed_seconds, 0.0)
        time.sleep(0.05)
        second = read_start_costs()
        # Each of the two is rounded to 0.001.
        self.assertGreaterEqual(second.elapsed_seconds, first.elapsed_seconds + 0.049)
        self.assertGreaterEqual(second.processor_seconds, first.processor_seconds)
