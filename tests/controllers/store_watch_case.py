"""An entry that reads a store, for tests of its lists and watches."""

from __future__ import annotations

import unittest
from random import Random

from carawayhitch import controllers
from carawayhitch.controllers import store_watch
from carawayhitch.core import actions, declarations, events, rows
from carawayhitch.core import settings as settings_types
from tests.boards import ready_board

KIND = declarations.UPSTREAM_REGISTRATION
SCOPES = ("configuration", "upstreams", "entries")
GRACE_SECONDS = 2.0
CONTACT_SECONDS = 4.0
TIMEOUT_SECONDS = 1.0


def upstream(name, version, deleted=False):
    return events.StoredObject(KIND, name, version, b"" if deleted else b"{}", deleted)


class StoreWatchCase(unittest.TestCase):
    """Board of an entry that reads a store, with helpers that answer its calls."""

    def setUp(self):
        store = settings_types.StoreSettings(
            "http://127.0.0.1:1",
            scopes=SCOPES,
            stale_scopes=("upstreams", "entries"),
            slow_scopes=("entries",),
            lapse_grace_seconds=GRACE_SECONDS,
            retry_limit_seconds=0.5,
            watch_pause_seconds=0.0,
        )
        self.board = ready_board(store=store)
        self.now = 100.0
        self.feed(events.ProcessStarted(1))

    def feed(self, event):
        return list(controllers.decide(event, self.board, self.now, Random(1)))

    def listed(self, *objects, revision=10):
        event = events.ObjectsListed(revision, objects, "upstreams", (KIND,))
        return self.deleted_by_name(self.feed(event))

    def deleted_by_name(self, decided):
        """Return by name whether each emitted object is deleted."""
        return {
            stored.name: stored.deleted
            for action in decided
            if isinstance(action, actions.Emit)
            and isinstance(action.event, events.ObjectsReceived)
            for stored in action.event.objects
        }

    def add_received(self, *objects):
        """Put objects on the board as if the store had delivered them."""
        for stored in objects:
            received = events.ObjectsReceived((stored,), -1, 0)
            self.feed(received)

    def call_delays(self, decided):
        return [
            action.deadline - self.now
            for action in decided
            if isinstance(action, actions.SetTimer)
            and action.event.name == store_watch.STORE_CALL_TIMER
        ]

    def next_call(self, scope="upstreams"):
        timer = events.TimerFired(store_watch.STORE_CALL_TIMER, scope)
        calls = [
            action
            for action in self.feed(timer)
            if isinstance(action, actions.ListObjects | actions.WatchObjects)
        ]
        return calls[0] if calls else None

    def fail_watch(self):
        event = events.StoreCallFailed(store_watch.WATCH_OPERATION, "x", "upstreams")
        return self.feed(event)

    def join_fleet(self, duty):
        """Put this node into a fleet with bounds, with a duty for other entries."""
        self.setUp()
        store = self.board.settings.store._replace(
            stale_watches=True,
            stale_scopes=("entries",),
            relaxed_scopes=("upstreams",),
            relaxed_watch_seconds=20.0,
            contact_milliseconds=CONTACT_SECONDS * 1000.0,
            configuration_milliseconds=3000.0,
            leaving_milliseconds=3000.0,
            timeout_seconds=TIMEOUT_SECONDS,
            watchers_per_zone=1,
        )
        board = self.board
        board.settings_by_name["in_force"] = board.settings._replace(store=store)
        self.set_members("b" if duty == "watcher" else "a")
        board.cells_by_id["quotes"] = rows.CellRow("quotes", "quotes", "r1", ())
        scheduler = board.node_id if duty == "scheduler" else "n1"
        board.schedulers_by_cell_id["quotes"] = (scheduler,)
        self.feed(events.ObjectsReceived((), -1 if duty == "starting" else 10, 0))

    def set_members(self, zone):
        for name in (f"n{number}" for number in range(20)):
            self.board.members_by_id[name] = rows.MemberRow(
                name, 1, "alive", "127.0.0.1", 1, 2, zone, "r1"
            )
