"""Send orders to engines and read the state that orders change."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable

import aiohttp

from carawayhitch.backends._bodies import read_limited
from carawayhitch.codecs import decode_engine_state, encode_order
from carawayhitch.core import actions, errors, events

ORDER_TIMEOUT = aiohttp.ClientTimeout(total=30.0, sock_connect=1.0)
STATE_TIMEOUT = aiohttp.ClientTimeout(total=2.0)
STATE_BYTES_LIMIT = 1_048_576


class LeaseExpiredError(Exception):
    """The lease expired before the order was sent."""


async def read_engine_state(
    session: aiohttp.ClientSession, action: actions.ReadEngineState
) -> events.EngineStateRead | None:
    """Read the state of an engine; return None if it gave no valid response."""
    url = f"http://{action.address}/orders/state"
    try:
        async with session.get(url, timeout=STATE_TIMEOUT) as response:
            response.raise_for_status()
            return decode_engine_state(
                action.upstream_id, await read_limited(response, STATE_BYTES_LIMIT)
            )
    except (aiohttp.ClientError, TimeoutError, OSError, errors.MalformedMessageError):
        return None


async def send_order(
    session: aiohttp.ClientSession, action: actions.SendOrder, now: Callable[[], float]
) -> events.OrderAnswered:
    """Send one order; the session must not reuse connections.

    Some engines ignore fencing numbers, so the lease is checked again once the
    connection is open, immediately before the body is sent. An engine does not act on
    an order before it has received the complete body.
    """
    body = encode_order(action)

    async def lease_checked_body() -> AsyncIterator[bytes]:
        if now() >= action.lease_deadline:
            raise LeaseExpiredError
        yield body

    try:
        async with session.post(
            f"http://{action.address}/orders",
            data=lease_checked_body(),
            headers={"Content-Type": "application/json"},
            timeout=ORDER_TIMEOUT,
        ) as response:
            detail = f"status {response.status}"
            accepted = response.status == 200
    except LeaseExpiredError:
        accepted, detail = False, "lease expired before the order was sent"
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        accepted, detail = False, repr(error)
    return events.OrderAnswered(action.upstream_id, action.kind, accepted, detail)
