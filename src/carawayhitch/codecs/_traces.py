"""Traces of events and actions as JSON lines."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec

from carawayhitch.codecs._records import mapping_from_record, record_from_mapping
from carawayhitch.core import (
    actions,
    declarations,
    errors,
    events,
    messages,
    result_codes,
    rows,
)
from carawayhitch.core import settings as settings_types

TYPE_KEY = "type"
BYTES_KEY = "base64"
LENGTH_KEY = "length"
CODE_KEY = "result_code"
# Request and response bodies are recorded by length only: they may be private, and no
# decision depends on them.
PRIVATE_FIELDS = frozenset({"data", "body"})
REMOVED_SECRET = "removed-from-the-recorded-trace-file"


class TraceHeader(NamedTuple):
    """Inputs of decisions other than events."""

    settings: settings_types.Settings
    incarnation: int
    seed: int


class TraceStep(NamedTuple):
    """One event and the resulting actions, None if the trace does not contain them."""

    line_number: int
    now: float
    event: Any
    actions: tuple[Any, ...] | None


class HeaderBody(TypedDict):
    """First line of a trace."""

    settings: dict[str, Any]
    incarnation: int
    seed: int


class StepBody(TypedDict):
    """Line of a trace with one event."""

    now: float
    event: dict[str, Any]
    actions: NotRequired[list[dict[str, Any]]]


def _record_types() -> Iterator[tuple[str, Any]]:
    namespaces = (actions, declarations, events, messages, rows, settings_types)
    for namespace in namespaces:
        for name, value in vars(namespace).items():
            if isinstance(value, type) and hasattr(value, "_fields"):
                yield name, value


record_types_by_name: dict[str, Any] = dict(_record_types())


def to_builtins(value: Any, field: str = "") -> Any:
    """Return a value as JSON types, with the type name added to each record."""
    if isinstance(value, result_codes.ResultCode):
        return {CODE_KEY: value.name}
    if isinstance(value, settings_types.Settings):
        value = _remove_secrets(value)
    if isinstance(value, settings_types.PeerKey):
        value = value._replace(secret=REMOVED_SECRET)
    if hasattr(value, "_fields"):
        fields = {
            name: to_builtins(getattr(value, name), name) for name in value._fields
        }
        return {TYPE_KEY: type(value).__name__, **fields}
    if isinstance(value, bytes):
        if field in PRIVATE_FIELDS:
            return {LENGTH_KEY: len(value)}
        return {BYTES_KEY: b64encode(value).decode()}
    if isinstance(value, tuple | list | set | frozenset):
        return [to_builtins(item) for item in value]
    if isinstance(value, dict):
        return {str(key): to_builtins(item) for key, item in value.items()}
    return value


def from_builtins(encoded: Any) -> Any:
    """Return the value that `to_builtins` encoded, with lists decoded as tuples."""
    if isinstance(encoded, list):
        return tuple(from_builtins(item) for item in encoded)
    if not isinstance(encoded, dict):
        return encoded
    if TYPE_KEY in encoded and encoded[TYPE_KEY] in record_types_by_name:
        fields = {
            name: from_builtins(item)
            for name, item in encoded.items()
            if name != TYPE_KEY
        }
        return record_types_by_name[encoded[TYPE_KEY]](**fields)
    if encoded.keys() == {CODE_KEY}:
        return result_codes.codes_by_name[encoded[CODE_KEY]]
    if encoded.keys() == {BYTES_KEY}:
        return b64decode(encoded[BYTES_KEY])
    if encoded.keys() == {LENGTH_KEY}:
        return bytes(encoded[LENGTH_KEY])
    return {key: from_builtins(item) for key, item in encoded.items()}


def redact_private_data(value: Any) -> Any:
    """Return a value as decoded from a trace, for comparison with recorded values."""
    return from_builtins(to_builtins(value))


def _remove_secrets(settings: settings_types.Settings) -> settings_types.Settings:
    keys = tuple(key._replace(secret=REMOVED_SECRET) for key in settings.peers.keys)
    return settings._replace(
        peers=settings.peers._replace(keys=keys),
        store=settings.store._replace(token=""),
        admin=settings.admin._replace(token_sha256=""),
    )


def encode_trace_header(header: TraceHeader) -> bytes:
    """Return the first line of a trace, with secrets removed."""
    body: HeaderBody = {
        "settings": mapping_from_record(_remove_secrets(header.settings)),
        "incarnation": header.incarnation,
        "seed": header.seed,
    }
    return msgspec.json.encode(body) + b"\n"


def encode_trace_step(now: float, event: Any, decided_actions: Iterable[Any]) -> bytes:
    """Return one line of a trace."""
    body: StepBody = {
        "now": now,
        "event": to_builtins(event),
        "actions": [to_builtins(action) for action in decided_actions],
    }
    return msgspec.json.encode(body) + b"\n"


def decode_trace(
    lines: Iterable[bytes], source: str
) -> tuple[TraceHeader, Iterator[TraceStep]]:
    """Return the header and the steps of a trace.

    Raises
    ------
    MalformedMessageError
        If a line cannot be decoded. The message names the file and line.
    """
    numbered_lines = enumerate(lines, start=1)
    try:
        _, first = next(numbered_lines)
        header = msgspec.json.decode(first, type=HeaderBody)
    except (StopIteration, msgspec.MsgspecError) as error:
        raise _trace_error(source, 1, error) from None
    settings = record_from_mapping(
        settings_types.Settings, header["settings"], f"{source}:1"
    )
    trace_header = TraceHeader(settings, header["incarnation"], header["seed"])
    return trace_header, _decode_steps(numbered_lines, source)


def _decode_steps(
    numbered_lines: Iterator[tuple[int, bytes]], source: str
) -> Iterator[TraceStep]:
    for number, line in numbered_lines:
        try:
            body = msgspec.json.decode(line, type=StepBody)
            recorded = body.get("actions")
            yield TraceStep(
                number,
                body["now"],
                from_builtins(body["event"]),
                None if recorded is None else from_builtins(recorded),
            )
        except (msgspec.MsgspecError, TypeError, ValueError, KeyError) as error:
            raise _trace_error(source, number, error) from None


def _trace_error(
    source: str, number: int, error: Exception
) -> errors.MalformedMessageError:
    return errors.MalformedMessageError(
        result_codes.INVALID_TRACE, f"{source}:{number}: {error}"
    )
