"""A planned stop of an entry whose callers send requests on kept connections."""

from __future__ import annotations

import asyncio
import http.client
import itertools
import signal
import threading
import time
import unittest
from typing import NamedTuple

from fakes.platform_fleet import (
    HOST,
    KEY,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    PlatformFleet,
)

CALLERS = 24
LOAD_SECONDS = 1.5
# Time that a request may need to reach an entry that is closing its connection.
CROSSING_SECONDS = 0.2


class Sent(NamedTuple):
    """A request that was written completely, and what became of it.

    Parameters
    ----------
    status : int
        Status of the answer; 0 if the connection ended without a complete one.
    seconds : float
        Time from the request to its answer or to the end of the connection.
    """

    request_id: str
    status: int
    seconds: float


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, str, bool]:
    """Return status, request id and whether the connection stays open."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
    headers = dict(line.split(": ", 1) for line in head[1:] if line)
    await reader.readexactly(int(headers.get("content-length", "0")))
    stays_open = headers.get("connection") != "close"
    return (
        int(head[0].split()[1]),
        headers.get("carawayhitch-request-id", ""),
        stays_open,
    )


class Callers:
    """Callers with a kept connection each, which send their next request at once.

    Parameters
    ----------
    pipelined : int
        Requests that a caller sends before it reads their answers.
    """

    def __init__(self, port: int, pipelined: int = 1) -> None:
        self.port = port
        self.pipelined = pipelined
        self.sent: list[Sent] = []
        self.mixed: list[tuple[str, str]] = []
        self.stopped = False
        self._numbers = itertools.count()

    async def run(self) -> None:
        await asyncio.gather(*(self._call() for _ in range(CALLERS)))

    async def _call(self) -> None:
        while not self.stopped:
            try:
                streams = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            while await self._exchange(*streams) and not self.stopped:
                pass
            streams[1].close()

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        ids = [f"call-{next(self._numbers)}" for _ in range(self.pipelined)]
        unanswered = list(ids)
        started = time.monotonic()
        try:
            writer.write(b"".join(map(self._request, ids)))
            await writer.drain()
            for request_id in ids:
                status, answered_id, stays_open = await read_answer(reader)
                if status == 200 and answered_id != request_id:
                    self.mixed.append((request_id, answered_id))
                self._record(request_id, status, started)
                unanswered.remove(request_id)
                if not stays_open:
                    return False
        except (ConnectionError, asyncio.IncompleteReadError):
            for request_id in unanswered:
                self._record(request_id, 0, started)
            return False
        return True

    def _record(self, request_id: str, status: int, started: float) -> None:
        self.sent.append(Sent(request_id, status, time.monotonic() - started))

    def _request(self, request_id: str) -> bytes:
        return (
            f"POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
            f"Carawayhitch-Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n"
        ).encode()


def passed_on_ids(fleet, servers):
    """Return the ids of the requests that some servers began to run."""
    return {
        seen["headers"]["carawayhitch-request-id"]
        for server in servers
        for seen in fleet.server_call_record(server)["seen"]
    }


class StopUnderLoadTest(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet()
        self.addCleanup(self.fleet.stop)
        self.fleet.start_store()
        self.fleet.configure()
        for index in range(4):
            self.fleet.start_server(f"plain-{index}", PLAIN_SERVICE)
        self.fleet.start_gateway("entry-1")

    def passed_on(self):
        return passed_on_ids(self.fleet, [f"plain-{index}" for index in range(4)])

    async def stop_under_load(self, callers):
        running = asyncio.ensure_future(callers.run())
        await asyncio.sleep(LOAD_SECONDS)
        self.fleet.send_signal("entry-1", signal.SIGTERM)
        status = await asyncio.to_thread(self.fleet.wait_exit, "entry-1")
        callers.stopped = True
        await running
        return status

    def test_accepted_requests_are_answered(self):
        """Guards against cutting requests that had just been accepted.

        A request that crosses the close of its connection may stay unanswered, but not
        if it was passed on or arrived well before.
        """
        callers = Callers(self.fleet.ports_by_name["entry-1"])
        status = asyncio.run(self.stop_under_load(callers))
        self.assertEqual(status, 0)
        unanswered = [sent for sent in callers.sent if not sent.status]
        passed_on = self.passed_on()
        self.assertGreater(len(callers.sent), 200)
        self.assertEqual([s for s in unanswered if s.request_id in passed_on], [])
        self.assertEqual([s for s in unanswered if s.seconds > CROSSING_SECONDS], [])
        refused = {s.request_id for s in callers.sent if s.status in (429, 503)}
        self.assertFalse(refused & passed_on, "refused calls have run")

    def test_pipelined_requests_get_their_own_answers(self):
        """Guards against answers that reach another request of the same connection."""
        callers = Callers(self.fleet.ports_by_name["entry-1"], pipelined=2)
        asyncio.run(self.stop_under_load(callers))
        answered = [sent for sent in callers.sent if sent.status == 200]
        self.assertGreater(len(answered), 100)
        self.assertEqual(callers.mixed, [])


class StopWithWaitingCallsTest(unittest.TestCase):
    """A stop that ends before calls of the entry could be served."""

    LIMIT_SECONDS = 1.2
    # Slots of the only engine, in the configuration of the fleet.
    SLOTS = 8
    WAITING = 4

    def setUp(self):
        self.fleet = PlatformFleet(drain_limit_seconds=self.LIMIT_SECONDS)
        self.addCleanup(self.fleet.stop)
        self.fleet.start_store()
        self.fleet.configure()

    def call_in_thread(self, path, answers):
        def call():
            try:
                answers.append(self.fleet.ask("entry-1", path)[:2])
            except (OSError, http.client.HTTPException) as error:
                answers.append((0, repr(error).encode()))

        thread = threading.Thread(target=call)
        thread.start()
        return thread

    def stop_entry(self):
        self.fleet.send_signal("entry-1", signal.SIGTERM)
        self.assertEqual(self.fleet.wait_exit("entry-1"), 0)

    def test_calls_that_wait_for_an_engine_are_refused(self):
        """Guards against a stop that resets whole requests without an answer."""
        self.fleet.start_server("engine-1", MODEL_SERVICE, "a", 0.1)
        self.fleet.start_gateway("entry-1")
        running, waiting = [], []
        path = "/draft/1?events=200"
        threads = [self.call_in_thread(path, running) for _ in range(self.SLOTS)]
        time.sleep(1.0)
        threads += [self.call_in_thread(path, waiting) for _ in range(self.WAITING)]
        time.sleep(0.5)
        self.assertEqual((running, waiting), ([], []))
        self.stop_entry()
        for thread in threads:
            thread.join()
        self.assertEqual(waiting, [(503, b"DRAINING\n")] * self.WAITING)
        runs = self.fleet.server_call_record("engine-1")["counts"]["runs"]
        self.assertEqual(runs, self.SLOTS)

    def test_calls_on_kept_connections_late_in_a_stop_are_answered(self):
        """Guards against calls that a stopping entry passes on and then cuts.

        Work takes most of the time that the stop has left. Calls may not be repeated,
        so each has to be answered, and a refused one must not have run.
        """
        # The callers have three times as many calls open as the server has slots.
        self.fleet.start_server("plain-1", PLAIN_SERVICE, event_seconds=0.9)
        self.fleet.start_gateway("entry-1")
        callers = Callers(self.fleet.ports_by_name["entry-1"])

        async def play():
            running = asyncio.ensure_future(callers.run())
            await asyncio.sleep(4.0)
            await asyncio.to_thread(self.stop_entry)
            callers.stopped = True
            await running

        asyncio.run(play())
        passed_on = passed_on_ids(self.fleet, ["plain-1"])
        unanswered = [sent for sent in callers.sent if not sent.status]
        self.assertGreater(len(callers.sent), 40)
        self.assertEqual([s for s in unanswered if s.request_id in passed_on], [])
        self.assertEqual([s for s in unanswered if s.seconds > CROSSING_SECONDS], [])
        refused = {s.request_id for s in callers.sent if s.status in (429, 503)}
        self.assertTrue(refused)
        self.assertFalse(refused & passed_on, "refused calls have run")
        # Work that began in time is not cut: no call is answered as interrupted.
        statuses = {s.status for s in callers.sent}
        self.assertLessEqual(statuses, {0, 200, 503})

    def test_call_at_work_is_answered_at_the_limit(self):
        """Guards against a reset of a call whose upstream is still at work."""
        self.fleet.start_server("plain-1", PLAIN_SERVICE, "a", 30.0)
        self.fleet.start_gateway("entry-1")
        answers = []
        thread = self.call_in_thread("/order/1", answers)
        time.sleep(0.5)
        self.stop_entry()
        thread.join()
        self.assertEqual(answers, [(502, b"ENTRY_STOPPED\n")])


if __name__ == "__main__":
    unittest.main()
