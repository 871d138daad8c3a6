"""Log lines and stage timings of decisions on a call, by request id."""

from __future__ import annotations

from typing import Any

from carawayhitch.board import Board
from carawayhitch.controllers import locality, service_shares
from carawayhitch.controllers._targets import admission_size
from carawayhitch.core import actions, declarations, events, result_codes, rows

# Enough digits to recognize repetitions of a request in the logs of a day.
FINGERPRINT_DIGITS = 12
# Few prompts have more shareable blocks, and the volume of the logs is bounded.
BLOCK_LIMIT = 8


def build_refusal_log(
    request_id: str, account: str, code: result_codes.ResultCode
) -> actions.Log:
    """Return the log line of a call that was refused before its row was created."""
    fields: dict[str, Any] = {
        "request_id": request_id,
        "account": account,
        "rank": "",
        "upstream": "",
        "code": code.name,
    }
    return actions.Log("info", "call refused", fields)


def build_stage_observation(
    row: rows.RequestRow, stage: str, now: float
) -> actions.Observe:
    """Return the action that adds the time since arrival to a stage histogram."""
    return actions.Observe(stage, row.binding, row.rank, now - row.received_at)


def build_admission_log(
    row: rows.RequestRow,
    configuration: declarations.Configuration,
    in_force_since: float,
    now: float,
) -> actions.Log:
    """Return the log line of an admitted call, with the configuration that applied."""
    fields: dict[str, Any] = {
        "request_id": row.request_id,
        "account": row.account,
        "rank": row.rank,
        "binding": row.binding,
        "group": row.group,
        "revision": configuration.revision,
        "version": configuration.version,
        "revision_age": round(now - in_force_since, 3),
        "wait_seconds": round(row.deadline - now, 3),
    }
    return actions.Log("info", "call admitted", fields)


def build_ask_log(
    board: Board,
    ask: rows.AskRow,
    upstream_id: str,
    code: result_codes.ResultCode | None,
    now: float,
) -> actions.Log:
    """Return the log line of a scheduler's decision on an ask."""
    upstream = board.upstreams_by_id.get(upstream_id)
    fields: dict[str, Any] = {
        "request_id": ask.request_id,
        "entry": ask.entry_id,
        "attempt": ask.attempt,
        "cell": ask.cell_id,
        "account": ask.account,
        "rank": ask.rank,
        "prompt_tokens": ask.prompt_tokens,
        "waited": round(now - ask.queued_at, 4),
        "waiting": len(board.asks_by_request_id),
        "upstream": upstream_id,
        "code": code.name if code else "",
    }
    if ask.returned:
        fields["returned"] = True
    if code is result_codes.ACCOUNT_SHARE_EXCEEDED:
        limit = service_shares.limit_of(board, ask, now)
        if limit is not None:
            fields["share"] = round(limit.share, 3)
            fields["counted_by"] = limit.counted_by
    if upstream is not None:
        running = board.grant_ids_by_upstream_id.get(upstream_id, ())
        fields["running"] = len(running)
        if upstream.reported_at:
            fields["report_age"] = round(now - upstream.reported_at, 3)
        if board.settings.locality.enabled:
            entry_zone = locality.find_entry_zone(board, ask.entry_id)
            fields["zone"] = upstream.zone
            fields["entry_zone"] = entry_zone
            fields["zone_reason"] = locality.find_zone_reason(
                board, ask.cell_id, entry_zone, upstream_id, now
            )
    return actions.Log("info", "ask refused" if code else "ask granted", fields)


def build_grant_log(row: rows.RequestRow, now: float) -> actions.Log:
    """Return the log line of a call that is sent to an upstream."""
    fields: dict[str, Any] = {
        "request_id": row.request_id,
        "attempt": row.attempt,
        "upstream": row.upstream_id,
        "address": row.address,
        "scheduler": row.scheduler_id,
        "asks": row.ask_count + 1,
        "waited": round(now - row.received_at, 4),
    }
    return actions.Log("info", "upstream granted", fields)


def build_failure_log(
    row: rows.RequestRow, event: events.UpstreamCallFailed, now: float
) -> actions.Log:
    """Return the log line of an attempt that failed at its upstream."""
    fields: dict[str, Any] = {
        "request_id": row.request_id,
        "attempt": row.attempt,
        "upstream": row.upstream_id,
        "address": row.address,
        "kind": event.kind,
        "sent": event.sent,
        "fingerprint": row.fingerprint[:FINGERPRINT_DIGITS],
        "prefix_blocks": list(admission_size(row.target).prefix_blocks)[:BLOCK_LIMIT],
        "began": row.phase == "relaying",
        "detail": event.detail[:200],
        "last_sequence": row.last_sequence,
        "seconds": round(now - row.received_at, 4),
    }
    return actions.Log("info", "upstream call failed", fields)


def build_retry_log(row: rows.RequestRow, code: result_codes.ResultCode) -> actions.Log:
    """Return the log line of a retry; the upstream is that of the failed attempt."""
    fields: dict[str, Any] = {
        "request_id": row.request_id,
        "account": row.account,
        "rank": row.rank,
        "upstream": row.upstream_id,
        "code": code.name,
        "attempt": row.attempt,
    }
    return actions.Log("info", "call retried", fields)
