"""Requests that aiohttp repeats when a connection closes without a response."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp

from carawayhitch.backends import (
    CallContent,
    RequestBody,
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


class DisconnectingServer:
    """Responds to ``/first`` and disconnects on other requests without a response."""

    def __init__(self) -> None:
        self.request_count = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while head := await self.read_request(reader):
            if b" /first " not in head:
                self.request_count += 1
                break
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    async def read_request(self, reader: asyncio.StreamReader) -> bytes:
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
        self.disconnecting_server = DisconnectingServer()
        self.server = await asyncio.start_server(
            self.disconnecting_server.serve, "127.0.0.1", 0
        )
        self.addCleanup(self.server.close)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def open_first_connection(self, session: aiohttp.ClientSession) -> None:
        """Make one call, so that the session may have an idle connection to reuse."""
        async with session.get(f"http://{self.address}/first") as response:
            await response.read()
        self.disconnecting_server.request_count = 0

    async def send(self, session: aiohttp.ClientSession, method: str) -> object:
        """Make one call with `run_service_call` and return its event."""
        submitted: list[object] = []
        content = CallContent(
            method, "/guides", "", "text/plain", RequestBody(b"lot 1")
        )
        call = UpstreamCall("r", 1, content, None, session, SETTINGS, submitted.append)
        action = actions.OpenUpstream("r", 1, "service-1", self.address, 0)
        target = rows.ServiceTarget("register", method, "/guides")
        await run_service_call(call, action, target, "key")
        return submitted[0]

    async def test_aiohttp_repeats_put(self):
        """Shows why `single_send_middleware` is needed: aiohttp sends a PUT twice."""
        for fresh in (False, True):
            async with open_session(SETTINGS, fresh_connections=fresh) as session:
                await self.open_first_connection(session)
                with self.subTest(fresh=fresh):
                    with self.assertRaises(aiohttp.ServerDisconnectedError):
                        await session.put(f"http://{self.address}/guides", data=b"x")
                    self.assertEqual(self.disconnecting_server.request_count, 2)

    async def test_service_call_is_sent_once(self):
        """Guards against a second execution when a service closes the connection.

        Without a response, aiohttp repeats idempotent methods by itself.
        """
        for fresh in (False, True):
            async with open_session(SETTINGS, fresh_connections=fresh) as session:
                for method in METHODS:
                    await self.open_first_connection(session)
                    with self.subTest(method=method, fresh=fresh):
                        event = await self.send(session, method)
                        self.assertEqual(self.disconnecting_server.request_count, 1)
                        self.assertIsInstance(event, events.UpstreamCallFailed)
                        self.assertTrue(event.sent)
