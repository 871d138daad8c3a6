"""Log lines of refusals and retries; the end of an admitted call has its own line."""

from __future__ import annotations

from typing import Any

from carawayhitch.core import actions, result_codes, rows


def refusal_logged(
    request_id: str, account: str, code: result_codes.ResultCode
) -> actions.Log:
    """Return the log line of a call that was refused before it had a row."""
    fields: dict[str, Any] = {
        "request_id": request_id,
        "account": account,
        "rank": "",
        "upstream": "",
        "code": code.name,
    }
    return actions.Log("info", "call refused", fields)


def retry_logged(row: rows.RequestRow, code: result_codes.ResultCode) -> actions.Log:
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
