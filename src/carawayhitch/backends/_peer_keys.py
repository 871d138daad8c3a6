"""Load the key that entries share through the object store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from carawayhitch.backends._journal import PerformStoreAction
from carawayhitch.codecs import decode_peer_keys, encode_peer_keys
from carawayhitch.core import actions, errors, events
from carawayhitch.core import settings as settings_types

PEER_KEY_KIND = "peer_key"
PEER_KEY_NAME = "shared"
FIRST_KEY_ID = 1
SECRET_BYTES = 32


async def load_peer_keys(
    action: actions.LoadPeerKeys,
    perform: PerformStoreAction,
    generate_secret: Callable[[int], str],
) -> Any:
    """Read the shared keys, and create one if the store has none and the action may.

    If several entries create a key at the same time, the store accepts one write and
    the other entries read that key.

    Returns
    -------
    PeerKeysRead, PeerKeysAbsent or StoreCallFailed
        The keys in the store, or the reason why they could not be read or written.
    """
    read = actions.ReadObject(action.operation_id, PEER_KEY_KIND, PEER_KEY_NAME)
    # A key that a stale read misses is found by the conditional write.
    event = await perform(read._replace(may_be_stale=True))
    if isinstance(event, events.ObjectRead) and not event.stored.version:
        if not action.may_create:
            return events.PeerKeysAbsent()
        created = settings_types.PeerKey(FIRST_KEY_ID, generate_secret(SECRET_BYTES))
        value = encode_peer_keys((created,))
        written = await perform(
            actions.WriteObject(
                action.operation_id, PEER_KEY_KIND, PEER_KEY_NAME, value, 0
            )
        )
        if not isinstance(written, events.ObjectWritten):
            return written
        if written.accepted:
            return events.PeerKeysRead((created,))
        # Another entry has written its key first.
        event = await perform(read)
    if not isinstance(event, events.ObjectRead):
        return event
    try:
        return events.PeerKeysRead(decode_peer_keys(event.stored.value))
    except errors.MalformedMessageError as error:
        return events.StoreCallFailed(action.operation_id, error.message)
