"""Random courses of events against what upstreams ask of an entry.

The model keeps, apart from the controllers, which instances have announced their
leaving and until when each upstream wants no calls.
"""

from __future__ import annotations

import heapq
import unittest
from itertools import count
from random import Random

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from carawayhitch import controllers
from carawayhitch.core import actions, events, rows
from tests.controllers.test_routed_calls import TOKEN, RoutedEntry

UPSTREAMS = ("engine-1", "engine-2", "engine-3")
ROUTES = ("look", "order", "draft", "ask")
names = strategies.sampled_from(UPSTREAMS)


class UpstreamPromises(RuleBasedStateMachine):
    """One entry with three upstreams, which schedules its own calls."""

    @initialize()
    def start(self) -> None:
        self.entry = RoutedEntry()
        self.random = Random(1)
        self.now = 100.0
        self.timers: list[tuple[float, int, object]] = []
        self.numbers = count()
        self.started_at = dict.fromkeys(UPSTREAMS, 1)
        self.leaving_instances: set[tuple[str, int]] = set()
        self.wanted_after = dict.fromkeys(UPSTREAMS, 0.0)
        self.opened_by_request: dict[str, str] = {}
        self.violations: list[str] = []
        self.list_upstreams(set(UPSTREAMS), set())

    def feed(self, event: object) -> None:
        board = self.entry.board
        for action in controllers.decide_chain(event, board, self.now, self.random):
            if isinstance(action, actions.SetTimer):
                item = (action.deadline, next(self.numbers), action.event)
                heapq.heappush(self.timers, item)
            elif isinstance(action, actions.OpenUpstream):
                self.check_opened(action)

    def check_opened(self, action: actions.OpenUpstream) -> None:
        name = action.upstream_id
        self.opened_by_request[action.request_id] = name
        if (name, self.started_at[name]) in self.leaving_instances:
            self.violations.append(f"call to the leaving {name}")
        if self.now < self.wanted_after[name]:
            self.violations.append(f"call to {name}, which wants none")

    def list_upstreams(self, listed: set[str], draining: set[str]) -> None:
        labels = {"service": "engines"}
        vms = tuple(
            events.VmListed(
                name,
                f"{name}:1",
                "a",
                "r1",
                "service",
                labels,
                name in draining,
                4,
                self.started_at[name],
            )
            for name in sorted(listed)
        )
        self.feed(events.VmListReceived(vms))

    @rule(route=strategies.sampled_from(ROUTES))
    def call(self, route: str) -> None:
        target = rows.RoutedTarget("POST", "shop.example", f"/{route}/1", 100, 50)
        request_id = f"call-{next(self.numbers)}"
        self.feed(
            events.CallReceived(request_id, TOKEN, {}, target, "print", "", "", 9.0)
        )

    def open_requests(self) -> list[str]:
        rows_by_id = self.entry.board.requests_by_id
        return [name for name in self.opened_by_request if name in rows_by_id]

    @rule(index=strategies.integers(0, 9), kind=strategies.integers(0, 4))
    def end(self, index: int, kind: int) -> None:
        """Let the upstream of an open call answer, fail, refuse or send an event."""
        open_requests = self.open_requests()
        if not open_requests:
            return
        request_id = open_requests[index % len(open_requests)]
        row = self.entry.board.requests_by_id[request_id]
        if row.phase not in ("opening", "relaying"):
            return
        attempt, following = row.attempt, row.last_sequence + 1
        self.feed(
            (
                events.AnswerReceived(request_id, attempt, 200, "", b""),
                events.AnswerReceived(request_id, attempt, 500, "", b""),
                events.UpstreamCallFailed(request_id, attempt, "refused", False),
                events.UpstreamCallFailed(request_id, attempt, "link_lost", True),
                events.ChunkReceived(request_id, attempt, following, following, b"x"),
            )[kind]
        )

    @rule(name=names)
    def announce_leaving(self, name: str) -> None:
        if name in self.entry.board.upstreams_by_id:
            self.leaving_instances.add((name, self.started_at[name]))
            self.feed(events.LeavingAnnounced(name))

    @rule(name=names, seconds=strategies.floats(0.05, 6.0))
    def want_no_calls(self, name: str, seconds: float) -> None:
        until = self.now + seconds
        self.wanted_after[name] = max(self.wanted_after[name], until)
        self.feed(events.BackoffRequested(name, until))

    @rule(listed=strategies.sets(names), draining=strategies.sets(names))
    def change_list(self, listed: set[str], draining: set[str]) -> None:
        self.list_upstreams(listed, draining)

    @rule(name=names)
    def lapse_and_return(self, name: str) -> None:
        """Let a registration lapse and return, as after an outage of the store."""
        self.list_upstreams(set(UPSTREAMS) - {name}, set())
        self.list_upstreams(set(UPSTREAMS), set())

    @rule(name=names)
    def replace_instance(self, name: str) -> None:
        self.started_at[name] += 1
        self.list_upstreams(set(UPSTREAMS), set())

    @rule(name=names)
    def call_just_before_calls_are_wanted(self, name: str) -> None:
        """Call at the last moment of the time without calls of an upstream."""
        self.pass_time(max(0.0, self.wanted_after[name] - self.now - 0.005))
        for route in ROUTES:
            self.call(route)

    @rule(seconds=strategies.floats(0.01, 3.0))
    def pass_time(self, seconds: float) -> None:
        end = self.now + seconds
        while self.timers and self.timers[0][0] <= end:
            deadline, _, event = heapq.heappop(self.timers)
            self.now = max(self.now, deadline)
            self.feed(event)
        self.now = end

    @invariant()
    def upstreams_get_only_the_calls_they_want(self) -> None:
        assert not getattr(self, "violations", []), self.violations


UpstreamPromises.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)


class UpstreamPromisesTest(UpstreamPromises.TestCase):
    """Guards against calls to upstreams that leave or have named a time without."""


if __name__ == "__main__":
    unittest.main()
