"""Calls to plain HTTP services, which are not model engines."""

from __future__ import annotations

from yarl import URL

from carawayhitch.backends._calls import UpstreamCall, read_body, submit_failures
from carawayhitch.backends._sessions import single_send_middleware
from carawayhitch.core import actions, events, rows


async def run_service_call(
    call: UpstreamCall,
    action: actions.OpenUpstream,
    target: rows.ServiceTarget,
    idempotency_key: str,
) -> None:
    """Send a call to a plain service and submit the complete response."""
    query = f"?{call.content.query}" if call.content.query else ""
    # The path is not normalized: a normalized path could name another operation than
    # the one whose idempotency was looked up.
    url = URL(f"http://{action.address}{target.path}{query}", encoded=True)
    headers = {"Content-Type": call.content.content_type}
    if idempotency_key:
        headers["Idempotency-Key"] = idempotency_key
    with submit_failures(call):
        async with call.session.request(
            target.method,
            url,
            data=call.content.body.data or None,
            headers=headers,
            allow_redirects=False,
            middlewares=() if target.idempotent else (single_send_middleware(),),
        ) as response:
            body = await read_body(call, response)
            call.submit(
                events.AnswerReceived(
                    call.request_id,
                    call.attempt,
                    response.status,
                    response.headers.get("Content-Type", ""),
                    body,
                )
            )
