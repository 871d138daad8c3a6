"""Replay of a recorded trace against the current controllers."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import zip_longest
from random import Random
from typing import Any, NamedTuple

from carawayhitch import codecs, controllers
from carawayhitch.board import new_board


class Difference(NamedTuple):
    """First mismatch between the recorded and the decided actions of an event."""

    line_number: int
    event: Any
    stated: Any
    decided: Any


class ReplayResult(NamedTuple):
    """Number of replayed events and actions, and the differences found."""

    event_count: int
    action_count: int
    differences: tuple[Difference, ...]


def replay_trace(lines: Iterable[bytes], source: str) -> ReplayResult:
    """Pass the events of a trace to the controllers and compare their actions.

    Parameters
    ----------
    lines : iterable of bytes
        A trace in the format of `TraceRecorder`. Steps without recorded actions are
        replayed, but not compared.
    source : str
        File name for error messages.

    Raises
    ------
    MalformedMessageError
        If a line cannot be decoded.
    """
    header, steps = codecs.decode_trace(lines, source)
    board = new_board(header.settings, header.incarnation)
    random = Random(header.seed)
    event_count = action_count = 0
    differences: list[Difference] = []
    for step in steps:
        decided = [
            codecs.redact_private_data(action)
            for action in controllers.decide_chain(step.event, board, step.now, random)
        ]
        event_count += 1
        action_count += len(decided)
        if step.actions is None:
            continue
        for stated, decided_action in zip_longest(step.actions, decided):
            if stated != decided_action:
                differences.append(
                    Difference(step.line_number, step.event, stated, decided_action)
                )
                break
    return ReplayResult(event_count, action_count, tuple(differences))
