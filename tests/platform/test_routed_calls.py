"""Answers of upstreams to calls on routes, whole and broken, over real sockets."""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest

import uvloop

from carawayhitch import codecs, platform
from carawayhitch.backends import CallContent, UpstreamCall, open_session
from carawayhitch.core import actions, events
from tests.boards import new_settings

HEADERS = (("Host", "shop.example"), ("Carawayhitch-Request-Id", "call-1"))
SIGNED = (
    b"Carawayhitch-Request-Id: call-1\r\nCarawayhitch-Server-Seal: seal\r\n"
    b"Content-Type: application/octet-stream\r\n"
)
STREAM = SIGNED.replace(b"application/octet-stream", b"text/event-stream")
CHUNKED = b"HTTP/1.1 200 OK\r\n" + STREAM + b"Transfer-Encoding: chunked\r\n\r\n"


def setUpModule() -> None:
    # Entries run on uvloop, which reports lost connections in its own way.
    asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
    unittest.addModuleCleanup(asyncio.set_event_loop_policy, None)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number: int) -> bytes:
    return b"id: %d\ndata: text\n\n" % number


class StillCaller:
    """A caller that takes everything at once."""

    is_paused = False

    async def writable(self) -> None:
        return


class Upstream:
    """Answers each connection with given bytes and then closes or resets it."""

    def __init__(self, answer: bytes, reset: bool = False) -> None:
        self.answer = answer
        self.reset = reset
        self.received = b""
        self.connections = 0

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.received = await reader.readuntil(b"\r\n\r\n")
        writer.write(self.answer)
        await writer.drain()
        # The peer reads what was sent before it sees the end of the connection.
        await asyncio.sleep(0.05)
        if self.reset:
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        else:
            writer.close()

    async def call(self, **changes: object) -> list[object]:
        """Return the events of one call."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        settings = new_settings()
        session = open_session(settings, fresh_connections=True)
        found: list[object] = []
        call = UpstreamCall(
            request_id="call-1",
            attempt=1,
            content=CallContent("GET", "/a/b", "q=1", "", b"", HEADERS),
            caller=StillCaller(),
            session=session,
            settings=settings,
            submit=found.append,
        )
        action = actions.OpenUpstream(
            "call-1", 1, "engine-1", f"{host}:{port}", 3, answer_deadline=10.0
        )
        action = action._replace(**changes)
        await platform.run_routed_call(call, action, lambda: 9.0)
        await session.close()
        server.close()
        return found


def answered(found: list[object]) -> events.AnswerReceived | None:
    whole = [item for item in found if isinstance(item, events.AnswerReceived)]
    return whole[0] if whole else None


def failed(found: list[object]) -> list[tuple[str, bool]]:
    return [
        (item.kind, item.sent)
        for item in found
        if isinstance(item, events.UpstreamCallFailed)
    ]


class RoutedCallTest(unittest.IsolatedAsyncioTestCase):
    async def test_answer_without_length_is_whole_only_if_it_was_closed(self):
        """Guards against a cut answer that looks complete."""
        head = b"HTTP/1.1 200 OK\r\n" + SIGNED + b"\r\n"
        closed = await Upstream(head + b"hello").call()
        self.assertEqual(answered(closed).body, b"hello")
        reset = await Upstream(head + b"hel", reset=True).call()
        self.assertIsNone(answered(reset))
        self.assertEqual(failed(reset), [("truncated", True)])

    async def test_stream_without_length_that_is_reset_has_no_end(self):
        """Guards against a stream that ends as complete before its last event."""
        head = b"HTTP/1.1 200 OK\r\n" + STREAM + b"\r\n" + event(1)
        found = await Upstream(head, reset=True).call()
        self.assertFalse([e for e in found if isinstance(e, events.StreamEnded)])
        self.assertEqual(failed(found), [("truncated", True)])

    async def test_fault_cases_of_answers(self):
        """Guards against answers of others, unsigned ones and cut ones."""
        ok = b"HTTP/1.1 200 OK\r\n"
        cases = {
            "other call": (
                ok
                + SIGNED.replace(b"call-1", b"call-2")
                + b"Content-Length: 0\r\n\r\n",
                ("foreign", True),
            ),
            "no signature": (
                ok + b"Carawayhitch-Request-Id: call-1\r\nContent-Length: 0\r\n\r\n",
                ("foreign", True),
            ),
            "encoded": (
                ok + SIGNED + b"Content-Encoding: gzip\r\nContent-Length: 0\r\n\r\n",
                ("foreign", True),
            ),
            "short body": (
                ok + SIGNED + b"Content-Length: 9\r\n\r\nhello",
                ("truncated", True),
            ),
            "no answer": (b"", ("link_lost", True)),
            "not HTTP": (b"\x00\x01garbage\r\n\r\n", ("link_lost", True)),
            "not executed": (
                b"HTTP/1.1 503 Full\r\nCarawayhitch-Not-Executed: 1\r\n"
                b"Content-Length: 0\r\n\r\n",
                ("refused", False),
            ),
            "another upstream": (
                b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
                ("refused", False),
            ),
            "event cut": (CHUNKED + chunk(event(1)[:9]), ("truncated", True)),
            "stream ends in an event": (
                CHUNKED + chunk(event(1)[:9]) + b"0\r\n\r\n",
                ("truncated", True),
            ),
        }
        for name, (answer, expected) in cases.items():
            with self.subTest(name):
                found = await Upstream(answer).call()
                self.assertIsNone(answered(found))
                self.assertEqual(failed(found), [expected])

    async def test_failure_of_the_upstream_is_passed_on_unchanged(self):
        """Guards against a status that the upstream did not give."""
        answer = b"HTTP/1.1 500 Oops\r\n" + SIGNED + b"Content-Length: 2\r\n\r\nno"
        found = answered(await Upstream(answer).call())
        self.assertEqual((found.status, found.body), (500, b"no"))
        self.assertIn(("Carawayhitch-Server-Seal", "seal"), found.headers)

    async def test_events_of_an_answer_can_be_recorded(self):
        """Guards against calls that fail because traces are being recorded."""
        whole = b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Content-Length: 2\r\n\r\nok"
        stream = CHUNKED + chunk(event(1)) + b"0\r\n\r\n"
        for answer in (whole, stream):
            for found in await Upstream(answer).call():
                line = codecs.encode_trace_step(1.0, found, ())
                self.assertTrue(line.endswith(b"\n"))

    async def test_stream_is_relayed_in_whole_events(self):
        answer = CHUNKED + chunk(event(1) + event(2)[:5]) + chunk(event(2)[5:])
        found = await Upstream(answer + b"0\r\n\r\n").call()
        data = b"".join(e.data for e in found if isinstance(e, events.ChunkReceived))
        self.assertEqual(data, event(1) + event(2))
        self.assertIsInstance(found[-1], events.StreamEnded)

    async def test_unreachable_upstream_got_nothing(self):
        """Guards against a call that counts as run though it was never sent."""
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{closed.getsockname()[1]}"
        found = await Upstream(b"").call(address=address)
        self.assertEqual(failed(found), [("connect", False)])

    async def test_headers_that_are_sent(self):
        """Guards against a forged account, a leaked key and a wrong deadline."""
        upstream = Upstream(
            b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Content-Length: 0\r\n\r\n"
        )
        await upstream.call(account="hotel", last_sequence=7, source="1.2.3.4:5/h")
        sent = upstream.received.decode().lower()
        self.assertTrue(sent.startswith("get /a/b?q=1 http/1.1\r\nhost: shop.example"))
        for line in (
            "carawayhitch-expect-instance: engine-1",
            "carawayhitch-tenant: hotel",
            "carawayhitch-deadline-ms: 1000",
            "carawayhitch-request-priority: 3",
            "last-event-id: 7",
            "kv-from: 1.2.3.4:5/h",
        ):
            self.assertIn(f"\r\n{line}\r\n", sent)


if __name__ == "__main__":
    unittest.main()
