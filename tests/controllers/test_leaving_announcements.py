"""Upstreams that announce in their answers that they are leaving."""

from __future__ import annotations

import unittest
from random import Random

from carawayhitch import controllers
from carawayhitch.core import actions, declarations, events, messages, rows
from tests.controllers.scheduling_world import (
    CELL,
    NODE,
    ask,
    board_with_waiting_request,
    scheduling_board,
)
from tests.controllers.test_routed_calls import CALL, RoutedEntry, opened

OTHER = "entry-2"


def listed(name, started_at=1, leaving=False):
    labels = {"service": "engines"}
    vm = events.VmListed(name, f"{name}:1", "a", "r1", "service", labels, leaving, 4)
    return vm._replace(started_at=started_at)


class OwnCallsTest(unittest.TestCase):
    """An entry that schedules calls to two upstreams by itself."""

    def setUp(self):
        self.entry = RoutedEntry()
        self.vms = (listed("engine-1"), listed("engine-2"))
        self.entry.feed(events.VmListReceived(self.vms))

    def announce(self, name):
        return self.entry.feed(events.LeavingAnnounced(name))

    def chosen(self, count=8):
        found = set()
        for number in range(count):
            request_id = f"call-{number}"
            (call,) = opened(self.entry.call("order", request_id=request_id))
            found.add(call.upstream_id)
            answer = events.AnswerReceived(request_id, 1, 200, "", b"")
            self.entry.feed(answer)
        return found

    def test_announcing_upstream_gets_no_new_call(self):
        """Guards against calls to an upstream that has announced its leaving.

        The store may tell it much later, or be cut off.
        """
        self.announce("engine-1")
        self.assertEqual(self.chosen(), {"engine-2"})

    def test_announcement_holds_when_the_store_says_ready(self):
        """Guards against a registration that is older than the announcement."""
        self.announce("engine-1")
        for vms in (self.vms, self.vms[1:], self.vms):
            self.entry.feed(events.VmListReceived(vms))
        self.assertEqual(self.chosen(), {"engine-2"})

    def test_new_instance_gets_calls(self):
        """Guards against an id that stays unused after its upstream was replaced."""
        self.announce("engine-1")
        vms = (listed("engine-1", started_at=2), self.vms[1])
        self.entry.feed(events.VmListReceived(vms))
        self.assertEqual(self.chosen(), {"engine-1", "engine-2"})
        vms = (listed("engine-1", started_at=1), self.vms[1])
        self.entry.feed(events.VmListReceived(vms))
        self.assertEqual(self.chosen(), {"engine-1", "engine-2"})

    def test_retry_goes_elsewhere(self):
        """Guards against a retry at the announcing upstream."""
        (first,) = opened(self.entry.call("look"))
        other = {"engine-1": "engine-2", "engine-2": "engine-1"}[first.upstream_id]
        self.announce(first.upstream_id)
        (second,) = opened(self.entry.fail())
        self.assertEqual(second.upstream_id, other)

    def test_running_call_is_finished(self):
        """Guards against calls that are cut because their upstream leaves."""
        (call,) = opened(self.entry.call("order"))
        found = self.announce(call.upstream_id)
        self.assertFalse([a for a in found if isinstance(a, actions.CloseUpstream)])
        self.assertIn(CALL, self.entry.board.requests_by_id)


class GrantTest(unittest.TestCase):
    """An entry whose calls another entry schedules."""

    def setUp(self):
        self.board = board_with_waiting_request(OTHER)

    def feed(self, event, now=2.0):
        return list(controllers.decide_chain(event, self.board, now, Random(1)))

    def test_announcement_is_sent_to_the_scheduler_once(self):
        """Guards against a scheduler that keeps granting the upstream.

        It lets the scheduler move the generations there in time, too.
        """
        expected = messages.LeavingSeen(NODE, "engine-0", 0)
        for count in (1, 0):
            found = self.feed(events.LeavingAnnounced("engine-0"))
            sent = [a for a in found if isinstance(a, actions.Send)]
            self.assertEqual([a.message for a in sent].count(expected), count)

    def grant(self, upstream_id="engine-0"):
        return messages.AdmissionGrant(
            OTHER, "r1", 1, CELL, upstream_id, f"{upstream_id}:1", 0, 9.0
        )

    def test_grant_of_a_scheduler_with_old_knowledge_is_declined(self):
        """Guards against calls that a scheduler that stood still sends to a server.

        The entry knows from the store that the upstream leaves or is gone. A removed
        registration may only have lapsed, so nobody is told that its upstream leaves.
        """
        known = self.board.upstreams_by_id["engine-0"]
        leaving = known._replace(leaving=True)
        cases = {
            "draining": (leaving, True),
            "unlisted": (leaving._replace(is_listed=False), False),
            "removed": (None, False),
        }
        for name, (upstream, is_told) in cases.items():
            with self.subTest(name):
                self.setUp()
                if upstream is None:
                    del self.board.upstreams_by_id["engine-0"]
                    key = (declarations.UPSTREAM_REGISTRATION, "engine-0")
                    row = rows.ObjectRow(key, 7, b"", deleted=True)
                    self.board.objects_by_key[key] = row
                else:
                    self.board.upstreams_by_id["engine-0"] = upstream
                found = self.feed(self.grant())
                self.assertFalse(
                    [a for a in found if isinstance(a, actions.OpenUpstream)]
                )
                sent = [a.message for a in found if isinstance(a, actions.Send)]
                notice = messages.LeavingSeen(NODE, "engine-0", 0)
                self.assertEqual(notice in sent, is_told)
                (asked,) = [m for m in sent if isinstance(m, messages.AdmissionAsk)]
                # Without the exclusion, the same grant would follow until the
                # scheduler has read the store.
                self.assertEqual(asked.excluded_upstream_ids, ("engine-0",))

    def test_grant_of_an_unknown_upstream_is_used(self):
        """Guards against new upstreams that stay unused until all entries know them."""
        found = self.feed(self.grant("engine-9"))
        self.assertEqual([a.upstream_id for a in opened(found)], ["engine-9"])

    def test_grant_of_an_announcing_upstream_is_declined(self):
        """Guards against a call that was granted before its entry learned of it."""
        self.feed(events.LeavingAnnounced("engine-0"))
        found = self.feed(self.grant())
        self.assertFalse([a for a in found if isinstance(a, actions.OpenUpstream)])
        sent = [a.message for a in found if isinstance(a, actions.Send)]
        released = [m for m in sent if isinstance(m, messages.Finished)]
        self.assertEqual([m.request_id for m in released], ["r1"])
        self.assertIn(messages.LeavingSeen(NODE, "engine-0", 0), sent)
        asked = [m for m in sent if isinstance(m, messages.AdmissionAsk)]
        self.assertEqual([m.attempt for m in asked], [2])


class SchedulerTest(unittest.TestCase):
    def test_told_scheduler_grants_others(self):
        """Guards against a notice of another entry that has no effect."""
        board = scheduling_board(engine_count=2)

        def feed(event):
            return list(controllers.decide_chain(event, board, 1.0, Random(1)))

        found = feed(messages.LeavingSeen(OTHER, "engine-0", 0))
        logged = [a.fields["upstream"] for a in found if isinstance(a, actions.Log)]
        self.assertIn("engine-0", logged)
        granted = [
            a.message.upstream_id
            for number in range(4)
            for a in feed(ask(f"r{number}"))
            if isinstance(a, actions.Send)
            and isinstance(a.message, messages.AdmissionGrant)
        ]
        self.assertEqual(granted, ["engine-1"] * 4)

    def test_notice_of_an_earlier_instance_is_ignored(self):
        """Guards against a late notice that takes a restarted upstream out of use."""
        board = scheduling_board(engine_count=1)
        late = messages.LeavingSeen(OTHER, "engine-0", 5)
        list(controllers.decide_chain(late, board, 1.0, Random(1)))
        self.assertFalse(board.upstreams_by_id["engine-0"].leaving)


if __name__ == "__main__":
    unittest.main()
