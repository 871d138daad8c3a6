"""What the HTTP client library sends when a connection closes without an answer."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp

from carawayhitch.backends import (
    CallContent,
    UpstreamCall,
    open_session,
    run_service_call,
)
from carawayhitch.core import actions, events, rows
from carawayhitch.core import settings as settings_types

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
SETTINGS = settings_types.Settings(
    settings_types.NodeSettings("entry-1", "a", "r1"),
    settings_types.PeerSettings(()),
    settings_types.StoreSettings(""),
    settings_types.PlatformSettings(""),
)


class CuttingServer:
    """Answers the call ``/first`` and closes every other one without an answer."""

    def __init__(self) -> None:
        self.arrivals = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while head := await self.read_call(reader):
            if b" /first " not in head:
                self.arrivals += 1
                break
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    async def read_call(self, reader: asyncio.StreamReader) -> bytes:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return b""
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                await reader.readexactly(int(line.split(b":")[1]))
        return head


class RepeatedCallTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cutting = CuttingServer()
        self.server = await asyncio.start_server(self.cutting.serve, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def warm(self, session: aiohttp.ClientSession) -> None:
        """Make a first call, so that the session may hold a connection to reuse."""
        async with session.get(f"http://{self.address}/first") as response:
            await response.read()
        self.cutting.arrivals = 0

    async def send(self, session: aiohttp.ClientSession, method: str) -> object:
        """Return the event of one call on our path."""
        submitted: list[object] = []
        content = CallContent(method, "/guides", "", "text/plain", b"lot 1")
        call = UpstreamCall("r", 1, content, None, session, SETTINGS, submitted.append)
        action = actions.OpenUpstream("r", 1, "service-1", self.address, 0)
        target = rows.ServiceTarget("register", method, "/guides")
        await run_service_call(call, action, target, "key")
        return submitted[0]

    async def test_library_repeats_put(self):
        """Shows the fault: the library alone sends a PUT twice."""
        for fresh in (False, True):
            async with open_session(SETTINGS, fresh_connections=fresh) as session:
                await self.warm(session)
                with self.subTest(fresh=fresh):
                    with self.assertRaises(aiohttp.ServerDisconnectedError):
                        await session.put(f"http://{self.address}/guides", data=b"x")
                    self.assertEqual(self.cutting.arrivals, 2)

    async def test_our_path_repeats_nothing(self):
        """Guards against a second run when a service closes without an answer."""
        for fresh in (False, True):
            async with open_session(SETTINGS, fresh_connections=fresh) as session:
                for method in METHODS:
                    await self.warm(session)
                    with self.subTest(method=method, fresh=fresh):
                        event = await self.send(session, method)
                        self.assertEqual(self.cutting.arrivals, 1)
                        self.assertIsInstance(event, events.UpstreamCallFailed)
                        self.assertTrue(event.sent)
