"""Server-sent events: whole events are passed on without decoding their data."""

from __future__ import annotations

import re
from typing import NamedTuple

from carawayhitch.core import errors, result_codes

EVENT_END = b"\n\n"
FINAL_EVENT = b"data: [DONE]\n\n"
_SEQUENCE = re.compile(rb"(?:\A|\n)id: (\d{1,15})\n")


class EventBlock(NamedTuple):
    """Whole events with the sequence numbers of the first and last one."""

    first_sequence: int
    last_sequence: int
    data: bytes
    is_final: bool


def split_events(pending: bytes) -> tuple[EventBlock | None, bytes]:
    """Return the whole events at the start of a buffer and the rest.

    JSON text has no raw line breaks, so a line that starts with ``id: `` never is
    part of an event's data.

    Raises
    ------
    MalformedMessageError
        If an event carries no sequence number.
    """
    end = pending.rfind(EVENT_END)
    if end < 0:
        return None, pending
    end += len(EVENT_END)
    data, rest = pending[:end], pending[end:]
    first = _SEQUENCE.search(data)
    last_start = data.rfind(b"id: ", 0, data.rfind(b"\ndata:"))
    last = _SEQUENCE.match(data, max(0, last_start - 1)) if first else None
    if first is None or last is None:
        raise errors.MalformedMessageError(
            result_codes.ANSWER_TRUNCATED,
            f"event without a sequence number: {data[:80]!r}",
        )
    return (
        EventBlock(int(first[1]), int(last[1]), data, data.endswith(FINAL_EVENT)),
        rest,
    )
