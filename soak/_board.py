"""Blackboard of one soak run: observations of clients, servers and fault injection."""

from __future__ import annotations

import math
from typing import Literal, NamedTuple

# Bounds that the users specify for their deployments.
RECONNECT_SECONDS = 3.0
DRAIN_NOTICE_SECONDS = 2.0
CONFIGURATION_APPLY_SECONDS = 2.0
ZONE_DRAIN_APPLY_SECONDS = 5.0
COLD_OVERAGE, COLD_SLACK = 1.5, 2.0
STOP_GRACE_SECONDS = 8.0
RECOVERY_SECONDS = 12.0

STORE = "store"
ALL_ENTRIES = "all entries"
STARTING = "starting"

Outcome = Literal["open", "answered", "broken", "left", "unanswered"]


class CallRow(NamedTuple):
    """One call of a client.

    Parameters
    ----------
    status : int
        HTTP status; 0 if no response arrived.
    outcome : Outcome
        ``open`` until the call ends. ``broken``: the connection failed; ``left``: the
        client closed it early; ``unanswered``: the client deadline passed.
    is_intact : bool
        Whether the response body is complete and belongs to this call.
    fault : str
        Description of a corrupted response body; empty if there is none.
    timeout_seconds : float
        Time that the route allows until the response, or the first event of a stream.
    """

    request_id: str
    entry: str
    route: str
    key: str
    sent_at: float
    timeout_seconds: float
    first_byte_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    outcome: Outcome = "open"
    is_intact: bool = False
    fault: str = ""


class RunRow(NamedTuple):
    """One execution of a request; `ended_at` is infinite if the server died first."""

    request_id: str
    server: str
    began_at: float
    ended_at: float = math.inf
    continued: bool = False


class DisturbanceRow(NamedTuple):
    """A fault or planned operation; `ended_at` is infinite if it never ends."""

    subject: str
    kind: str
    began_at: float
    ended_at: float = math.inf
    planned: bool = False


class ValidityRow(NamedTuple):
    """When the store acknowledged that an object was added and removed.

    The object is a route, an API key or the drain of a zone.
    """

    name: str
    added_at: float
    removed_at: float = math.inf


class ProblemRow(NamedTuple):
    """An exit or logged exception of an entry that no injected fault explains."""

    entry: str
    detail: str


class SoakBoard:
    """Tables of one soak run."""

    def __init__(self) -> None:
        self.calls_by_id: dict[str, CallRow] = {}
        self.runs_by_request_id: dict[str, list[RunRow]] = {}
        self.disturbances: list[DisturbanceRow] = []
        self.drained_at_by_server: dict[str, float] = {}
        self.zones_by_server: dict[str, str] = {}
        self.zone_drains: list[ValidityRow] = []
        self.cold_arrivals_by_server: dict[str, list[float]] = {}
        self.cold_bounds_by_server: dict[str, int] = {}
        self.burst_ends_at = 0.0
        self.routes_by_name: dict[str, ValidityRow] = {}
        self.keys_by_text: dict[str, ValidityRow] = {}
        self.ready_entries: set[str] = set()
        self.problems: list[ProblemRow] = []
        self.recovery_begins_at = math.inf

    def record_disturbance(
        self, subject: str, kind: str, now: float, seconds: float, planned: bool = False
    ) -> None:
        """Record a disturbance that starts now and lasts for `seconds`."""
        row = DisturbanceRow(subject, kind, now, now + seconds, planned)
        self.disturbances.append(row)

    def is_disturbed(
        self, subjects: set[str], begin: float, end: float, unplanned_only: bool = False
    ) -> bool:
        """Return whether a disturbance of one of the subjects overlaps an interval."""
        return any(
            row.subject in subjects
            and row.began_at <= end
            and row.ended_at >= begin
            and not (unplanned_only and row.planned)
            for row in self.disturbances
        )

    def was_starting(self, entry: str, begin: float, end: float) -> bool:
        """Return whether an entry was starting at some time in an interval."""
        return any(
            (row.subject, row.kind) == (entry, STARTING)
            and row.began_at <= end
            and row.ended_at >= begin
            for row in self.disturbances
        )

    def time_bounds_apply(self, entry: str, begin: float, end: float) -> bool:
        """Return whether time bounds apply to an entry in an interval.

        They do not while the entry or the store is disturbed, nor until the entry had
        time to reconnect.
        """
        subjects = {entry, STORE, ALL_ENTRIES}
        return not self.is_disturbed(subjects, begin - RECONNECT_SECONDS, end)
