"""Waits that cannot end in time, and the return of the clients that are refused."""

from __future__ import annotations

from carawayhitch.controllers.overload._capacity import applies, arriving_engines
from carawayhitch.controllers.overload._cell_pairs import call_key, cell_pair
from carawayhitch.controllers.overload._decisions import (
    decide,
    keep_place,
    prepare_ask,
)
from carawayhitch.controllers.overload._places import forget_place
from carawayhitch.controllers.overload._waits import (
    add_waiting_work,
    expected_wait,
    subtract_waiting_work,
    unservable_asks,
)

__all__ = [
    "add_waiting_work",
    "applies",
    "arriving_engines",
    "call_key",
    "cell_pair",
    "decide",
    "expected_wait",
    "forget_place",
    "keep_place",
    "prepare_ask",
    "subtract_waiting_work",
    "unservable_asks",
]
