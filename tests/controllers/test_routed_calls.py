"""Decisions on calls of HTTP routes, event by event."""

from __future__ import annotations

import unittest
from random import Random

from carawayhitch import controllers
from carawayhitch.core import actions, declarations, events, rows
from tests.boards import ready_board

TOKEN = "1" * 64
CALL = "call-1"


def route(name: str, work: str, **fields: object) -> declarations.HttpRoute:
    return declarations.HttpRoute(
        name,
        "shop.example",
        f"/{name}/",
        (declarations.GroupShare("engines"),),
        work=work,
        timeout_seconds=2.0,
        goal_seconds=1.0,
        **fields,
    )


ROUTES = (
    route("look", "repeatable", attempt_limit=2, public=True),
    route("order", "once"),
    route("draft", "stream"),
    route("ask", "stream", resumable=True, attempt_limit=2),
)


class World:
    """An entry that chooses for itself between two upstreams."""

    def __init__(self) -> None:
        self.board = ready_board()
        self.now = 100.0
        group = declarations.ServingGroup(
            "engines", {"service": "engines"}, scheduler="entry"
        )
        accounts = (declarations.ClientAccount("hotel", (TOKEN,)),)
        declared = declarations.DeclarationSet("main", 7, (group, *ROUTES, *accounts))
        self.board.configuration_by_name["in_force"] = controllers.build_configuration(
            1, (declared,)
        )
        vms = tuple(
            events.VmListed(
                name,
                f"{name}:1",
                "a",
                "r1",
                "service",
                {"service": "engines"},
                False,
                4,
            )
            for name in ("engine-1", "engine-2")
        )
        self.feed(events.VmListReceived(vms))

    def feed(self, event: object) -> list[object]:
        found = list(controllers.decide_chain(event, self.board, self.now, Random(1)))
        # Retries follow after a short wait.
        for action in list(found):
            if isinstance(action, actions.SetTimer) and isinstance(
                action.event, events.RequestAdmitted
            ):
                found += self.feed(action.event)
        return found

    def call(self, name: str, token: str = TOKEN, **changes: object) -> list[object]:
        target = rows.RoutedTarget("POST", "Shop.example", f"/{name}/1", 100, 50)
        event = events.CallReceived(CALL, token, {}, target, "print", "", "", 9.0)
        return self.feed(event._replace(**changes))

    @property
    def row(self) -> rows.RequestRow:
        return self.board.requests_by_id[CALL]

    def chunk(self, number: int) -> list[object]:
        attempt = self.row.attempt
        return self.feed(events.ChunkReceived(CALL, attempt, number, number, b"x"))

    def fail(self, kind: str = "link_lost", sent: bool = True) -> list[object]:
        failed = events.UpstreamCallFailed(CALL, self.row.attempt, kind, sent)
        return self.feed(failed)


def opened(found: list[object]) -> list[actions.OpenUpstream]:
    return [action for action in found if isinstance(action, actions.OpenUpstream)]


def refused(found: list[object]) -> str:
    names = [a.code.name for a in found if isinstance(a, actions.RefuseCall)]
    return names[0] if names else ""


class AdmissionTest(unittest.TestCase):
    def test_route_and_key_are_checked(self):
        """Guards against calls on unknown routes or with unknown keys."""
        cases = (
            ("look", "2" * 64, ""),
            ("order", TOKEN, ""),
            ("order", "2" * 64, "UNKNOWN_ACCOUNT"),
            ("other", TOKEN, "NO_ROUTE"),
        )
        for name, token, expected in cases:
            with self.subTest(name, token=token[:1]):
                self.assertEqual(refused(World().call(name, token)), expected)

    def test_longest_prefix_wins(self):
        configuration = World().board.configuration
        nested = route("look", "once")._replace(name="nested", path_prefix="/look/a/")
        declared = declarations.DeclarationSet("main", 1, (*ROUTES, nested))
        configuration = controllers.build_configuration(1, (declared,))
        names = [
            controllers.find_route(configuration, "SHOP.example", path).name
            for path in ("/look/a/b", "/look/ab", "/look/")
        ]
        self.assertEqual(names, ["nested", "look", "look"])

    def test_shorter_goal_goes_first_at_the_same_priority(self):
        """Guards against short questions that wait behind long documents."""
        quick = route("quick", "stream")._replace(goal_seconds=0.5)
        account = declarations.ClientAccount("hotel", (TOKEN,), priority=3)
        declared = declarations.DeclarationSet("main", 1, (*ROUTES, quick, account))
        ranks = controllers.build_configuration(1, (declared,)).rank_classes_by_name
        self.assertLess(
            ranks["priority-3/goal-0.5"].priority, ranks["priority-3/goal-1"].priority
        )
        self.assertLess(
            ranks["priority-0/goal-1"].priority, ranks["priority-3/goal-0.5"].priority
        )

    def test_public_call_is_placed(self):
        """Guards against an account without a name that is taken for none."""
        self.assertTrue(opened(World().call("look", "2" * 64)))


class RetryTest(unittest.TestCase):
    def test_fault_cases(self):
        """Guards against a repeated call that may not be, and one that is not."""
        cases = (
            # route, kind of failure, sent, tried again, final code otherwise
            ("look", "link_lost", True, True, ""),
            ("look", "connect", False, True, ""),
            ("order", "connect", False, True, ""),
            ("order", "refused", False, True, ""),
            ("order", "link_lost", True, False, "UPSTREAM_FAILED"),
            ("order", "truncated", True, False, "ANSWER_TRUNCATED"),
            ("draft", "link_lost", True, False, "UPSTREAM_FAILED"),
            ("draft", "connect", False, True, ""),
            ("ask", "link_lost", True, True, ""),
        )
        for name, kind, sent, again, code in cases:
            with self.subTest(name, kind=kind):
                world = World()
                first = opened(world.call(name))[0]
                found = world.fail(kind, sent)
                self.assertEqual(bool(opened(found)), again)
                self.assertEqual(refused(found), code)
                if again:
                    second = opened(found)[0]
                    self.assertNotEqual(second.upstream_id, first.upstream_id)

    def test_attempts_that_may_have_run_are_limited(self):
        """Guards against more upstreams than the route allows."""
        world = World()
        world.call("look")
        self.assertTrue(opened(world.fail()))
        found = world.fail()
        self.assertFalse(opened(found))
        self.assertEqual(refused(found), "UPSTREAM_FAILED")

    def test_failed_answer_is_tried_again_and_then_passed_on(self):
        """Guards against an own status in place of the upstream's."""
        world = World()
        world.call("look")
        for last in (False, True):
            answer = events.AnswerReceived(CALL, world.row.attempt, 500, "", b"no")
            found = world.feed(answer)
            self.assertEqual(bool(opened(found)), not last)
        sent = [a for a in found if isinstance(a, actions.SendAnswer)]
        self.assertEqual((sent[0].status, sent[0].body), (500, b"no"))

    def test_broken_stream_goes_on_after_its_last_event(self):
        """Guards against events that come twice or are missing."""
        world = World()
        world.call("ask")
        world.chunk(1)
        world.chunk(2)
        found = opened(world.fail("truncated"))
        self.assertEqual(found[0].last_sequence, 2)
        # An event that the caller has already is not passed on.
        self.assertFalse(
            [a for a in world.chunk(2) if isinstance(a, actions.ForwardChunk)]
        )

    def test_broken_stream_that_cannot_go_on_is_not_ended(self):
        """Guards against a broken stream that looks complete."""
        world = World()
        world.call("draft")
        world.chunk(1)
        found = world.fail("truncated")
        self.assertEqual(refused(found), "STREAM_LOST")
        self.assertFalse([a for a in found if isinstance(a, actions.FinishStream)])


class TimeTest(unittest.TestCase):
    def test_call_ends_at_the_time_of_its_route(self):
        """Guards against callers that are kept waiting, and false promises."""
        for name, has_run in (("order", True), ("draft", True)):
            with self.subTest(name):
                world = World()
                world.call(name)
                world.now += 2.0
                found = world.feed(events.AnswerOverdue(CALL))
                self.assertEqual(refused(found), "STALLED" if has_run else "")

    def test_call_that_was_never_sent_says_so(self):
        world = World()
        for name in ("engine-1", "engine-2"):
            known = world.board.upstreams_by_id[name]
            world.board.upstreams_by_id[name] = known._replace(leaving=True)
        world.call("order")
        world.now += 2.0
        found = world.feed(events.AnswerOverdue(CALL))
        self.assertEqual(refused(found), "WAIT_EXPIRED")

    def test_upstream_is_told_until_when_it_may_work(self):
        """Guards against work after the caller's time; streams go on until then."""
        for name, seconds in (("order", 2.0), ("draft", 9.0)):
            world = World()
            found = opened(world.call(name))
            self.assertEqual(found[0].answer_deadline, world.now + seconds)

    def test_caller_that_left_is_cancelled_at_once(self):
        """Guards against engines that work on for callers who have left."""
        for name in ("look", "order", "draft", "ask"):
            with self.subTest(name):
                world = World()
                world.call(name)
                found = world.feed(events.CallerGone(CALL))
                closed = [a for a in found if isinstance(a, actions.CloseUpstream)]
                self.assertEqual([a.linger_seconds for a in closed], [0.0])
                self.assertFalse(world.board.requests_by_id)


if __name__ == "__main__":
    unittest.main()
