"""Names of claims; who may run a call with a single-use key of an entry."""

from __future__ import annotations

from functools import singledispatch
from hashlib import sha256
from typing import Any

from carawayhitch.board import Board
from carawayhitch.core import events, result_codes, rows


def claim_key_hash(account: str, service: str, key: str) -> str:
    """Return the name of a claim; accounts and services never share one."""
    return sha256("\0".join((account, service, key)).encode()).hexdigest()[:32]


def issued_key_hash(issued: rows.IssuedKey) -> str:
    """Return the name of the claim of an issued key.

    It depends on the serial and not on the key's text, because base64 has several
    texts for the same content, and not on the service, because the key runs once.
    """
    return claim_key_hash(issued.account, "", issued.serial)


def is_issuer(issued: rows.IssuedKey, board: Board) -> bool:
    """Return whether this process issued a key."""
    return (issued.node_id, issued.incarnation) == (
        board.node_id,
        board.lifecycle.incarnation,
    )


@singledispatch
def route_issued_key(
    target: Any, event: events.CallReceived, account: str, board: Board
) -> Any:
    """Return the target of a call with an issued key, or why it is refused.

    Only the process that issued a key knows whether it was used, so any other
    process passes the call on once; what cannot reach that process is ``unknown``.
    """
    return target


@route_issued_key.register
def _route_service_call(
    target: rows.ServiceTarget, event: events.CallReceived, account: str, board: Board
) -> Any:
    issued = event.issued_key
    if issued is None or target.idempotent:
        return target
    if issued.account != account:
        return result_codes.KEY_INVALID
    if is_issuer(issued, board):
        return target
    if event.forwarded or issued.node_id == board.node_id:
        return result_codes.OUTCOME_UNKNOWN
    return rows.ForwardTarget(
        service=target.service,
        method=target.method,
        path=target.path,
        node_id=issued.node_id,
        incarnation=issued.incarnation,
    )
