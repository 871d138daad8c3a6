"""Availability zones taken out of use, at entries and at schedulers."""

from __future__ import annotations

import unittest
from random import Random

from carawayhitch import controllers, platform
from carawayhitch.controllers import _idempotency, _queue, store_watch
from carawayhitch.core import actions, declarations, events, messages, rows
from carawayhitch.core import settings as settings_types
from tests.controllers.scheduling_world import (
    CELL,
    NODE,
    ask,
    board_with_waiting_request,
    granted,
    report_all,
    running,
    scheduling_board,
    sent,
)
from tests.controllers.test_routed_calls import RoutedEntry, opened, refused

KIND = declarations.ZONE_DRAIN
SCOPE = "zone_drains"
CONFIGURATION = events.StoredObject(
    declarations.DECLARATION_SET,
    "main",
    30,
    b'{"version": 8, "services": [{"name": "s"}], "routes": [{"name": "r", "host": "h",'
    b' "pathPrefix": "/r/", "kind": "safe", "service": "s"}]}',
)
OTHER = "entry-2"


def drain(zone="b", version=20, value=b"{}", deleted=False):
    return events.StoredObject(KIND, zone, version, b"" if deleted else value, deleted)


def feed_chain(board, event, now=1.0):
    """Return the actions for an event, with decoded objects fed back."""
    found = list(controllers.decide_chain(event, board, now, Random(1)))
    for action in list(found):
        if isinstance(action, actions.DecodeObjects):
            decoded = tuple(platform.decode_object(o, {}) for o in action.objects)
            event = events.ObjectsDecoded(action.operation_id, decoded)
            found += feed_chain(board, event, now)
    return found


def deliver(board, *objects, now=1.0):
    return feed_chain(board, events.ObjectsReceived(objects, -1, 0), now)


def place(board, zones_by_upstream_id):
    for upstream_id, zone in zones_by_upstream_id.items():
        upstream = board.upstreams_by_id[upstream_id]
        board.upstreams_by_id[upstream_id] = upstream._replace(zone=zone)


def drained(board):
    return sorted(board.zone_drains_by_name)


def log_messages(found):
    return [action.event for action in found if isinstance(action, actions.Log)]


class DeclaredDrainTest(unittest.TestCase):
    """What begins and ends a drain."""

    def setUp(self):
        self.board = RoutedEntry().board

    def test_drain_begins_once_and_ends(self):
        """Guards against a drain that is missed, repeated or never deleted."""
        begun = log_messages(deliver(self.board, drain(version=20)))
        self.assertIn("zone drain begins", begun)
        again = log_messages(deliver(self.board, drain(version=21, value=b'{"x":1}')))
        self.assertNotIn("zone drain begins", again)
        self.assertEqual(drained(self.board), ["b"])
        ended = log_messages(deliver(self.board, drain(version=22, deleted=True)))
        self.assertIn("zone drain ends", ended)
        self.assertEqual(drained(self.board), [])

    def test_older_data_neither_begins_nor_ends_a_drain(self):
        """Guards against a promise on stale reads, also while two operators write."""
        deliver(self.board, drain(version=20))
        deliver(self.board, drain(version=19, deleted=True))
        self.assertEqual(drained(self.board), ["b"])
        deliver(self.board, drain(version=22, deleted=True))
        deliver(self.board, drain(version=21))
        self.assertEqual(drained(self.board), [])
        deliver(self.board, drain(version=23))
        self.assertEqual(drained(self.board), ["b"])

    def test_odd_objects_are_logged_and_change_nothing(self):
        """Guards against a zone taken out or back by an object of another writer."""
        for number, value in enumerate((b"null", b"[]", b"{a}", b'"x"', b"[" * 3000)):
            with self.subTest(value=value[:5]):
                found = deliver(self.board, drain(version=30 + number, value=value))
                self.assertIn("zone drain could not be read", log_messages(found))
                self.assertEqual(drained(self.board), [])
        deliver(self.board, drain(version=40))
        deliver(self.board, drain(version=41, value=b"null"))
        self.assertEqual(drained(self.board), ["b"])
        deliver(self.board, drain(version=42, deleted=True))
        self.assertEqual(drained(self.board), [])

    def test_unknown_zone_is_logged(self):
        """Guards against a misspelt zone that the operator takes for drained."""
        found = deliver(self.board, drain(zone="nowhere"))
        self.assertIn("zone drain of an unknown zone", log_messages(found))
        counted = [a.code.name for a in found if isinstance(a, actions.Count)]
        self.assertEqual(counted, ["ZONE_UNKNOWN"])
        again = deliver(self.board, drain(zone="nowhere"), drain("nowhere", 21))
        self.assertEqual(log_messages(again), [])

    def test_late_decoding_does_not_bring_a_drain_back(self):
        """Guards against an older version that is decoded after a newer one."""
        deliver(self.board, drain(version=22, deleted=True))
        late = platform.decode_object(drain(version=21), {})
        feed_chain(self.board, events.ObjectsDecoded("configuration_decode", (late,)))
        self.assertEqual(drained(self.board), [])

    def test_drains_are_no_part_of_the_configuration(self):
        """Guards against a configuration that is lost or held up because of drains."""
        feed_chain(self.board, events.ObjectsReceived((), 15, 0))
        before = self.board.configuration
        deliver(self.board, drain(), drain("odd", value=b"null"))
        self.assertIs(self.board.configuration, before)
        # This one is not decoded yet when the configuration changes.
        received = events.ObjectsReceived((drain("c", 21),), -1, 0)
        list(controllers.decide_chain(received, self.board, 1.0, Random(1)))
        deliver(self.board, CONFIGURATION)
        self.assertEqual(self.board.configuration.version, 8)
        self.assertEqual(self.board.object_set.problems, ())


class StoreReadTest(unittest.TestCase):
    """How an entry reads drains from the store."""

    def setUp(self):
        entry = RoutedEntry()
        self.board = entry.board
        store = settings_types.StoreSettings(
            "http://127.0.0.1:1",
            scopes=(SCOPE,),
            stale_watches=True,
            consistent_scopes=(SCOPE,),
        )
        self.board.settings_by_name["in_force"] = self.board.settings._replace(
            store=store
        )
        self.board.store_scopes_by_name.clear()
        self.board.store_scopes_by_name[SCOPE] = rows.StoreScopeRow(SCOPE)
        self.add_members()

    def add_members(self):
        for index in range(6):
            name = f"peer-{index}"
            self.board.members_by_id[name] = rows.MemberRow(
                name, 1, "alive", "127.0.0.1", 1, 2, "a", "r1"
            )

    def next_call(self):
        timer = events.TimerFired(store_watch.STORE_CALL_TIMER, SCOPE)
        found = feed_chain(self.board, timer)
        calls = (actions.ListObjects, actions.WatchObjects)
        return next(action for action in found if isinstance(action, calls))

    def set_position_of_peers(self, revision):
        received = events.ObjectsReceived((), revision, 0)
        feed_chain(self.board, received)
        scope = self.board.store_scopes_by_name[SCOPE]
        self.board.store_scopes_by_name[SCOPE] = scope._replace(call="timer")

    def test_first_list_is_consistent_also_with_objects_of_peers(self):
        """Guards against an entry that starts on a stale list without the drain."""
        for revision in (-1, 15):
            with self.subTest(revision=revision):
                self.set_position_of_peers(revision)
                call = self.next_call()
                self.assertIsInstance(call, actions.ListObjects)
                self.assertFalse(call.may_be_stale)

    def test_list_and_watch_begin_and_end_a_drain(self):
        """Guards against a drain or its end that one of the two ways misses."""
        listed = events.ObjectsListed(20, (drain(version=18),), SCOPE, (KIND,))
        feed_chain(self.board, listed)
        self.assertEqual(drained(self.board), ["b"])
        feed_chain(self.board, events.ObjectsListed(25, (), SCOPE, (KIND,)))
        self.assertEqual(drained(self.board), [])
        changed = (drain(version=30),)
        feed_chain(self.board, events.ObjectsChanged("store", 30, changed, SCOPE))
        self.assertEqual(drained(self.board), ["b"])
        changed = (drain(version=31, deleted=True),)
        feed_chain(self.board, events.ObjectsChanged("store", 31, changed, SCOPE))
        self.assertEqual(drained(self.board), [])

    def test_stale_list_does_not_end_a_newer_drain(self):
        """Guards against calls to a drained zone after a read of old data."""
        deliver(self.board, drain(version=30))
        stale = events.ObjectsListed(25, (), SCOPE, (KIND,), may_be_stale=True)
        feed_chain(self.board, stale)
        self.assertEqual(drained(self.board), ["b"])

    def test_silent_store_keeps_a_drain(self):
        """Guards against a zone that returns to use because the store is silent."""
        deliver(self.board, drain())
        failed = events.StoreCallFailed(store_watch.WATCH_OPERATION, "x", SCOPE)
        for now in (2.0, 10.0, 60.0):
            feed_chain(self.board, failed, now)
        self.assertEqual(drained(self.board), ["b"])

    def test_watch_is_answered_within_the_bound(self):
        """Guards against a connection that is silent for longer than the bound."""
        store = self.board.settings.store._replace(
            contact_milliseconds=9000.0,
            configuration_milliseconds=9000.0,
            leaving_milliseconds=9000.0,
            zone_drain_milliseconds=5000.0,
        )
        seconds = store_watch.answer_interval_seconds(store) + store.timeout_seconds
        self.assertLess(seconds, 5.0)


class EntryTest(unittest.TestCase):
    """An entry that schedules calls to upstreams in the zones ``a`` and ``b``."""

    def setUp(self):
        self.entry = RoutedEntry()
        self.board = self.entry.board
        place(self.board, {"engine-1": "a", "engine-2": "b"})

    def drain(self, *zones, version=20, deleted=False):
        objects = [drain(zone, version, deleted=deleted) for zone in zones]
        return deliver(self.board, *objects, now=self.entry.now)

    def chosen(self, count=8):
        found = set()
        for number in range(count):
            request_id = f"{self.entry.now}-{number}"
            (call,) = opened(self.entry.call("order", request_id=request_id))
            found.add(call.upstream_id)
            self.entry.feed(events.AnswerReceived(request_id, 1, 200, "", b""))
        return found

    def test_calls_avoid_the_zone_until_it_is_taken_back(self):
        """Guards against calls to a drained zone and a zone that stays unused."""
        # Calls without a reason against it stay in the zone of the entry.
        self.assertEqual(self.chosen(), {"engine-1"})
        self.drain("a")
        self.entry.now += 1.0
        self.assertEqual(self.chosen(), {"engine-2"})
        self.drain("a", version=21, deleted=True)
        self.entry.now += 1.0
        self.assertEqual(self.chosen(), {"engine-1"})

    def test_retry_and_continued_stream_go_elsewhere(self):
        """Guards against a repetition in the zone where the first attempt ran."""
        for name, begins in (("look", False), ("ask", True)):
            with self.subTest(name):
                self.setUp()
                (first,) = opened(self.entry.call(name))
                zone = {"engine-1": "a", "engine-2": "b"}[first.upstream_id]
                if begins:
                    self.entry.chunk(1)
                self.drain(zone)
                (second,) = opened(self.entry.fail())
                self.assertNotEqual(second.upstream_id, first.upstream_id)

    def test_retry_may_reuse_the_only_zone_in_use(self):
        """Guards against a retry that waits for an upstream of a drained zone."""
        self.drain("b")
        (first,) = opened(self.entry.call("look"))
        upstreams = [call.upstream_id for call in opened(self.entry.fail())]
        self.assertEqual([first.upstream_id, *upstreams], ["engine-1", "engine-1"])

    def test_call_at_work_in_the_zone_goes_on(self):
        """Guards against a drain that breaks off the calls that run there."""
        (first,) = opened(self.entry.call("draft"))
        self.entry.chunk(1)
        found = self.drain("a", "b")
        closed = [a for a in found if isinstance(a, actions.CloseUpstream)]
        self.assertEqual((closed, refused(found)), ([], ""))
        self.assertEqual(self.entry.row.upstream_id, first.upstream_id)

    def test_call_without_a_zone_in_use_is_refused_at_once(self):
        """Guards against calls that wait for their deadline without an upstream."""
        self.drain("a", "b")
        found = self.entry.call("order")
        self.assertEqual(refused(found), "ZONE_DRAINED")
        (refusal,) = (a for a in found if isinstance(a, actions.RefuseCall))
        self.assertEqual(refusal.retry_after, 1.0)
        self.entry.now += 6.0
        found = self.entry.call("order", request_id="later")
        (refusal,) = (a for a in found if isinstance(a, actions.RefuseCall))
        self.assertEqual(refusal.retry_after, 6.0)
        # A misspelt zone does not bring the end of the others nearer.
        self.drain("nowhere")
        found = self.entry.call("order", request_id="after a misspelt zone")
        (refusal,) = (a for a in found if isinstance(a, actions.RefuseCall))
        self.assertEqual(refusal.retry_after, 6.0)

    def test_only_the_zone_in_use_counts_for_a_requested_pause(self):
        """Guards against calls that wait because a drained upstream wants no pause."""
        self.drain("b")
        later = self.entry.now + 30.0
        self.entry.feed(events.BackoffRequested("engine-1", later))
        self.assertEqual(refused(self.entry.call("order")), "UPSTREAM_REFUSED")

    def test_leaving_upstream_elsewhere_keeps_no_call_waiting(self):
        """Guards against calls that wait for an upstream that will not return."""
        vms = tuple(
            events.VmListed(
                name, f"{name}:1", zone, "r1", "service", {"service": "engines"}, leaves
            )
            for name, zone, leaves in (
                ("engine-1", "a", True),
                ("engine-2", "b", False),
            )
        )
        self.entry.feed(events.VmListReceived(vms))
        self.drain("b")
        self.assertEqual(refused(self.entry.call("order")), "ZONE_DRAINED")


class GrantTest(unittest.TestCase):
    """An entry whose request waits for a scheduler that knows of no drain."""

    def setUp(self):
        self.board = board_with_waiting_request(OTHER)
        place(self.board, {"engine-0": "zone-2", "engine-1": "zone-2"})
        self.grant = messages.AdmissionGrant(
            OTHER, "r1", 1, CELL, "engine-0", "engine-0:1", 0, 60.0
        )

    def drain(self, *zones):
        return deliver(self.board, *(drain(zone) for zone in zones))

    def test_grant_of_a_drained_zone_is_declined(self):
        """Guards against calls that a scheduler with old data sends to the zone."""
        self.drain("zone-2")
        found = feed_chain(self.board, self.grant)
        self.assertEqual(opened(found), [])
        self.assertNotIn("upstream granted", log_messages(found))
        self.assertEqual(len(sent(found, messages.Finished)), 1)
        (again,) = sent(found, messages.AdmissionAsk)
        self.assertEqual(again.attempt, 2)
        # All of the zone are excluded, so that the scheduler grants none of them.
        self.assertEqual(set(again.excluded_upstream_ids), {"engine-0", "engine-1"})

    def test_grant_is_given_back_when_its_claim_took_seconds(self):
        """Guards against a call sent to the zone, or lost, after a slow claim."""
        row = self.board.requests_by_id["r1"]
        row = row._replace(
            target=rows.ServiceTarget("orders", "POST", "/"),
            idempotency_key="key",
            phase="claiming",
            upstream_id="engine-0",
            grant_deadline=60.0,
        )
        self.board.requests_by_id["r1"] = row
        key = _idempotency.claim_key(row)
        claim = rows.ClaimRow(key, "", "nonce", "granted", 60.0, 60.0, "r1")
        self.board.claims_by_key[key] = claim
        self.drain("zone-2")
        found = feed_chain(self.board, events.UpstreamGranted("r1"))
        self.assertEqual(opened(found), [])
        (ended,) = sent(found, messages.Finished)
        self.assertEqual((ended.attempt, ended.upstream_failed), (1, False))
        (again,) = sent(found, messages.AdmissionAsk)
        self.assertEqual(again.attempt, 2)
        self.assertEqual(set(again.excluded_upstream_ids), {"engine-0", "engine-1"})
        # The claim still holds for the next grant.
        grant = self.grant._replace(attempt=2, upstream_id="engine-2")
        (call,) = opened(feed_chain(self.board, grant))
        self.assertEqual(call.upstream_id, "engine-2")

    def test_waiting_request_is_refused_when_the_last_zone_is_drained(self):
        """Guards against a wait until the deadline, also if the scheduler is lost."""
        self.assertEqual(refused(self.drain("zone-2")), "")
        found = deliver(self.board, drain("zone-1", 21))
        self.assertEqual(refused(found), "ZONE_DRAINED")
        self.assertEqual(len(sent(found, messages.AskWithdrawn)), 1)

    def test_waiting_request_is_refused_when_the_last_upstream_leaves(self):
        """Guards against a wait for upstreams that left during the drain."""
        self.drain("zone-2")
        upstream = self.board.upstreams_by_id["engine-2"]
        self.board.upstreams_by_id["engine-2"] = upstream._replace(leaving=True)
        found = feed_chain(self.board, events.UpstreamLeaving("engine-2"))
        self.assertEqual(refused(found), "ZONE_DRAINED")

    def test_waiting_request_moves_to_a_cell_in_use(self):
        """Guards against a refusal although another cell of the group has upstreams."""
        cell = rows.CellRow("quotes/region-1/1", "quotes", "region-1", ("engine-9",))
        self.board.cells_by_id[cell.cell_id] = cell
        self.board.schedulers_by_cell_id[cell.cell_id] = (OTHER, NODE)
        self.board.upstreams_by_id["engine-9"] = rows.UpstreamRow(
            "engine-9", "engine-9:1", "zone-9", "region-1", "engine", {}
        )
        found = self.drain("zone-1", "zone-2")
        self.assertEqual(refused(found), "")
        (again,) = sent(found, messages.AdmissionAsk)
        self.assertEqual(again.cell_id, cell.cell_id)

    def test_move_to_a_drained_zone_is_not_begun(self):
        """Guards against a stream that goes on in the zone after a move."""
        row = self.board.requests_by_id["r1"]
        self.board.requests_by_id["r1"] = row._replace(
            phase="relaying", upstream_id="engine-2", response_started=True
        )
        self.drain("zone-2")
        order = messages.MoveOrder(
            OTHER, "r1", 1, CELL, "engine-2", "engine-0", "engine-0:1", 3.0
        )
        (report,) = sent(feed_chain(self.board, order), messages.MoveReport)
        self.assertEqual(report.outcome, "failed")


class SchedulerTest(unittest.TestCase):
    """A scheduler of engines in two zones."""

    def setUp(self):
        self.board = scheduling_board(engine_count=2)
        place(self.board, {"engine-0": "a", "engine-1": "b"})
        report_all(self.board, 0.5)

    def ask(self, request_id, now=1.0, **changes):
        return feed_chain(self.board, ask(request_id, **changes), now)

    def test_no_grant_in_the_zone_and_waiting_asks_granted_after_it(self):
        """Guards against grants in the zone, and asks that miss its return."""
        deliver(self.board, drain("b"))
        found = {}
        for number in range(12):
            found |= granted(self.ask(f"r{number}"))
        self.assertEqual(set(found.values()), {"engine-0"})
        self.assertTrue(self.board.asks_by_request_id)
        back = granted(deliver(self.board, drain("b", 21, deleted=True)))
        self.assertEqual(set(back.values()), {"engine-1"})

    def test_load_of_a_cell_counts_upstreams_in_use(self):
        """Guards against entries that prefer the cell with most drained upstreams."""
        for request_id in ("r1", "r2"):
            self.ask(request_id)
        self.assertEqual(_queue.load_percent(self.board, CELL), 100)
        deliver(self.board, drain("b"))
        # One request runs at the upstream in use, and the next one adds to it.
        self.ask("r3")
        self.assertEqual(_queue.load_percent(self.board, CELL), 200)

    def test_new_scheduler_knows_the_drain(self):
        """Guards against grants in the zone after its scheduler was lost.

        Each entry reads drains by itself, so the next scheduler needs no message.
        """
        deliver(self.board, drain("b"))
        feed_chain(self.board, running("old", "engine-1"))
        self.assertEqual(granted(self.ask("r1")), {"r1": "engine-0"})
        self.assertIn("old", self.board.grants_by_request_id)

    def test_no_move_into_the_zone(self):
        """Guards against generations moved from a leaving engine into the zone."""
        capacity = declarations.EngineCapacity(8, 10_000, 1000, 1e9, can_move=True)
        group = declarations.ServingGroup("quotes", {}, engine=capacity)
        self.board.configuration_by_name["in_force"] = (
            self.board.configuration._replace(serving_groups_by_name={"quotes": group})
        )
        for zones in ((), ("b",)):
            with self.subTest(zones=zones):
                deliver(self.board, *(drain(zone) for zone in zones))
                feed_chain(self.board, running("r1", "engine-0"))
                upstream = self.board.upstreams_by_id["engine-0"]
                self.board.upstreams_by_id["engine-0"] = upstream._replace(
                    leaving=True, leaving_since=1.0
                )
                self.board.evacuations_by_upstream_id.clear()
                found = feed_chain(self.board, events.UpstreamLeaving("engine-0"))
                orders = sent(found, messages.MoveOrder)
                self.assertEqual(len(orders), 0 if zones else 1)
                self.setUp()
                self.board.configuration_by_name["in_force"] = (
                    self.board.configuration._replace(
                        serving_groups_by_name={"quotes": group}
                    )
                )


class HomeTest(unittest.TestCase):
    """Routes and accounts whose calls stay in regions."""

    def entry(self, route_regions=(), account_regions=()):
        entry = RoutedEntry()
        configuration = entry.board.configuration
        routes = tuple(
            route._replace(allowed_regions=route_regions)
            for route in configuration.routes_by_host["shop.example"]
        )
        accounts = {
            token: account._replace(allowed_regions=account_regions)
            for token, account in configuration.accounts_by_token_sha256.items()
        }
        entry.board.configuration_by_name["in_force"] = configuration._replace(
            routes_by_host={"shop.example": routes}, accounts_by_token_sha256=accounts
        )
        vms = tuple(
            events.VmListed(
                name, f"{name}:1", "a", region, "service", {"service": "engines"}, False
            )._replace(started_at=1)
            for name, region in (("engine-1", "r1"), ("engine-2", "r2"))
        )
        entry.feed(events.VmListReceived(vms))
        return entry

    def test_calls_stay_in_allowed_regions(self):
        """Guards against calls, retries and streams that leave their regions."""
        cases = (
            ((), (), "engine-1"),
            (("r2",), (), "engine-2"),
            ((), ("r2", "r3"), "engine-2"),
            (("r1", "r2"), ("r2",), "engine-2"),
        )
        for of_route, of_account, expected in cases:
            with self.subTest(route=of_route, account=of_account):
                entry = self.entry(of_route, of_account)
                calls = [*opened(entry.call("look")), *opened(entry.fail())]
                self.assertEqual({call.upstream_id for call in calls}, {expected})
                self.assertEqual(len(calls), 2)

    def test_call_without_an_allowed_region_is_refused(self):
        """Guards against calls that fall back to other regions."""
        for of_route, of_account in ((("r3",), ()), (("r1",), ("r2",))):
            with self.subTest(route=of_route, account=of_account):
                found = self.entry(of_route, of_account).call("look")
                self.assertEqual(refused(found), "NO_ALLOWED_REGION")
                self.assertEqual(opened(found), [])


if __name__ == "__main__":
    unittest.main()
