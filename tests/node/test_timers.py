"""Timers of a node on uvloop, the event loop of entry processes."""

from __future__ import annotations

import asyncio
import unittest
from unittest.mock import Mock

import uvloop

from carawayhitch.node import Node
from tests.boards import ready_board

TIMER_COUNT = 500
LONGEST_DELAY_SECONDS = 0.5


class TimerTest(unittest.TestCase):
    def test_timer_events_do_not_fire_early(self):
        """Guards against timer events that are discarded because they arrive early.

        The event loop rounds delays to milliseconds. An event that fired early was
        discarded, and a suspected member was never declared dead.
        """
        node = Node(ready_board().settings, Mock())
        lateness_seconds = []
        node.submit = lambda deadline: lateness_seconds.append(node.now() - deadline)

        async def run():
            for index in range(TIMER_COUNT):
                deadline = node.now() + LONGEST_DELAY_SECONDS * index / TIMER_COUNT
                node.set_timer(deadline, deadline)
            await asyncio.sleep(LONGEST_DELAY_SECONDS + 0.2)

        uvloop.run(run())
        self.assertEqual(len(lateness_seconds), TIMER_COUNT)
        self.assertGreaterEqual(min(lateness_seconds), 0.0)
        self.assertLess(sorted(lateness_seconds)[TIMER_COUNT // 2], 0.01)


if __name__ == "__main__":
    unittest.main()
