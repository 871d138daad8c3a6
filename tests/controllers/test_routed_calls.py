"""Decisions on calls of HTTP routes for single events."""

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


# Actions after which a caller takes an answer for complete.
ENDS_OF_ANSWERS = (actions.SendAnswer, actions.FinishStream)


class RoutedEntry:
    """An entry that schedules calls to two upstreams by itself."""

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
    def test_unknown_routes_and_tokens_are_refused(self):
        """Guards against accepted calls on unknown routes or with unknown tokens."""
        cases = (
            ("look", "2" * 64, ""),
            ("order", TOKEN, ""),
            ("order", "2" * 64, "UNKNOWN_ACCOUNT"),
            ("other", TOKEN, "NO_ROUTE"),
        )
        for name, token, expected in cases:
            with self.subTest(name, token=token[:1]):
                entry = RoutedEntry()
                self.assertEqual(refused(entry.call(name, token)), expected)
                # Before the body is received.
                code = controllers.find_caller_refusal(
                    entry.board, token, "Shop.example", f"/{name}/1"
                )
                self.assertEqual(code.name if code else "", expected)

    def test_stopping_entry_leaves_unknown_callers_to_its_refusal(self):
        """Guards against a 401 or 404 by an entry whose configuration may be old."""
        for state, expected in (("draining", True), ("refusing", False)):
            for name, token in (("order", "2" * 64), ("other", TOKEN)):
                with self.subTest(state, name=name):
                    entry = RoutedEntry()
                    row = entry.board.lifecycle._replace(state=state)
                    entry.board.lifecycle_by_node_id[row.node_id] = row
                    code = controllers.find_caller_refusal(
                        entry.board, token, "Shop.example", f"/{name}/1"
                    )
                    self.assertEqual(code is not None, expected)

    def test_longest_prefix_wins(self):
        """Guards against a nested route that is hidden by a shorter prefix."""
        configuration = RoutedEntry().board.configuration
        nested = route("look", "once")._replace(name="nested", path_prefix="/look/a/")
        declared = declarations.DeclarationSet("main", 1, (*ROUTES, nested))
        configuration = controllers.build_configuration(1, (declared,))
        names = [
            controllers.find_route(configuration, "SHOP.example", path).name
            for path in ("/look/a/b", "/look/ab", "/look/")
        ]
        self.assertEqual(names, ["nested", "look", "look"])

    def test_shorter_goal_ranks_first_at_the_same_priority(self):
        """Guards against short questions queued behind long documents."""
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
        """Guards against refusal of a public call because its account has no name."""
        self.assertTrue(opened(RoutedEntry().call("look", "2" * 64)))


class RetryTest(unittest.TestCase):
    def test_failures_are_retried_only_if_safe(self):
        """Guards against unsafe retries and against missing safe ones."""
        cases = (
            # route, kind of failure, sent, retried, code of the refusal if not
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
        for name, kind, sent, is_retried, code in cases:
            with self.subTest(name, kind=kind):
                entry = RoutedEntry()
                first = opened(entry.call(name))[0]
                found = entry.fail(kind, sent)
                self.assertEqual(bool(opened(found)), is_retried)
                self.assertEqual(refused(found), code)
                if is_retried:
                    second = opened(found)[0]
                    self.assertNotEqual(second.upstream_id, first.upstream_id)

    def test_attempts_that_may_have_run_are_limited(self):
        """Guards against attempts at more upstreams than the route allows."""
        entry = RoutedEntry()
        entry.call("look")
        self.assertTrue(opened(entry.fail()))
        found = entry.fail()
        self.assertFalse(opened(found))
        self.assertEqual(refused(found), "UPSTREAM_FAILED")

    def test_error_answer_is_retried_and_then_sent_to_the_caller(self):
        """Guards against an entry's own status in place of the upstream's."""
        entry = RoutedEntry()
        entry.call("look")
        for last in (False, True):
            answer = events.AnswerReceived(CALL, entry.row.attempt, 500, "", b"no")
            found = entry.feed(answer)
            self.assertEqual(bool(opened(found)), not last)
        sent = [a for a in found if isinstance(a, actions.SendAnswer)]
        self.assertEqual((sent[0].status, sent[0].body), (500, b"no"))

    def test_broken_stream_continues_after_its_last_event(self):
        """Guards against duplicate and missing events after a retry."""
        entry = RoutedEntry()
        entry.call("ask")
        entry.chunk(1)
        entry.chunk(2)
        found = opened(entry.fail("truncated"))
        self.assertEqual(found[0].last_sequence, 2)
        # An event that the caller already received is not forwarded.
        self.assertFalse(
            [a for a in entry.chunk(2) if isinstance(a, actions.ForwardChunk)]
        )

    def test_answer_in_place_of_the_rest_of_a_stream_ends_it_as_broken(self):
        """Guards against an error's text, or silence, in the middle of a stream."""
        for status in (500, 404, 200):
            with self.subTest(status):
                entry = RoutedEntry()
                entry.call("ask")
                entry.chunk(1)
                self.assertEqual(len(opened(entry.fail("truncated"))), 1)
                answer = events.AnswerReceived(
                    CALL, entry.row.attempt, status, "text/plain", b"text"
                )
                found = entry.feed(answer)
                self.assertFalse([a for a in found if type(a) in ENDS_OF_ANSWERS])
                self.assertEqual(refused(found), "STREAM_LOST")

    def test_broken_stream_that_cannot_continue_ends_with_an_error(self):
        """Guards against a broken stream that looks complete."""
        entry = RoutedEntry()
        entry.call("draft")
        entry.chunk(1)
        found = entry.fail("truncated")
        self.assertEqual(refused(found), "STREAM_LOST")
        self.assertFalse([a for a in found if isinstance(a, actions.FinishStream)])

    def test_connection_that_closes_before_the_first_event_is_no_complete_stream(self):
        """Guards against an empty success from an engine that ends after its head."""
        for name, code in (("draft", "ANSWER_TRUNCATED"), ("ask", "")):
            with self.subTest(name):
                entry = RoutedEntry()
                entry.call(name)
                entry.feed(events.UpstreamOpened(CALL, entry.row.attempt, "", "", ""))
                ended = events.StreamEnded(CALL, entry.row.attempt, is_delimited=False)
                found = entry.feed(ended)
                self.assertFalse([a for a in found if type(a) in ENDS_OF_ANSWERS])
                self.assertEqual(refused(found), code)
                self.assertEqual(bool(opened(found)), not code)

    def test_connection_that_closes_after_the_last_requested_event_is_complete(self):
        """Guards against a resumed stream that had no event left and never ends."""
        entry = RoutedEntry()
        target = rows.RoutedTarget("POST", "shop.example", "/ask/1", last_sequence=4)
        entry.call("ask", target=target)
        ended = events.StreamEnded(CALL, entry.row.attempt, is_delimited=False)
        found = entry.feed(ended)
        self.assertTrue([a for a in found if isinstance(a, actions.FinishStream)])

    def test_stream_broken_before_its_first_event_counts_as_upstream_failure(self):
        """Guards against crashes of engines that are taken for faulty answers."""
        entry = RoutedEntry()
        entry.call("draft")
        entry.feed(events.UpstreamOpened(CALL, entry.row.attempt, "", "", ""))
        found = entry.fail("truncated")
        self.assertEqual(refused(found), "ANSWER_TRUNCATED")
        checked = [a for a in found if isinstance(a, actions.CheckListening)]
        self.assertEqual(len(checked), 1)


class DeadlineTest(unittest.TestCase):
    def test_call_ends_at_the_deadline_of_its_route(self):
        """Guards against late answers, and a code that denies a possible execution."""
        for name, has_run in (("order", True), ("draft", True)):
            with self.subTest(name):
                entry = RoutedEntry()
                entry.call(name)
                entry.now += 2.0
                found = entry.feed(events.AnswerOverdue(CALL))
                self.assertEqual(refused(found), "STALLED" if has_run else "")

    def test_call_that_was_never_sent_expires_as_waiting(self):
        """Guards against a code that leaves open whether an unsent call ran."""
        entry = RoutedEntry()
        for name in ("engine-1", "engine-2"):
            known = entry.board.upstreams_by_id[name]
            entry.board.upstreams_by_id[name] = known._replace(leaving=True)
        entry.call("order")
        entry.now += 2.0
        found = entry.feed(events.AnswerOverdue(CALL))
        self.assertEqual(refused(found), "WAIT_EXPIRED")

    def test_upstream_gets_its_deadline(self):
        """Guards against work past the deadline; streams get that of their caller."""
        for name, seconds in (("order", 2.0), ("draft", 9.0)):
            entry = RoutedEntry()
            found = opened(entry.call(name))
            self.assertEqual(found[0].answer_deadline, entry.now + seconds)

    def test_call_of_a_gone_caller_is_cancelled_at_once(self):
        """Guards against engines that keep working for a disconnected caller."""
        for name in ("look", "order", "draft", "ask"):
            with self.subTest(name):
                entry = RoutedEntry()
                entry.call(name)
                found = entry.feed(events.CallerGone(CALL))
                closed = [a for a in found if isinstance(a, actions.CloseUpstream)]
                self.assertEqual([a.linger_seconds for a in closed], [0.0])
                self.assertFalse(entry.board.requests_by_id)


if __name__ == "__main__":
    unittest.main()
