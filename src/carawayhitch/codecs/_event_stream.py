"""Server-sent events: whole events are passed on without decoding their data."""

from __future__ import annotations

import re
from typing import NamedTuple

from carawayhitch.core import errors, result_codes

EVENT_END = b"\n\n"
FINAL_LINE = b"data: [DONE]"
FINAL_EVENT = FINAL_LINE + EVENT_END
# Longest event that is kept while its end has not arrived.
EVENT_BYTES_LIMIT = 1_048_576
# The usual read is exactly one event; one match finds that out.
_ONE_EVENT = re.compile(rb"id: (\d{1,15})\n(data: [^\n]*)\n\n")
_SEQUENCE = re.compile(rb"(?:\A|\n)id: (\d{1,15})\n")


class EventBlock(NamedTuple):
    """Whole events with the sequence numbers of the first and last one."""

    first_sequence: int
    last_sequence: int
    data: bytes
    is_final: bool


def _malformed(found: str, data: bytes) -> errors.MalformedMessageError:
    return errors.MalformedMessageError(
        result_codes.ANSWER_TRUNCATED, f"{found}: {data[:80]!r}"
    )


def split_events(pending: bytes) -> tuple[EventBlock | None, bytes]:
    """Return the whole events at the start of a buffer and the rest.

    JSON text has no raw line breaks, so a line that starts with ``id: `` never is
    part of an event's data. Comments, which carry no sequence number, are left out.

    Raises
    ------
    MalformedMessageError
        If an event carries no sequence number, the numbers of the events are not
        contiguous, an event follows the final one, or an event is too long.
    """
    one = _ONE_EVENT.fullmatch(pending)
    if one is not None:
        sequence = int(one[1])
        return EventBlock(sequence, sequence, pending, one[2] == FINAL_LINE), b""
    end = pending.rfind(EVENT_END)
    if end < 0:
        if len(pending) > EVENT_BYTES_LIMIT:
            raise _malformed("event without an end", pending)
        return None, pending
    end += len(EVENT_END)
    data, rest = pending[:end], pending[end:]
    if data.startswith(b":") or b"\n\n:" in data:
        data = _without_comments(data)
        if not data:
            return None, rest
    sequences = [int(number) for number in _SEQUENCE.findall(data)]
    if not sequences or len(sequences) != data.count(EVENT_END):
        raise _malformed("event without one sequence number", data)
    first, last = sequences[0], sequences[-1]
    if last - first != len(sequences) - 1 or sequences != list(range(first, last + 1)):
        raise _malformed(f"sequence numbers {sequences[:8]} are not contiguous", data)
    final_at = data.find(FINAL_EVENT)
    is_final = final_at >= 0 and final_at + len(FINAL_EVENT) == len(data)
    if final_at >= 0 and not is_final:
        raise _malformed("event after the final one", data[final_at:])
    return EventBlock(first, last, data, is_final), rest


def _without_comments(data: bytes) -> bytes:
    kept = [event for event in data.split(EVENT_END) if event[:1] not in (b":", b"")]
    return b"".join(event + EVENT_END for event in kept)
