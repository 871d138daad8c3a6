"""Store responses with odd objects, from other writers or faults."""

from __future__ import annotations

import json
import unittest

import aiohttp
from aiohttp import test_utils, web
from hypothesis import given, settings, strategies

from carawayhitch import codecs
from carawayhitch.core import actions, errors, events
from carawayhitch.core import settings as settings_types
from carawayhitch.platform import PlatformStore, call_platform_store
from tests.boards import ready_board

GOOD_OBJECT = b'{"metadata":{"name":"u1","revision":3},"spec":{"service":"s"}}'
DEEP_VALUE = b"[" * 3000 + b"]" * 3000
LARGE_NUMBER = b"1e400"


def named_object(name: bytes, spec: bytes, revision: bytes = b"5") -> bytes:
    return (
        b'{"metadata":{"name":"' + name + b'","revision":' + revision + b"},"
        b'"spec":' + spec + b"}"
    )


# Objects with a readable name and revision replace the object of that name; they name
# no server to use.
ODD_OBJECTS = {
    "deep list": named_object(b"u2", DEEP_VALUE),
    "deep object": named_object(b"u2", b'{"a":' * 3000 + b"1" + b"}" * 3000),
    "deep member beside the value": (
        b'{"status":' + DEEP_VALUE + b',"metadata":{"name":"u2","revision":5},"spec":1}'
    ),
    "large number": named_object(b"u2", LARGE_NUMBER),
    "large number in the value": named_object(b"u2", b'{"slots":1e400}'),
    "number of 5,000 digits": named_object(b"u2", b"9" * 5000),
    "no value": b'{"metadata":{"name":"u2","revision":5}}',
    "value that is no JSON": named_object(b"u2", b"{a}"),
    "invalid UTF-8 in the value": named_object(b"u2", b'"\xff"'),
}
# Objects without a readable name or revision are skipped.
SKIPPED_OBJECTS = {
    "revision too large for a number": named_object(b"u2", b"1", LARGE_NUMBER),
    "revision of 31 digits": named_object(b"u2", b"1", b"1" + b"0" * 30),
    "negative revision": named_object(b"u2", b"1", b"-1"),
    "revision is a fraction": named_object(b"u2", b"1", b"1.5"),
    "deep metadata": b'{"metadata":' + DEEP_VALUE + b',"spec":1}',
    "no metadata": b'{"spec":{}}',
    "empty metadata": b'{"metadata":null}',
    "text": b'"text"',
    "nothing": b"null",
    "number out of range": LARGE_NUMBER,
    "deep list instead of an object": DEEP_VALUE,
    "no JSON": b"{a}",
    "invalid UTF-8": b'{"metadata":{"name":"\xff","revision":5}}',
}


class StoreTestCase(unittest.IsolatedAsyncioTestCase):
    """A store that answers each call with the next of the given bodies."""

    async def asyncSetUp(self):
        self.status = 200
        self.bodies = []
        self.queries = []
        application = web.Application()
        base = "/carawayhitch/objects/{kind}"
        for path in (base, base + "/{name}"):
            application.router.add_route("*", path, self.answer)
        server = test_utils.TestServer(application)
        await server.start_server()
        self.addAsyncCleanup(server.close)
        session = aiohttp.ClientSession()
        self.addAsyncCleanup(session.close)
        store = settings_types.StoreSettings(str(server.make_url("/")))
        self.store = PlatformStore(session, ready_board(store=store).settings)

    async def answer(self, request):
        self.queries.append(dict(request.query))
        body = self.bodies.pop(0) if len(self.bodies) > 1 else self.bodies[0]
        return web.Response(body=body, status=self.status)

    async def call(self, action, *bodies):
        self.bodies, self.queries = list(bodies), []
        return await call_platform_store(self.store, action)

    async def list(self, *items, more=False, scope="upstreams"):
        return await self.call(
            actions.ListObjects("o", scope, False), list_page(*items, more=more)
        )

    async def watch(self, *items, scope="upstreams"):
        changes = b",".join(
            b'{"object":' + item + b',"deleted":false}' for item in items
        )
        return await self.call(
            actions.WatchObjects("o", 2, 1.0, scope, False),
            b'{"events":[' + changes + b'],"at":7}',
        )


def list_page(*items: bytes, more: bool = False) -> bytes:
    has_more = b"true" if more else b"false"
    items_list = b'{"items":[' + b",".join(items)
    return items_list + b'],"hasMore":' + has_more + b',"at":7}'


class OddObjectsTest(StoreTestCase):
    """Guards against one odd object that hides the others or stops the watch."""

    async def test_odd_value_does_not_hide_other_objects(self):
        for scope in ("upstreams", "entries"):
            for name, odd in ODD_OBJECTS.items():
                for read in (self.list, self.watch):
                    with self.subTest(f"{scope}: {name}: {read.__name__}"):
                        event = await read(odd, GOOD_OBJECT, odd, scope=scope)
                        found = [(item.name, item.version) for item in event.objects]
                        self.assertEqual(found, [("u2", 5), ("u1", 3), ("u2", 5)])
                        self.assertEqual(event.revision, 7)

    async def test_other_objects_beside_the_configuration_are_skipped(self):
        """Guards against a configuration that is rejected because of another object."""
        good = GOOD_OBJECT.replace(b"u1", b"main")
        for read in (self.list, self.watch):
            event = await read(
                *ODD_OBJECTS.values(), good, GOOD_OBJECT, scope="configuration"
            )
            self.assertEqual([item.name for item in event.objects], ["main"])
            self.assertEqual(event.unreadable_count, len(ODD_OBJECTS) + 1)

    async def test_object_without_name_or_revision_is_skipped_and_counted(self):
        for name, odd in SKIPPED_OBJECTS.items():
            for read in (self.list, self.watch):
                with self.subTest(f"{name}: {read.__name__}"):
                    event = await read(odd, GOOD_OBJECT)
                    self.assertEqual([item.name for item in event.objects], ["u1"])
                    self.assertEqual(event.unreadable_count, 1)

    async def test_skipped_object_is_reported_by_its_name(self):
        """Guards against a log line that does not say which object is odd."""
        odd = SKIPPED_OBJECTS["revision of 31 digits"]
        for read in (self.list, self.watch):
            event = await read(odd, GOOD_OBJECT)
            self.assertEqual(event.unreadable_names, ("u2",))

    async def test_thousands_of_odd_objects_do_not_hide_the_good_one(self):
        odd = [*ODD_OBJECTS.values(), *SKIPPED_OBJECTS.values()] * 60
        event = await self.list(*odd, GOOD_OBJECT)
        self.assertIn("u1", [item.name for item in event.objects])

    async def test_odd_object_at_the_end_of_a_page_does_not_end_the_list(self):
        """Guards against a list that ends at a page whose last object is odd.

        The objects of later pages would be taken as deleted.
        """
        for odd in (*ODD_OBJECTS.values(), *SKIPPED_OBJECTS.values()):
            event = await self.call(
                actions.ListObjects("o", "upstreams", False),
                list_page(named_object(b"u0", b"1"), odd, more=True),
                list_page(GOOD_OBJECT.replace(b"u1", b"u3")),
            )
            self.assertIn("u3", [item.name for item in event.objects])
            self.assertIn(self.queries[1]["after"], ("u0", "u2"))

    async def test_list_that_cannot_be_continued_is_not_exhaustive(self):
        """Guards against taking objects of unread pages as deleted."""
        event = await self.list(b"null", more=True)
        self.assertEqual(event.kinds, ())

    async def test_odd_current_object_ends_a_write_as_a_conflict(self):
        write = actions.WriteObject("o", "peer_key", "shared", b"[1]", 4)
        self.status = 409
        for name, odd in {**ODD_OBJECTS, **SKIPPED_OBJECTS}.items():
            with self.subTest(name):
                event = await self.call(write, odd)
                self.assertIsInstance(event, events.ObjectWritten)
                self.assertFalse(event.accepted)

    async def test_every_read_gets_its_event(self):
        read = actions.ReadObject("o", "peer_key", "shared")
        for name, odd in {**ODD_OBJECTS, **SKIPPED_OBJECTS}.items():
            with self.subTest(name):
                event = await self.call(read, odd)
                self.assertEqual(event.operation_id, "o")


class UnusableAnswerTest(StoreTestCase):
    """Guards against a store operation that ends without its event."""

    async def test_answer_without_its_frame_fails_the_call(self):
        for body in (
            b"",
            b"\xff\x00",
            b"null",
            DEEP_VALUE,
            b'{"items":[',
            b'{"items":{},"hasMore":false,"at":7}',
            b'{"items":[],"hasMore":false,"at":1e400}',
            b'{"items":[],"hasMore":false,"at":1' + b"0" * 30 + b"}",
            b'{"events":[],"at":-1}',
            b'{"events":[],"at":' + DEEP_VALUE + b"}",
        ):
            for action in (
                actions.ListObjects("o", "upstreams", False),
                actions.WatchObjects("o", 2, 1.0, "upstreams", False),
            ):
                with self.subTest(body[:40]):
                    event = await self.call(action, body)
                    self.assertIsInstance(event, events.StoreCallFailed)
                    self.assertEqual(event.scope, "upstreams")

    async def test_body_over_the_limit_is_not_read_to_its_end(self):
        body = b'{"items":[' + b" " * 20_000_000
        event = await self.call(actions.ListObjects("o", "upstreams", False), body)
        self.assertIsInstance(event, events.StoreCallFailed)
        self.assertIn("exceeds", event.detail)
        watch = actions.WatchObjects("o", 2, 1.0, "upstreams", False)
        event = await self.call(watch, body)
        # The same watch would be too large again, so the objects are listed instead.
        self.assertIsInstance(event, events.WatchExpired)


JSON_TEXTS = strategies.recursive(
    strategies.sampled_from(
        [b"null", b"1e400", b'"a,]}"', b'"\\""', b"{a}", b"-0", b""]
    )
    | strategies.binary(max_size=6),
    lambda inner: (
        strategies.lists(inner, max_size=4).map(
            lambda items: b"[" + b",".join(items) + b"]"
        )
        | strategies.lists(inner, max_size=4).map(
            lambda items: (
                b"{" + b",".join(b'"metadata":' + item for item in items) + b"}"
            )
        )
    ),
    max_leaves=12,
)


class FuzzedAnswerTest(unittest.TestCase):
    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(JSON_TEXTS)
    def test_items_are_split_or_refused(self, text):
        """Guards against an exception that the callers do not handle."""
        for body in (text, b'{"items":' + text + b"}", b'{"items":[' + text + b"]}"):
            try:
                codecs.split_item_list(body, "items")
            except errors.MalformedMessageError:
                continue

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(strategies.lists(strategies.integers() | strategies.text(), max_size=6))
    def test_odd_neighbour_changes_no_item(self, values):
        """Guards against items that the scan of an odd list splits wrongly."""
        items = [
            json.dumps({"a": [value, {"b": [value]}]}).encode() for value in values
        ]
        body = b'{"items":[' + b",".join([*items, DEEP_VALUE]) + b'],"at":7}'
        found = codecs.split_item_list(body, "items")
        self.assertEqual(list(found.items), [*items, DEEP_VALUE])
        self.assertEqual(found.members_by_name, {"at": b"7"})


if __name__ == "__main__":
    unittest.main()
