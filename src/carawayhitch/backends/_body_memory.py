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

    def missing_bytes(self, size: int) -> int:
        """Return the bytes that have to be freed before a body can be taken."""
        if size <= SMALL_BODY_BYTES:
            return 0
        return int(max(0.0, self.held_bytes + size - self.limit_bytes))

    def reserve(self, size: int) -> bool:
        """Take memory for a body, if there is enough."""
        if self.missing_bytes(size):
            return False
        self.held_bytes += size
        return True

    def extend(self, held: int, added: int) -> bool:
        """Take memory for a further part of a body, if there is enough.

        Parameters
        ----------
        held : int
            Bytes of the body that are already counted.
        added : int
            Bytes of the part.
        """
        if held + added > SMALL_BODY_BYTES and (
            self.held_bytes + added > self.limit_bytes
        ):
            return False
        self.held_bytes += added
        return True

    def release(self, size: int) -> None:
        """Free memory that was reserved."""
        self.held_bytes -= size


class RequestBody:
    """Body of a caller's request, which can be dropped before the call ends.

    Parameters
    ----------
    data : bytes
        The whole body.
    memory : BodyMemory, optional
        Where ``len(data)`` bytes are reserved for it.
    """

    def __init__(self, data: bytes, memory: BodyMemory | None = None) -> None:
        self.data = data
        self._memory = memory

    def __del__(self) -> None:
        # Covers requests that are refused before their call begins.
        self.drop()

    def drop(self) -> None:
        """Free the body; a call without it cannot be sent again."""
        if self._memory is not None:
            self._memory.release(len(self.data))
            self._memory = None
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
