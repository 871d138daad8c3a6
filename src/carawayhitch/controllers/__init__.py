"""Controllers: decisions from the board, an event and the time, without any I/O.

``decide(event, board, now, random)`` runs every controller that handles the event's
type and returns their actions.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Any

from carawayhitch.board import Board
from carawayhitch.controllers import (
    _admission,
    _changes,
    _configuration,
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
    _store_watch,
    _streams,
    _suspects,
    _upstreams,
)
from carawayhitch.controllers._admission import find_refusal
from carawayhitch.controllers._chain import run_chain
from carawayhitch.controllers._configuration import (
    build_configuration,
    format_object_set_digest,
    is_watcher,
)
from carawayhitch.controllers._configuration_checks import (
    find_declaration_problems,
    format_problem,
    kind_of,
)
from carawayhitch.controllers._controller import Actions, combine_controllers
from carawayhitch.controllers._routes import find_route
from carawayhitch.controllers._selectors import selector_matches
from carawayhitch.controllers._settings import peer_key_ids
from carawayhitch.controllers._suspects import merge_crashes
from carawayhitch.core import actions

__all__ = [
    "CONTROLLERS",
    "Actions",
    "build_configuration",
    "decide",
    "decide_chain",
    "find_declaration_problems",
    "find_refusal",
    "find_route",
    "format_object_set_digest",
    "format_problem",
    "is_watcher",
    "kind_of",
    "merge_crashes",
    "peer_key_ids",
    "selector_matches",
]

# Health reads the rows of calls before retries and streams move them elsewhere.
# Suspects read the grants of a failed upstream before scheduling removes them.
# Admission removes the row of an ended request, so it runs after every controller
# that still reads the row; the lifecycle then counts the rows that are left.
# Membership announces what the others decided, so it is last.
CONTROLLERS = (
    _settings.decide,
    _store_watch.decide,
    _configuration.decide,
    _changes.decide,
    _upstreams.decide,
    _health.decide,
    _leases.decide,
    _orders.decide,
    _suspects.decide,
    _scheduling.decide,
    _evacuation.decide,
    _placement.decide,
    _journal_layout.decide,
    _idempotency.decide,
    _journal_sync.decide,
    _retries.decide,
    _moves.decide,
    _streams.decide,
    _admission.decide,
    _lifecycle.decide,
    _registration.decide,
    _membership.decide,
)

decide = combine_controllers(CONTROLLERS)


def decide_chain(
    event: Any, board: Board, now: float, random: Random
) -> Iterable[actions.Action]:
    """Return the actions of an event and of all events that it raises."""
    return run_chain(decide, event, board, now, random)
