"""Memory of message bodies that this process holds, within a limit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from carawayhitch.core import settings as settings_types

BYTES_PER_MEGABYTE = 1_000_000
# Memory of an entry without bodies, with the state of a few hundred calls.
BASE_MEGABYTES = 64.0
# Share of the rest that bodies may take. Buffers of connections and the copy made while
# a body is put together need the other half.
BODY_SHARE = 0.5
# Smaller bodies are always taken: their number is limited by that of open requests.
SMALL_BODY_BYTES = 16_384
# Bytes beyond the limit that answers and unread bytes may take; they are there before
# they can be refused.
OVERDRAFT_SHARE = 0.25
# Part of the limit that is freed at once, so that a shortage does not return with the
# next body.
FREED_SHARE = 0.125
WAIT_STEP_SECONDS = 0.25
WRITE_BUFFER_SHARE = 0.25
SMALLEST_WRITE_BUFFER_BYTES = 8192


class BodyMemory:
    """Bytes of bodies, answers and unread bytes that are held or being received.

    Parameters
    ----------
    limit_bytes : float
        Bytes up to which large bodies are taken.
    """

    def __init__(self, limit_bytes: float) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.handle_shortage: Callable[[int, bool], None] = lambda missing, urgent: None
        self._waiters: set[asyncio.Future[None]] = set()

    def missing_bytes(self, size: int, counted: int = 0) -> int:
        """Return the bytes that have to be freed before a body can be taken.

        Parameters
        ----------
        size : int
            Bytes of the body.
        counted : int
            Bytes of it for which memory is already taken.
        """
        if size <= SMALL_BODY_BYTES:
            return 0
        return int(max(0.0, self.held_bytes + size - counted - self.limit_bytes))

    def reserve(self, size: int, counted: int = 0) -> bool:
        """Take the memory that a body still needs, if there is enough."""
        if self.missing_bytes(size, counted):
            return False
        self.held_bytes += size - counted
        return True

    def release(self, size: int) -> None:
        """Free memory that was reserved."""
        self.held_bytes -= size
        if size > 0:
            for waiter in self._waiters:
                if not waiter.done():
                    waiter.set_result(None)

    def take(self, size: int) -> None:
        """Take memory for bytes that are there already; let others make room."""
        self.held_bytes += size
        excess = self.held_bytes - self.limit_bytes
        if size > 0 and excess > 0:
            self._free(excess, excess > OVERDRAFT_SHARE * self.limit_bytes)

    async def reserve_in_time(self, size: int, counted: int, seconds: float) -> bool:
        """Take the memory that a body still needs; wait for it if there is too little.

        Parameters
        ----------
        seconds : float
            Longest wait; 0 for one attempt to let others make room.
        """
        if self.reserve(size, counted):
            return True
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while True:
            self._free(self.missing_bytes(size, counted), False)
            if self.reserve(size, counted):
                return True
            remaining = deadline - loop.time()
            if remaining <= 0:
                return False
            waiter = loop.create_future()
            self._waiters.add(waiter)
            try:
                await asyncio.wait([waiter], timeout=min(remaining, WAIT_STEP_SECONDS))
            finally:
                self._waiters.discard(waiter)

    def _free(self, missing: float, urgent: bool) -> None:
        self.handle_shortage(int(missing + FREED_SHARE * self.limit_bytes), urgent)


class RequestBody:
    """Body of a caller's request, which can be dropped before the call ends.

    Parameters
    ----------
    data : bytes
        The whole body, if it has been received.
    memory : BodyMemory, optional
        Where ``len(data)`` bytes are reserved for it.
    """

    def __init__(self, data: bytes = b"", memory: BodyMemory | None = None) -> None:
        self.data = data
        self._memory = BodyMemory(float("inf")) if memory is None else memory
        self._counted_bytes = len(data)

    def __del__(self) -> None:
        # Covers requests that are refused before their call begins.
        self.drop()

    async def reserve_in_time(self, size: int, seconds: float) -> bool:
        """Take the memory for a body of this size; wait if there is too little."""
        counted = self._counted_bytes
        if not await self._memory.reserve_in_time(size, counted, seconds):
            return False
        self._counted_bytes = size
        return True

    @property
    def counted_bytes(self) -> int:
        """Bytes for which memory is taken."""
        return self._counted_bytes

    def fill(self, data: bytes) -> None:
        """Keep the received body and free what was reserved beyond it."""
        self._memory.release(self._counted_bytes - len(data))
        self._counted_bytes = len(data)
        self.data = data

    def abandon(self) -> None:
        """Free the body and take no more of it than a small one."""
        self.drop()
        self._memory = BodyMemory(0.0)

    def drop(self) -> None:
        """Free the body; a call without it cannot be sent again."""
        self._memory.release(self._counted_bytes)
        self._counted_bytes = 0
        self.data = b""


def write_buffer_bytes(settings: settings_types.Settings, connections: int) -> int:
    """Return the bytes that may wait in the write buffer of each connection.

    All of them together take a quarter of what a process may use beyond its base.
    """
    buffer_bytes = settings.streams.buffer_bytes
    megabytes = settings.limits.memory_megabytes
    if not megabytes:
        return buffer_bytes
    spare = max(0.0, megabytes - BASE_MEGABYTES) * BYTES_PER_MEGABYTE
    share = int(WRITE_BUFFER_SHARE * spare / connections)
    return min(buffer_bytes, max(SMALLEST_WRITE_BUFFER_BYTES, share))


def new_body_memory(settings: settings_types.Settings) -> BodyMemory:
    """Return the memory for bodies under the limits of the settings."""
    limits = settings.limits
    if not limits.memory_megabytes:
        return BodyMemory(float("inf"))
    spare = max(0.0, limits.memory_megabytes - BASE_MEGABYTES) * BYTES_PER_MEGABYTE
    # At least one body of each direction has to fit.
    smallest = limits.body_bytes + limits.answer_bytes
    return BodyMemory(max(float(smallest), BODY_SHARE * spare))
