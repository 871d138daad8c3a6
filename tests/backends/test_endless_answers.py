"""Upstreams, peers and stores that send bytes without end until the caller closes."""

from __future__ import annotations

import asyncio
import time
import unittest

import uvloop

from carawayhitch import platform
from carawayhitch.backends import (
    BodyMemory,
    CallContent,
    RequestBody,
    UpstreamCall,
    exchange_objects,
    forward_call,
    open_session,
    read_load,
    read_vm_list,
    run_generation,
    run_service_call,
)
from carawayhitch.core import actions, events, rows
from carawayhitch.core import settings as settings_types
from tests.boards import new_settings

# Data that the client may read or leave in socket buffers before it closes. Senders
# reach some 100 MB/s, so reading for one second is several times as much.
SENT_BYTES_LIMIT = 32_000_000
TIME_LIMIT_SECONDS = 10.0
OK = b"HTTP/1.1 200 OK\r\n"
IDENTITY = b"Carawayhitch-Request-Id: call-1\r\nCarawayhitch-Server-Seal: seal\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
STREAM = b"Content-Type: text/event-stream\r\n"
TEXT = b"x" * 4096
CHUNK = b"1000\r\n" + TEXT + b"\r\n"
# Bytes before the endless part, and the part that is repeated.
ENDLESS_ANSWERS = {
    "status line": (b"HTTP/1.1 200 ", TEXT),
    "no HTTP": (b"\x00\x01", TEXT),
    "header": (OK + b"X: ", TEXT),
    "headers": (OK, b"X: y\r\n" * 500),
    "informational answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 50),
    "chunk extension": (OK + IDENTITY + CHUNKED + b"\r\n5;", TEXT),
    "trailers": (OK + IDENTITY + CHUNKED + b"\r\n0\r\n", b"X: y\r\n" * 500),
    "body with length": (
        OK + IDENTITY + b"Content-Length: 9000000000000\r\n\r\n",
        TEXT,
    ),
    "chunked body": (OK + IDENTITY + CHUNKED + b"\r\n", CHUNK),
    "body without length": (OK + IDENTITY + b"\r\n", TEXT),
    "event without a line end": (
        OK + IDENTITY + STREAM + CHUNKED + b"\r\n",
        CHUNK,
    ),
    "chunk extension of a stream": (
        OK + IDENTITY + STREAM + CHUNKED + b"\r\n5;",
        TEXT,
    ),
}
# Statuses and headers with which the adapter does not relay the body.
ENDLESS_REFUSALS = {
    "refusal": (
        b"HTTP/1.1 503 Full\r\nCarawayhitch-Not-Executed: 1\r\n\r\n",
        TEXT,
    ),
    "answer to another call": (OK + b"\r\n", TEXT),
}


def setUpModule() -> None:
    # Entries run on uvloop, which reads larger blocks than asyncio.
    asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
    unittest.addModuleCleanup(asyncio.set_event_loop_policy, None)


class NonPausingCaller:
    """A caller that never pauses the stream."""

    is_paused = False

    async def writable(self) -> None:
        return


class EndlessServer:
    """Sends a prefix, and then a text again and again until the client closes."""

    def __init__(self, prefix: bytes, repeated: bytes, pause: float = 0.0) -> None:
        self.prefix = prefix
        self.repeated = repeated
        self.pause = pause
        self.sent = 0

    async def __aenter__(self) -> EndlessServer:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.prefix)
            while True:
                writer.write(self.repeated)
                self.sent += len(self.repeated)
                await writer.drain()
                await asyncio.sleep(self.pause)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


class EndlessAnswerTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # A loaded machine may take longer than the default to connect, and a call that
        # found no connection does not reach the endless answer.
        streams = settings_types.StreamSettings(
            connect_timeout_seconds=TIME_LIMIT_SECONDS
        )
        self.settings = new_settings(streams=streams)
        self.session = open_session(self.settings, fresh_connections=True)
        self.addAsyncCleanup(self.session.close)
        self.found = []
        self.call = UpstreamCall(
            request_id="call-1",
            attempt=1,
            content=CallContent(
                "GET",
                "/a",
                "",
                "",
                RequestBody(b"{}"),
                (("Carawayhitch-Request-Id", "call-1"),),
            ),
            caller=NonPausingCaller(),
            session=self.session,
            settings=self.settings,
            submit=self.found.append,
        )

    async def assert_bounded(self, server, coroutine):
        """Wait for a call; check its time and what the server could send."""
        started = time.monotonic()
        async with asyncio.timeout(TIME_LIMIT_SECONDS):
            result = await coroutine
        self.assertLess(time.monotonic() - started, TIME_LIMIT_SECONDS)
        self.assertLess(server.sent, SENT_BYTES_LIMIT)
        return result

    def assert_failed(self):
        (failure,) = [e for e in self.found if isinstance(e, events.UpstreamCallFailed)]
        self.assertTrue(failure.sent, "the call may have run")
        self.assertFalse([e for e in self.found if isinstance(e, events.StreamEnded)])
        return failure


class UpstreamTest(EndlessAnswerTestCase):
    """Guards against memory that grows, and callers that wait, without end."""

    def new_action(self, server):
        return actions.OpenUpstream("call-1", 1, "engine-1", server.address, 3)

    async def test_routed_call_ends(self):
        for name, (prefix, repeated) in ENDLESS_ANSWERS.items():
            with self.subTest(name):
                self.found.clear()
                async with EndlessServer(prefix, repeated) as server:
                    action = self.new_action(server)
                    call = platform.run_routed_call(self.call, action, time.monotonic)
                    await self.assert_bounded(server, call)
                self.assert_failed()

    async def test_body_that_is_not_relayed_is_not_read(self):
        for name, (prefix, repeated) in ENDLESS_REFUSALS.items():
            with self.subTest(name):
                self.found.clear()
                async with EndlessServer(prefix, repeated) as server:
                    action = self.new_action(server)
                    call = platform.run_routed_call(self.call, action, time.monotonic)
                    await self.assert_bounded(server, call)
                self.assertIsInstance(self.found[0], events.UpstreamCallFailed)

    async def test_rare_informational_answers_end(self):
        """Guards against a head that never comes, with a byte now and then."""
        informational = b"HTTP/1.1 102 Processing\r\n\r\n"
        async with EndlessServer(b"", informational, pause=0.02) as server:
            call = platform.run_routed_call(
                self.call, self.new_action(server), time.monotonic
            )
            await self.assert_bounded(server, call)
        self.assert_failed()

    async def test_service_call_and_generation_end(self):
        target = rows.ServiceTarget("register", "GET", "/a", idempotent=True)
        for name, (prefix, repeated) in ENDLESS_ANSWERS.items():
            for kind in ("service", "generation"):
                with self.subTest(f"{name}: {kind}"):
                    self.found.clear()
                    async with EndlessServer(prefix, repeated) as server:
                        action = self.new_action(server)
                        call = (
                            run_service_call(self.call, action, target, "")
                            if kind == "service"
                            else run_generation(self.call, action)
                        )
                        await self.assert_bounded(server, call)
                    self.assert_failed()

    async def test_forwarded_call_ends(self):
        target = rows.ForwardTarget("register", "POST", "/a", "entry-2", 1)
        for name, (prefix, repeated) in ENDLESS_ANSWERS.items():
            with self.subTest(name):
                self.found.clear()
                async with EndlessServer(prefix, repeated) as server:
                    call = forward_call(self.call, self.new_action(server), target)
                    await self.assert_bounded(server, call)
                self.assert_failed()

    async def test_large_answers_still_pass(self):
        """Guards against a limit that refuses honest answers and streams."""
        body = b"x" * 3_000_000
        head = OK + IDENTITY + b"Content-Length: %d\r\n\r\n" % len(body)
        stream = OK + IDENTITY + STREAM + CHUNKED + b"\r\n"
        for number in range(1, 20_001):
            event = b"id: %d\ndata: %b\n\n" % (number, b"token " * 4)
            # The smallest chunks have the largest share of framing.
            for part in (event[:1], event[1:]):
                stream += b"%x\r\n%b\r\n" % (len(part), part)
        for sent in (head + body, stream + b"0\r\n\r\n"):
            self.found.clear()

            async def serve(reader, writer, sent=sent):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(sent)
                await writer.drain()
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            action = actions.OpenUpstream("call-1", 1, "u", f"{host}:{port}", 3)
            await platform.run_routed_call(self.call, action, time.monotonic)
            server.close()
            self.assertIsInstance(
                self.found[-1], events.AnswerReceived | events.StreamEnded
            )


class AnswerMemoryTest(EndlessAnswerTestCase):
    async def test_memory_of_an_answer_is_free_after_every_outcome(self):
        """Guards against memory that is counted as held, or as free, by mistake."""
        honest = OK + IDENTITY + b"Content-Length: 200000\r\n\r\n" + bytes(200_000)
        endless = OK + IDENTITY + b"Content-Length: 9000000000000\r\n\r\n"
        cases = (
            (honest, 1_000_000, events.AnswerReceived),
            (honest, 100_000, events.UpstreamCallFailed),
            (endless + bytes(6_000_000), 10_000_000, events.UpstreamCallFailed),
            (honest[:-1], 1_000_000, events.UpstreamCallFailed),
        )
        for sent, limit_bytes, outcome in cases:
            with self.subTest(limit_bytes=limit_bytes, size=len(sent)):
                self.found.clear()
                memory = BodyMemory(limit_bytes)

                async def serve(reader, writer, sent=sent):
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(sent)
                    writer.close()

                server = await asyncio.start_server(serve, "127.0.0.1", 0)
                host, port = server.sockets[0].getsockname()
                action = actions.OpenUpstream("call-1", 1, "u", f"{host}:{port}", 3)
                call = self.call._replace(memory=memory)
                await platform.run_routed_call(call, action, time.monotonic)
                server.close()
                self.assertIsInstance(self.found[-1], outcome)
                self.assertEqual(memory.held_bytes, 0)


class ControlCallTest(EndlessAnswerTestCase):
    """Guards against reports and answers of peers that fill the memory."""

    async def test_reports_and_lists_end(self):
        for name, (prefix, repeated) in ENDLESS_ANSWERS.items():
            with self.subTest(name):
                async with EndlessServer(prefix, repeated) as server:
                    report = platform.read_report(
                        self.session, "u", server.address, 9.0
                    )
                    found = await self.assert_bounded(server, report)
                    self.assertIsInstance(found, events.LoadUnavailable)
                    load = read_load(self.session, "u", server.address, 9.0)
                    found = await self.assert_bounded(server, load)
                    self.assertIsInstance(found, events.LoadUnavailable)
                    vm_list = read_vm_list(self.session, f"http://{server.address}/")
                    self.assertIsNone(await self.assert_bounded(server, vm_list))

    async def test_peer_exchange_ends(self):
        key = settings_types.PeerKey(1, "k" * 32)
        settings = self.settings._replace(peers=settings_types.PeerSettings((key,)))
        for name, (prefix, repeated) in ENDLESS_ANSWERS.items():
            with self.subTest(name):
                async with EndlessServer(prefix, repeated) as server:
                    host, port = server.address.split(":")
                    request = events.ObjectsExchanged("x", "p", 1, 1, "0", 0, ())
                    action = actions.PullObjects("p", host, int(port), request)
                    pull = exchange_objects(
                        self.session, settings, action, lambda *_: None
                    )
                    found = await self.assert_bounded(server, pull)
                    self.assertIsInstance(found, events.ExchangeFailed)

    async def test_store_calls_end(self):
        for name, (prefix, repeated) in ENDLESS_ANSWERS.items():
            with self.subTest(name):
                async with EndlessServer(prefix, repeated) as server:
                    settings = self.settings._replace(
                        store=settings_types.StoreSettings(f"http://{server.address}")
                    )
                    store = platform.PlatformStore(self.session, settings)
                    action = actions.ListObjects("o", "upstreams", False)
                    listed = platform.call_platform_store(store, action)
                    found = await self.assert_bounded(server, listed)
                    self.assertIsInstance(found, events.StoreCallFailed)


if __name__ == "__main__":
    unittest.main()
