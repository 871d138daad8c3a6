"""Complete and broken responses of upstreams to routed calls, over real sockets."""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest

import uvloop

from carawayhitch import codecs, platform
from carawayhitch.backends import (
    CallContent,
    RequestBody,
    UpstreamCall,
    open_session,
)
from carawayhitch.core import actions, events
from tests.boards import new_settings

HEADERS = (("Host", "shop.example"), ("Carawayhitch-Request-Id", "call-1"))
SIGNED_HEADERS = (
    b"Carawayhitch-Request-Id: call-1\r\nCarawayhitch-Server-Seal: seal\r\n"
    b"Content-Type: application/octet-stream\r\n"
)
STREAM_HEADERS = SIGNED_HEADERS.replace(
    b"application/octet-stream", b"text/event-stream"
)
CHUNKED_HEAD = (
    b"HTTP/1.1 200 OK\r\n" + STREAM_HEADERS + b"Transfer-Encoding: chunked\r\n\r\n"
)


def setUpModule() -> None:
    # Entries run on uvloop, which reports lost connections differently from asyncio.
    asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
    unittest.addModuleCleanup(asyncio.set_event_loop_policy, None)


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def encode_event(number: int) -> bytes:
    return b"id: %d\ndata: text\n\n" % number


class NonPausingCaller:
    """A caller that never pauses the stream."""

    is_paused = False

    async def writable(self) -> None:
        return


class Upstream:
    """A server that sends given bytes on each connection and closes or resets it."""

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
        # The delay lets the peer read the data before it sees the connection end.
        await asyncio.sleep(0.05)
        if self.reset:
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        else:
            writer.close()

    async def call(self, **changes: object) -> list[object]:
        """Make one call and return the submitted events."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        settings = new_settings()
        session = open_session(settings, fresh_connections=True)
        found: list[object] = []
        call = UpstreamCall(
            request_id="call-1",
            attempt=1,
            content=CallContent("GET", "/a/b", "q=1", "", RequestBody(b""), HEADERS),
            caller=NonPausingCaller(),
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


def received_answer(found: list[object]) -> events.AnswerReceived | None:
    whole = [item for item in found if isinstance(item, events.AnswerReceived)]
    return whole[0] if whole else None


def received_failures(found: list[object]) -> list[tuple[str, bool]]:
    return [
        (item.kind, item.sent)
        for item in found
        if isinstance(item, events.UpstreamCallFailed)
    ]


class RoutedCallTest(unittest.IsolatedAsyncioTestCase):
    async def test_response_without_length_is_complete_only_after_clean_close(self):
        """Guards against accepting a truncated response as complete.

        Without a length, only a clean close marks the end; a reset does not.
        """
        head = b"HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + b"\r\n"
        closed = await Upstream(head + b"hello").call()
        self.assertEqual(received_answer(closed).body, b"hello")
        reset = await Upstream(head + b"hel", reset=True).call()
        self.assertIsNone(received_answer(reset))
        self.assertEqual(received_failures(reset), [("truncated", True)])

    async def test_end_of_the_connection_is_told_from_an_end_in_the_response(self):
        """Guards against a stream that its upstream stopped and that looks complete."""
        head = b"HTTP/1.1 200 OK\r\n" + STREAM_HEADERS
        event = encode_event(1)
        cases = (
            (head + b"\r\n" + event, False),
            (head + b"Content-Length: %d\r\n\r\n" % len(event) + event, True),
            (CHUNKED_HEAD + encode_chunk(event) + b"0\r\n\r\n", True),
        )
        for response, is_delimited in cases:
            with self.subTest(response=response[-60:]):
                found = await Upstream(response).call()
                ended = events.StreamEnded("call-1", 1, is_delimited)
                self.assertEqual(found[-1], ended)

    async def test_reset_stream_without_length_is_truncated(self):
        """Guards against reporting the end of a stream that was reset earlier."""
        head = b"HTTP/1.1 200 OK\r\n" + STREAM_HEADERS + b"\r\n" + encode_event(1)
        found = await Upstream(head, reset=True).call()
        self.assertFalse([e for e in found if isinstance(e, events.StreamEnded)])
        self.assertEqual(received_failures(found), [("truncated", True)])

    async def test_invalid_responses_are_reported_as_failures(self):
        """Guards against relaying foreign, unsigned, encoded or truncated responses."""
        ok = b"HTTP/1.1 200 OK\r\n"
        cases = {
            "other call": (
                ok
                + SIGNED_HEADERS.replace(b"call-1", b"call-2")
                + b"Content-Length: 0\r\n\r\n",
                ("foreign", True),
            ),
            "no signature": (
                ok + b"Carawayhitch-Request-Id: call-1\r\nContent-Length: 0\r\n\r\n",
                ("foreign", True),
            ),
            "encoded": (
                ok
                + SIGNED_HEADERS
                + b"Content-Encoding: gzip\r\nContent-Length: 0\r\n\r\n",
                ("foreign", True),
            ),
            "short body": (
                ok + SIGNED_HEADERS + b"Content-Length: 9\r\n\r\nhello",
                ("truncated", True),
            ),
            "no answer": (b"", ("link_lost", True)),
            "not HTTP": (b"\x00\x01garbage\r\n\r\n", ("link_lost", True)),
            "not executed": (
                b"HTTP/1.1 503 Full\r\nCarawayhitch-Not-Executed: 1\r\n"
                b"Content-Length: 0\r\n\r\n",
                ("refused", False),
            ),
            "refusal of another call": (
                b"HTTP/1.1 503 Full\r\nCarawayhitch-Not-Executed: 1\r\n"
                b"Carawayhitch-Request-Id: call-0\r\nContent-Length: 0\r\n\r\n",
                ("foreign", True),
            ),
            "head cut in the status line": (b"HTTP/1.1 200 O", ("link_lost", True)),
            "head cut in a header": (
                ok + SIGNED_HEADERS + b"Content-Le",
                ("link_lost", True),
            ),
            "head cut before its end": (ok + SIGNED_HEADERS, ("link_lost", True)),
            "head of a stream cut": (CHUNKED_HEAD[:-4], ("link_lost", True)),
            "another upstream": (
                b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
                ("refused", False),
            ),
            "event cut": (
                CHUNKED_HEAD + encode_chunk(encode_event(1)[:9]),
                ("truncated", True),
            ),
            "stream without length ends in an event": (
                ok + STREAM_HEADERS + b"\r\n" + encode_event(1)[:9],
                ("truncated", True),
            ),
            "stream ends in an event": (
                CHUNKED_HEAD + encode_chunk(encode_event(1)[:9]) + b"0\r\n\r\n",
                ("truncated", True),
            ),
        }
        for name, (answer, expected) in cases.items():
            with self.subTest(name):
                found = await Upstream(answer).call()
                self.assertIsNone(received_answer(found))
                self.assertEqual(received_failures(found), [expected])

    async def test_announced_leaving_is_reported(self):
        """Guards against calls to an upstream that says in its answers that it leaves.

        An answer of another upstream at the same address says nothing about this one.
        """
        leaving = b"Server-Leaving: 1\r\n"
        length = b"Content-Length: 0\r\n\r\n"
        refused = b"HTTP/1.1 503 Full\r\nCarawayhitch-Not-Executed: 1\r\n"
        whole = b"HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS
        cases = {
            "success": (whole + leaving + length, True),
            "stream": (CHUNKED_HEAD[:-2] + leaving + b"\r\n0\r\n\r\n", True),
            "error": (
                b"HTTP/1.1 500 Oops\r\n" + SIGNED_HEADERS + leaving + length,
                True,
            ),
            "refusal": (refused + leaving + length, True),
            "another value": (whole + b"Server-Leaving: 0\r\n" + length, False),
            "no header": (whole + length, False),
            "another call": (
                whole.replace(b"call-1", b"call-2") + leaving + length,
                False,
            ),
            "another upstream": (
                b"HTTP/1.1 421 Misdirected\r\n" + leaving + length,
                False,
            ),
        }
        for name, (answer, expected) in cases.items():
            with self.subTest(name):
                found = await Upstream(answer).call()
                announced = [e for e in found if isinstance(e, events.LeavingAnnounced)]
                self.assertEqual(
                    announced, [events.LeavingAnnounced("engine-1")] * expected
                )
                # The calls that follow this answer must see the announcement.
                self.assertEqual(announced, found[: len(announced)])

    async def test_announced_cold_time_is_reported(self):
        """Guards against a full rate at a server that says that it is cold."""
        head = b"HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS
        cases = {b"740.5": True, b"0": False, b"-1": False, b"soon": False}
        for value, expected in cases.items():
            header = b"Carawayhitch-Cold-Ms: " + value + b"\r\n"
            with self.subTest(value):
                answer = head + header + b"Content-Length: 0\r\n\r\n"
                found = await Upstream(answer).call()
                announced = [e for e in found if isinstance(e, events.ColdAnnounced)]
                self.assertEqual(len(announced), expected)

    async def test_named_time_without_calls_is_reported(self):
        """Guards against calls within the time that a refusal names."""
        length = b"Content-Length: 0\r\n\r\n"
        full = b"HTTP/1.1 503 Full\r\nCarawayhitch-Not-Executed: 1\r\n"
        failed = b"HTTP/1.1 503 Failed\r\n" + SIGNED_HEADERS
        cases = {
            "refusal": (full + b"Retry-After: 2\r\n", 2.0),
            "fraction": (full + b"Retry-After: 0.25\r\n", 0.25),
            "own failure": (failed + b"Retry-After: 1.5\r\n", 1.5),
            "no header": (full, None),
            "date": (full + b"Retry-After: Sat, 05 Dec 2026 04:00:00 GMT\r\n", None),
            "negative": (full + b"Retry-After: -1\r\n", None),
            "no number": (full + b"Retry-After: soon\r\n", None),
            "too many digits": (full + b"Retry-After: 1" + b"0" * 30 + b"\r\n", None),
            "another status": (
                full.replace(b"503", b"429") + b"Retry-After: 2\r\n",
                None,
            ),
            "another call": (
                failed.replace(b"call-1", b"call-2") + b"Retry-After: 2\r\n",
                None,
            ),
        }
        for name, (head, seconds) in cases.items():
            with self.subTest(name):
                found = await Upstream(head + length).call()
                requested = [e for e in found if isinstance(e, events.BackoffRequested)]
                expected = [events.BackoffRequested("engine-1", 9.0 + (seconds or 0))]
                self.assertEqual(requested, expected if seconds else [])
                self.assertEqual(requested, found[: len(requested)])

    async def test_error_response_is_relayed_unchanged(self):
        """Guards against replacing the status or body of an error response."""
        answer = (
            b"HTTP/1.1 500 Oops\r\n" + SIGNED_HEADERS + b"Content-Length: 2\r\n\r\nno"
        )
        found = received_answer(await Upstream(answer).call())
        self.assertEqual((found.status, found.body), (500, b"no"))
        self.assertIn(("Carawayhitch-Server-Seal", "seal"), found.headers)

    async def test_response_events_can_be_encoded_in_traces(self):
        """Guards against calls that fail while traces are recorded.

        aiohttp returns header names as a subclass of str, which the trace encoder
        rejects.
        """
        whole = b"HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + b"Content-Length: 2\r\n\r\nok"
        stream = CHUNKED_HEAD + encode_chunk(encode_event(1)) + b"0\r\n\r\n"
        for answer in (whole, stream):
            for found in await Upstream(answer).call():
                line = codecs.encode_trace_step(1.0, found, ())
                self.assertTrue(line.endswith(b"\n"))

    async def test_event_split_across_chunks_is_relayed(self):
        """Guards against losing or repeating bytes of an event split across chunks."""
        answer = (
            CHUNKED_HEAD
            + encode_chunk(encode_event(1) + encode_event(2)[:5])
            + encode_chunk(encode_event(2)[5:])
        )
        found = await Upstream(answer + b"0\r\n\r\n").call()
        data = b"".join(e.data for e in found if isinstance(e, events.ChunkReceived))
        self.assertEqual(data, encode_event(1) + encode_event(2))
        self.assertIsInstance(found[-1], events.StreamEnded)

    async def test_failed_connection_counts_as_not_sent(self):
        """Guards against treating a call that was never sent as possibly executed."""
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{closed.getsockname()[1]}"
        found = await Upstream(b"").call(address=address)
        self.assertEqual(received_failures(found), [("connect", False)])

    async def test_upstream_request_headers(self):
        """Guards against a wrong account, priority, deadline or resume position."""
        upstream = Upstream(
            b"HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + b"Content-Length: 0\r\n\r\n"
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
