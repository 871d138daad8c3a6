"""Loading and creation of the key that entries share through the store."""

from __future__ import annotations

import asyncio
import unittest

from carawayhitch import codecs
from carawayhitch.backends import load_peer_keys
from carawayhitch.core import actions, events
from carawayhitch.core import settings as settings_types

OWN_KEY = settings_types.PeerKey(1, "a" * 64)
OTHER_KEY = settings_types.PeerKey(1, "b" * 64)


class Store:
    """A store with at most one key, which counts the calls that it charges in full."""

    def __init__(self, key: settings_types.PeerKey | None = None) -> None:
        self.key = key
        self.stale_key = key
        self.full_calls = 0

    async def perform(self, action: object) -> object:
        if isinstance(action, actions.ReadObject):
            self.full_calls += not action.may_be_stale
            key = self.stale_key if action.may_be_stale else self.key
            value = codecs.encode_peer_keys((key,)) if key else b""
            stored = events.StoredObject("peer_key", "shared", 3 if key else 0, value)
            return events.ObjectRead(action.operation_id, stored)
        self.full_calls += 1
        accepted = self.key is None
        if accepted:
            (self.key,) = codecs.decode_peer_keys(action.value)
        return events.ObjectWritten(action.operation_id, accepted, 3)

    def load(self, may_create: bool) -> object:
        action = actions.LoadPeerKeys("o", may_create)
        coroutine = load_peer_keys(action, self.perform, lambda size: "a" * 2 * size)
        return asyncio.run(coroutine)


class LoadPeerKeysTest(unittest.TestCase):
    def test_existing_key_costs_no_full_call(self):
        """Guards against store calls of every entry at every start."""
        store = Store(OTHER_KEY)
        for may_create in (False, True):
            self.assertEqual(store.load(may_create), events.PeerKeysRead((OTHER_KEY,)))
        self.assertEqual(store.full_calls, 0)

    def test_key_is_created_only_if_allowed(self):
        """Guards against a write by each of hundreds of entries that start together."""
        store = Store()
        self.assertEqual(store.load(may_create=False), events.PeerKeysAbsent())
        self.assertEqual(store.full_calls, 0)
        self.assertEqual(store.load(may_create=True), events.PeerKeysRead((OWN_KEY,)))
        self.assertEqual(store.key, OWN_KEY)
        self.assertEqual(store.full_calls, 1)

    def test_key_that_a_stale_read_misses_is_not_replaced(self):
        """Guards against two keys in one fleet, which would part it."""
        store = Store(OTHER_KEY)
        store.stale_key = None
        found = store.load(may_create=True)
        self.assertEqual(found, events.PeerKeysRead((OTHER_KEY,)))
        self.assertEqual(store.key, OTHER_KEY)


if __name__ == "__main__":
    unittest.main()
