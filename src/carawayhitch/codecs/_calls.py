"""Decoding of caller requests and engine responses, and encoding of error bodies."""

from __future__ import annotations

from hashlib import sha256
from typing import Any, TypedDict

import msgspec

from carawayhitch.core import errors, result_codes, rows

# Engines publish cache events for prompt blocks of the same size.
PREFIX_BLOCK_BYTES = 256
BYTES_PER_TOKEN = 4
DEFAULT_MAXIMUM_TOKENS = 32768


class ErrorBody(TypedDict):
    """Error in a response body."""

    code: int
    name: str
    ran: str
    message: str


class GenerationBody(TypedDict, total=False):
    """Fields of an OpenAI-compatible request that routing reads."""

    model: str
    prompt: Any
    messages: Any
    stream: bool | None
    max_tokens: int | None
    max_completion_tokens: int | None


_generation_decoder = msgspec.json.Decoder(GenerationBody)


def sha256_hex(data: bytes) -> str:
    """Return the SHA-256 digest in hexadecimal."""
    return sha256(data).hexdigest()


def request_sha256(method: str, path: str, query: str, body: bytes) -> str:
    """Return the digest of a request, which its idempotency key is bound to."""
    head = "\0".join((method, path, query)).encode()
    return sha256_hex(sha256(head).digest() + body)


def bearer_token_sha256(authorization: str) -> str:
    """Return the digest of a bearer token, of the empty string if there is none."""
    scheme, _, token = authorization.partition(" ")
    if scheme.lower() != "bearer":
        token = ""
    return sha256_hex(token.strip().encode(errors="surrogateescape"))


def parse_labels(header: str) -> dict[str, str]:
    """Return the labels of a ``Carawayhitch-Labels: key=value,...`` header.

    Raises
    ------
    MalformedMessageError
        If a label has no ``=`` or an empty key.
    """
    labels: dict[str, str] = {}
    for pair in filter(None, (part.strip() for part in header.split(","))):
        key, separator, value = pair.partition("=")
        if not separator or not key.strip():
            raise errors.MalformedMessageError(
                result_codes.MALFORMED_REQUEST,
                f"label {pair!r}: expected the form key=value",
            )
        labels[key.strip()] = value.strip()
    return labels


def decode_generation_target(path: str, body: bytes) -> rows.GenerationTarget:
    """Return the generation target of an OpenAI-compatible request.

    Raises
    ------
    MalformedMessageError
        If the body is not a JSON object with a model and a prompt or messages, or the
        token limit is below 1.
    """
    try:
        decoded = _generation_decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.MalformedMessageError(
            result_codes.MALFORMED_REQUEST, f"body: {error}"
        ) from None
    prompt = decoded.get("messages", decoded.get("prompt"))
    model = decoded.get("model", "")
    if not model or prompt is None:
        raise errors.MalformedMessageError(
            result_codes.MALFORMED_REQUEST,
            "body: expected 'model' and 'messages' or 'prompt'",
        )
    maximum_tokens = decoded.get("max_completion_tokens", decoded.get("max_tokens"))
    if maximum_tokens is None:
        maximum_tokens = DEFAULT_MAXIMUM_TOKENS
    if maximum_tokens < 1:
        raise errors.MalformedMessageError(
            result_codes.MALFORMED_REQUEST,
            f"body: max_tokens is {maximum_tokens}, expected at least 1",
        )
    text = msgspec.json.encode(prompt)
    return rows.GenerationTarget(
        path=path,
        model=model,
        stream=bool(decoded.get("stream")),
        prompt_tokens=max(1, len(text) // BYTES_PER_TOKEN),
        maximum_tokens=maximum_tokens,
        prefix_blocks=prefix_blocks(text),
    )


def prefix_blocks(text: bytes, limit: int = 16) -> tuple[str, ...]:
    """Return the hashes of the leading blocks of a prompt.

    Each hash covers its block and all blocks before it.
    """
    blocks: list[str] = []
    digest = b""
    block_count = min(limit, len(text) // PREFIX_BLOCK_BYTES)
    for index in range(block_count):
        block = text[index * PREFIX_BLOCK_BYTES : (index + 1) * PREFIX_BLOCK_BYTES]
        digest = sha256(digest + block).digest()[:8]
        blocks.append(digest.hex())
    return tuple(blocks)


def encode_error_body(code: result_codes.ResultCode, message: str) -> bytes:
    """Return the JSON body of an error response."""
    body: ErrorBody = {
        "code": code.number,
        "name": code.name,
        "ran": code.ran,
        "message": message,
    }
    return msgspec.json.encode({"error": body})


def encode_error_event(code: result_codes.ResultCode, message: str) -> bytes:
    """Return the server-sent event that terminates a failed stream."""
    return b"event: error\ndata: " + encode_error_body(code, message) + b"\n\n"


def encode_engine_request(body: bytes, priority: int) -> bytes:
    """Return the request body for an engine, with the priority of the rank class.

    A priority set by the caller is overwritten, so that callers cannot raise their own.
    """
    fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    fields["priority"] = msgspec.Raw(str(priority).encode())
    return msgspec.json.encode(fields)


class UsageBody(TypedDict, total=False):
    """Token counts in an engine response."""

    completion_tokens: int


class EngineResponseBody(TypedDict, total=False):
    """Fields of a non-streaming engine response that the entry reads."""

    id: str
    usage: UsageBody | None


def decode_completion_token_count(body: bytes, generation_id: str) -> int:
    """Return the completion token count in a non-streaming engine response.

    Raises
    ------
    MalformedMessageError
        If the body is not complete JSON or names another generation than the header.
    """
    try:
        response = msgspec.json.decode(body, type=EngineResponseBody)
    except msgspec.DecodeError as error:
        raise errors.MalformedMessageError(
            result_codes.ANSWER_TRUNCATED, f"engine response: {error}"
        ) from None
    if generation_id and response.get("id", generation_id) != generation_id:
        raise errors.MalformedMessageError(
            result_codes.ANSWER_FOREIGN,
            f"engine response: body names generation {response['id']!r}, "
            f"header {generation_id!r}",
        )
    usage = response.get("usage")
    return usage.get("completion_tokens", 0) if usage else 0
