"""Replays a recorded trace against the decision code."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import zip_longest
from random import Random
from typing import Any, NamedTuple

from carawayhitch import codecs, controllers
from carawayhitch.board import new_board


class Difference(NamedTuple):
    """An event after which the decision code acts otherwise than stated."""

    line_number: int
    event: Any
    stated: Any
    decided: Any


class ReplayResult(NamedTuple):
    """Outcome of a replay."""

    event_count: int
    action_count: int
    differences: tuple[Difference, ...]


def replay_trace(lines: Iterable[bytes], source: str) -> ReplayResult:
    """Feed a trace to the controllers and compare the actions.

    Parameters
    ----------
    lines : iterable of bytes
        A trace as the recorder writes it; steps without actions are not compared.
    source : str
        File named in errors.

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
        for stated, found in zip_longest(step.actions, decided):
            if stated != found:
                differences.append(
                    Difference(step.line_number, step.event, stated, found)
                )
                break
    return ReplayResult(event_count, action_count, tuple(differences))
