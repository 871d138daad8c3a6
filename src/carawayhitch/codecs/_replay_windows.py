"""Sliding windows that detect replayed and outdated datagrams."""

from __future__ import annotations

from typing import NamedTuple

# A process numbers all its datagrams in one sequence; at 400 datagrams per second the
# window covers ten seconds of reordering.
WINDOW_SIZE = 4096
WINDOW_MASK = (1 << WINDOW_SIZE) - 1
# After this time without accepted datagrams, a lower incarnation is taken for a
# replacement VM whose clock is behind.
LOWER_INCARNATION_DELAY_SECONDS = 60.0


class ReplayWindow(NamedTuple):
    """Sequence numbers received from one process.

    Parameters
    ----------
    seen : int
        Bit n is set if the datagram with number ``highest_sequence - n`` was received.
    received_at : float
        Time of the latest accepted datagram (seconds of the node clock).
    """

    incarnation: int
    highest_sequence: int
    seen: int
    received_at: float


def advance_replay_window(
    window: ReplayWindow | None, incarnation: int, sequence: int, now: float
) -> ReplayWindow | None:
    """Return the window after one more datagram, or None if it is rejected.

    A datagram is rejected if its sequence number was received before or precedes the
    window, or if its incarnation is lower and the window changed within the last
    `LOWER_INCARNATION_DELAY_SECONDS`.
    """
    if window is None or incarnation > window.incarnation:
        return ReplayWindow(incarnation, sequence, 1, now)
    if incarnation < window.incarnation:
        if now - window.received_at < LOWER_INCARNATION_DELAY_SECONDS:
            return None
        return ReplayWindow(incarnation, sequence, 1, now)
    if sequence > window.highest_sequence:
        shift = sequence - window.highest_sequence
        seen = 1 if shift >= WINDOW_SIZE else (window.seen << shift | 1) & WINDOW_MASK
        return window._replace(highest_sequence=sequence, seen=seen, received_at=now)
    age = window.highest_sequence - sequence
    if age >= WINDOW_SIZE or window.seen >> age & 1:
        return None
    return window._replace(seen=window.seen | 1 << age, received_at=now)
