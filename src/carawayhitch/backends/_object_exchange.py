"""Exchange configuration with another entry over HTTP."""

from __future__ import annotations

from collections.abc import Callable

import aiohttp

from carawayhitch.backends._bodies import read_limited
from carawayhitch.codecs import (
    EXCHANGE_SIGNATURE_HEADER,
    decode_exchange,
    encode_exchange,
    sign_exchange,
    verify_exchange,
)
from carawayhitch.core import actions, errors, events
from carawayhitch.core import settings as settings_types

EXCHANGE_TIMEOUT = aiohttp.ClientTimeout(total=2.0)
EXCHANGE_PATH = "/peer/v1/objects"
# A full set of declarations at the size in docs/CAPACITY.md takes 0.4 MB.
EXCHANGE_BYTES_LIMIT = 4_194_304


async def exchange_objects(
    session: aiohttp.ClientSession,
    settings: settings_types.Settings,
    action: actions.PullObjects,
    count_bytes: Callable[[int, int], None],
) -> events.ObjectsExchanged | events.ExchangeFailed:
    """Send this node's configuration state to a peer and return the peer's state.

    An exchange is idempotent, so it may use a session that reuses connections.

    Parameters
    ----------
    count_bytes : callable
        Is called with the sizes of the request body and of the response body.
    """
    keys = settings.peers.keys
    if not keys:
        return events.ExchangeFailed(
            action.peer_id, "shared peer key is not loaded yet"
        )
    body = encode_exchange(action.request)
    signature = sign_exchange(body, keys)
    url = f"http://{action.address}:{action.http_port}{EXCHANGE_PATH}"
    try:
        async with session.post(
            url,
            data=body,
            headers={EXCHANGE_SIGNATURE_HEADER: signature},
            timeout=EXCHANGE_TIMEOUT,
        ) as response:
            response.raise_for_status()
            answer = await read_limited(response, EXCHANGE_BYTES_LIMIT)
            count_bytes(len(body), len(answer))
            header = response.headers.get(EXCHANGE_SIGNATURE_HEADER, "")
        verify_exchange(answer, header, keys, signature)
        return decode_exchange(answer, "")
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return events.ExchangeFailed(action.peer_id, repr(error))
    except errors.MalformedMessageError as error:
        return events.ExchangeFailed(action.peer_id, error.message)
