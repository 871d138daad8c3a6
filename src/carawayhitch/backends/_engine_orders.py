"""Orders to engines and the state that they change."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable

import aiohttp

from carawayhitch.codecs import decode_engine_state, encode_order
from carawayhitch.core import actions, errors, events

ORDER_TIMEOUT = aiohttp.ClientTimeout(total=30.0, sock_connect=1.0)
STATE_TIMEOUT = aiohttp.ClientTimeout(total=2.0)


class LeaseLapsedError(Exception):
    """The lease ended before the order was sent."""


async def read_engine_state(
    session: aiohttp.ClientSession, action: actions.ReadEngineState
) -> events.EngineStateRead | None:
    """Return the state of an engine, or None if it did not answer."""
    url = f"http://{action.address}/orders/state"
    try:
        async with session.get(url, timeout=STATE_TIMEOUT) as response:
            response.raise_for_status()
            return decode_engine_state(action.upstream_id, await response.read())
    except (aiohttp.ClientError, TimeoutError, OSError, errors.MalformedMessageError):
        return None


async def send_order(
    session: aiohttp.ClientSession, action: actions.SendOrder, now: Callable[[], float]
) -> events.OrderAnswered:
    """Send one order; the session must not reuse connections.

    Some engines ignore fencing numbers, so the lease is checked again after the
    connection is open, directly before the body leaves. An engine acts on nothing
    before it has the whole body.
    """
    body = encode_order(action)

    async def body_under_lease() -> AsyncIterator[bytes]:
        if now() >= action.lease_deadline:
            raise LeaseLapsedError
        yield body

    try:
        async with session.post(
            f"http://{action.address}/orders",
            data=body_under_lease(),
            headers={"Content-Type": "application/json"},
            timeout=ORDER_TIMEOUT,
        ) as response:
            detail = f"status {response.status}"
            accepted = response.status == 200
    except LeaseLapsedError:
        accepted, detail = False, "the lease lapsed before the order was sent"
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        accepted, detail = False, repr(error)
    return events.OrderAnswered(action.upstream_id, action.kind, accepted, detail)
