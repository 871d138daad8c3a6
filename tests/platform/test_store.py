"""Store responses with malformed objects, from other writers or faults."""

from __future__ import annotations

import unittest

import aiohttp
from aiohttp import test_utils, web

from carawayhitch.core import actions, settings
from carawayhitch.platform import PlatformStore, call_platform_store
from tests.boards import ready_board

VALID_OBJECT = {"metadata": {"name": "u1", "revision": 3}, "spec": {"service": "s"}}
MALFORMED_OBJECTS = ({"metadata": None}, {"spec": {}}, "text", None)


class UnreadableObjectsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        application = web.Application()
        application.router.add_get("/carawayhitch/objects/{kind}", self.answer)
        server = test_utils.TestServer(application)
        await server.start_server()
        self.addAsyncCleanup(server.close)
        session = aiohttp.ClientSession()
        self.addAsyncCleanup(session.close)
        store = settings.StoreSettings(str(server.make_url("/")))
        self.store = PlatformStore(session, ready_board(store=store).settings)

    async def answer(self, request):
        if "watch" in request.query:
            found = [
                {"object": item, "deleted": False}
                for item in (VALID_OBJECT, *MALFORMED_OBJECTS)
            ]
            return web.json_response({"events": found, "at": 7})
        return web.json_response(
            {"items": [*MALFORMED_OBJECTS, VALID_OBJECT], "hasMore": False, "at": 7}
        )

    async def test_malformed_objects_are_skipped_and_counted(self):
        """Guards against dropping malformed objects without counting them.

        One malformed object must not hide the valid ones either.
        """
        for action in (
            actions.ListObjects("o", "upstreams", False),
            actions.WatchObjects("o", 2, 1.0, "upstreams", False),
        ):
            with self.subTest(type(action).__name__):
                event = await call_platform_store(self.store, action)
                self.assertEqual([item.name for item in event.objects], ["u1"])
                self.assertEqual(event.unreadable_count, len(MALFORMED_OBJECTS))


if __name__ == "__main__":
    unittest.main()
