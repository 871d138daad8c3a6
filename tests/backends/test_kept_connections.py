"""Second copies of responses on connections that are kept for other requests."""

from __future__ import annotations

import asyncio
import unittest

import uvloop

from carawayhitch.backends import open_session
from tests.boards import new_settings


def setUpModule() -> None:
    # Entries run on uvloop, which reports received data differently from asyncio.
    asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
    unittest.addModuleCleanup(asyncio.set_event_loop_policy, None)


def answer_to(request: bytes) -> bytes:
    path = request.split(b" ")[1]
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(path), path)


class RepeatingServer:
    """Sends a second copy of its first answer.

    Parameters
    ----------
    delay : float
        Seconds between the answer and its copy.
    """

    def __init__(self, delay: float) -> None:
        self.delay = delay
        self.connections = 0
        self.repeats = True

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                writer.write(answer_to(request))
                if self.repeats:
                    self.repeats = False
                    await asyncio.sleep(self.delay)
                    writer.write(answer_to(request))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


class RepeatedAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def get(self, path: str) -> str:
        async with self.session.get(f"http://{self.address}{path}") as response:
            return await response.text()

    async def serve(self, delay: float) -> RepeatingServer:
        repeating = RepeatingServer(delay)
        server = await asyncio.start_server(repeating.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.session = open_session(new_settings(), fresh_connections=False)
        self.addAsyncCleanup(self.session.close)
        return repeating

    async def test_copy_reaches_no_other_request(self):
        """Guards against a second copy that the next request gets as its answer.

        The copy arrives together with the answer, or while the connection is idle.
        """
        for delay in (0.0, 0.05):
            with self.subTest(delay=delay):
                server = await self.serve(delay)
                found = [await self.get("/first")]
                await asyncio.sleep(0.15)
                found += [await self.get(path) for path in ("/second", "/third")]
                self.assertEqual(found, ["/first", "/second", "/third"])
                self.assertEqual(server.connections, 2)

    async def test_copy_during_the_next_request_shifts_no_later_answer(self):
        """Guards against a connection that stays one answer behind.

        Nothing distinguishes a copy that arrives while the next request waits, but it
        may reach only that one request. Calls of callers use a new connection each.
        """
        server = await self.serve(0.0)
        server.repeats = False
        await self.get("/first")
        server.repeats = True
        found = []
        for path in ("/second", "/third", "/fourth"):
            found.append(await self.get(path))
            await asyncio.sleep(0.05)
        self.assertEqual(found[1:], ["/third", "/fourth"])

    async def test_bytes_on_an_idle_connection_close_it(self):
        """Guards against memory that an idle connection fills."""
        closed = asyncio.Event()

        async def serve(reader, writer):
            request = await reader.readuntil(b"\r\n\r\n")
            writer.write(answer_to(request))
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.write(b"x")
            await reader.read()
            closed.set()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.session = open_session(new_settings(), fresh_connections=False)
        self.addAsyncCleanup(self.session.close)
        await self.get("/first")
        await asyncio.wait_for(closed.wait(), 2.0)

    async def test_connections_are_reused_otherwise(self):
        """Guards against a check that closes sound connections."""
        server = await self.serve(0.0)
        server.repeats = False
        for number in range(5):
            self.assertEqual(await self.get(f"/{number}"), f"/{number}")
        self.assertEqual(server.connections, 1)


if __name__ == "__main__":
    unittest.main()
