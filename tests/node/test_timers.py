"""Timers of a node, on the event loop that entries run on."""

from __future__ import annotations

import asyncio
import unittest
from unittest.mock import Mock

import uvloop

from carawayhitch.node import Node
from tests.boards import ready_board

TIMER_COUNT = 500
LONGEST_SECONDS = 0.5


class TimerTest(unittest.TestCase):
    def test_no_event_comes_before_its_time(self):
        """Guards against deadlines that are checked too early and then forgotten.

        The loop rounds times to milliseconds, so that a suspected member was never
        declared dead.
        """
        node = Node(ready_board().settings, Mock())
        late_by = []
        node.submit = lambda deadline: late_by.append(node.now() - deadline)

        async def run():
            for index in range(TIMER_COUNT):
                deadline = node.now() + LONGEST_SECONDS * index / TIMER_COUNT
                node.set_timer(deadline, deadline)
            await asyncio.sleep(LONGEST_SECONDS + 0.2)

        uvloop.run(run())
        self.assertEqual(len(late_by), TIMER_COUNT)
        self.assertGreaterEqual(min(late_by), 0.0)
        self.assertLess(sorted(late_by)[TIMER_COUNT // 2], 0.01)


if __name__ == "__main__":
    unittest.main()
