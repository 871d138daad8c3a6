"""Signed idempotency keys, UUIDv7 times and signatures of forwarded requests."""

from __future__ import annotations

import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from collections.abc import Sequence
from hashlib import sha256
from typing import TypedDict
from uuid import UUID

import msgspec

from carawayhitch.core import errors, result_codes, rows
from carawayhitch.core import settings as settings_types

ISSUED_KEY_PREFIX = "chk1."
SIGNATURE_BYTES = 16
KEY_COUNT_LIMIT = 100
# Forwarding takes milliseconds; the lifetime allows for clock skew between VMs.
FORWARD_SIGNATURE_LIFETIME_SECONDS = 60.0


class IssuedKeysBody(TypedDict):
    """Response to a request for idempotency keys."""

    keys: list[str]
    expires_in_seconds: float


class IssuedKeysRequestBody(TypedDict, total=False):
    """Request for idempotency keys."""

    count: int


def _signature(key: settings_types.PeerKey, purpose: bytes, payload: bytes) -> bytes:
    secret = purpose + b":" + key.secret.encode()
    return hmac.digest(secret, payload, sha256)[:SIGNATURE_BYTES]


def _sign_and_encode(
    purpose: bytes, content: bytes, keys: Sequence[settings_types.PeerKey]
) -> str:
    key = keys[0]
    payload = bytes([key.id]) + content
    return urlsafe_b64encode(_signature(key, purpose, payload) + payload).decode()


def _decode_and_verify(
    purpose: bytes, text: str, keys: Sequence[settings_types.PeerKey]
) -> bytes:
    """Return the signed content; raise ValueError if no key verifies it."""
    raw = urlsafe_b64decode(text.encode())
    signature, payload = raw[:SIGNATURE_BYTES], raw[SIGNATURE_BYTES:]
    for key in keys:
        if payload[:1] == bytes([key.id]) and hmac.compare_digest(
            signature, _signature(key, purpose, payload)
        ):
            return payload[1:]
    raise ValueError("no configured key verifies the signature")


def sign_issued_key(
    issued: rows.IssuedKey, keys: Sequence[settings_types.PeerKey]
) -> str:
    """Return an issued key as text, signed with the first peer key."""
    return ISSUED_KEY_PREFIX + _sign_and_encode(
        b"issued-key", msgspec.json.encode(issued), keys
    )


def verify_issued_key(
    text: str, keys: Sequence[settings_types.PeerKey]
) -> rows.IssuedKey | None:
    """Return the content of an issued key, or None if the caller generated the key.

    Raises
    ------
    MalformedMessageError
        If the key has the prefix of issued keys but no peer key verifies it.
    """
    if not text.startswith(ISSUED_KEY_PREFIX):
        return None
    try:
        content = _decode_and_verify(
            b"issued-key", text[len(ISSUED_KEY_PREFIX) :], keys
        )
        return msgspec.json.decode(content, type=rows.IssuedKey)
    except (ValueError, msgspec.MsgspecError):
        raise errors.MalformedMessageError(
            result_codes.KEY_INVALID, result_codes.KEY_INVALID.meaning
        ) from None


def uuid7_unix_time(text: str) -> float | None:
    """Return the Unix time encoded in a UUIDv7 key, or None for any other key."""
    try:
        uuid = UUID(text)
    except ValueError:
        return None
    return (uuid.int >> 80) / 1000.0 if uuid.version == 7 else None


def decode_key_count(body: bytes) -> int:
    """Return the number of requested keys, 1 if the body is empty.

    Raises
    ------
    MalformedMessageError
        If the body is not JSON or the count is out of range.
    """
    try:
        decoded = msgspec.json.decode(body or b"{}", type=IssuedKeysRequestBody)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.MalformedMessageError(
            result_codes.MALFORMED_REQUEST, f"body: {error}"
        ) from None
    count = decoded.get("count", 1)
    if not 1 <= count <= KEY_COUNT_LIMIT:
        raise errors.MalformedMessageError(
            result_codes.MALFORMED_REQUEST,
            f"body: count is {count}, expected 1 to {KEY_COUNT_LIMIT}",
        )
    return count


def encode_issued_keys(keys: list[str], expires_in_seconds: float) -> bytes:
    """Return the response body with issued keys."""
    body: IssuedKeysBody = {"keys": keys, "expires_in_seconds": expires_in_seconds}
    return msgspec.json.encode(body)


class ForwardSignaturePayload(TypedDict):
    """Signed fields of a request that one entry forwards to another."""

    sent_at: float
    method: str
    path: str
    query: str
    key: str
    authorization: str
    body_sha256: str


def forward_signature_payload(
    method: str,
    path: str,
    query: str,
    key: str,
    authorization: str,
    body: bytes,
    unix_time: float,
) -> ForwardSignaturePayload:
    """Return the fields of a forwarded request that its signature covers."""
    return {
        "sent_at": unix_time,
        "method": method,
        "path": path,
        "query": query,
        "key": key,
        "authorization": sha256(authorization.encode()).hexdigest(),
        "body_sha256": sha256(body).hexdigest(),
    }


def sign_forwarded_call(
    signed: ForwardSignaturePayload, keys: Sequence[settings_types.PeerKey]
) -> str:
    """Return the signature header of a forwarded request."""
    return _sign_and_encode(b"forward", msgspec.json.encode(signed), keys)


def read_forward_signature(
    header: str, keys: Sequence[settings_types.PeerKey], unix_time: float
) -> ForwardSignaturePayload:
    """Return the fields that a peer recently signed.

    Raises
    ------
    MalformedMessageError
        If no peer key verifies the signature, or if it has expired.
    """
    try:
        content = _decode_and_verify(b"forward", header, keys)
        signed = msgspec.json.decode(content, type=ForwardSignaturePayload)
    except (ValueError, msgspec.MsgspecError):
        raise errors.MalformedMessageError(
            result_codes.PEER_SIGNATURE_INVALID,
            "the forwarded request has no valid signature",
        ) from None
    clock_difference = abs(unix_time - signed["sent_at"])
    if clock_difference > FORWARD_SIGNATURE_LIFETIME_SECONDS:
        raise errors.MalformedMessageError(
            result_codes.PEER_MESSAGE_REPLAYED,
            "the timestamp of the forwarded request is "
            f"{clock_difference:.0f} s off, expected at most "
            f"{FORWARD_SIGNATURE_LIFETIME_SECONDS:.0f} s; "
            "compare the clocks of the VMs",
        )
    return signed


def verify_forwarded_call(
    header: str,
    expected: ForwardSignaturePayload,
    keys: Sequence[settings_types.PeerKey],
) -> None:
    """Check that a peer recently signed exactly this request.

    Raises
    ------
    MalformedMessageError
        If no peer key verifies the signature, or if it has expired or covers another
        request.
    """
    signed = read_forward_signature(header, keys, expected["sent_at"])
    if {**signed, "sent_at": 0.0} != {**expected, "sent_at": 0.0}:
        raise errors.MalformedMessageError(
            result_codes.PEER_SIGNATURE_INVALID,
            "the signature of the forwarded request covers another request",
        )
