"""Forward calls to the entry that issued their idempotency key."""

from __future__ import annotations

import time

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from carawayhitch import codecs
from carawayhitch.backends._bodies import BodyTooLargeError, read_limited
from carawayhitch.backends._calls import (
    CONNECTION_HEADERS,
    UpstreamCall,
    new_call_failure,
)
from carawayhitch.backends._sessions import (
    EndlessResponseError,
    single_send_middleware,
)
from carawayhitch.core import actions, events, rows

FORWARD_PATH = "/peer/v1/forwarded"
PROOF_HEADER = "Carawayhitch-Forward"
# Headers of one connection; aiohttp sets its own on the forwarded request.
DROPPED_HEADERS = CONNECTION_HEADERS | {"host", PROOF_HEADER.lower()}
RETURNED_ANSWER_HEADERS = ("Carawayhitch-Ran", "Retry-After")


async def forward_call(
    call: UpstreamCall, action: actions.OpenUpstream, target: rows.ForwardTarget
) -> None:
    """Send a call to the issuing entry once and submit the complete response."""
    content = call.content
    headers = CIMultiDict(
        (name, value)
        for name, value in content.headers
        if name.lower() not in DROPPED_HEADERS
    )
    proof = codecs.forward_signature_payload(
        target.method,
        f"/{target.service}{target.path}",
        content.query,
        headers.get("idempotency-key", ""),
        headers.get("authorization", ""),
        content.body.data,
        time.time(),
    )
    headers[PROOF_HEADER] = codecs.sign_forwarded_call(proof, call.settings.peers.keys)
    query = f"?{content.query}" if content.query else ""
    path = f"{FORWARD_PATH}/{target.service}{target.path}{query}"
    try:
        async with call.session.request(
            target.method,
            URL(f"http://{action.address}{path}", encoded=True),
            data=content.body.data or None,
            headers=headers,
            allow_redirects=False,
            middlewares=(single_send_middleware(),),
        ) as response:
            limit_bytes = call.settings.limits.answer_bytes
            body = await read_limited(response, limit_bytes, memory=call.memory)
    except (BodyTooLargeError, EndlessResponseError) as error:
        call.submit(new_call_failure(call, "oversized", True, error))
        return
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        call.submit(new_call_failure(call, "link_lost", True, error))
        return
    call.submit(
        events.AnswerReceived(
            call.request_id,
            call.attempt,
            response.status,
            response.headers.get("Content-Type", ""),
            body,
            headers=tuple(
                (name, response.headers[name])
                for name in RETURNED_ANSWER_HEADERS
                if name in response.headers
            ),
        )
    )
