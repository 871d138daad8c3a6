"""Plain HTTP services beside the engines."""

from __future__ import annotations

import aiohttp

from carawayhitch.backends._calls import UpstreamCall
from carawayhitch.backends._engines import failure
from carawayhitch.backends._sessions import send_once
from carawayhitch.core import actions, events, rows


async def run_service_call(
    call: UpstreamCall,
    action: actions.OpenUpstream,
    target: rows.ServiceTarget,
    idempotency_key: str,
) -> None:
    """Send a call to a plain service and submit its whole answer."""
    query = f"?{call.content.query}" if call.content.query else ""
    url = f"http://{action.address}{target.path}{query}"
    headers = {"Content-Type": call.content.content_type}
    if idempotency_key:
        headers["Idempotency-Key"] = idempotency_key
    try:
        async with call.session.request(
            target.method,
            url,
            data=call.content.body or None,
            headers=headers,
            allow_redirects=False,
            middlewares=() if target.idempotent else (send_once(),),
        ) as response:
            body = await response.read()
            call.submit(
                events.AnswerReceived(
                    call.request_id,
                    call.attempt,
                    response.status,
                    response.headers.get("Content-Type", ""),
                    body,
                )
            )
    except aiohttp.ClientConnectorError as error:
        call.submit(failure(call, "connect", False, error))
    except aiohttp.ConnectionTimeoutError as error:
        call.submit(failure(call, "connect", False, error))
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        call.submit(failure(call, "link_lost", True, error))
