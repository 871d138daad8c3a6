"""Creation, lookup and combination of controllers."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import cache, singledispatch
from random import Random
from typing import Any

from carawayhitch.board import Board
from carawayhitch.core import actions

Actions = Sequence[actions.Action]
Handler = Callable[[Any, Board, float, Random], Actions]


def new_controller() -> Any:
    """Return a ``singledispatch`` function over event types without any handlers.

    A controller module registers its handlers on it. Each is called as
    ``handler(event, board, now, random)`` and returns actions.
    """

    @singledispatch
    def decide(event: Any, board: Board, now: float, random: Random) -> Actions:
        return ()

    return decide


def has_handler(controller: Any, event_type: type[Any]) -> bool:
    """Return whether a controller registered a handler for an event type.

    Handlers are registered for exact types. Asking ``dispatch`` would search the base
    classes of every event type that a controller does not handle.
    """
    return event_type in controller.registry


def combine_controllers(controllers: Sequence[Any]) -> Handler:
    """Return one decision function that runs controllers in their order.

    Parameters
    ----------
    controllers : sequence of controllers
        Results of `new_controller`, in the order in which they handle an event.
    """

    @cache
    def handlers_of(event_type: Any) -> tuple[Any, ...]:
        return tuple(
            controller.registry[event_type]
            for controller in controllers
            if has_handler(controller, event_type)
        )

    def decide(event: Any, board: Board, now: float, random: Random) -> Actions:
        event_type: Any = type(event)
        handlers = handlers_of(event_type)
        if len(handlers) == 1:
            return handlers[0](event, board, now, random)
        decided: list[actions.Action] = []
        for handler in handlers:
            decided.extend(handler(event, board, now, random))
        return decided

    return decide
