"""Calls of callers and answers of upstreams: headers to typed values and back."""

from __future__ import annotations

import re
from collections.abc import Iterable
from hashlib import sha256
from typing import NamedTuple

from carawayhitch import codecs
from carawayhitch.backends import CONNECTION_HEADERS
from carawayhitch.core import actions, errors, events, result_codes, rows
from carawayhitch.platform import _names

Headers = tuple[tuple[str, str], ...]

REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
NUMBER = re.compile(r"[0-9]{1,12}(?:\.[0-9]{1,6})?", re.ASCII)
# Engines tell ten priorities apart.
MAXIMUM_PRIORITY = 9


class CallHead(NamedTuple):
    """A caller's request line and headers.

    Parameters
    ----------
    path : str
        As sent, without the query.
    """

    method: str
    path: str
    headers: Headers


def _malformed(message: str) -> errors.MalformedMessageError:
    return errors.MalformedMessageError(result_codes.MALFORMED_REQUEST, message)


def _values(headers: Iterable[tuple[str, str]]) -> dict[str, str]:
    """Return the headers that decisions read, by name in lower case.

    Raises
    ------
    MalformedMessageError
        If one of them is repeated.
    """
    found: dict[str, str] = {}
    for name, value in headers:
        lowered = name.lower()
        if lowered in found and lowered in _names.SINGLE_HEADERS:
            raise _malformed(f"more than one header {name}, expected one")
        found[lowered] = value
    return found


def _number(values: dict[str, str], name: str) -> float:
    text = values.get(name.lower(), "")
    if not text:
        return 0.0
    if not NUMBER.fullmatch(text.strip()):
        raise _malformed(f"header {name} is {text[:40]!r}, expected a number")
    return float(text)


def decode_call(head: CallHead, body: bytes, fallback_id: str) -> events.CallReceived:
    """Return the call that a caller's request asks for.

    Parameters
    ----------
    fallback_id : str
        Request id if the caller sent none that can be used.

    Raises
    ------
    MalformedMessageError
        If a header that decisions read is repeated or has a wrong value.
    """
    values = _values(head.headers)
    request_id = values.get(_names.REQUEST_ID.lower(), "")
    if not REQUEST_ID_PATTERN.fullmatch(request_id):
        request_id = fallback_id
    token_sha256 = codecs.bearer_token_sha256(values.get("authorization", ""))
    return events.CallReceived(
        request_id=request_id,
        token_sha256=token_sha256,
        labels={},
        target=_decode_target(head, values),
        fingerprint=_fingerprint(head, token_sha256, body),
        body_sha256="",
        wait_seconds=_number(values, _names.DEADLINE) / 1000.0,
    )


def _decode_target(head: CallHead, values: dict[str, str]) -> rows.RoutedTarget:
    prompt, _, maximum = values.get(_names.TOKEN_COUNT.lower(), "").partition(",")
    counts = {"prompt": prompt.strip(), "maximum": maximum.strip()}
    return rows.RoutedTarget(
        method=head.method,
        host=values.get("host", ""),
        path=head.path,
        prompt_tokens=int(_number(counts, "prompt")),
        maximum_tokens=int(_number(counts, "maximum")),
        expected_tokens=int(_number(values, _names.LENGTH_HINT)),
        prefix_blocks=_shared_parts(values.get(_names.PROMPT_PARTS.lower(), "")),
        last_sequence=int(_number(values, _names.LAST_EVENT_ID)),
    )


def _shared_parts(text: str) -> tuple[str, ...]:
    """Return the parts of a prompt that other prompts may share, each with its size.

    The last part belongs to the call itself.
    """
    return tuple(part.strip() for part in text.split(",")[:-1] if part.strip())


def _fingerprint(head: CallHead, token_sha256: str, body: bytes) -> str:
    # A request that crashes upstreams comes again with the same path, caller and body.
    digest = sha256(f"{head.method} {head.path}\0{token_sha256}\0".encode())
    digest.update(body)
    return digest.hexdigest()[:32]


def upstream_headers(
    headers: Headers, action: actions.OpenUpstream, now: float
) -> list[tuple[str, str]]:
    """Return the headers with which a call is sent to an upstream.

    Parameters
    ----------
    headers : tuple of (str, str)
        Headers of the caller.
    now : float
        Seconds of the node clock.
    """
    dropped = _names.SYSTEM_HEADERS | _connection_headers(headers)
    sent = [(name, value) for name, value in headers if name.lower() not in dropped]
    sent.append((_names.EXPECTED_UPSTREAM, action.upstream_id))
    sent.append((_names.PRIORITY, str(min(action.priority, MAXIMUM_PRIORITY))))
    if action.account:
        sent.append((_names.ACCOUNT, action.account))
    if action.answer_deadline:
        left = max(1, int((action.answer_deadline - now) * 1000))
        sent.append((_names.DEADLINE, str(left)))
    if action.last_sequence:
        sent.append((_names.LAST_EVENT_ID, str(action.last_sequence)))
    if action.source:
        sent.append((_names.MEMORY_SOURCE, action.source))
    return sent


def _connection_headers(headers: Iterable[tuple[str, str]]) -> frozenset[str]:
    """Return the names of headers that concern one connection only."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return CONNECTION_HEADERS | named | {"proxy-connection"}


def answer_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers of an upstream's answer that its caller gets."""
    # The client library gives names of a type of its own, which traces cannot hold.
    received = tuple((str(name), value) for name, value in headers)
    dropped = _connection_headers(received)
    return tuple(
        (name, value) for name, value in received if name.lower() not in dropped
    )


def sent_request_id(headers: Headers) -> str:
    """Return the id that a caller gave its call; empty for none."""
    wanted = _names.REQUEST_ID.lower()
    return next((value for name, value in headers if name.lower() == wanted), "")
