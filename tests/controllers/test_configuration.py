"""Tests of the configuration, store watch and change controllers with single events."""

from __future__ import annotations

import json
import unittest
from collections import deque
from random import Random

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from carawayhitch import codecs, controllers
from carawayhitch.board import new_board
from carawayhitch.controllers import _changes, _configuration, store_watch
from carawayhitch.controllers._controller import combine_controllers
from carawayhitch.core import (
    actions,
    declarations,
    events,
    result_codes,
    rows,
    settings,
)

decide = combine_controllers(
    (store_watch.decide, _configuration.decide, _changes.decide)
)
TOKEN = "0" * 63 + "1"
VALUES = {
    ("rank_class", "urgent"): {"priority": 0},
    ("serving_group", "quotes"): {"selector": {"model": "quotes"}},
    ("client_account", "hotel"): {"token_sha256s": [TOKEN]},
    ("binding", "quotes"): {"group": "quotes", "rank": "urgent"},
}


def stored(kind, name, version, change_id="", deleted=False, **fields):
    mapping = {"name": name, **VALUES.get((kind, name), {}), **fields}
    metadata = {"_change": change_id} if change_id else {}
    value = json.dumps({**metadata, **mapping}).encode()
    return events.StoredObject(kind, name, version, value, deleted, change_id)


def complete_set(first_version=1):
    return tuple(
        stored(kind, name, first_version + index)
        for index, (kind, name) in enumerate(VALUES)
    )


class Entry:
    """A board with the three controllers; I/O actions are collected in `performed`."""

    def __init__(self, node_id="n1", seeds=(), seed=0, **store):
        self.board = new_board(
            settings.Settings(
                node=settings.NodeSettings(node_id, "a", "r1"),
                peers=settings.PeerSettings(
                    keys=(settings.PeerKey(1, "k" * 32),), seeds=seeds
                ),
                store=settings.StoreSettings("http://127.0.0.1:1", **store),
                platform=settings.PlatformSettings("http://127.0.0.1:1"),
            ),
            1,
        )
        self.now = 100.0
        self.random = Random(seed)
        self.performed = []

    def feed(self, *fed):
        pending = deque(fed)
        before = len(self.performed)
        while pending:
            emitted = []
            for action in decide(pending.popleft(), self.board, self.now, self.random):
                if isinstance(action, actions.Emit):
                    emitted.append(action.event)
                elif isinstance(action, actions.SetTimer) and isinstance(
                    action.event, events.ObjectsExchanged
                ):
                    pending.append(action.event)
                elif isinstance(action, actions.DecodeObjects):
                    decoded = tuple(map(codecs.decode_object, action.objects))
                    emitted.append(events.ObjectsDecoded(action.operation_id, decoded))
                else:
                    self.performed.append(action)
            pending.extendleft(reversed(emitted))
        return self.performed[before:]

    def changed(self, revision, *objects):
        return self.feed(events.ObjectsChanged("store", revision, objects))

    def listed(self, revision, *objects):
        return self.feed(events.ObjectsListed(revision, objects))

    def add_members(self, *node_ids, zone="a"):
        for node_id in node_ids:
            self.board.members_by_id[node_id] = rows.MemberRow(
                node_id, 1, "alive", "127.0.0.1", 1, 2, zone, "r1"
            )

    @property
    def weight(self):
        return self.board.configuration.accounts_by_name["hotel"].quota_weight

    def versions(self):
        return {key: row.version for key, row in self.board.objects_by_key.items()}


def ready_entry(**arguments):
    entry = Entry(**arguments)
    entry.listed(10, *complete_set())
    return entry


def account(version, weight):
    return stored("client_account", "hotel", version, quota_weight=weight)


def of_type(performed, action_type):
    return [action for action in performed if isinstance(action, action_type)]


def counted_codes(performed):
    return [action.code for action in of_type(performed, actions.Count)]


class LargeObjectTest(unittest.TestCase):
    """Entries that all watch the store first wait for it to deliver large objects."""

    def setUp(self):
        self.entry = ready_entry(stale_watches=True)
        self.entry.add_members("n2", "n3")
        padding = ["x" * _configuration.LARGE_OBJECT_BYTES]
        self.large = stored("client_account", "hotel", 12, padding=padding)
        self.small = stored("rank_class", "urgent", 13)

    def pull_requests(self, performed):
        return [pull.request for pull in of_type(performed, actions.PullObjects)]

    def answer_to_request(self, **fields):
        """Return the answer to a peer that is complete up to revision 10."""
        request = events.ObjectsExchanged("x", "n2", 10, 10, "0" * 16, 10, ())
        performed = self.entry.feed(request._replace(**fields))
        (answered,) = of_type(performed, actions.AnswerExchange)
        return answered.answer

    def versions(self, exchange):
        return sorted(stored.version for stored in exchange.objects)

    def test_large_object_is_announced_and_not_pushed(self):
        """Guards against peer copies that delay the store's answer on slow links."""
        pushed = self.pull_requests(self.entry.changed(13, self.large, self.small))
        self.assertEqual(len(pushed), 2)
        for request in pushed:
            self.assertEqual((self.versions(request), request.revision), ([13], 13))

    def test_answer_without_a_large_object_has_no_complete_revision(self):
        """Guards against a peer that counts as complete without the omitted object."""
        self.entry.changed(13, self.large, self.small)
        whole = self.answer_to_request()
        self.assertEqual(
            (self.versions(whole), whole.complete_revision), ([12, 13], 13)
        )
        part = self.answer_to_request(takes_large=False)
        self.assertEqual((self.versions(part), part.complete_revision), ([13], -1))

    def test_large_object_is_pulled_if_the_store_does_not_deliver_it(self):
        """Guards against an entry that waits for an unresponsive store."""
        ahead = events.PeerRevisionSeen("n2", 12, "1" * 16)
        (request,) = self.pull_requests(self.entry.feed(ahead))
        self.assertFalse(request.takes_large)
        part = events.ObjectsExchanged("", "n2", 12, -1, "1" * 16, 10, ())
        self.entry.feed(part)
        failed = events.StoreCallFailed(_configuration.CATCH_UP_OPERATION, "timeout")
        self.assertTrue(self.lists_after_wait(part))
        (request,) = self.pull_requests(self.entry.feed(failed))
        self.assertTrue(request.takes_large)
        self.entry.feed(part._replace(complete_revision=12, objects=(self.large,)))
        self.assertEqual(self.entry.versions()["client_account", "hotel"], 12)

    def lists_after_wait(self, answer):
        """Return the lists of the store after a peer is compared a second time."""
        self.entry.now += _configuration.LARGE_OBJECT_WAIT_SECONDS
        timer = events.TimerFired(_configuration.CATCH_UP_TIMER, "n2")
        (request,) = self.pull_requests(self.entry.feed(timer))
        self.assertFalse(request.takes_large)
        return of_type(self.entry.feed(answer), actions.ListObjects)

    def test_object_that_stale_reads_lack_is_read_from_the_latest_state(self):
        """Guards against a change that is late by the lag of stale reads."""
        self.entry.feed(events.PeerRevisionSeen("n2", 12, "1" * 16))
        part = events.ObjectsExchanged("", "n2", 12, -1, "1" * 16, 10, ())
        self.entry.feed(part)
        # A stale answer without the change, also one with an older large object.
        known = self.entry.versions()["client_account", "hotel"]
        old = self.large._replace(version=known)
        for objects in ((), (old,)):
            stale = events.ObjectsChanged("store", 10, objects, may_be_stale=True)
            self.entry.feed(stale)
        lists = self.lists_after_wait(part)
        self.assertEqual([a.may_be_stale for a in lists], [False])
        listed = events.ObjectsListed(
            12, (self.large,), operation_id=lists[0].operation_id
        )
        self.entry.feed(listed)
        self.assertEqual(self.entry.versions()["client_account", "hotel"], 12)

    def test_failed_comparison_reads_the_latest_state(self):
        """Guards against a wait for a peer that is gone."""
        self.entry.feed(events.PeerRevisionSeen("n2", 12, "1" * 16))
        self.entry.feed(events.ObjectsExchanged("", "n2", 12, -1, "1" * 16, 10, ()))
        failed = events.ExchangeFailed("n2", "refused")
        self.assertTrue(self.lists_after_wait(failed))

    def test_store_answer_cancels_the_catch_up_pull(self):
        """Guards against a pull of objects that the store has already delivered."""
        ahead = events.PeerRevisionSeen("n2", 12, "1" * 16)
        self.entry.feed(ahead)
        self.entry.feed(events.ObjectsExchanged("", "n2", 12, -1, "1" * 16, 10, ()))
        self.entry.changed(12, self.large)
        self.entry.now += _configuration.LARGE_OBJECT_WAIT_SECONDS
        timer = events.TimerFired(_configuration.CATCH_UP_TIMER, "n2")
        self.assertEqual(self.pull_requests(self.entry.feed(timer)), [])

    def test_registrations_of_entries_are_not_exchanged(self):
        """Guards against exchange traffic for what membership reports anyway."""
        before = self.entry.board.object_set
        kind = declarations.ENTRY_REGISTRATION
        registered = events.StoredObject(kind, "n4", 14, b"{}")
        self.assertEqual(self.pull_requests(self.entry.changed(14, registered)), [])
        after = self.entry.board.object_set
        self.assertEqual(after.digest, before.digest)
        self.assertEqual(self.versions(self.answer_to_request()), [])


class VersionOrderTest(unittest.TestCase):
    def test_fault_cases_end_in_the_highest_version(self):
        """Guards against reverts by reordered, repeated, missed or late answers."""
        new, old = account(12, 2.0), account(11, 5.0)
        cases = {
            "repeated": [("changed", 12, new), ("changed", 12, new)],
            "reordered": [("changed", 12, new), ("changed", 11, old)],
            "late": [("changed", 12, new), ("changed", 10, account(3, 9.0))],
            "older list": [("changed", 12, new), ("listed", 10, account(3, 9.0))],
            "restarted store": [("changed", 12, new), ("listed", 2, account(1, 7.0))],
            "emptied store": [("changed", 12, new), ("listed", 0)],
            "list that skips": [("changed", 12, new), ("listed", 13)],
            "missed": [("changed", 12), ("listed", 12, new)],
            "both at once": [("changed", 12, new, old)],
        }
        for name, steps in cases.items():
            with self.subTest(name):
                entry = ready_entry()
                for method, revision, *objects in steps:
                    getattr(entry, method)(revision, *objects)
                self.assertEqual(entry.weight, 2.0)
                self.assertEqual(entry.board.configuration.revision, 12)

    def test_outdated_store_is_counted_and_called_less_often(self):
        """Guards against a restarted store that is not reported or is overloaded."""
        entry = ready_entry()
        delays = []
        for _ in range(8):
            entry.feed(events.TimerFired(store_watch.STORE_CALL_TIMER, ""))
            performed = entry.changed(2)
            self.assertIn(result_codes.CONFIGURATION_OUTDATED, counted_codes(performed))
            timer = of_type(performed, actions.SetTimer)[0]
            delays.append(timer.deadline - entry.now)
        self.assertGreater(delays[-1], 10.0)
        self.assertEqual(entry.board.object_set.outdated_count, 8)

    @hypothesis_settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("store", "list", "peer")),
                st.lists(st.tuples(st.sampled_from("ab"), st.integers(1, 30))),
                st.integers(0, 30),
            ),
            max_size=12,
        )
    )
    def test_any_order_ends_in_the_highest_version(self, steps):
        """Guards against any order that reverts an object or corrupts the digest."""
        entry = Entry()
        expected = {}
        for source, pairs, revision in steps:
            objects = tuple(
                stored("upstream", name, version, labels={"v": str(version)})
                for name, version in pairs
            )
            before = entry.versions()
            if source == "peer":
                entry.feed(peer_answer(revision, objects))
            elif source == "list":
                entry.listed(revision, *objects)
            else:
                entry.changed(revision, *objects)
            for name, version in pairs:
                key = ("upstream", name)
                expected[key] = max(expected.get(key, 0), version)
            after = entry.versions()
            self.assertTrue(all(after[key] >= before[key] for key in before))
        self.assertEqual(entry.versions(), expected)
        digest = 0
        for key, version in expected.items():
            digest ^= _configuration.object_hash(key, version)
        self.assertEqual(entry.board.object_set.digest, digest)

    def test_tombstone_is_not_undone_by_an_older_version(self):
        """Guards against a deleted account that is restored by a late answer."""
        entry = ready_entry()
        other = stored("client_account", "x", 11, token_sha256s=["a" * 64])
        entry.changed(11, other)
        tombstone = events.StoredObject("client_account", "x", 12, b"", True)
        entry.changed(12, tombstone)
        entry.changed(12, other)
        self.assertNotIn("x", entry.board.configuration.accounts_by_name)


def peer_answer(revision, objects, since=-1, digest="", **fields):
    return events.ObjectsExchanged(
        "", "n2", revision, revision, digest, since, tuple(objects)
    )._replace(**fields)


class ValidationTest(unittest.TestCase):
    def test_invalid_candidate_keeps_the_last_valid_configuration(self):
        """Guards against an invalid object that removes the whole configuration."""
        for name, wrong in {
            "undecodable": stored("client_account", "hotel", 11, quota_weight=-1),
            "reference": stored("binding", "quotes", 11, rank="absent"),
        }.items():
            with self.subTest(name):
                entry = ready_entry()
                performed = entry.changed(11, wrong)
                rejected = result_codes.CONFIGURATION_REJECTED
                self.assertIn(rejected, counted_codes(performed))
                self.assertEqual(entry.board.configuration.revision, 4)
                self.assertTrue(entry.board.object_set.problems)
                entry.changed(12, stored("upstream", "u", 12, labels={"a": "b"}))
                self.assertEqual(entry.board.configuration.revision, 4)
                entry.changed(13, *complete_set(13))
                self.assertEqual(entry.board.configuration.revision, 16)
                self.assertEqual(entry.board.object_set.problems, ())

    def test_incomplete_first_candidate_is_not_activated(self):
        """Guards against an entry that becomes ready with a partial configuration."""
        entry = Entry()
        offered = peer_answer(9, complete_set(), since=5, exchange_id="e1")
        entry.feed(offered)
        self.assertIsNone(entry.board.configuration)
        entry.feed(peer_answer(-1, (), complete_revision=-1))
        self.assertIsNone(entry.board.configuration)
        entry.listed(4)
        self.assertIsNotNone(entry.board.configuration)

    def test_empty_store_does_not_make_an_entry_ready(self):
        """Guards against an entry that reports ready but refuses every call."""
        entry = Entry()
        entry.listed(0)
        self.assertIsNone(entry.board.configuration)
        for index, item in enumerate(complete_set(), 1):
            self.assertIsNone(entry.board.configuration)
            entry.changed(index, item)
        self.assertIsNotNone(entry.board.configuration)


class StoreCallsTest(unittest.TestCase):
    def test_two_entries_per_zone_watch_the_store(self):
        """Guards against a fleet in which every entry watches the store."""
        ids = [f"n{index}" for index in range(20)]
        watching = 0
        for node_id in ids:
            entry = Entry(node_id)
            entry.add_members(*ids[:10], zone="a")
            entry.add_members(*ids[10:], zone="b")
            zone = "a" if node_id in ids[:10] else "b"
            node = entry.board.settings.node._replace(zone=zone)
            board = entry.board._replace(
                settings_by_name={"in_force": entry.board.settings._replace(node=node)}
            )
            watching += controllers.is_watcher(board, 0.0)
        self.assertEqual(watching, 4)

    def test_entry_whose_peers_have_left_watches_at_once(self):
        """Guards against changes that do not reach the last running entry.

        While the others restarted, the entry had no watch for seconds, because one of
        them had answered it shortly before.
        """
        for state in ("leaving", "left", "dead"):
            with self.subTest(state=state):
                entry = ready_entry()
                entry.add_members("n2")
                member = entry.board.members_by_id["n2"]
                entry.board.members_by_id["n2"] = member._replace(state=state)
                entry.feed(peer_answer(10, ()))
                self.assertTrue(controllers.is_watcher(entry.board, entry.now))

    def test_entry_without_known_members_waits_before_it_watches(self):
        """Guards against watches by all or none of the entries after all restart."""
        entry = ready_entry()
        entry.feed(peer_answer(10, ()))
        self.assertFalse(controllers.is_watcher(entry.board, entry.now))
        entry.now += 10
        entry.board.store_scopes_by_name[""] = rows.StoreScopeRow("", position=10)
        performed = entry.feed(events.TimerFired(_configuration.ANTI_ENTROPY_TIMER))
        self.assertIn(
            events.TimerFired(store_watch.STORE_CALL_TIMER),
            [action.event for action in of_type(performed, actions.SetTimer)],
        )

    def test_failed_calls_back_off_one_at_a_time(self):
        """Guards against retries that overload a recovering store."""
        entry = Entry()
        failed = events.StoreCallFailed(store_watch.LIST_OPERATION, "")
        performed = entry.feed(events.ProcessStarted(1))
        for _ in range(10):
            performed = entry.feed(failed)
            timers = of_type(performed, actions.SetTimer)
            self.assertEqual(len(timers), 1)
        self.assertGreaterEqual(timers[0].deadline - entry.now, 15.0)
        self.assertLessEqual(timers[0].deadline - entry.now, 45.0)

    def test_expired_watch_is_followed_by_a_list(self):
        """Guards against missed changes if the store's history is too short."""
        entry = ready_entry()
        entry.feed(events.WatchExpired(store_watch.WATCH_OPERATION))
        entry.now += 5
        performed = entry.feed(events.TimerFired(store_watch.STORE_CALL_TIMER))
        self.assertTrue(of_type(performed, actions.ListObjects))

    def test_entry_synchronized_by_a_peer_does_not_list(self):
        """Guards against a list call by each entry when many restart at once."""
        entry = Entry(seeds=(settings.SeedPeer("127.0.0.1", 1, 2),))
        entry.feed(events.ProcessStarted(1))
        entry.add_members("n2", "n3", "n4", "n5", "n6", "n7", "n8")
        entry.feed(peer_answer(4, complete_set()))
        self.assertIsNotNone(entry.board.configuration)
        performed = entry.feed(events.TimerFired(store_watch.STORE_CALL_TIMER))
        self.assertFalse(of_type(performed, actions.ListObjects))

    def test_watcher_synchronized_by_a_peer_watches_from_its_revision(self):
        """Guards against a list call by each watcher after all entries restart."""
        entry = Entry(seeds=(settings.SeedPeer("127.0.0.1", 1, 2),))
        entry.feed(events.ProcessStarted(1), peer_answer(4, complete_set()))
        entry.now += 10
        performed = entry.feed(events.TimerFired(store_watch.STORE_CALL_TIMER))
        self.assertEqual(
            performed, [actions.WatchObjects(store_watch.WATCH_OPERATION, 4, 30.0)]
        )


class PeerExchangeTest(unittest.TestCase):
    def test_watcher_pushes_to_every_entry_of_its_zone(self):
        """Guards against entries that random pushes miss while stale reads lag."""
        entry = ready_entry()
        zone = {f"a{index}" for index in range(9)}
        entry.add_members(*zone)
        entry.add_members(*(f"b{index}" for index in range(9)), zone="b")
        changed = events.ObjectsChanged("store", 12, (account(12, 2.0),))
        pushed = of_type(entry.feed(changed), actions.PullObjects)
        self.assertLessEqual(zone, {action.peer_id for action in pushed})
        self.assertLessEqual(len(pushed), len(zone) + 2)
        stale = events.ObjectsChanged(
            "store", 13, (account(13, 3.0),), may_be_stale=True
        )
        pushed = of_type(entry.feed(stale), actions.PullObjects)
        self.assertEqual(len(pushed), 2)

    def test_change_is_pushed_once_to_some_peers(self):
        """Guards against a change that is not pushed, or that is pushed forever."""
        entry = ready_entry()
        entry.add_members("n2", "n3", "n4", "n5", zone="b")
        pushed = of_type(entry.changed(12, account(12, 2.0)), actions.PullObjects)
        self.assertEqual(len({action.peer_id for action in pushed}), 2)
        self.assertEqual(pushed[0].request.objects[0].version, 12)
        again = entry.changed(12, account(12, 2.0))
        self.assertFalse(of_type(again, actions.PullObjects))

    def test_newer_revision_in_gossip_is_pulled(self):
        """Guards against entries that wait for the next anti-entropy round."""
        entry = ready_entry()
        entry.add_members("n2")
        performed = entry.feed(events.PeerRevisionSeen("n2", 12, "x"))
        pulled = of_type(performed, actions.PullObjects)
        self.assertEqual([action.request.since for action in pulled], [10])
        performed = entry.feed(events.PeerRevisionSeen("n2", 13, "y"))
        self.assertFalse(of_type(performed, actions.PullObjects))

    def test_push_of_equal_objects_transfers_the_complete_revision(self):
        """Guards against a list call by an entry that already has the complete set."""
        source, entry, objects = ready_entry(), Entry("n2"), complete_set()
        request = _configuration._exchange_message(source.board, "e1", 10, objects)
        entry.feed(request._replace(objects=objects[:3]))
        self.assertIsNone(entry.board.configuration)
        entry.feed(request)
        self.assertIsNotNone(entry.board.configuration)
        self.assertEqual(entry.board.object_set.complete_revision, 10)

    def test_answer_contains_only_objects_missing_on_the_peer(self):
        """Guards against an exchange of the complete set for each change."""
        entry = ready_entry()
        entry.changed(12, account(12, 2.0))
        request = peer_answer(10, (), since=10, exchange_id="e1")
        performed = entry.feed(request)
        answer = of_type(performed, actions.AnswerExchange)[0].answer
        self.assertEqual([item.version for item in answer.objects], [12])
        same = request._replace(digest=answer.digest, revision=12)
        answer = of_type(entry.feed(same), actions.AnswerExchange)[0].answer
        self.assertEqual(answer.objects, ())

    def test_skipped_change_is_found_by_the_digest(self):
        """Guards against a change that a watch skips and no entry requests again."""
        entry = ready_entry()
        entry.add_members("n2")
        entry.changed(12)
        self.assertEqual(entry.board.object_set.complete_revision, 12)
        entry.changed(13, stored("upstream", "u", 13))
        answer = peer_answer(13, (), since=13, digest="other")
        pulled = of_type(entry.feed(answer), actions.PullObjects)
        self.assertEqual([action.request.since for action in pulled], [-1])
        whole = (account(12, 2.0), stored("upstream", "u", 13), *complete_set())
        entry.feed(peer_answer(13, whole))
        self.assertEqual(entry.weight, 2.0)
        again = of_type(entry.feed(answer), actions.PullObjects)
        self.assertFalse(again)

    def test_answer_of_an_unknown_peer_does_not_delay_a_full_pull(self):
        """Guards against a skipped change that is only repaired 30 s later."""
        entry = ready_entry()
        entry.changed(13, stored("upstream", "u", 13))
        answer = peer_answer(13, (), since=13, digest="other")
        self.assertFalse(of_type(entry.feed(answer), actions.PullObjects))
        entry.add_members("n2")
        pulled = of_type(entry.feed(answer), actions.PullObjects)
        self.assertEqual([action.request.since for action in pulled], [-1])


def change_request(version=10, weight=2.0, change_id="c1", **fields):
    item = stored("client_account", "hotel", version, change_id, quota_weight=weight)
    return events.ChangeRequested(
        "change/1", change_id, "client_account", "hotel", item.value, False, version
    )._replace(**fields)


class OperatorChangeTest(unittest.TestCase):
    def setUp(self):
        self.entry = ready_entry()
        self.entry.add_members("n2", "n3", "n4", "n5")
        performed = self.entry.feed(change_request())
        self.assertTrue(of_type(performed, actions.WriteObject))

    def outcome(self, *fed):
        answers = of_type(self.entry.feed(*fed), actions.AnswerChange)
        self.assertEqual(len(answers), 1)
        return answers[0]

    def read(self, version, change_id, weight=2.0):
        item = stored(
            "client_account", "hotel", version, change_id, quota_weight=weight
        )
        return events.ObjectRead("change/1", item)

    def test_accepted_write_is_in_force_and_pushed_at_once(self):
        """Guards against a change that waits for the store's watch."""
        answer = self.outcome(events.ObjectWritten("change/1", True, 12))
        self.assertEqual((answer.code, answer.version), (None, 12))
        self.assertEqual(self.entry.weight, 2.0)
        pushed = of_type(self.entry.performed, actions.PullObjects)
        self.assertEqual(len(pushed), _configuration.WRITER_PUSH_FANOUT)

    def test_lost_answer_is_resolved_by_the_change_id(self):
        """Guards against an accepted change that is reported as a conflict."""
        self.entry.feed(events.StoreCallFailed("change/1", "lost"))
        timer = events.TimerFired(_changes.RETRY_TIMER, "change/1")
        self.assertTrue(of_type(self.entry.feed(timer), actions.ReadObject))
        answer = self.outcome(self.read(12, "c1"))
        self.assertEqual((answer.code, answer.version), (None, 12))

    def test_conflict_names_the_other_change(self):
        """Guards against an operator who overwrites the change of another operator."""
        self.entry.feed(events.ObjectWritten("change/1", False, 12))
        answer = self.outcome(self.read(12, "other-7", weight=9.0))
        self.assertEqual(answer.code, result_codes.CHANGE_CONFLICT)
        self.assertIn("other-7", answer.message)
        self.assertEqual(self.entry.weight, 1.0)

    def test_unapplied_write_is_repeated(self):
        """Guards against a change that is abandoned after one lost call."""
        performed = self.entry.feed(self.read(10, ""))
        self.assertTrue(of_type(performed, actions.WriteObject))

    def test_unresponsive_store_ends_in_an_unknown_outcome(self):
        """Guards against an operator command that waits forever."""
        for _ in range(20):
            failed = events.StoreCallFailed("change/1", "down")
            answers = of_type(self.entry.feed(failed), actions.AnswerChange)
            self.entry.now += 1.0
            if answers:
                break
        self.assertEqual(answers[0].code, result_codes.CHANGE_UNKNOWN)
        self.assertFalse(self.entry.board.changes_by_operation_id)

    def test_change_with_a_new_problem_is_not_written(self):
        """Guards against two changes that are valid separately but not together."""
        entry = ready_entry()
        entry.changed(11, stored("rank_class", "urgent", 11, floor=0.6))
        item = stored("rank_class", "patient", 0, "c2", priority=1, floor=0.6)
        request = change_request()._replace(
            kind="rank_class", name="patient", value=item.value, expected_version=0
        )
        performed = entry.feed(request)
        self.assertFalse(of_type(performed, actions.WriteObject))
        answer = of_type(performed, actions.AnswerChange)[0]
        self.assertEqual(answer.code, result_codes.INVALID_DECLARATION)
        self.assertIn("floor", answer.message)
