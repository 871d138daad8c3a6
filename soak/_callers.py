"""Clients with persistent connections, and a load balancer that checks readiness."""

from __future__ import annotations

import asyncio
import time
from random import Random
from typing import NamedTuple
from uuid import UUID

import aiohttp

from fakes.platform_fleet import HOST, KEY
from soak._board import CallRow, Outcome, SoakBoard
from soak._world import EVENT_SECONDS, SoakFleet

CLIENT_COUNT = 16
# Gives about 40 calls per second, few enough that calls do not fail because the machine
# is saturated.
MEAN_PAUSE_SECONDS = 0.3
BURST_PAUSE_SECONDS = 0.1
READINESS_INTERVAL_SECONDS = 0.5
# The balancer takes an entry out of rotation after this many failed checks in a row.
READINESS_FAILURE_LIMIT = 2
KEEP_CONNECTION_SHARE = 0.95
DISCONNECT_SHARE = 0.08
CONFIGURATION_PROBE_SHARE = 0.1
# Longer than any route timeout, so that the entry has to end each call.
CLIENT_DEADLINE_SECONDS = 9.0
SEAL_HEADER = "Carawayhitch-Server-Seal"


class CallPlan(NamedTuple):
    """Parameters of the next call.

    Parameters
    ----------
    disconnect_after_seconds : float
        When the client closes the connection; 0 if it waits for the response.
    """

    route: str
    key: str
    events: int = 0
    disconnect_after_seconds: float = 0.0


def _draw_call_plan(random: Random, board: SoakBoard) -> CallPlan:
    if random.random() < CONFIGURATION_PROBE_SHARE:
        # Calls with added and removed routes and keys show which version is in force.
        route_name = random.choice(list(board.routes_by_name))
        return CallPlan(route_name, random.choice([KEY, *board.keys_by_text]))
    route = random.choices(("order", "look", "draft", "ask"), (0.4, 0.3, 0.15, 0.15))[0]
    events = {"draft": random.randint(10, 60), "ask": random.randint(2, 12)}.get(route)
    disconnects = random.random() < DISCONNECT_SHARE
    after = random.uniform(0.0, (events or 2) * EVENT_SECONDS) if disconnects else 0.0
    return CallPlan(route, KEY, events or 0, after)


class Balancer:
    """Tracks which entries accept new connections."""

    def __init__(self, fleet: SoakFleet, board: SoakBoard) -> None:
        self.board = board
        self.ports_by_entry = {
            name: ports["readiness"] for name, ports in fleet.gateways_by_name.items()
        }

    async def run(self) -> None:
        """Check the readiness of all entries periodically."""
        failures = dict.fromkeys(self.ports_by_entry, 0)
        async with aiohttp.ClientSession() as session:
            while True:
                for name, port in self.ports_by_entry.items():
                    ready = await self._is_ready(session, port)
                    failures[name] = 0 if ready else failures[name] + 1
                    if ready:
                        self.board.ready_entries.add(name)
                    elif failures[name] >= READINESS_FAILURE_LIMIT:
                        self.board.ready_entries.discard(name)
                await asyncio.sleep(READINESS_INTERVAL_SECONDS)

    async def _is_ready(self, session: aiohttp.ClientSession, port: int) -> bool:
        url = f"http://127.0.0.1:{port}/carawayhitch/readiness"
        try:
            async with session.get(
                url, timeout=aiohttp.ClientTimeout(total=READINESS_INTERVAL_SECONDS)
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False


class Client:
    """Client that makes one call at a time."""

    def __init__(self, fleet: SoakFleet, board: SoakBoard, random: Random) -> None:
        self.fleet, self.board, self.random = fleet, board, random

    async def run(self, until: float) -> None:
        """Make calls until a Unix time."""
        while time.time() < until:
            ready = sorted(self.board.ready_entries) or list(
                self.fleet.gateways_by_name
            )
            entry = self.random.choice(ready)
            async with aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=1)
            ) as session:
                reusable = True
                while reusable and time.time() < until:
                    plan = _draw_call_plan(self.random, self.board)
                    reusable = await self._call(session, entry, plan)
                    reusable = reusable and self.random.random() < KEEP_CONNECTION_SHARE
                    in_burst = time.time() < self.board.burst_ends_at
                    mean = BURST_PAUSE_SECONDS if in_burst else MEAN_PAUSE_SECONDS
                    pause = self.random.expovariate(1 / mean)
                    await asyncio.sleep(min(pause, 1.0))

    async def _call(
        self, session: aiohttp.ClientSession, entry: str, plan: CallPlan
    ) -> bool:
        """Make a call and return whether its connection can be reused."""
        # Derived from the seed, unlike `uuid4`, so that a seed gives the same ids.
        request_id = UUID(int=self.random.getrandbits(128), version=4).hex
        row = CallRow(
            request_id,
            entry,
            plan.route,
            plan.key,
            time.time(),
            timeout_seconds=6.0 if plan.events else 2.0,
        )
        self.board.calls_by_id[request_id] = row
        exchange = asyncio.ensure_future(self._exchange(session, row, plan))
        limit = plan.disconnect_after_seconds or CLIENT_DEADLINE_SECONDS
        done, _ = await asyncio.wait([exchange], timeout=limit)
        if done:
            return exchange.result()
        exchange.cancel()
        await asyncio.gather(exchange, return_exceptions=True)
        outcome: Outcome = "left" if plan.disconnect_after_seconds else "unanswered"
        known = self.board.calls_by_id[request_id]
        self.board.calls_by_id[request_id] = known._replace(
            outcome=outcome, ended_at=time.time()
        )
        return False

    async def _exchange(
        self, session: aiohttp.ClientSession, row: CallRow, plan: CallPlan
    ) -> bool:
        sent = f"body of {row.request_id}".encode()
        query = f"?events={plan.events}" if plan.events else ""
        url = self.fleet.url(row.entry) + f"/{plan.route}/1{query}"
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {plan.key}",
            "Carawayhitch-Request-Id": row.request_id,
            "Carawayhitch-Deadline-Ms": str(int(CLIENT_DEADLINE_SECONDS * 1000)),
            "Carawayhitch-Token-Count": f"100,{max(1, plan.events)}",
        }
        body = b""
        try:
            async with session.post(url, data=sent, headers=headers) as response:
                row = row._replace(status=response.status, first_byte_at=time.time())
                self.board.calls_by_id[row.request_id] = row
                async for part in response.content.iter_any():
                    body += part
                seal = response.headers.get(SEAL_HEADER, "")
                reusable = response.headers.get("Connection", "").lower() != "close"
        except aiohttp.ClientConnectorError:
            # The entry does not listen, so no request was sent.
            del self.board.calls_by_id[row.request_id]
            return False
        except (aiohttp.ClientError, TimeoutError, OSError):
            fault = find_stream_fault(row.request_id, body, 0) if plan.events else ""
            self._record_end(row._replace(outcome="broken", fault=fault))
            return False
        fault = ""
        if row.status == 200 and plan.events:
            fault = find_stream_fault(row.request_id, body, plan.events)
        elif row.status == 200 and body != sent:
            fault = f"expected {sent!r}, got {body[:80]!r}"
        if row.status == 200 and not seal.startswith("seal-of-"):
            fault = fault or f"expected a server seal, got {seal!r}"
        self._record_end(
            row._replace(outcome="answered", is_intact=not fault, fault=fault)
        )
        return reusable

    def _record_end(self, row: CallRow) -> None:
        self.board.calls_by_id[row.request_id] = row._replace(ended_at=time.time())


def find_stream_fault(request_id: str, body: bytes, count: int) -> str:
    """Describe the first fault in the events of a stream; empty if there is none.

    Parameters
    ----------
    count : int
        Number of events of the complete stream; 0 if the connection failed, so that
        any prefix is accepted.
    """
    complete_events, _, _ = body.decode(errors="replace").rpartition("\n\n")
    expected = 0
    for event in filter(None, complete_events.split("\n\n")):
        expected += 1
        if event != f"id: {expected}\ndata: {request_id}":
            return f"expected event {expected}, got {event!r}"
    if count and expected != count:
        return f"stream ended normally after {expected} of {count} events"
    return ""


async def run_clients(
    fleet: SoakFleet, board: SoakBoard, random: Random, until: float
) -> None:
    """Run the balancer and all clients until a Unix time and the end of their calls."""
    board.ready_entries.update(fleet.gateways_by_name)
    balancer_task = asyncio.ensure_future(Balancer(fleet, board).run())
    clients = [
        Client(fleet, board, Random(random.getrandbits(64)))
        for _ in range(CLIENT_COUNT)
    ]
    try:
        await asyncio.gather(*(client.run(until) for client in clients))
    finally:
        balancer_task.cancel()
        await asyncio.gather(balancer_task, return_exceptions=True)
