"""Keys of claims, and routing of calls with single-use keys to their issuers."""

from __future__ import annotations

from functools import singledispatch
from hashlib import sha256
from typing import Any

from carawayhitch.board import Board
from carawayhitch.core import events, result_codes, rows


def claim_key_hash(account: str, service: str, key: str) -> str:
    """Return the key of a claim, which is separate for each account and service."""
    return sha256("\0".join((account, service, key)).encode()).hexdigest()[:32]


def issued_key_hash(issued_key: rows.IssuedKey) -> str:
    """Return the key of the claim for an issued key.

    The hash covers the serial instead of the key's text, because several base64 texts
    decode to the same bytes. It leaves out the service, because an issued key is valid
    for one call in total.
    """
    return claim_key_hash(issued_key.account, "", issued_key.serial)


def is_issuer(issued_key: rows.IssuedKey, board: Board) -> bool:
    """Return whether this process, in its current incarnation, issued a key."""
    return (issued_key.node_id, issued_key.incarnation) == (
        board.node_id,
        board.lifecycle.incarnation,
    )


@singledispatch
def route_issued_key(
    target: Any, event: events.CallReceived, account: str, board: Board
) -> Any:
    """Return the target of a call with an issued key, or the code that refuses it.

    Only the process that issued a key knows whether the key was used. Any other
    process forwards the call to it once. The outcome is unknown if the call has been
    forwarded already or if the issuer was an earlier incarnation of this node.
    """
    return target


@route_issued_key.register
def _route_service_call_to_issuer(
    target: rows.ServiceTarget, event: events.CallReceived, account: str, board: Board
) -> Any:
    issued_key = event.issued_key
    if issued_key is None or target.idempotent:
        return target
    if issued_key.account != account:
        return result_codes.KEY_INVALID
    if is_issuer(issued_key, board):
        return target
    if event.forwarded or issued_key.node_id == board.node_id:
        return result_codes.OUTCOME_UNKNOWN
    return rows.ForwardTarget(
        service=target.service,
        method=target.method,
        path=target.path,
        node_id=issued_key.node_id,
        incarnation=issued_key.incarnation,
    )
