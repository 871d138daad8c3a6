"""Memory of message bodies that this process holds, within a limit."""

from __future__ import annotations

from carawayhitch.core import settings as settings_types

BYTES_PER_MEGABYTE = 1_000_000
# Memory of an entry without bodies, with the state of a few hundred calls.
BASE_MEGABYTES = 64.0
# Share of the rest that bodies may take. Buffers of connections and the copy made while
# a body is put together need the other half.
BODY_SHARE = 0.5
# Smaller bodies are always taken: their number is limited by that of open requests.
SMALL_BODY_BYTES = 16_384


class BodyMemory:
    """Bytes of bodies that are held or being received.

    Parameters
    ----------
    limit_bytes : float
        Bytes up to which large bodies are taken.
    """

    def __init__(self, limit_bytes: float) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

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

    def missing_bytes(self, size: int) -> int:
        """Return the bytes that have to be freed before the body can be this large."""
        return self._memory.missing_bytes(size, self._counted_bytes)

    def reserve(self, size: int) -> bool:
        """Take the memory for a body of this size, if there is enough."""
        if not self._memory.reserve(size, self._counted_bytes):
            return False
        self._counted_bytes = size
        return True

    def fill(self, data: bytes) -> None:
        """Keep the received body and free what was reserved beyond it."""
        self._memory.release(self._counted_bytes - len(data))
        self._counted_bytes = len(data)
        self.data = data

    def drop(self) -> None:
        """Free the body; a call without it cannot be sent again."""
        self._memory.release(self._counted_bytes)
        self._counted_bytes = 0
        self.data = b""


def new_body_memory(settings: settings_types.Settings) -> BodyMemory:
    """Return the memory for bodies under the limits of the settings."""
    limits = settings.limits
    if not limits.memory_megabytes:
        return BodyMemory(float("inf"))
    spare = max(0.0, limits.memory_megabytes - BASE_MEGABYTES) * BYTES_PER_MEGABYTE
    # At least one body of each direction has to fit.
    smallest = limits.body_bytes + limits.answer_bytes
    return BodyMemory(max(float(smallest), BODY_SHARE * spare))
