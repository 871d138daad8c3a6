"""Controllers: decisions from the board, an event and the time, without any I/O.

``decide(event, board, now, random)`` runs every controller that handles the event's
type and returns their actions.
"""

from __future__ import annotations

from carawayhitch.controllers import (
    _admission,
    _changes,
    _configuration,
    _idempotency,
    _lifecycle,
    _placement,
    _retries,
    _scheduling,
    _streams,
    _upstreams,
)
from carawayhitch.controllers._configuration import (
    digest_text,
    is_watcher,
    revisions_in_force,
)
from carawayhitch.controllers._configuration_checks import (
    describe,
    find_problems,
    kind_of,
)
from carawayhitch.controllers._controller import Actions, combine
from carawayhitch.controllers._selectors import matches

__all__ = [
    "CONTROLLERS",
    "Actions",
    "decide",
    "describe",
    "digest_text",
    "find_problems",
    "is_watcher",
    "kind_of",
    "matches",
    "revisions_in_force",
]

# Admission removes the row of an ended request, so it runs after every controller
# that still reads the row; the lifecycle then counts the rows that are left.
CONTROLLERS = (
    _configuration.decide,
    _changes.decide,
    _upstreams.decide,
    _scheduling.decide,
    _placement.decide,
    _idempotency.decide,
    _retries.decide,
    _streams.decide,
    _admission.decide,
    _lifecycle.decide,
)

decide = combine(CONTROLLERS)
