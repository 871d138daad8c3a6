"""Splitting of server-sent event streams into events, without decoding their data."""

from __future__ import annotations

import re
from typing import NamedTuple

from carawayhitch.core import errors, result_codes

EVENT_END = b"\n\n"
FINAL_LINE = b"data: [DONE]"
FINAL_EVENT = FINAL_LINE + EVENT_END
# Limit for an incomplete event in the buffer.
EVENT_BYTES_LIMIT = 1_048_576
# Fast path: most reads contain exactly one event.
_SINGLE_EVENT = re.compile(rb"id: (\d{1,15})\n(data: [^\n]*)\n\n")
_SEQUENCE = re.compile(rb"(?:\A|\n)id: (\d{1,15})\n")


class EventBlock(NamedTuple):
    """Complete events with the sequence numbers of the first and the last one."""

    first_sequence: int
    last_sequence: int
    data: bytes
    is_final: bool


def _stream_error(found: str, data: bytes) -> errors.MalformedMessageError:
    return errors.MalformedMessageError(
        result_codes.ANSWER_TRUNCATED, f"{found}: {data[:80]!r}"
    )


def split_events(pending: bytes) -> tuple[EventBlock | None, bytes]:
    """Return the complete events at the start of a buffer and the rest of the buffer.

    JSON text has no raw line breaks, so a line that starts with ``id: `` is never part
    of an event's data. Comments, which carry no sequence number, are removed.

    Raises
    ------
    MalformedMessageError
        If an event has no sequence number, the sequence numbers are not contiguous,
        an event follows the final one, or an event is too long.
    """
    single = _SINGLE_EVENT.fullmatch(pending)
    if single is not None:
        sequence = int(single[1])
        return EventBlock(sequence, sequence, pending, single[2] == FINAL_LINE), b""
    end = pending.rfind(EVENT_END)
    if end < 0:
        if len(pending) > EVENT_BYTES_LIMIT:
            raise _stream_error("incomplete event exceeds the length limit", pending)
        return None, pending
    end += len(EVENT_END)
    data, rest = pending[:end], pending[end:]
    if data.startswith(b":") or b"\n\n:" in data:
        data = _remove_comments(data)
        if not data:
            return None, rest
    sequences = [int(number) for number in _SEQUENCE.findall(data)]
    if not sequences or len(sequences) != data.count(EVENT_END):
        raise _stream_error("event without exactly one sequence number", data)
    first, last = sequences[0], sequences[-1]
    if last - first != len(sequences) - 1 or sequences != list(range(first, last + 1)):
        raise _stream_error(
            f"sequence numbers {sequences[:8]} are not contiguous", data
        )
    final_at = data.find(FINAL_EVENT)
    is_final = final_at >= 0 and final_at + len(FINAL_EVENT) == len(data)
    if final_at >= 0 and not is_final:
        raise _stream_error("event after the final one", data[final_at:])
    return EventBlock(first, last, data, is_final), rest


def _remove_comments(data: bytes) -> bytes:
    kept = [event for event in data.split(EVENT_END) if event[:1] not in (b":", b"")]
    return b"".join(event + EVENT_END for event in kept)
