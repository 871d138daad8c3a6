"""Callers that retry immediately while an entry is at its request limit."""

from __future__ import annotations

import asyncio
import json
import re
import time
import unittest

from fakes.processes import ACCOUNT_TOKENS, Fleet, call
from fakes.stream_caller import StreamCaller

SETTINGS = "[limits]\nopen_requests = 2\n"
HEADERS = {
    "Authorization": f"Bearer {ACCOUNT_TOKENS['hotel']}",
    "Content-Type": "application/json",
}
CALLER_COUNT = 60
FLOOD_SECONDS = 3.0
# After the first request of each caller, an entry reads refused callers in turn at a
# rate of 200 per second.
REFUSAL_COUNT_LIMIT = CALLER_COUNT + 220 * FLOOD_SECONDS


def stream_body(length):
    return {"model": "quotes", "prompt": f"length={length}", "stream": True}


class EntryOverloadTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(SETTINGS)
        self.addCleanup(self.fleet.stop)
        self.fleet.start_platform()
        self.fleet.start_engine("engine-1", "--step-seconds", "0.02")
        self.fleet.put_defaults()
        self.fleet.start_entry("entry-1")
        self.port = self.fleet.ports_by_name["entry-1"]

    def flood(self) -> list[dict]:
        """Send requests without a pause on all connections; return the errors."""
        body = json.dumps(stream_body(5)).encode()
        head = "POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
        request = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        found: list[dict] = []

        async def send(end):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            while time.monotonic() < end:
                writer.write(request)
                answer = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: (\d+)", answer)
                text = await reader.readexactly(int(length[1]))
                found.append(json.loads(text)["error"])
            writer.close()

        async def send_all():
            end = time.monotonic() + FLOOD_SECONDS
            await asyncio.gather(*(send(end) for _ in range(CALLER_COUNT)))

        asyncio.run(send_all())
        return found

    def test_refused_callers_do_not_starve_streams(self):
        """Guards against refusals that use all CPU time of an entry."""
        url = self.fleet.url("entry-1")
        streams = [
            StreamCaller(url, "/v1/completions", stream_body(600 + number), HEADERS)
            for number in range(2)
        ]
        for stream in streams:
            self.addCleanup(stream.close)
            stream.read_tokens(1)
        errors = self.flood()
        self.assertEqual({error["name"] for error in errors}, {"ENTRY_OVERLOADED"})
        self.assertEqual({error["ran"] for error in errors}, {"no"})
        self.assertGreaterEqual(len(errors), CALLER_COUNT)
        self.assertLess(len(errors), REFUSAL_COUNT_LIMIT)
        for stream in streams:
            stream.close()
        deadline = time.monotonic() + 5.0
        status = 0
        while status != 200 and time.monotonic() < deadline:
            status, _, _ = call(
                "POST", url + "/v1/completions", stream_body(5), HEADERS
            )
        self.assertEqual(status, 200)
