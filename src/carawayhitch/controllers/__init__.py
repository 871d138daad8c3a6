"""Controllers, which handle events by updating the board and returning actions.

``decide(event, board, now, random)`` calls every controller that has a handler for
the type of the event and returns the combined actions. Controllers do no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Any

from carawayhitch.board import Board
from carawayhitch.controllers import (
    _admission,
    _backoffs,
    _bodies,
    _changes,
    _configuration,
    _drain_waits,
    _evacuation,
    _health,
    _idempotency,
    _journal_layout,
    _journal_sync,
    _leases,
    _lifecycle,
    _membership,
    _moves,
    _orders,
    _placement,
    _registration,
    _retries,
    _scheduling,
    _settings,
    _streams,
    _suspects,
    _upstreams,
    cold_start,
    duties,
    locality,
    overload,
    service_shares,
    store_watch,
    zones,
)
from carawayhitch.controllers._admission import find_caller_refusal, find_refusal
from carawayhitch.controllers._chain import run_chain
from carawayhitch.controllers._configuration import (
    build_configuration,
    format_object_set_digest,
)
from carawayhitch.controllers._configuration_checks import (
    find_declaration_problems,
    format_problem,
    kind_of,
)
from carawayhitch.controllers._controller import Actions, combine_controllers
from carawayhitch.controllers._crash_records import merge_crashes
from carawayhitch.controllers._routes import find_route
from carawayhitch.controllers._selectors import selector_matches
from carawayhitch.controllers._settings import peer_key_ids
from carawayhitch.controllers.duties import is_watcher, own_duties, own_strength
from carawayhitch.core import actions

__all__ = [
    "CONTROLLERS",
    "Actions",
    "build_configuration",
    "decide",
    "decide_chain",
    "find_caller_refusal",
    "find_declaration_problems",
    "find_refusal",
    "find_route",
    "format_object_set_digest",
    "format_problem",
    "is_watcher",
    "kind_of",
    "merge_crashes",
    "own_duties",
    "own_strength",
    "peer_key_ids",
    "selector_matches",
]

# The order matters where several controllers handle the same event:
# _health reads request rows before _retries and _streams assign another upstream.
# _suspects reads the grants of a failed upstream before _scheduling removes them, and
# overload those of ended requests.
# service_shares adds the share of a new call to the credit of its account before
# _scheduling decides on the call, and reads a grant before _scheduling removes it.
# _admission removes the row of an ended request, so it runs after all controllers
# that read the row and before _lifecycle, which counts the remaining rows.
# duties reads the schedulers that _placement derives.
# _membership announces the state that the other controllers set, so it runs last.
CONTROLLERS = (
    _settings.decide,
    store_watch.decide,
    _configuration.decide,
    _changes.decide,
    _upstreams.decide,
    zones.decide,
    _backoffs.decide,
    cold_start.decide,
    _health.decide,
    _leases.decide,
    _orders.decide,
    _suspects.decide,
    overload.decide,
    service_shares.decide,
    _scheduling.decide,
    _evacuation.decide,
    _drain_waits.decide,
    _placement.decide,
    duties.decide,
    _journal_layout.decide,
    _idempotency.decide,
    _journal_sync.decide,
    _retries.decide,
    _moves.decide,
    _bodies.decide,
    _streams.decide,
    locality.decide,
    _admission.decide,
    _lifecycle.decide,
    _registration.decide,
    _membership.decide,
)

decide = combine_controllers(CONTROLLERS)


def decide_chain(
    event: Any, board: Board, now: float, random: Random
) -> Iterable[actions.Action]:
    """Return the actions for an event and for all events that it raises."""
    return run_chain(decide, event, board, now, random)
