"""One external event with everything that follows from it inside the process."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from random import Random
from typing import Any

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Handler
from carawayhitch.core import actions

# A chain longer than this is a loop between controllers.
CHAIN_LIMIT = 10_000


def run_chain(
    decide: Handler, event: Any, board: Board, now: float, random: Random
) -> Iterator[actions.Action]:
    """Yield the actions of an event and of the events that it raises.

    Emitted events follow directly after the event that raised them; messages to this
    node itself follow at the end. The node and replayed traces share this order.

    Raises
    ------
    RuntimeError
        If the controllers raise events without end.
    """
    pending = deque([event])
    for _ in range(CHAIN_LIMIT):
        if not pending:
            return
        emitted: list[Any] = []
        for action in decide(pending.popleft(), board, now, random):
            if type(action) is actions.Emit:
                emitted.append(action.event)
            elif type(action) is actions.Send and action.node_id == board.node_id:
                pending.append(action.message)
            else:
                yield action
        pending.extendleft(reversed(emitted))
    raise RuntimeError(f"{type(event).__name__} raised {CHAIN_LIMIT} events in a row")
