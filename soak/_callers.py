"""Clients that keep their connections, and a balancer that leaves unready entries."""

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

CALLER_COUNT = 16
# About 40 calls a second, few enough that a saturated machine is not what fails.
MEAN_PAUSE_SECONDS = 0.3
READINESS_INTERVAL_SECONDS = 0.5
# The balancer takes an entry out after two questions in a row without a 200.
READINESS_FAILURE_LIMIT = 2
KEEP_CONNECTION_SHARE = 0.95
DISCONNECT_SHARE = 0.08
CONFIGURATION_PROBE_SHARE = 0.1
# Callers wait longer than the routes allow, so that the entry has to end each call.
DEADLINE_SECONDS = 9.0
SEAL_HEADER = "Carawayhitch-Server-Seal"


class CallPlan(NamedTuple):
    """What a client is about to ask."""

    route: str
    key: str
    events: int = 0
    disconnect_after_seconds: float = 0.0


def _draw_call(random: Random, board: SoakBoard) -> CallPlan:
    if random.random() < CONFIGURATION_PROBE_SHARE:
        # Routes and keys that were added or removed show what is in force.
        extra = random.choice(list(board.routes_by_name))
        return CallPlan(extra, random.choice([KEY, *board.keys_by_text]))
    route = random.choices(("order", "look", "draft", "ask"), (0.4, 0.3, 0.15, 0.15))[0]
    events = {"draft": random.randint(10, 60), "ask": random.randint(2, 12)}.get(route)
    leaves = random.random() < DISCONNECT_SHARE
    after = random.uniform(0.0, (events or 2) * EVENT_SECONDS) if leaves else 0.0
    return CallPlan(route, KEY, events or 0, after)


class Balancer:
    """Knows which entries take new connections."""

    def __init__(self, fleet: SoakFleet, board: SoakBoard) -> None:
        self.board = board
        self.ports_by_entry = {
            name: ports["readiness"] for name, ports in fleet.gateways_by_name.items()
        }

    async def run(self) -> None:
        """Ask each entry every half second."""
        misses = dict.fromkeys(self.ports_by_entry, 0)
        async with aiohttp.ClientSession() as session:
            while True:
                for name, port in self.ports_by_entry.items():
                    ready = await self._is_ready(session, port)
                    misses[name] = 0 if ready else misses[name] + 1
                    if ready:
                        self.board.ready_entries.add(name)
                    elif misses[name] >= READINESS_FAILURE_LIMIT:
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
    """One client, which asks one call at a time."""

    def __init__(self, fleet: SoakFleet, board: SoakBoard, random: Random) -> None:
        self.fleet, self.board, self.random = fleet, board, random

    async def run(self, until: float) -> None:
        """Ask until a time."""
        while time.time() < until:
            ready = sorted(self.board.ready_entries) or list(
                self.fleet.gateways_by_name
            )
            entry = self.random.choice(ready)
            async with aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=1)
            ) as session:
                keeps = True
                while keeps and time.time() < until:
                    plan = _draw_call(self.random, self.board)
                    keeps = await self._ask(session, entry, plan)
                    keeps = keeps and self.random.random() < KEEP_CONNECTION_SHARE
                    pause = self.random.expovariate(1 / MEAN_PAUSE_SECONDS)
                    await asyncio.sleep(min(pause, 1.0))

    async def _ask(
        self, session: aiohttp.ClientSession, entry: str, plan: CallPlan
    ) -> bool:
        """Make a call and tell whether its connection may be used again."""
        # Drawn from the seed, unlike `uuid4`.
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
        asked = asyncio.ensure_future(self._exchange(session, row, plan))
        limit = plan.disconnect_after_seconds or DEADLINE_SECONDS
        done, _ = await asyncio.wait([asked], timeout=limit)
        if done:
            return asked.result()
        asked.cancel()
        await asyncio.gather(asked, return_exceptions=True)
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
            "Carawayhitch-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)),
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
                keeps = response.headers.get("Connection", "").lower() != "close"
        except aiohttp.ClientConnectorError:
            # The process is not there; nothing was sent.
            del self.board.calls_by_id[row.request_id]
            return False
        except (aiohttp.ClientError, TimeoutError, OSError):
            fault = find_stream_fault(row.request_id, body, 0) if plan.events else ""
            self._end(row._replace(outcome="broken", fault=fault))
            return False
        fault = ""
        if row.status == 200 and plan.events:
            fault = find_stream_fault(row.request_id, body, plan.events)
        elif row.status == 200 and body != sent:
            fault = f"expected {sent!r}, got {body[:80]!r}"
        if row.status == 200 and not seal.startswith("seal-of-"):
            fault = fault or f"expected a seal, got {seal!r}"
        self._end(row._replace(outcome="answered", is_intact=not fault, fault=fault))
        return keeps

    def _end(self, row: CallRow) -> None:
        self.board.calls_by_id[row.request_id] = row._replace(ended_at=time.time())


def find_stream_fault(request_id: str, body: bytes, count: int) -> str:
    """Return what is wrong with the events of a stream.

    Parameters
    ----------
    count : int
        Events of the whole stream; 0 if it was cut, so that any part is right.
    """
    whole, _, _ = body.decode(errors="replace").rpartition("\n\n")
    expected = 0
    for event in filter(None, whole.split("\n\n")):
        expected += 1
        if event != f"id: {expected}\ndata: {request_id}":
            return f"expected event {expected}, got {event!r}"
    if count and expected != count:
        return f"ended as complete after {expected} of {count} events"
    return ""


async def run_clients(
    fleet: SoakFleet, board: SoakBoard, random: Random, until: float
) -> None:
    """Have all clients ask until a time and end their last calls."""
    board.ready_entries.update(fleet.gateways_by_name)
    balancing = asyncio.ensure_future(Balancer(fleet, board).run())
    clients = [
        Client(fleet, board, Random(random.getrandbits(64)))
        for _ in range(CALLER_COUNT)
    ]
    try:
        await asyncio.gather(*(client.run(until) for client in clients))
    finally:
        balancing.cancel()
        await asyncio.gather(balancing, return_exceptions=True)
