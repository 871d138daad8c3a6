"""What callers, servers and the operator saw in one run."""

from __future__ import annotations

import math
from typing import Literal, NamedTuple

# Figures of the users' sheets for the deployments of the milestone, in seconds.
RECONNECT_SECONDS = 3.0
DRAIN_NOTICE_SECONDS = 2.0
CONFIGURATION_APPLY_SECONDS = 2.0
GRACE_SECONDS = 8.0
RECOVERY_SECONDS = 12.0

STORE = "store"
ALL_ENTRIES = "everything"
STARTING = "starting"

Outcome = Literal["open", "answered", "broken", "left", "unanswered"]


class CallRow(NamedTuple):
    """One call of a client, at the time of its end.

    Parameters
    ----------
    status : int
        0 without an answer.
    is_intact : bool
        Whether the body is complete and the one that this call has to get.
    fault : str
        What is wrong with the bytes of the answer; empty for nothing.
    timeout_seconds : float
        What the route allows until the answer, or the first event of a stream.
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
    """One run at a server; `ended_at` is infinite if the server died before."""

    request_id: str
    server: str
    began_at: float
    ended_at: float = math.inf
    continued: bool = False


class DisturbanceRow(NamedTuple):
    """A fault or planned work; an open one ends at infinity."""

    subject: str
    what: str
    began_at: float
    ended_at: float = math.inf
    planned: bool = False


class ValidityRow(NamedTuple):
    """When the store acknowledged that a route is there, and that it is gone."""

    name: str
    added_at: float
    removed_at: float = math.inf


class ProblemRow(NamedTuple):
    """An exit or log line of a process that no fault explains."""

    entry: str
    detail: str


class SoakBoard:
    """Blackboard of one run, by key."""

    def __init__(self) -> None:
        self.calls_by_id: dict[str, CallRow] = {}
        self.runs_by_request_id: dict[str, list[RunRow]] = {}
        self.disturbances: list[DisturbanceRow] = []
        self.drained_at_by_server: dict[str, float] = {}
        self.routes_by_name: dict[str, ValidityRow] = {}
        self.keys_by_text: dict[str, ValidityRow] = {}
        self.ready_entries: set[str] = set()
        self.problems: list[ProblemRow] = []
        self.recovery_begins_at = math.inf

    def disturb(
        self, subject: str, what: str, now: float, seconds: float, planned: bool = False
    ) -> None:
        """Note a disturbance that lasts for some seconds from now."""
        row = DisturbanceRow(subject, what, now, now + seconds, planned)
        self.disturbances.append(row)

    def is_disturbed(
        self, subjects: set[str], begin: float, end: float, unplanned: bool = False
    ) -> bool:
        """Return whether something happened to one of the subjects in a span."""
        return any(
            row.subject in subjects
            and row.began_at <= end
            and row.ended_at >= begin
            and not (unplanned and row.planned)
            for row in self.disturbances
        )

    def was_starting(self, entry: str, begin: float, end: float) -> bool:
        """Return whether the process of an entry started in a span."""
        return any(
            (row.subject, row.what) == (entry, STARTING)
            and row.began_at <= end
            and row.ended_at >= begin
            for row in self.disturbances
        )

    def time_bounds_apply(self, entry: str, begin: float, end: float) -> bool:
        """Return whether rules with a time bound hold for an entry in a span."""
        subjects = {entry, STORE, ALL_ENTRIES}
        return not self.is_disturbed(subjects, begin - RECONNECT_SECONDS, end)
