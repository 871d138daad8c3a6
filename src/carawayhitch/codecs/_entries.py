"""Store values of entry registrations and peer keys."""

from __future__ import annotations

from ipaddress import ip_address
from typing import Annotated, TypedDict

import msgspec
from msgspec import Meta

from carawayhitch.core import errors, events, result_codes
from carawayhitch.core import settings as settings_types


class EntryBody(TypedDict):
    """Registration of an entry in the store."""

    address: str
    peer_port: Annotated[int, Meta(ge=1, le=65535)]
    http_port: Annotated[int, Meta(ge=0, le=65535)]
    zone: str
    region: str


class PeerKeyBody(TypedDict):
    """Key that signs messages between entries."""

    id: int
    secret: str


_entry_decoder = msgspec.json.Decoder(EntryBody)
_keys_decoder = msgspec.json.Decoder(list[PeerKeyBody])


def _store_value_error(error: Exception) -> errors.MalformedMessageError:
    code = result_codes.STORE_CALL_FAILED
    return errors.MalformedMessageError(code, f"{error}")


def is_ip_address(text: str) -> bool:
    """Return whether a text is an IP address, which needs no name lookup."""
    try:
        ip_address(text)
    except ValueError:
        return False
    return True


def encode_entry_registration(node: settings_types.NodeSettings) -> bytes:
    """Return the store value of an entry's registration."""
    body: EntryBody = {
        "address": node.address,
        "peer_port": node.peer_port,
        "http_port": node.http_port,
        "zone": node.zone,
        "region": node.region,
    }
    return msgspec.json.encode(body)


def decode_entry_registration(name: str, value: bytes) -> events.VmListed:
    """Return the entry described by a registration.

    Raises
    ------
    MalformedMessageError
        If a field is missing, has another type or is out of range.
    """
    try:
        body = _entry_decoder.decode(value)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise _store_value_error(error) from None
    if not is_ip_address(body["address"]):
        found = f"address is {body['address'][:80]!r}, expected an IP address"
        raise _store_value_error(ValueError(found))
    return events.VmListed(
        vm_id=name,
        address=f"{body['address']}:{body['peer_port']}",
        zone=body["zone"],
        region=body["region"],
        kind="entry",
        labels={},
        leaving=False,
        http_port=body["http_port"],
    )


def encode_peer_keys(keys: tuple[settings_types.PeerKey, ...]) -> bytes:
    """Return the store value of peer keys."""
    return msgspec.json.encode([key._asdict() for key in keys])


def decode_peer_keys(value: bytes) -> tuple[settings_types.PeerKey, ...]:
    """Return the peer keys in a store value.

    Raises
    ------
    MalformedMessageError
        If a field is missing or has another type, or if there is no key.
    """
    try:
        bodies = _keys_decoder.decode(value)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise _store_value_error(error) from None
    if not bodies:
        raise _store_value_error(ValueError("found no peer key, expected at least one"))
    return tuple(settings_types.PeerKey(body["id"], body["secret"]) for body in bodies)
