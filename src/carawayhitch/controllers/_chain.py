"""Processing of an external event together with the events that it raises."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from random import Random
from typing import Any

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions, Handler
from carawayhitch.core import actions

# A longer chain indicates a loop between controllers.
CHAIN_LIMIT = 10_000
# Actions that may raise further events in this process.
EVENT_RAISING_ACTIONS = frozenset({actions.Emit, actions.Send})


def run_chain(
    decide: Handler, event: Any, board: Board, now: float, random: Random
) -> Iterable[actions.Action]:
    """Return the actions for an event and for the events that it raises.

    Emitted events are processed directly after the event that raised them, messages to
    this node itself at the end. The node and replayed traces share this order.

    Raises
    ------
    RuntimeError
        If a chain exceeds the limit.
    """
    decided = decide(event, board, now, random)
    for action in decided:
        if type(action) in EVENT_RAISING_ACTIONS:
            return _process_raised_events(decide, event, decided, board, now, random)
    # Fast path: most events are chunks of streams, which raise no other events.
    return decided


def _process_raised_events(
    decide: Handler,
    event: Any,
    decided: Actions,
    board: Board,
    now: float,
    random: Random,
) -> Iterator[actions.Action]:
    pending: deque[Any] = deque()
    for _ in range(CHAIN_LIMIT):
        emitted: list[Any] = []
        for action in decided:
            if type(action) is actions.Emit:
                emitted.append(action.event)
            elif type(action) is actions.Send and action.node_id == board.node_id:
                pending.append(action.message)
            else:
                yield action
        pending.extendleft(reversed(emitted))
        if not pending:
            return
        decided = decide(pending.popleft(), board, now, random)
    raise RuntimeError(
        f"{type(event).__name__} started a chain of more than {CHAIN_LIMIT} events"
    )
