"""Counts of store calls by what they read and how they ended."""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter
from types import SimpleNamespace
from unittest.mock import Mock, patch

from carawayhitch.core import actions, events
from carawayhitch.node import _performers
from carawayhitch.node._performers import perform
from carawayhitch.node._stores import store_call_labels


class StoreMetricsTest(unittest.TestCase):
    def test_calls_are_told_apart_by_price_and_result(self):
        """Guards against stale reads and failed calls that count like any other."""
        failed = events.StoreCallFailed("x", "refused", "upstreams")
        changed = events.ObjectsChanged("store", 3, (), "upstreams", True)
        watch = actions.WatchObjects("x", 2, 1.0, "upstreams", True)
        read = actions.ReadObject("x", "lease", "a")
        cases = (
            (watch, changed, ("watch", "upstreams", "stale", "answered")),
            (watch, failed, ("watch", "upstreams", "stale", "failed")),
            (read, failed, ("read", "lease", "current", "failed")),
        )
        for action, event, expected in cases:
            self.assertEqual(store_call_labels(action, event), expected)

    def test_new_watch_replaces_the_last_one_of_its_scope(self):
        """Guards against two calls of a scope after a silent connection.

        Lists that do not belong to the sequence of calls of the scope end no watch.
        """
        tasks = []

        def spawn(coroutine):
            coroutine.close()
            tasks.append(Mock())
            return tasks[-1]

        node = SimpleNamespace(store=1, watch_tasks_by_scope={}, spawn_and_submit=spawn)
        for scope in ("upstreams", "configuration", "upstreams"):
            perform(actions.WatchObjects("x", 2, 1.0, scope), node)
        self.assertEqual([task.cancel.call_count for task in tasks], [1, 0, 0])
        for beside_watch in (True, False):
            perform(actions.ListObjects("x", "upstreams", False, beside_watch), node)
        cancelled = [task.cancel.call_count for task in tasks]
        self.assertEqual(cancelled, [1, 0, 1, 0, 0])

    def test_cancelled_calls_are_counted(self):
        """Guards against calls that the store charges and operators do not see."""

        async def wait_and_cancel():
            never = asyncio.Event()
            metrics = SimpleNamespace(store_calls=Counter())
            node = SimpleNamespace(store=1, metrics=metrics)
            watch = actions.WatchObjects("x", 2, 1.0, "upstreams", True)
            with patch.object(
                _performers, "execute_store_action", lambda *_: never.wait()
            ):
                task = asyncio.create_task(_performers._call_store(watch, node))
                await asyncio.sleep(0)
                task.cancel()
                await asyncio.wait([task])
            return metrics.store_calls, task.cancelled()

        calls, cancelled = asyncio.run(wait_and_cancel())
        self.assertEqual(calls, {("watch", "upstreams", "stale", "cancelled"): 1})
        self.assertTrue(cancelled)


if __name__ == "__main__":
    unittest.main()
