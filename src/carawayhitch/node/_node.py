"""The runtime of one process: feeds events to controllers and performs actions."""

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
    open_session,
)
from carawayhitch.board import Board, new_board
from carawayhitch.core import actions, events, result_codes
from carawayhitch.core import settings as settings_types
from carawayhitch.node._metrics import Metrics, new_metrics
from carawayhitch.node._performers import perform
from carawayhitch.node._recorder import TraceRecorder
from carawayhitch.node._stores import Store, open_store

# Connections may fall silent without a reset, all at once. Those of watches are used
# without a pause; an older one would let a call after a timeout time out as well.
STORE_IDLE_SECONDS = 0.5
# The event loop rounds times to this and may fire that much early. A shorter wait would
# be none.
TIMER_SECONDS = 0.001


class CallerConnection(Protocol):
    """The caller's side of a call, implemented by the front end."""

    @property
    def is_paused(self) -> bool:
        """Whether the caller has not taken enough of what was written."""

    async def writable(self) -> None:
        """Wait until the caller has taken enough of what was written."""

    def start_stream(self, action: actions.StartStream) -> None:
        """Send status and headers of a stream."""

    def write(self, data: bytes) -> None:
        """Send bytes of a stream."""

    def finish_stream(self) -> None:
        """End a stream."""

    def answer(self, action: actions.SendAnswer) -> None:
        """Send a whole answer."""

    def refuse(self, action: actions.RefuseCall) -> None:
        """Send an error, or break off a started stream."""


class OpenCall(NamedTuple):
    """Resources of a call that the board does not hold."""

    content: CallContent
    caller: CallerConnection


class Node:
    """One entry process without its HTTP server.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    log : structlog logger
        Where `Log` actions go.
    seed : int, optional
        Seed of the random generator for decisions; recorded in traces.
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
        self.upstream_tasks_by_request_id: dict[str, asyncio.Task[None]] = {}
        self.operation_futures_by_id: dict[str, asyncio.Future[Any]] = {}
        self.stopped = asyncio.Event()
        self.close_idle_connections: Callable[[], None] = lambda: None
        self._pending: deque[Any] = deque()
        self._deciding = False
        self._tasks: set[asyncio.Task[Any]] = set()
        self._recorder: TraceRecorder | None = None
        self.sessions: UpstreamSessions | None = None
        self.platform_session: aiohttp.ClientSession | None = None
        self.store_session: aiohttp.ClientSession | None = None
        self.store: Store | None = None
        self.peers: PeerSocket | None = None

    @property
    def settings(self) -> settings_types.Settings:
        """The settings in force."""
        return self.board.settings

    def now(self) -> float:
        """Return the node clock in seconds."""
        return time.monotonic()

    async def start(self) -> None:
        """Open client sessions and the peer socket and feed the first event."""
        self.sessions = UpstreamSessions(
            reused=open_session(self.settings, fresh_connections=False),
            fresh=open_session(self.settings, fresh_connections=True),
        )
        self.platform_session = open_session(self.settings, fresh_connections=False)
        self.store_session = open_session(
            self.settings, fresh_connections=False, idle_seconds=STORE_IDLE_SECONDS
        )
        self.store = open_store(self.store_session, self.settings)
        if self.settings.logs.trace_file:
            self._recorder = TraceRecorder(self.settings, self.incarnation, self.seed)
        self.peers = PeerSocket(self.incarnation, self)
        await self.peers.open()
        self.submit(events.ProcessStarted(self.incarnation))

    async def close(self) -> None:
        """Cancel what still runs and close the peer socket and client sessions."""
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
        """Feed an event to the controllers and perform their actions.

        Events that arise meanwhile wait until the current one is done.
        """
        self._pending.append(event)
        if self._deciding:
            return
        self._deciding = True
        try:
            self._decide_pending()
        finally:
            self._deciding = False

    def _decide_pending(self) -> None:
        decide_chain, board, random = controllers.decide_chain, self.board, self.random
        while self._pending:
            event = self._pending.popleft()
            now = self.now()
            if self._recorder is None:
                for action in decide_chain(event, board, now, random):
                    perform(action, self)
            else:
                self._decide_recorded(event, now, self._recorder)

    def _decide_recorded(self, event: Any, now: float, recorder: TraceRecorder) -> None:
        decided: list[actions.Action] = []
        for action in controllers.decide_chain(event, self.board, now, self.random):
            decided.append(action)
            perform(action, self)
        recorder.record(now, event, decided)

    def find_refusal(self) -> result_codes.ResultCode | None:
        """Return why no call at all is taken now, or None."""
        return controllers.find_refusal(self.board)

    def set_timer(self, deadline: float, event: Any) -> None:
        """Feed an event at a time of the node clock, or soon after."""
        delay = deadline - self.now()
        if delay > 0:
            delay = max(delay, TIMER_SECONDS)
        asyncio.get_running_loop().call_later(
            max(0.0, delay), self._fire, deadline, event
        )

    def _fire(self, deadline: float, event: Any) -> None:
        if self.stopped.is_set():
            return
        if self.now() < deadline:
            # Controllers that check their deadlines would take the event for an old
            # one.
            self.set_timer(deadline, event)
            return
        self.submit(event)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine; its errors are logged."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.log.error("task failed", error=repr(task.exception()))

    def spawn_and_submit(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine and feed the event that it returns, if any."""

        async def answer() -> None:
            event = await work
            if event is not None:
                self.submit(event)

        self.spawn(answer())

    async def run_operation(self, operation_id: str, event: Any) -> Any:
        """Feed an event and return the action that answers its operation."""
        answer = asyncio.get_running_loop().create_future()
        self.operation_futures_by_id[operation_id] = answer
        try:
            self.submit(event)
            return await answer
        finally:
            self.operation_futures_by_id.pop(operation_id, None)

    def answer_operation(self, operation_id: str, action: Any) -> None:
        """Answer an operation unless its caller has left."""
        answer = self.operation_futures_by_id.get(operation_id)
        if answer is not None and not answer.done():
            answer.set_result(action)

    def count_exchange_bytes(self, sent: int, received: int) -> None:
        """Add to the bytes that were exchanged with peers."""
        self.metrics.exchange_bytes.labels("sent").inc(sent)
        self.metrics.exchange_bytes.labels("received").inc(received)

    def count(self, code: result_codes.ResultCode, rank: str) -> None:
        """Add to the counter of a result code."""
        self.metrics.outcomes.labels(str(code.number), code.name, rank).inc()

    def count_peer_message(self, direction: str, name: str, size: int) -> None:
        """Add to the counters of peer messages and bytes."""
        self.metrics.peer_messages.labels(direction, name).inc()
        self.metrics.peer_bytes.labels(direction, name).inc(size)
