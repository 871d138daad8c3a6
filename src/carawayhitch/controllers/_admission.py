"""Admission control: account, limits and binding of calls; lifetime of request rows."""

from __future__ import annotations

from functools import singledispatch
from random import Random
from typing import Any, NamedTuple

from carawayhitch.board import Board
from carawayhitch.controllers import zones
from carawayhitch.controllers._call_logs import (
    build_admission_log,
    build_refusal_log,
    build_stage_observation,
)
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._issued_keys import (
    is_issuer,
    issued_key_hash,
    route_issued_key,
)
from carawayhitch.controllers._routes import choose_group, find_route, rank_name
from carawayhitch.controllers._selectors import find_binding
from carawayhitch.controllers._targets import (
    PATIENCE_WAIT_FRACTION,
    apply_declaration,
    first_sequence,
    is_idempotent,
)
from carawayhitch.core import actions, declarations, events, result_codes, rows

OVERLOAD_RETRY_AFTER_SECONDS = 1.0
# Added to the issuer's time limits, so that a forwarded call does not time out here
# before it does at the issuer.
FORWARDING_ALLOWANCE_SECONDS = 5.0
ISSUED_KEY_SERIAL_BITS = 96

decide = new_controller()


class AdmittedCall(NamedTuple):
    """Parameters that the declarations set for an admitted call.

    Parameters
    ----------
    account : str
        Name of the client account; empty if a public route was called without one.
    wait_seconds : float
        Time limit for the start of the call at an upstream.
    answer_seconds : float
        Time limit for the start of the answer; 0 if the declarations set none.
    goal_seconds : float
        Target time to the start of the answer; 0 if the declarations set none.
    attempt_limit : int
        Maximum number of upstreams on which the call may run; 0 leaves only the limit
        of the settings.
    allowed_regions : tuple of str
        Regions whose upstreams may get the call; empty for all.
    """

    account: str
    binding: str
    group: str
    rank: declarations.RankClass
    target: rows.Target
    wait_seconds: float
    answer_seconds: float = 0.0
    goal_seconds: float = 0.0
    attempt_limit: int = 0
    allowed_regions: tuple[str, ...] = ()


def find_refusal(board: Board) -> result_codes.ResultCode | None:
    """Return the code with which this entry refuses all calls, or None."""
    if board.lifecycle.state in ("refusing", "stopped"):
        return result_codes.DRAINING
    if len(board.requests_by_id) >= board.settings.limits.open_requests:
        return result_codes.ENTRY_OVERLOADED
    if board.configuration is None:
        return result_codes.NOT_CONFIGURED
    return None


def find_caller_refusal(
    board: Board, token_sha256: str, host: str = "", path: str = ""
) -> result_codes.ResultCode | None:
    """Return the code with which a call is refused whatever its body is, or None.

    Parameters
    ----------
    host, path : str
        Where a call on a declared route is sent; empty for the entry's own interface.
    """
    configuration = board.configuration
    # A stopping entry may hold an old configuration.
    if configuration is None or find_refusal(board) is result_codes.DRAINING:
        return None
    if path:
        route = find_route(configuration, host, path)
        if route is None:
            return result_codes.NO_ROUTE
        if route.public:
            return None
    known = token_sha256 in configuration.accounts_by_token_sha256
    return None if known else result_codes.UNKNOWN_ACCOUNT


@singledispatch
def evaluate_admission(
    target: Any,
    event: events.CallReceived,
    configuration: declarations.Configuration,
    board: Board,
    random: Random,
) -> AdmittedCall | result_codes.ResultCode:
    """Return the parameters of a call, or the code with which it is refused."""
    account = configuration.accounts_by_token_sha256.get(event.token_sha256)
    if account is None:
        return result_codes.UNKNOWN_ACCOUNT
    binding = find_binding(configuration, account, event.labels)
    if binding is None:
        return result_codes.NO_BINDING
    target = apply_declaration(target, configuration)
    if not is_idempotent(target) and not event.idempotency_key:
        return result_codes.KEY_REQUIRED
    target = route_issued_key(target, event, account.name, board)
    if isinstance(target, result_codes.ResultCode):
        return target
    rank = configuration.rank_classes_by_name[binding.rank]
    return AdmittedCall(
        account.name,
        binding.name,
        binding.group,
        rank,
        target,
        rank.maximum_wait_seconds,
    )


@evaluate_admission.register
def _evaluate_routed_call(
    target: rows.RoutedTarget,
    event: events.CallReceived,
    configuration: declarations.Configuration,
    board: Board,
    random: Random,
) -> AdmittedCall | result_codes.ResultCode:
    route = find_route(configuration, target.host, target.path)
    if route is None:
        return result_codes.NO_ROUTE
    account = configuration.accounts_by_token_sha256.get(event.token_sha256)
    if account is None and not route.public:
        return result_codes.UNKNOWN_ACCOUNT
    allowed_regions = zones.common_regions(route, account)
    if allowed_regions is None:
        return result_codes.NO_ALLOWED_REGION
    priority = route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    wait_seconds = route.timeout_seconds
    if route.patience_seconds:
        # A caller that is refused before its patience ends may retry; one that has
        # disconnected cannot be answered.
        wait_seconds = min(
            wait_seconds, route.patience_seconds * PATIENCE_WAIT_FRACTION
        )
    return AdmittedCall(
        account=account.name if account else "",
        binding=route.name,
        group=choose_group(route, random),
        rank=configuration.rank_classes_by_name[rank_name(priority, route)],
        target=target._replace(
            streamed=route.work == "stream",
            repeatable=route.work == "repeatable",
            resumable=route.resumable,
            patience_seconds=route.patience_seconds,
        ),
        wait_seconds=wait_seconds,
        answer_seconds=route.timeout_seconds,
        goal_seconds=route.goal_seconds,
        attempt_limit=route.attempt_limit,
        allowed_regions=allowed_regions,
    )


def _is_issued_key_claimed(event: events.CallReceived, board: Board) -> bool:
    """Return whether a call with the same issued key ran or is running here.

    Such a duplicate is answered even under overload: it causes no work upstream, and
    a refusal would tell the caller that the call did not run.
    """
    issued_key = event.issued_key
    if (
        issued_key is None
        or not is_issuer(issued_key, board)
        or board.configuration is None
    ):
        return False
    return issued_key_hash(issued_key) in board.claims_by_key


def refuse_call(
    event: events.CallReceived | events.ResumeReceived | events.KeysRequested,
    board: Board,
    code: result_codes.ResultCode,
) -> Actions:
    """Return the actions that refuse a call that has no request row."""
    configuration = board.configuration
    account = configuration and configuration.accounts_by_token_sha256.get(
        event.token_sha256
    )
    retry_after = OVERLOAD_RETRY_AFTER_SECONDS if code.http_status == 503 else 0.0
    return (
        actions.Count(code, ""),
        build_refusal_log(event.request_id, account.name if account else "", code),
        actions.RefuseCall(event.request_id, code, code.meaning, retry_after),
    )


@decide.register(events.CallReceived)
def _admit_call(
    event: events.CallReceived, board: Board, now: float, random: Random
) -> Actions:
    refusal = find_refusal(board)
    if refusal is not None and not _is_issued_key_claimed(event, board):
        return refuse_call(event, board, refusal)
    configuration = board.configuration
    assert configuration is not None
    admitted_call = evaluate_admission(
        event.target, event, configuration, board, random
    )
    if isinstance(admitted_call, result_codes.ResultCode):
        return refuse_call(event, board, admitted_call)
    wait_seconds = admitted_call.wait_seconds
    answer_seconds = admitted_call.answer_seconds
    if event.wait_seconds:
        wait_seconds = min(wait_seconds, event.wait_seconds)
        answer_seconds = min(answer_seconds, event.wait_seconds)
    row = rows.RequestRow(
        request_id=event.request_id,
        account=admitted_call.account,
        group=admitted_call.group,
        rank=admitted_call.rank.name,
        binding=admitted_call.binding,
        target=admitted_call.target,
        fingerprint=event.fingerprint,
        body_sha256=event.body_sha256,
        idempotency_key=event.idempotency_key,
        received_at=now,
        deadline=now + wait_seconds,
        issued_key=event.issued_key,
        key_created_at=event.key_created_at,
        attempt_limit=admitted_call.attempt_limit,
        body_bytes=event.body_bytes,
        allowed_regions=admitted_call.allowed_regions,
    )
    timers = [actions.SetTimer(row.deadline, events.WaitExpired(event.request_id))]
    if answer_seconds:
        row = row._replace(
            answer_deadline=now + answer_seconds,
            goal_deadline=now + admitted_call.goal_seconds,
            caller_deadline=now + event.wait_seconds if event.wait_seconds else 0.0,
            last_sequence=first_sequence(row.target),
        )
        overdue_event = events.AnswerOverdue(row.request_id)
        timers.append(actions.SetTimer(row.answer_deadline, overdue_event))
    board.requests_by_id[event.request_id] = row
    in_force_since = board.object_set.in_force_since
    admission_log = build_admission_log(row, configuration, in_force_since, now)
    return (admission_log, *timers, *start_admitted_call(row.target, row, board))


@singledispatch
def start_admitted_call(target: Any, row: rows.RequestRow, board: Board) -> Actions:
    """Return the first actions for an admitted call."""
    return (actions.Emit(events.RequestAdmitted(row.request_id)),)


@start_admitted_call.register
def _start_service_call(
    target: rows.ServiceTarget, row: rows.RequestRow, board: Board
) -> Actions:
    if target.idempotent:
        return (actions.Emit(events.RequestAdmitted(row.request_id)),)
    return (actions.Emit(events.KeyPresented(row.request_id)),)


@start_admitted_call.register
def _start_forwarded_call(
    target: rows.ForwardTarget, row: rows.RequestRow, board: Board
) -> Actions:
    """Forward a call to the entry that issued its key, which then places it."""
    assert row.issued_key is not None
    board.requests_by_id[row.request_id] = row._replace(
        phase="claiming", address=row.issued_key.address
    )
    # The issuer may use up both the waiting time and the answer timeout.
    timeout = (
        board.settings.idempotency.answer_timeout_seconds + FORWARDING_ALLOWANCE_SECONDS
    )
    overdue_event = events.CallOverdue(row.request_id, row.attempt)
    return (
        actions.SetTimer(row.deadline + timeout, overdue_event),
        actions.Emit(events.ClaimGranted(row.request_id)),
    )


@decide.register(events.ResumeReceived)
def _admit_resume(
    event: events.ResumeReceived, board: Board, now: float, random: Random
) -> Actions:
    # The entry that started the generation admitted it, and it still runs at its
    # engine. A resume is therefore authorized but neither queued nor placed again.
    refusal = find_refusal(board)
    if refusal is not None:
        return refuse_call(event, board, refusal)
    configuration = board.configuration
    assert configuration is not None
    account = configuration.accounts_by_token_sha256.get(event.token_sha256)
    if account is None:
        return refuse_call(event, board, result_codes.UNKNOWN_ACCOUNT)
    if account.name != event.account:
        return refuse_call(event, board, result_codes.RESUME_INVALID)
    target = rows.ResumeTarget(
        event.upstream_id, event.generation_id, event.last_sequence
    )
    board.requests_by_id[event.request_id] = rows.RequestRow(
        request_id=event.request_id,
        account=event.account,
        group=event.group,
        rank="",
        binding="",
        target=target,
        fingerprint="",
        body_sha256="",
        idempotency_key="",
        received_at=now,
        deadline=now + board.settings.limits.default_deadline_seconds,
        phase="opening",
        upstream_id=event.upstream_id,
        address=event.address,
        generation_id=event.generation_id,
        last_sequence=event.last_sequence,
        token_count=event.last_sequence,
        may_have_run=True,
    )
    return (actions.Emit(events.ResumeAdmitted(event.request_id)),)


@decide.register(events.RequestEnded)
def _remove_ended_request(
    event: events.RequestEnded, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.pop(event.request_id, None)
    if row is None:
        return ()
    fields = {
        "request_id": row.request_id,
        "account": row.account,
        "rank": row.rank,
        "upstream": row.upstream_id,
        "attempt": row.attempt,
        "may_have_run": row.may_have_run,
        "tokens": row.token_count,
        "complete": event.complete,
        "status": row.answer_status,
        "code": event.code.name if event.code else "",
        "seconds": round(now - row.received_at, 4),
    }
    ended_actions = (
        actions.Log("info", "request ended", fields),
        build_stage_observation(row, "whole", now),
    )
    if event.code is None:
        return ended_actions
    return (*ended_actions, actions.Count(event.code, row.rank))


@decide.register(events.KeysRequested)
def _issue_keys(
    event: events.KeysRequested, board: Board, now: float, random: Random
) -> Actions:
    refusal = find_refusal(board)
    if refusal is None and board.lifecycle.state != "ready":
        # An issued key becomes unusable when the process that issued it stops.
        refusal = result_codes.DRAINING
    if refusal is not None:
        return refuse_call(event, board, refusal)
    configuration = board.configuration
    assert configuration is not None
    account = configuration.accounts_by_token_sha256.get(event.token_sha256)
    if account is None:
        return refuse_call(event, board, result_codes.UNKNOWN_ACCOUNT)
    serials = tuple(
        f"{random.getrandbits(ISSUED_KEY_SERIAL_BITS):024x}"
        for _ in range(event.key_count)
    )
    deadline = now + board.settings.idempotency.issued_key_lifetime_seconds
    return (actions.IssueKeys(event.request_id, account.name, serials, deadline),)
