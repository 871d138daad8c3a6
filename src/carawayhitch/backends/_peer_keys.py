"""The key that entries share through the store of the platform."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from carawayhitch.backends._journal import AskStore
from carawayhitch.codecs import decode_peer_keys, encode_peer_keys
from carawayhitch.core import actions, errors, events
from carawayhitch.core import settings as settings_types

KIND = "peer_key"
NAME = "shared"
KEY_ID = 1
SECRET_BYTES = 32


async def load_peer_keys(
    action: actions.LoadPeerKeys, ask: AskStore, new_secret: Callable[[int], str]
) -> Any:
    """Return the shared keys; the first entry that asks creates one.

    Returns
    -------
    PeerKeysRead or StoreCallFailed
        Of several entries that create a key at once, the store accepts one, and the
        others read it.
    """
    read = actions.ReadObject(action.operation_id, KIND, NAME)
    event = await ask(read)
    if isinstance(event, events.ObjectRead) and not event.stored.version:
        created = settings_types.PeerKey(KEY_ID, new_secret(SECRET_BYTES))
        value = encode_peer_keys((created,))
        written = await ask(
            actions.WriteObject(action.operation_id, KIND, NAME, value, 0)
        )
        if not isinstance(written, events.ObjectWritten):
            return written
        # Read back: the write may have lost against that of another entry.
        event = await ask(read)
    if not isinstance(event, events.ObjectRead):
        return event
    try:
        return events.PeerKeysRead(decode_peer_keys(event.stored.value))
    except errors.MalformedMessageError as error:
        return events.StoreCallFailed(action.operation_id, error.message)
