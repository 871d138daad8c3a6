"""Guarantees of the system, each a check that reads the board and yields violations."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from typing import NamedTuple

from soak._board import (
    ALL_ENTRIES,
    CONFIGURATION_APPLY_SECONDS,
    DRAIN_NOTICE_SECONDS,
    RECONNECT_SECONDS,
    STORE,
    ZONE_DRAIN_APPLY_SECONDS,
    CallRow,
    RunRow,
    SoakBoard,
)

# Statuses that guarantee that a request was not executed and never will be.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
REPEATABLE_ROUTES = frozenset({"look", "ask"})
# Clients and servers read the clock shortly before or after the event they record.
CLOCK_SLACK_SECONDS = 0.1
ANSWER_SLACK_SECONDS = 0.5
DISCONNECT_SECONDS = 0.5
LOSS_SLACK_SECONDS = 0.2
# The users' rules tolerate up to this many isolated cases.
TOLERATED_CASES = 3
ATTEMPT_LIMIT = 2
ARRIVAL_SECONDS = 1.0
DELAYING_LINK_KINDS = frozenset({"link one way", "link slow"})


class Violation(NamedTuple):
    """A violated guarantee."""

    guarantee: str
    request_id: str
    detail: str


Check = Callable[[SoakBoard], Iterator[Violation]]
checks: list[Check] = []


def _runs(board: SoakBoard, call: CallRow) -> list[RunRow]:
    """Return the runs of a call; a moved generation continues the same run."""
    runs = board.runs_by_request_id.get(call.request_id, ())
    return [run for run in runs if not run.continued]


def _is_repeatable(call: CallRow) -> bool:
    return call.route in REPEATABLE_ROUTES or call.route.startswith("extra-")


def _server_failed(board: SoakBoard, call: CallRow) -> bool:
    """Return whether a server was disturbed while it ran a call."""
    end = call.ended_at + CLOCK_SLACK_SECONDS
    return any(
        run.ended_at == math.inf or board.is_disturbed({run.server}, run.began_at, end)
        for run in board.runs_by_request_id.get(call.request_id, ())
    )


@checks.append
def answers_are_intact(board: SoakBoard) -> Iterator[Violation]:
    """Find responses that are truncated, mixed or belong to another call."""
    for call in board.calls_by_id.values():
        if call.fault:
            yield Violation("intact answers", call.request_id, call.fault)


@checks.append
def unsafe_calls_run_once(board: SoakBoard) -> Iterator[Violation]:
    """Find non-repeatable calls that ran more than once."""
    for call in board.calls_by_id.values():
        runs = _runs(board, call)
        if len(runs) > 1 and not _is_repeatable(call):
            servers = [run.server for run in runs]
            yield Violation("at most once", call.request_id, f"ran at {servers}")


@checks.append
def refused_calls_never_run(board: SoakBoard) -> Iterator[Violation]:
    """Find calls that ran although their status guarantees that they did not."""
    for call in board.calls_by_id.values():
        runs = _runs(board, call)
        if call.status in NOT_EXECUTED_STATUSES and runs and not _is_repeatable(call):
            detail = f"status {call.status}, ran at {runs[0].server}"
            yield Violation("refused calls not executed", call.request_id, detail)


@checks.append
def only_sent_calls_run(board: SoakBoard) -> Iterator[Violation]:
    """Find runs of requests that no client sent."""
    for request_id in board.runs_by_request_id.keys() - board.calls_by_id.keys():
        yield Violation("known requests", request_id, "no client sent it")


@checks.append
def attempts_are_bounded(board: SoakBoard) -> Iterator[Violation]:
    """Find calls that ran at more servers than any route allows."""
    found = [
        call
        for call in board.calls_by_id.values()
        if len({run.server for run in _runs(board, call)}) > ATTEMPT_LIMIT
        and not _server_failed(board, call)
    ]
    if len(found) > TOLERATED_CASES:
        for call in found:
            yield Violation("attempt limit", call.request_id, "ran at too many servers")


@checks.append
def drained_servers_get_no_calls(board: SoakBoard) -> Iterator[Violation]:
    """Find runs that began at a server after the notice period of its drain."""
    for runs in board.runs_by_request_id.values():
        for run in runs:
            drained_at = board.drained_at_by_server.get(run.server, math.inf)
            call = board.calls_by_id.get(run.request_id)
            late = run.began_at - drained_at - DRAIN_NOTICE_SECONDS
            if call is None or late <= CLOCK_SLACK_SECONDS:
                continue
            if board.is_disturbed({STORE}, drained_at - RECONNECT_SECONDS, drained_at):
                # The store was disturbed when it acknowledged the drain.
                continue
            if board.time_bounds_apply(call.entry, call.sent_at, run.began_at):
                detail = f"{late:.2f} s too late at {run.server} by {call.entry}"
                yield Violation("drained servers", run.request_id, detail)


@checks.append
def drained_zones_get_no_calls(board: SoakBoard) -> Iterator[Violation]:
    """Find runs that began in a zone out of use after the bound."""
    for runs in board.runs_by_request_id.values():
        for run in runs:
            call = board.calls_by_id.get(run.request_id)
            for drain in board.zone_drains:
                due_at = drain.added_at + ZONE_DRAIN_APPLY_SECONDS
                late = run.began_at - due_at
                if (
                    call is None
                    or board.zones_by_server.get(run.server) != drain.name
                    or late <= CLOCK_SLACK_SECONDS
                    or run.began_at >= drain.removed_at
                ):
                    continue
                if board.time_bounds_apply(call.entry, call.sent_at, run.began_at):
                    detail = f"{late:.2f} s too late at {run.server} by {call.entry}"
                    yield Violation("drained zones", run.request_id, detail)


def _link_held_requests_back(board: SoakBoard, server: str, at: float) -> bool:
    """Return whether requests that arrive then may have been sent a second before."""
    return any(
        row.subject == server
        and row.kind in DELAYING_LINK_KINDS
        and row.began_at <= at <= row.ended_at + ARRIVAL_SECONDS
        for row in board.disturbances
    )


@checks.append
def cold_servers_get_few_requests(board: SoakBoard) -> Iterator[Violation]:
    """Find cold servers that got more requests within a second than their bound.

    Requests of all entries count, also of those that are cut off. The bound is on
    requests that are sent and arrive within the same second.
    """
    for server, all_arrivals in board.cold_arrivals_by_server.items():
        bound = board.cold_bounds_by_server[server]
        arrivals = [
            at
            for at in sorted(all_arrivals)
            if not _link_held_requests_back(board, server, at)
        ]
        for first, excess in zip(arrivals, arrivals[bound:], strict=False):
            if excess - first < ARRIVAL_SECONDS:
                detail = f"more than {bound} in a second from {first:.3f} at {server}"
                yield Violation("cold servers", "", detail)
                break


@checks.append
def configuration_is_in_force(board: SoakBoard) -> Iterator[Violation]:
    """Find calls served by removed routes or keys, or refused by current ones."""
    for call in board.calls_by_id.values():
        route = board.routes_by_name.get(call.route)
        key = board.keys_by_text.get(call.key)
        known = [row for row in (route, key) if row is not None]
        if not call.status or not board.time_bounds_apply(
            call.entry, call.sent_at, call.sent_at
        ):
            continue
        asked_at = call.sent_at - CONFIGURATION_APPLY_SECONDS
        refused = call.status in (401, 404)
        if any(row.removed_at < asked_at for row in known) and not refused:
            detail = f"status {call.status} on {call.route}, which was removed"
            yield Violation("configuration", call.request_id, detail)
        lasting = all(
            row.added_at < asked_at and row.removed_at > call.ended_at for row in known
        )
        if lasting and refused:
            detail = f"status {call.status} on {call.route}, which is in force"
            yield Violation("configuration", call.request_id, detail)


@checks.append
def calls_end_in_time(board: SoakBoard) -> Iterator[Violation]:
    """Find calls whose first byte came long after the timeout of their route."""
    found = []
    for call in board.calls_by_id.values():
        due_at = call.sent_at + call.timeout_seconds + ANSWER_SLACK_SECONDS
        began_at = call.first_byte_at or call.ended_at
        if began_at > due_at + CLOCK_SLACK_SECONDS and board.time_bounds_apply(
            call.entry, call.sent_at, call.ended_at
        ):
            found.append(call)
    if len(found) > TOLERATED_CASES:
        for call in found:
            detail = f"{call.ended_at - call.sent_at:.2f} s at {call.entry}"
            yield Violation("response deadline", call.request_id, detail)


@checks.append
def calls_are_not_lost(board: SoakBoard) -> Iterator[Violation]:
    """Find calls whose connection failed without an unplanned fault.

    Planned operations, such as a restart or a drain, must not lose calls.
    """
    for call in board.calls_by_id.values():
        if call.outcome != "broken":
            continue
        subjects = {call.entry, STORE, ALL_ENTRIES}
        begin = call.sent_at - RECONNECT_SECONDS
        if board.is_disturbed(subjects, begin, call.ended_at, unplanned_only=True):
            continue
        duration = call.ended_at - call.sent_at
        forwarded = call.request_id in board.runs_by_request_id
        if not forwarded and board.was_starting(
            call.entry, call.sent_at, call.ended_at
        ):
            # The call was not read yet when the starting process was terminated.
            continue
        if (forwarded or duration > LOSS_SLACK_SECONDS) and not _server_failed(
            board, call
        ):
            detail = f"after {duration:.2f} s at {call.entry}, forwarded: {forwarded}"
            yield Violation("no lost calls", call.request_id, detail)


@checks.append
def abandoned_calls_end(board: SoakBoard) -> Iterator[Violation]:
    """Find runs that continue after their client has disconnected."""
    left = [
        call
        for call in board.calls_by_id.values()
        if call.outcome == "left"
        and board.time_bounds_apply(
            call.entry, call.sent_at, call.ended_at + DISCONNECT_SECONDS
        )
        and not _server_failed(board, call)
    ]
    found = [
        call
        for call in left
        for run in board.runs_by_request_id.get(call.request_id, ())
        if run.ended_at > call.ended_at + DISCONNECT_SECONDS + CLOCK_SLACK_SECONDS
    ]
    if len(found) > max(TOLERATED_CASES, len(left) / 4):
        for call in found:
            yield Violation(
                "cancelled calls", call.request_id, f"still runs, {call.entry}"
            )


@checks.append
def service_recovers(board: SoakBoard) -> Iterator[Violation]:
    """Report if most calls fail long after the last fault."""
    late = [
        call
        for call in board.calls_by_id.values()
        if call.sent_at > board.recovery_begins_at
        and call.outcome not in ("left", "open")
        and call.key not in board.keys_by_text
        and call.route not in board.routes_by_name
    ]
    served = [call for call in late if call.status == 200 and call.is_intact]
    if not late or len(served) * 4 < len(late):
        detail = f"{len(served)} of {len(late)} calls served"
        yield Violation("recovery", "", detail)


@checks.append
def processes_stay_up(board: SoakBoard) -> Iterator[Violation]:
    """Find entries that exited unexpectedly or logged an exception."""
    for problem in board.problems:
        yield Violation("process health", "", f"{problem.entry}: {problem.detail}")


def find_violations(board: SoakBoard) -> list[Violation]:
    """Return all violations of all guarantees."""
    return [violation for check in checks for violation in check(board)]
