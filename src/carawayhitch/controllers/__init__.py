"""Controllers: decisions from the board, an event and the time, without any I/O.

``decide(event, board, now, random)`` runs every controller that handles the event's
type and returns their actions.
"""

from __future__ import annotations

from carawayhitch.controllers import (
    _admission,
    _configuration,
    _idempotency,
    _journal_layout,
    _lifecycle,
    _placement,
    _retries,
    _scheduling,
    _streams,
    _upstreams,
)
from carawayhitch.controllers._controller import Actions, combine

__all__ = ["CONTROLLERS", "Actions", "decide"]

# Admission removes the row of an ended request, so it runs after every controller
# that still reads the row; the lifecycle then counts the rows that are left.
CONTROLLERS = (
    _configuration.decide,
    _upstreams.decide,
    _scheduling.decide,
    _placement.decide,
    _journal_layout.decide,
    _idempotency.decide,
    _retries.decide,
    _streams.decide,
    _admission.decide,
    _lifecycle.decide,
)

decide = combine(CONTROLLERS)
