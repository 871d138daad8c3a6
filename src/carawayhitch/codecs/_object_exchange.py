"""Configuration exchange between entries, as JSON signed with a peer key."""

from __future__ import annotations

import hmac
from collections.abc import Iterable
from hashlib import sha256
from typing import NotRequired, TypedDict

import msgspec

from carawayhitch.codecs._platform import (
    StoredObjectBody,
    stored_object_from_body,
    stored_object_to_body,
)
from carawayhitch.core import errors, events, result_codes
from carawayhitch.core import settings as settings_types

EXCHANGE_SIGNATURE_HEADER = "Carawayhitch-Peer"
SIGNATURE_CONTEXT = b"carawayhitch object exchange\0"


class ExchangeBody(TypedDict):
    """Configuration state of an entry with the objects that it sends."""

    peer_id: str
    revision: int
    complete_revision: int
    digest: str
    since: int
    objects: list[StoredObjectBody]
    takes_large: NotRequired[bool]


def encode_exchange(exchange: events.ObjectsExchanged) -> bytes:
    """Return the body of an exchange request or response."""
    body: ExchangeBody = {
        "peer_id": exchange.peer_id,
        "revision": exchange.revision,
        "complete_revision": exchange.complete_revision,
        "digest": exchange.digest,
        "since": exchange.since,
        "objects": [stored_object_to_body(stored) for stored in exchange.objects],
        "takes_large": exchange.takes_large,
    }
    return msgspec.json.encode(body)


def decode_exchange(body: bytes, exchange_id: str) -> events.ObjectsExchanged:
    """Return the exchange in the body of a request or response.

    Raises
    ------
    MalformedMessageError
        If the body is not JSON or does not match `ExchangeBody`.
    """
    try:
        decoded = msgspec.json.decode(body, type=ExchangeBody)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.MalformedMessageError(
            result_codes.PEER_MESSAGE_MALFORMED, f"object exchange: {error}"
        ) from None
    return events.ObjectsExchanged(
        exchange_id=exchange_id,
        peer_id=decoded["peer_id"],
        revision=decoded["revision"],
        complete_revision=decoded["complete_revision"],
        digest=decoded["digest"],
        since=decoded["since"],
        objects=tuple(stored_object_from_body(item) for item in decoded["objects"]),
        takes_large=decoded.get("takes_large", True),
    )


def sign_exchange(
    body: bytes, keys: Iterable[settings_types.PeerKey], request_signature: str = ""
) -> str:
    """Return the value of the signature header, computed with the first key.

    Parameters
    ----------
    request_signature : str
        For a response, the signature of its request, so that a response to another
        request is rejected. Requests need no timestamp: objects are only replaced by
        higher versions, so that a replayed request has no effect.
    """
    key = next(iter(keys))
    return f"{key.id}:{_signature(body, key, request_signature)}"


def _signature(body: bytes, key: settings_types.PeerKey, request_signature: str) -> str:
    content = SIGNATURE_CONTEXT + request_signature.encode() + b"\0" + body
    return hmac.new(key.secret.encode(), content, sha256).hexdigest()


def verify_exchange(
    body: bytes,
    header: str,
    keys: Iterable[settings_types.PeerKey],
    request_signature: str = "",
) -> None:
    """Check the signature header of a body.

    Raises
    ------
    MalformedMessageError
        If no peer key verifies the signature.
    """
    key_id, _, signature = header.partition(":")
    for key in keys:
        expected = _signature(body, key, request_signature)
        if str(key.id) == key_id and hmac.compare_digest(
            expected.encode(), signature.encode()
        ):
            return
    raise errors.MalformedMessageError(
        result_codes.PEER_SIGNATURE_INVALID,
        f"object exchange: {EXCHANGE_SIGNATURE_HEADER} with key {key_id!r} is not a "
        "valid signature of the body",
    )
