"""Idempotency keys: signed single-use keys, times in keys, calls between entries."""

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

ISSUED_PREFIX = "chk1."
SIGNATURE_BYTES = 16
KEY_COUNT_LIMIT = 100
# A forwarded call travels for milliseconds; the limit covers clocks that differ.
FORWARD_SIGNATURE_LIFETIME_SECONDS = 60.0


class IssuedKeysBody(TypedDict):
    """Answer to a request for keys."""

    keys: list[str]
    expires_in_seconds: float


class IssuedKeysRequestBody(TypedDict, total=False):
    """Request for keys."""

    count: int


def _sign(key: settings_types.PeerKey, purpose: bytes, payload: bytes) -> bytes:
    secret = purpose + b":" + key.secret.encode()
    return hmac.digest(secret, payload, sha256)[:SIGNATURE_BYTES]


def _seal(
    purpose: bytes, content: bytes, keys: Sequence[settings_types.PeerKey]
) -> str:
    key = keys[0]
    payload = bytes([key.id]) + content
    return urlsafe_b64encode(_sign(key, purpose, payload) + payload).decode()


def _open(purpose: bytes, text: str, keys: Sequence[settings_types.PeerKey]) -> bytes:
    """Return the signed content; raise ValueError if no key signed it."""
    raw = urlsafe_b64decode(text.encode())
    signature, payload = raw[:SIGNATURE_BYTES], raw[SIGNATURE_BYTES:]
    for key in keys:
        if payload[:1] == bytes([key.id]) and hmac.compare_digest(
            signature, _sign(key, purpose, payload)
        ):
            return payload[1:]
    raise ValueError("no key signed this")


def sign_issued_key(
    issued: rows.IssuedKey, keys: Sequence[settings_types.PeerKey]
) -> str:
    """Return the text of an issued key, signed with the first shared key."""
    return ISSUED_PREFIX + _seal(b"issued-key", msgspec.json.encode(issued), keys)


def verify_issued_key(
    text: str, keys: Sequence[settings_types.PeerKey]
) -> rows.IssuedKey | None:
    """Return the content of an issued key, or None for a key of a caller's choice.

    Raises
    ------
    MalformedMessageError
        If the key looks issued but no shared key signed it.
    """
    if not text.startswith(ISSUED_PREFIX):
        return None
    try:
        content = _open(b"issued-key", text[len(ISSUED_PREFIX) :], keys)
        return msgspec.json.decode(content, type=rows.IssuedKey)
    except (ValueError, msgspec.MsgspecError):
        raise errors.MalformedMessageError(
            result_codes.KEY_INVALID, result_codes.KEY_INVALID.meaning
        ) from None


def uuid7_unix_time(text: str) -> float | None:
    """Return the Unix time in a UUIDv7 key, or None for any other key."""
    try:
        uuid = UUID(text)
    except ValueError:
        return None
    return (uuid.int >> 80) / 1000.0 if uuid.version == 7 else None


def decode_key_count(body: bytes) -> int:
    """Return how many keys a caller asks for; one if the body is empty.

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
    """Return the answer to a request for keys."""
    body: IssuedKeysBody = {"keys": keys, "expires_in_seconds": expires_in_seconds}
    return msgspec.json.encode(body)


class ForwardSignaturePayload(TypedDict):
    """What an entry signs when it forwards a call."""

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
    """Return what has to be signed for one forwarded call."""
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
    proof: ForwardSignaturePayload, keys: Sequence[settings_types.PeerKey]
) -> str:
    """Return the header with which an entry proves that it forwards a call."""
    return _seal(b"forward", msgspec.json.encode(proof), keys)


def verify_forwarded_call(
    header: str,
    expected: ForwardSignaturePayload,
    keys: Sequence[settings_types.PeerKey],
) -> None:
    """Check that an entry signed exactly this call a moment ago.

    Raises
    ------
    MalformedMessageError
        If no shared key signed it, it is old, or it names another call.
    """
    try:
        content = _open(b"forward", header, keys)
        proof = msgspec.json.decode(content, type=ForwardSignaturePayload)
    except (ValueError, msgspec.MsgspecError):
        raise errors.MalformedMessageError(
            result_codes.PEER_SIGNATURE_INVALID,
            "the forwarded call has no valid signature",
        ) from None
    age = abs(expected["sent_at"] - proof["sent_at"])
    if age > FORWARD_SIGNATURE_LIFETIME_SECONDS:
        raise errors.MalformedMessageError(
            result_codes.PEER_MESSAGE_REPLAYED,
            f"the forwarded call is {age:.0f} s old, expected at most "
            f"{FORWARD_SIGNATURE_LIFETIME_SECONDS:.0f} s; compare the clocks of the VMs",
        )
    if {**proof, "sent_at": 0.0} != {**expected, "sent_at": 0.0}:
        raise errors.MalformedMessageError(
            result_codes.PEER_SIGNATURE_INVALID,
            "the signature of the forwarded call is for another call",
        )
