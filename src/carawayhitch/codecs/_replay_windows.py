"""Sliding windows that recognize repeated and old datagrams."""

from __future__ import annotations

from typing import NamedTuple

# A sender numbers all its datagrams in one sequence; at 400 a second this window
# covers ten seconds of reordering.
WINDOW_SIZE = 4096
WINDOW_MASK = (1 << WINDOW_SIZE) - 1
# After this silence a lower incarnation counts as a replacement whose clock is behind.
SILENCE_SECONDS = 60.0


class ReplayWindow(NamedTuple):
    """Sequences received from one process.

    Parameters
    ----------
    seen : int
        Bit n is set if the datagram numbered ``highest - n`` was received.
    received_at : float
        Time of the newest accepted datagram (seconds of the node clock).
    """

    incarnation: int
    highest: int
    seen: int
    received_at: float


def advance_replay_window(
    window: ReplayWindow | None, incarnation: int, sequence: int, now: float
) -> ReplayWindow | None:
    """Return the window with one more datagram, or None if that one is a replay."""
    if window is None or incarnation > window.incarnation:
        return ReplayWindow(incarnation, sequence, 1, now)
    if incarnation < window.incarnation:
        if now - window.received_at < SILENCE_SECONDS:
            return None
        return ReplayWindow(incarnation, sequence, 1, now)
    if sequence > window.highest:
        shift = sequence - window.highest
        seen = 1 if shift >= WINDOW_SIZE else (window.seen << shift | 1) & WINDOW_MASK
        return window._replace(highest=sequence, seen=seen, received_at=now)
    age = window.highest - sequence
    if age >= WINDOW_SIZE or window.seen >> age & 1:
        return None
    return window._replace(seen=window.seen | 1 << age, received_at=now)
