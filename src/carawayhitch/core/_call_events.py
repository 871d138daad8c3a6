"""Events that callers and upstreams cause during a call."""

from __future__ import annotations

from typing import Literal, NamedTuple

from carawayhitch.core._declarations import Labels
from carawayhitch.core._rows import (
    ConnectionUse,
    GenerationTarget,
    IssuedKey,
    RoutedTarget,
    ServiceTarget,
)

FailureKind = Literal[
    "connect",
    "refused",
    "link_lost",
    "stalled",
    "truncated",
    "generation_gone",
    "foreign",
    "oversized",
]


class CallReceived(NamedTuple):
    """A call was received and decoded, but not yet authenticated.

    Parameters
    ----------
    token_sha256 : str
        SHA-256 of the bearer token in hexadecimal.
    labels : dict of str to str
        Request labels, including ``model`` and ``path``.
    fingerprint : str
        SHA-256 of the path and the canonical body; equal for repeated requests.
    body_sha256 : str
        SHA-256 of method, path, query and body; an idempotency key is bound to it.
    wait_seconds : float
        Longest wait that the caller accepts; 0 for the configured limit.
    issued_key : IssuedKey or None
        Verified content of the idempotency key if an entry issued it.
    key_created_at : float or None
        Creation time in a UUIDv7 key, in seconds of the node clock.
    forwarded : bool
        Whether another entry forwarded the call because this one issued its key.
    """

    request_id: str
    token_sha256: str
    labels: Labels
    target: GenerationTarget | ServiceTarget | RoutedTarget
    fingerprint: str
    body_sha256: str
    idempotency_key: str = ""
    wait_seconds: float = 0.0
    issued_key: IssuedKey | None = None
    key_created_at: float | None = None
    forwarded: bool = False
    body_bytes: int = 0


class BodyMemoryNeeded(NamedTuple):
    """A body could not be received because the open ones fill the memory for them.

    Parameters
    ----------
    missing_bytes : int
        Bytes by which the memory is too small.
    connections : tuple of ConnectionUse
        Connections that hold memory.
    is_urgent : bool
        Whether the memory is exceeded, so that also clients that move have to go.
    """

    missing_bytes: int
    connections: tuple[ConnectionUse, ...] = ()
    is_urgent: bool = False


class ConnectionsNeeded(NamedTuple):
    """A client cannot connect because too many connections are open.

    Parameters
    ----------
    missing_count : int
        Connections that should be closed.
    """

    missing_count: int
    connections: tuple[ConnectionUse, ...]


class KeysRequested(NamedTuple):
    """A caller requested signed single-use keys."""

    request_id: str
    token_sha256: str
    key_count: int


class ResumeReceived(NamedTuple):
    """A caller requested to resume a stream; its resume token is verified."""

    request_id: str
    token_sha256: str
    account: str
    group: str
    upstream_id: str
    address: str
    generation_id: str
    last_sequence: int


class CallerGone(NamedTuple):
    """The caller closed its connection before the answer ended."""

    request_id: str


class UpstreamOpened(NamedTuple):
    """An upstream answered with a success status and starts a stream.

    Parameters
    ----------
    headers : tuple of (str, str)
        Headers to forward to the caller with the stream.
    """

    request_id: str
    attempt: int
    generation_id: str
    content_type: str
    address: str = ""
    headers: tuple[tuple[str, str], ...] = ()


class ChunkReceived(NamedTuple):
    """Complete server-sent events of a stream arrived.

    Parameters
    ----------
    first_sequence, last_sequence : int
        Sequence numbers of the first and last event in ``data``.
    data : bytes
        The events as received, including their terminating blank lines.
    is_final : bool
        Whether the last event is the end marker, which carries no token.
    """

    request_id: str
    attempt: int
    first_sequence: int
    last_sequence: int
    data: bytes
    is_final: bool = False


class CallerPaused(NamedTuple):
    """The caller reads more slowly than bytes arrive; the upstream is not read."""

    request_id: str


class CallerResumed(NamedTuple):
    """The caller has read the buffered bytes; the upstream is read again."""

    request_id: str


class StreamEnded(NamedTuple):
    """The stream of an upstream ended without an error.

    Parameters
    ----------
    is_delimited : bool
        Whether the response itself marked its end, by its length, its last chunk or its
        final event. Otherwise its end was that of the connection, which also follows
        when the upstream stops the generation.
    """

    request_id: str
    attempt: int
    is_delimited: bool = True


class AnswerReceived(NamedTuple):
    """An unstreamed answer arrived completely and matches its declared length."""

    request_id: str
    attempt: int
    status: int
    content_type: str
    body: bytes
    token_count: int = 0
    headers: tuple[tuple[str, str], ...] = ()


class UpstreamCallFailed(NamedTuple):
    """A call to an upstream failed.

    Parameters
    ----------
    sent : bool
        Whether any byte of the request may have reached the upstream.
    """

    request_id: str
    attempt: int
    kind: FailureKind
    sent: bool
    detail: str = ""


class MemoryCopied(NamedTuple):
    """Answer to ``CopyMemory``.

    Parameters
    ----------
    is_final : bool
        Whether the copy was requested with the generation stopped first.
    outcome : {"copied", "gone", "refused", "unknown"}
        ``gone`` if the source runs no such generation, ``unknown`` if it did not
        answer.
    handle : str
        Name of the copied key-value cache at the source; empty if there is none.
    addresses : tuple of str
        Addresses of the source and the target of the copy.
    """

    request_id: str
    attempt: int
    is_final: bool
    outcome: Literal["copied", "gone", "refused", "unknown"]
    handle: str = ""
    addresses: tuple[str, ...] = ()
