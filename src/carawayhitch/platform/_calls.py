"""Decode headers of requests; build headers for upstreams and for responses."""

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
DECIMAL_PATTERN = re.compile(r"[0-9]{1,12}(?:\.[0-9]{1,6})?", re.ASCII)
# Engines distinguish the priorities 0 to 9.
MAXIMUM_PRIORITY = 9


class CallHead(NamedTuple):
    """Request line and headers of a call.

    Parameters
    ----------
    path : str
        Path as sent by the caller, without the query.
    """

    method: str
    path: str
    headers: Headers


def _malformed_request(message: str) -> errors.MalformedMessageError:
    return errors.MalformedMessageError(result_codes.MALFORMED_REQUEST, message)


def _index_headers(headers: Iterable[tuple[str, str]]) -> dict[str, str]:
    """Return header values by lower-case name.

    Raises
    ------
    MalformedMessageError
        If a header in ``SINGLE_HEADERS`` is repeated.
    """
    values_by_name: dict[str, str] = {}
    for name, value in headers:
        lower_name = name.lower()
        if lower_name in values_by_name and lower_name in _names.SINGLE_HEADERS:
            raise _malformed_request(f"header {name} is repeated, expected at most one")
        values_by_name[lower_name] = value
    return values_by_name


def _decode_decimal(values: dict[str, str], name: str) -> float:
    text = values.get(name.lower(), "")
    if not text:
        return 0.0
    if not DECIMAL_PATTERN.fullmatch(text.strip()):
        raise _malformed_request(f"header {name} is {text[:40]!r}, expected a number")
    return float(text)


def decode_call(head: CallHead, body: bytes, fallback_id: str) -> events.CallReceived:
    """Decode a caller's request on an HTTP route.

    Parameters
    ----------
    fallback_id : str
        Request id to use if the caller sent none or an invalid one.

    Raises
    ------
    MalformedMessageError
        If a header in ``SINGLE_HEADERS`` is repeated or a numeric header is invalid.
    """
    values = _index_headers(head.headers)
    request_id = valid_request_id(head.headers, fallback_id)
    token_sha256 = codecs.bearer_token_sha256(values.get("authorization", ""))
    return events.CallReceived(
        request_id=request_id,
        token_sha256=token_sha256,
        labels={},
        target=_decode_target(head, values),
        fingerprint=_request_fingerprint(head, token_sha256, body),
        body_sha256="",
        wait_seconds=_decode_decimal(values, _names.DEADLINE) / 1000.0,
    )


def _decode_target(head: CallHead, values: dict[str, str]) -> rows.RoutedTarget:
    prompt, _, maximum = values.get(_names.TOKEN_COUNT.lower(), "").partition(",")
    counts = {"prompt": prompt.strip(), "maximum": maximum.strip()}
    return rows.RoutedTarget(
        method=head.method,
        host=values.get("host", ""),
        path=head.path,
        prompt_tokens=int(_decode_decimal(counts, "prompt")),
        maximum_tokens=int(_decode_decimal(counts, "maximum")),
        expected_tokens=int(_decode_decimal(values, _names.LENGTH_HINT)),
        prefix_blocks=_shareable_prefix_parts(
            values.get(_names.PROMPT_PARTS.lower(), "")
        ),
        last_sequence=int(_decode_decimal(values, _names.LAST_EVENT_ID)),
    )


def _shareable_prefix_parts(text: str) -> tuple[str, ...]:
    """Return the prompt parts that form a shareable prefix, each with its size.

    The last part is specific to the call and is left out.
    """
    return tuple(part.strip() for part in text.split(",")[:-1] if part.strip())


def _request_fingerprint(head: CallHead, token_sha256: str, body: bytes) -> str:
    # Identifies repetitions of a request that crashes upstreams: these have the same
    # method, path, caller and body.
    digest = sha256(f"{head.method} {head.path}\0{token_sha256}\0".encode())
    digest.update(body)
    return digest.hexdigest()[:32]


def upstream_request_headers(
    headers: Headers, action: actions.OpenUpstream, now: float
) -> list[tuple[str, str]]:
    """Return the headers of the request that is sent to an upstream.

    Parameters
    ----------
    headers : tuple of (str, str)
        Headers of the caller's request.
    now : float
        Current time of the node clock in seconds.
    """
    dropped = _names.SYSTEM_HEADERS | _unforwarded_header_names(headers)
    sent = [(name, value) for name, value in headers if name.lower() not in dropped]
    sent.append((_names.EXPECTED_UPSTREAM, action.upstream_id))
    sent.append((_names.PRIORITY, str(min(action.priority, MAXIMUM_PRIORITY))))
    if action.account:
        sent.append((_names.ACCOUNT, action.account))
    if action.answer_deadline:
        remaining_ms = max(1, int((action.answer_deadline - now) * 1000))
        sent.append((_names.DEADLINE, str(remaining_ms)))
    if action.last_sequence:
        sent.append((_names.LAST_EVENT_ID, str(action.last_sequence)))
    if action.source:
        sent.append((_names.MEMORY_SOURCE, action.source))
    return sent


def _unforwarded_header_names(headers: Iterable[tuple[str, str]]) -> frozenset[str]:
    """Return the lower-case names of headers that must not be forwarded.

    These are the hop-by-hop headers and those that ``Connection`` names.
    """
    listed = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return CONNECTION_HEADERS | listed | {"proxy-connection"}


def forwarded_response_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers of an upstream's response that are forwarded to the caller."""
    # aiohttp returns header names as a subclass of str, which the trace encoder does
    # not accept.
    received = tuple((str(name), value) for name, value in headers)
    dropped = _unforwarded_header_names(received)
    return tuple(
        (name, value) for name, value in received if name.lower() not in dropped
    )


def valid_request_id(headers: Headers, fallback_id: str) -> str:
    """Return the request id that the caller sent, or another one if it is invalid."""
    request_id = caller_request_id(headers)
    return request_id if REQUEST_ID_PATTERN.fullmatch(request_id) else fallback_id


def caller_request_id(headers: Headers) -> str:
    """Return the request id that the caller sent; empty if it sent none."""
    id_header = _names.REQUEST_ID.lower()
    return next((value for name, value in headers if name.lower() == id_header), "")
