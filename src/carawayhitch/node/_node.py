"""Runtime of an entry process: passes events to controllers, performs actions."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections import deque
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, NamedTuple, Protocol

import aiohttp
import structlog

from carawayhitch import controllers
from carawayhitch.backends import (
    CallContent,
    PeerSocket,
    UpstreamSessions,
    new_body_memory,
    open_session,
)
from carawayhitch.board import Board, new_board
from carawayhitch.core import actions, events, result_codes, rows
from carawayhitch.core import settings as settings_types
from carawayhitch.node._metrics import Metrics, new_metrics
from carawayhitch.node._performers import perform
from carawayhitch.node._recorder import TraceRecorder
from carawayhitch.node._start_costs import read_start_costs
from carawayhitch.node._stores import Store, open_store

# A network fault can break all connections to the store at once without a reset.
# Connections of watches are reused without a pause. Any other idle connection must not
# be reused, or the call that follows a timeout would time out on it as well.
STORE_IDLE_TIMEOUT_SECONDS = 0.5
# A survey of a thousand connections takes about a millisecond.
SURVEY_INTERVAL_SECONDS = 0.1
URGENT_SURVEY_INTERVAL_SECONDS = 0.02
# The event loop rounds delays to this resolution and may run a callback early by as
# much. A shorter delay would be rounded down to zero.
TIMER_RESOLUTION_SECONDS = 0.001


class CallerConnection(Protocol):
    """Connection to the caller of an open call, implemented by the front end."""

    @property
    def is_paused(self) -> bool:
        """Whether writing is paused because the send buffer is above its limit."""

    async def writable(self) -> None:
        """Wait until the send buffer has drained enough to write again."""

    def start_stream(self, action: actions.StartStream) -> None:
        """Send the status and headers of a streamed response."""

    def write(self, data: bytes) -> None:
        """Send bytes of a streamed response."""

    def finish_stream(self) -> None:
        """Complete a streamed response."""

    def answer(self, action: actions.SendAnswer) -> None:
        """Send a complete, non-streamed response."""

    def refuse(self, action: actions.RefuseCall) -> None:
        """Send an error response, or abort a stream that has started."""


class ClientConnection(Protocol):
    """Connection of a client at any listener, implemented by the front end."""

    def describe_use(self) -> rows.ConnectionUse:
        """Return what the connection holds."""

    def close_for(self, code: result_codes.ResultCode) -> None:
        """Close the connection to make room for others."""


class OpenCall(NamedTuple):
    """Request content and caller connection, which are not kept on the board."""

    content: CallContent
    caller: CallerConnection


class Node:
    """Entry process without its HTTP server.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    log : structlog logger
        Receives the lines of `Log` actions.
    seed : int, optional
        Seed of the random generator that controllers use. It is recorded in traces, so
        that a replay takes the same decisions.
    """

    def __init__(
        self,
        settings: settings_types.Settings,
        log: Any = None,
        seed: int | None = None,
    ) -> None:
        self.incarnation = time.time_ns() // 1000
        self.board: Board = new_board(settings, self.incarnation)
        self.seed = secrets.randbits(64) if seed is None else seed
        self.random = Random(self.seed)
        self.log = log or structlog.get_logger()
        self.metrics: Metrics = new_metrics()
        self.calls_by_request_id: dict[str, OpenCall] = {}
        self.body_memory = new_body_memory(settings)
        self.body_memory.handle_shortage = self._handle_memory_shortage
        self.connections_by_id: dict[int, ClientConnection] = {}
        self._survey_at = self._urgent_survey_at = 0.0
        self.upstream_tasks_by_request_id: dict[str, asyncio.Task[None]] = {}
        self.operation_futures_by_id: dict[str, asyncio.Future[Any]] = {}
        self.stopped = asyncio.Event()
        self.close_idle_connections: Callable[[], None] = lambda: None
        self._pending_events: deque[Any] = deque()
        self._is_processing = False
        self.watch_tasks_by_scope: dict[str, asyncio.Task[Any]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._recorder: TraceRecorder | None = None
        self.sessions: UpstreamSessions | None = None
        self.platform_session: aiohttp.ClientSession | None = None
        self.store_session: aiohttp.ClientSession | None = None
        self.store: Store | None = None
        self.peers: PeerSocket | None = None

    @property
    def settings(self) -> settings_types.Settings:
        """Current settings."""
        return self.board.settings

    def now(self) -> float:
        """Return the monotonic clock of the node in seconds."""
        return time.monotonic()

    async def start(self) -> None:
        """Open the client sessions and peer socket and submit `ProcessStarted`."""
        self.sessions = UpstreamSessions(
            reused=open_session(self.settings, fresh_connections=False),
            fresh=open_session(self.settings, fresh_connections=True),
        )
        self.platform_session = open_session(self.settings, fresh_connections=False)
        self.store_session = open_session(
            self.settings,
            fresh_connections=False,
            idle_seconds=STORE_IDLE_TIMEOUT_SECONDS,
        )
        self.store = open_store(self.store_session, self.settings)
        if self.settings.logs.trace_file:
            self._recorder = TraceRecorder(self.settings, self.incarnation, self.seed)
        self.peers = PeerSocket(self.incarnation, self)
        await self.peers.open()
        elapsed = read_start_costs().elapsed_seconds or 0.0
        self.submit(events.ProcessStarted(self.incarnation, elapsed))

    async def close(self) -> None:
        """Cancel all tasks and close the trace, peer socket and client sessions."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._recorder is not None:
            self._recorder.close()
        if self.peers is not None:
            await self.peers.close()
        if self.sessions is not None:
            await self.sessions.reused.close()
            await self.sessions.fresh.close()
        if self.platform_session is not None:
            await self.platform_session.close()
        if self.store_session is not None:
            await self.store_session.close()

    def submit(self, event: Any) -> None:
        """Pass an event to the controllers and perform their actions.

        Not reentrant: events submitted while actions are performed are queued and
        processed in order by the outermost call.
        """
        self._pending_events.append(event)
        if self._is_processing:
            return
        self._is_processing = True
        try:
            self._process_pending_events()
        finally:
            self._is_processing = False

    def _process_pending_events(self) -> None:
        decide_chain, board, random = controllers.decide_chain, self.board, self.random
        while self._pending_events:
            event = self._pending_events.popleft()
            now = self.now()
            if self._recorder is None:
                for action in decide_chain(event, board, now, random):
                    perform(action, self)
            else:
                self._process_recorded_event(event, now, self._recorder)

    def _process_recorded_event(
        self, event: Any, now: float, recorder: TraceRecorder
    ) -> None:
        decided: list[actions.Action] = []
        for action in controllers.decide_chain(event, self.board, now, self.random):
            decided.append(action)
            perform(action, self)
        recorder.record(now, event, decided)

    def _handle_memory_shortage(self, missing_bytes: int, is_urgent: bool) -> None:
        connections = self._survey_connections(is_urgent)
        self.submit(events.BodyMemoryNeeded(missing_bytes, connections, is_urgent))

    def make_room_for_connection(
        self, missing_count: int, is_receiving: bool = False
    ) -> None:
        """Let connections that hold much and move little be closed.

        Parameters
        ----------
        is_receiving : bool
            Whether only connections are chosen from which a body is received.
        """
        connections = tuple(
            use
            for use in self._survey_connections(False)
            if not is_receiving or use.stage == "receiving"
        )
        if connections:
            self.submit(events.ConnectionsNeeded(missing_count, connections))

    def _survey_connections(self, is_urgent: bool) -> tuple[rows.ConnectionUse, ...]:
        """Return the use of all connections, or nothing soon after the last survey."""
        now = self.now()
        if now < (self._urgent_survey_at if is_urgent else self._survey_at):
            return ()
        self._survey_at = now + SURVEY_INTERVAL_SECONDS
        self._urgent_survey_at = now + URGENT_SURVEY_INTERVAL_SECONDS
        return tuple(
            connection.describe_use() for connection in self.connections_by_id.values()
        )

    def find_refusal(self) -> result_codes.ResultCode | None:
        """Return the result code with which all new calls are refused, or None."""
        return controllers.find_refusal(self.board)

    def find_caller_refusal(
        self, token_sha256: str, host: str = "", path: str = ""
    ) -> result_codes.ResultCode | None:
        """Return the result code with which a caller is refused, or None."""
        return controllers.find_caller_refusal(self.board, token_sha256, host, path)

    def set_timer(self, deadline: float, event: Any) -> None:
        """Submit an event at a time of the node clock or shortly after, never early."""
        delay = deadline - self.now()
        if delay > 0:
            delay = max(delay, TIMER_RESOLUTION_SECONDS)
        asyncio.get_running_loop().call_later(
            max(0.0, delay), self._handle_timer, deadline, event
        )

    def _handle_timer(self, deadline: float, event: Any) -> None:
        if self.stopped.is_set():
            return
        if self.now() < deadline:
            # Controllers that compare the event with their deadline would discard it
            # as outdated.
            self.set_timer(deadline, event)
            return
        self.submit(event)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine as a task and log the exception if it fails."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_done)
        return task

    def _handle_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.log.error("task failed", error=repr(task.exception()))

    def spawn_and_submit(
        self, coroutine: Coroutine[Any, Any, Any]
    ) -> asyncio.Task[Any]:
        """Run a coroutine as a task and submit the event that it returns, if any."""

        async def await_and_submit() -> None:
            event = await coroutine
            if event is not None:
                self.submit(event)

        return self.spawn(await_and_submit())

    async def run_operation(self, operation_id: str, event: Any) -> Any:
        """Submit an event and return the action that answers its operation."""
        future = asyncio.get_running_loop().create_future()
        self.operation_futures_by_id[operation_id] = future
        try:
            self.submit(event)
            return await future
        finally:
            self.operation_futures_by_id.pop(operation_id, None)

    def answer_operation(self, operation_id: str, action: Any) -> None:
        """Pass an action to the waiting `run_operation`, if it still waits."""
        future = self.operation_futures_by_id.get(operation_id)
        if future is not None and not future.done():
            future.set_result(action)

    def count_exchange_bytes(self, sent: int, received: int) -> None:
        """Count the body bytes of a configuration exchange with a peer."""
        self.metrics.exchange_bytes[("sent",)] += sent
        self.metrics.exchange_bytes[("received",)] += received

    def count(self, code: result_codes.ResultCode, rank: str) -> None:
        """Count an outcome by result code and rank."""
        self.metrics.outcomes[(str(code.number), code.name, rank)] += 1

    def count_peer_message(self, direction: str, name: str, size: int) -> None:
        """Count a peer datagram and its size by direction and message type."""
        self.metrics.peer_messages[(direction, name)] += 1
        self.metrics.peer_bytes[(direction, name)] += size
