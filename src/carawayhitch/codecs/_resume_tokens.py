"""Signed tokens that let a caller resume a stream at another entry."""

from __future__ import annotations

import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from collections.abc import Sequence
from hashlib import sha256
from typing import NamedTuple

import msgspec

from carawayhitch.core import errors, result_codes
from carawayhitch.core import settings as settings_types

SIGNATURE_BYTES = 16


class ResumeToken(NamedTuple):
    """Data that an entry needs to resume a stream that another entry started.

    Parameters
    ----------
    expires_at : float
        Unix time from which the token is rejected.
    """

    upstream_id: str
    address: str
    generation_id: str
    account: str
    group: str
    expires_at: float


def _signature(key: settings_types.PeerKey, payload: bytes) -> bytes:
    secret = b"resume:" + key.secret.encode()
    return hmac.digest(secret, payload, sha256)[:SIGNATURE_BYTES]


def sign_resume_token(
    token: ResumeToken, keys: Sequence[settings_types.PeerKey]
) -> str:
    """Return the token as text, signed with the first key."""
    key = keys[0]
    payload = bytes([key.id]) + msgspec.json.encode(token)
    return urlsafe_b64encode(_signature(key, payload) + payload).decode()


def verify_resume_token(
    text: str, keys: Sequence[settings_types.PeerKey], unix_time: float
) -> ResumeToken:
    """Return the content of a token.

    Raises
    ------
    MalformedMessageError
        If the token was not signed with one of the keys or has expired.
    """
    try:
        raw = urlsafe_b64decode(text.encode())
        signature, payload = raw[:SIGNATURE_BYTES], raw[SIGNATURE_BYTES:]
        key = next(key for key in keys if key.id == payload[0])
        if not hmac.compare_digest(signature, _signature(key, payload)):
            raise ValueError("invalid signature")
        token = msgspec.json.decode(payload[1:], type=ResumeToken)
    except (ValueError, IndexError, StopIteration, msgspec.MsgspecError):
        raise errors.MalformedMessageError(
            result_codes.RESUME_INVALID, "the resume token has no valid signature"
        ) from None
    if unix_time >= token.expires_at:
        raise errors.MalformedMessageError(
            result_codes.RESUME_INVALID, "the resume token has expired"
        )
    return token
