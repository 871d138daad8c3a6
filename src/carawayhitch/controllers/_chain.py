"""One external event with everything that follows from it inside the process."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from random import Random
from typing import Any

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions, Handler
from carawayhitch.core import actions

# A chain longer than this is a loop between controllers.
CHAIN_LIMIT = 10_000
# Actions that may stand for further events.
RAISING_ACTIONS = frozenset({actions.Emit, actions.Send})


def run_chain(
    decide: Handler, event: Any, board: Board, now: float, random: Random
) -> Iterable[actions.Action]:
    """Return the actions of an event and of the events that it raises.

    Emitted events follow directly after the event that raised them; messages to this
    node itself follow at the end. The node and replayed traces share this order.

    Raises
    ------
    RuntimeError
        If the controllers raise events without end.
    """
    decided = decide(event, board, now, random)
    for action in decided:
        if type(action) in RAISING_ACTIONS:
            return _follow(decide, event, decided, board, now, random)
    # Most events are chunks of streams, which raise no others.
    return decided


def _follow(
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
    raise RuntimeError(f"{type(event).__name__} raised {CHAIN_LIMIT} events in a row")
