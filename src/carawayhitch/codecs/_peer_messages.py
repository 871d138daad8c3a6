"""Signed datagrams between entries, encoded with Cap'n Proto."""

from __future__ import annotations

import hmac
import math
import re
from collections.abc import Callable, Iterable, Sequence
from functools import cache, singledispatch
from hashlib import sha256
from pathlib import Path
from typing import Any, NamedTuple, get_args

import capnp

from carawayhitch.core import errors, messages, result_codes, rows
from carawayhitch.core import settings as settings_types

SIGNATURE_BYTES = 16
# Below the UDP payload of 1,472 bytes that fits an Ethernet frame, to avoid IP
# fragmentation.
DATAGRAM_BYTES = 1400
# Limit for messages that cannot be split, which the network may fragment.
MAXIMUM_DATAGRAM_BYTES = 8192
# Limits on what the decoder traverses and allocates for one datagram.
TRAVERSAL_LIMIT_WORDS = 16384
NESTING_LIMIT = 8
# Large enough for any message that fits a datagram, so that it has a single segment.
SEGMENT_WORDS = 2048
# The first byte of a packed message is a bit mask of the non-zero bytes in its first
# word. The low four bits cover the segment count minus one, zero for a single segment.
FURTHER_SEGMENTS_MASK = 0x0F
MAXIMUM_LIST_LENGTH = 1024
# Few requests share the blocks of a prefix beyond this number.
MAXIMUM_PREFIX_BLOCKS = 32
MAXIMUM_REMAINING_SECONDS = 1e7

# Fields that usually hold hexadecimal text, whose decoded bytes take half the size.
IDENTIFIER_FIELDS = frozenset({"request_id", "fingerprint"})
IDENTIFIER_LIST_FIELDS = frozenset(
    {
        "prefix_blocks",
        "waiting_request_ids",
        "unknown_request_ids",
        "known_running_ids",
        "unknown_running_ids",
    }
)
HEXADECIMAL = re.compile(r"(?:[0-9a-f]{2})+")

_schema: Any = capnp.load(str(Path(__file__).with_name("peers.capnp")))

_types_by_wire_name: dict[str, Any] = {
    "admissionAsk": messages.AdmissionAsk,
    "admissionGrant": messages.AdmissionGrant,
    "admissionQueued": messages.AdmissionQueued,
    "admissionRefusal": messages.AdmissionRefusal,
    "askWithdrawn": messages.AskWithdrawn,
    "progress": messages.Progress,
    "progressAck": messages.ProgressAck,
    "finished": messages.Finished,
    "probe": messages.Probe,
    "probeAck": messages.ProbeAck,
    "indirectProbe": messages.IndirectProbe,
    "moveOrder": messages.MoveOrder,
    "moveReport": messages.MoveReport,
    "failuresSeen": messages.FailuresSeen,
    "leavingSeen": messages.LeavingSeen,
    "backoffSeen": messages.BackoffSeen,
    "placeKept": messages.PlaceKept,
    "crashesSeen": messages.CrashesSeen,
    "serviceLoad": messages.ServiceLoad,
    "serviceShares": messages.ServiceShares,
}
_wire_names_by_type = {
    message_type: name for name, message_type in _types_by_wire_name.items()
}


class PeerAddress(NamedTuple):
    """IP address and UDP port of an entry, as in its settings."""

    address: str
    port: int


class Received(NamedTuple):
    """A verified message with its sender, incarnation and sequence number."""

    sender_id: str
    incarnation: int
    sequence: int
    message: messages.PeerMessage


@cache
def _wire_name(name: str) -> str:
    head, *tail = name.split("_")
    return head + "".join(part.capitalize() for part in tail)


# Sent for a goal deadline that is due now, because zero means no goal deadline.
DUE_NOW_REMAINING_SECONDS = 2**-20


def _remaining_seconds(deadline: float, now: float) -> float:
    limit = MAXIMUM_REMAINING_SECONDS
    return min(max(deadline - now, -limit), limit)


def _remaining_goal_seconds(goal_deadline: float, now: float) -> float:
    """Return the time left, or zero if there is no goal deadline."""
    if not goal_deadline:
        return 0.0
    return _remaining_seconds(goal_deadline, now) or DUE_NOW_REMAINING_SECONDS


def pack_identifier(text: str) -> bytes:
    """Return an identifier as bytes, with hexadecimal text decoded to half its size."""
    if HEXADECIMAL.fullmatch(text):
        return b"\1" + bytes.fromhex(text)
    return b"\0" + text.encode()


def unpack_identifier(data: bytes) -> str:
    """Return the identifier that `pack_identifier` encoded."""
    if data[:1] == b"\1":
        return data[1:].hex()
    if data[:1] == b"\0":
        return data[1:].decode()
    raise ValueError(f"identifier starts with {data[:1]!r}, expected byte 0 or 1")


def _wire_value(name: str, value: Any) -> Any:
    if name in IDENTIFIER_FIELDS:
        return pack_identifier(value)
    if name in IDENTIFIER_LIST_FIELDS:
        return [pack_identifier(item) for item in value]
    return list(value) if isinstance(value, tuple) else value


def _fields_by_wire_name(record: Any) -> dict[str, Any]:
    return {
        _wire_name(name): _wire_value(name, value)
        for name, value in zip(record._fields, record, strict=True)
        if name != "sender_id"
    }


@singledispatch
def wire_fields(record: Any, now: float) -> dict[str, Any]:
    """Return the values of a message or row by field name of the schema."""
    raise TypeError(f"no peer encoding for {record!r}; expected a peer message")


@wire_fields.register(messages.AdmissionQueued)
@wire_fields.register(messages.AskWithdrawn)
@wire_fields.register(messages.RunningCount)
@wire_fields.register(messages.ProgressAck)
@wire_fields.register(messages.Finished)
@wire_fields.register(messages.UpstreamFailures)
@wire_fields.register(messages.LeavingSeen)
@wire_fields.register(messages.AccountRate)
@wire_fields.register(messages.ServerLoad)
@wire_fields.register(messages.AccountShare)
def _encode_fields(record: Any, now: float) -> dict[str, Any]:
    return _fields_by_wire_name(record)


@wire_fields.register(messages.RunningRequest)
def _encode_running(message: messages.RunningRequest, now: float) -> dict[str, Any]:
    blocks = message.prefix_blocks[:MAXIMUM_PREFIX_BLOCKS]
    return _fields_by_wire_name(message._replace(prefix_blocks=blocks))


@wire_fields.register(messages.MoveReport)
def _encode_move_report(message: messages.MoveReport, now: float) -> dict[str, Any]:
    return _fields_by_wire_name(message) | {"outcome": _wire_name(message.outcome)}


@wire_fields.register(messages.AdmissionGrant)
@wire_fields.register(messages.MoveOrder)
@wire_fields.register(messages.BackoffSeen)
@wire_fields.register(rows.CrashRow)
def _encode_with_deadline(record: Any, now: float) -> dict[str, Any]:
    return _fields_by_wire_name(record) | {
        "deadline": _remaining_seconds(record.deadline, now)
    }


@wire_fields.register(messages.PlaceKept)
def _encode_place(message: messages.PlaceKept, now: float) -> dict[str, Any]:
    return _fields_by_wire_name(message) | {
        "queuedAt": _remaining_seconds(message.queued_at, now),
        "goalDeadline": _remaining_goal_seconds(message.goal_deadline, now),
        "deadline": _remaining_seconds(message.deadline, now),
    }


@wire_fields.register(messages.AdmissionAsk)
def _encode_ask(message: messages.AdmissionAsk, now: float) -> dict[str, Any]:
    blocks = message.prefix_blocks[:MAXIMUM_PREFIX_BLOCKS]
    fields = _fields_by_wire_name(message._replace(prefix_blocks=blocks))
    return fields | {
        "deadline": _remaining_seconds(message.deadline, now),
        "goalDeadline": _remaining_goal_seconds(message.goal_deadline, now),
    }


@wire_fields.register(messages.AdmissionRefusal)
def _encode_refusal(message: messages.AdmissionRefusal, now: float) -> dict[str, Any]:
    return _fields_by_wire_name(message) | {"code": message.code.number}


@wire_fields.register(messages.Progress)
def _encode_progress(message: messages.Progress, now: float) -> dict[str, Any]:
    return _fields_by_wire_name(message) | {
        "running": [wire_fields(running, now) for running in message.running],
        "counts": [wire_fields(count, now) for count in message.counts],
    }


@wire_fields.register(messages.FailuresSeen)
def _encode_failures(message: messages.FailuresSeen, now: float) -> dict[str, Any]:
    return {"failures": [wire_fields(seen, now) for seen in message.failures]}


@wire_fields.register(messages.CrashesSeen)
def _encode_crashes(message: messages.CrashesSeen, now: float) -> dict[str, Any]:
    return {"crashes": [wire_fields(row, now) for row in message.crashes]}


@wire_fields.register(messages.ServiceLoad)
def _encode_service_load(message: messages.ServiceLoad, now: float) -> dict[str, Any]:
    return _fields_by_wire_name(message) | {
        "accounts": [wire_fields(rate, now) for rate in message.accounts],
        "servers": [wire_fields(load, now) for load in message.servers],
    }


@wire_fields.register(messages.ServiceShares)
def _encode_service_shares(
    message: messages.ServiceShares, now: float
) -> dict[str, Any]:
    return _fields_by_wire_name(message) | {
        "shares": [wire_fields(share, now) for share in message.shares]
    }


@wire_fields.register(rows.MemberRow)
def _encode_member(row: rows.MemberRow, now: float) -> dict[str, Any]:
    fields = _fields_by_wire_name(row)
    # The receiver derives the deadline of a state from its own clock and settings.
    del fields["stateDeadline"]
    return fields


@wire_fields.register(messages.Probe)
@wire_fields.register(messages.ProbeAck)
def _encode_probe(
    message: messages.Probe | messages.ProbeAck, now: float
) -> dict[str, Any]:
    return _fields_by_wire_name(message) | {
        "members": [wire_fields(row, now) for row in message.members],
        "crashes": [wire_fields(row, now) for row in message.crashes],
    }


@wire_fields.register(messages.IndirectProbe)
def _encode_indirect_probe(
    message: messages.IndirectProbe, now: float
) -> dict[str, Any]:
    members = [wire_fields(row, now) for row in message.members]
    return _fields_by_wire_name(message) | {"members": members}


@singledispatch
def split_message(message: Any) -> tuple[messages.PeerMessage, ...]:
    """Return smaller messages that replace a message too large for a datagram.

    An empty tuple means that the message cannot be split.
    """
    return ()


@split_message.register(messages.Progress)
@split_message.register(messages.ProgressAck)
@split_message.register(messages.CrashesSeen)
def _split_lists(
    message: messages.Progress | messages.ProgressAck | messages.CrashesSeen,
) -> tuple[messages.PeerMessage, ...]:
    lists = {
        name: value
        for name, value in message._asdict().items()
        if isinstance(value, tuple)
    }
    if sum(map(len, lists.values())) < 2:
        return ()
    # The extra item of a list of odd length goes to the first and the second part in
    # turn, so that two lists of one item each are split too.
    first: dict[str, Any] = {}
    second: dict[str, Any] = {}
    extra = 1
    for name, value in lists.items():
        middle = (len(value) + extra) // 2
        if len(value) % 2:
            extra = 1 - extra
        first[name], second[name] = value[:middle], value[middle:]
    return message._replace(**first), message._replace(**second)


@split_message.register(messages.AdmissionAsk)
def _truncate_ask(message: messages.AdmissionAsk) -> tuple[messages.PeerMessage, ...]:
    blocks = message.prefix_blocks[:MAXIMUM_PREFIX_BLOCKS]
    if not blocks:
        return ()
    return (message._replace(prefix_blocks=blocks[: len(blocks) // 2]),)


@split_message.register(messages.Probe)
@split_message.register(messages.ProbeAck)
def _truncate_probe(
    message: messages.Probe | messages.ProbeAck,
) -> tuple[messages.PeerMessage, ...]:
    members, crashes = message.members, message.crashes
    if len(members) + len(crashes) < 2:
        return ()
    return (
        message._replace(
            members=members[: (len(members) + 1) // 2],
            crashes=crashes[: len(crashes) // 2],
        ),
    )


def _signature(
    key: settings_types.PeerKey, destination: PeerAddress, content: bytes
) -> bytes:
    signed = b"%d %s %d " % (key.id, destination.address.encode(), destination.port)
    secret = b"peers:" + key.secret.encode()
    return hmac.digest(secret, signed + content, sha256)[:SIGNATURE_BYTES]


def message_type_name(message: messages.PeerMessage) -> str:
    """Return the name of a message type, as used in metrics."""
    return type(message).__name__


def encode_message(
    message: messages.PeerMessage,
    incarnation: int,
    sequence: int,
    destination: PeerAddress,
    key: settings_types.PeerKey,
    now: float,
) -> bytes:
    """Return a message encoded as one signed datagram.

    The signature covers the destination, so that a recorded datagram cannot be
    replayed to another entry.

    Parameters
    ----------
    incarnation : int
        Incarnation of the sending process.
    sequence : int
        Sequence number of the datagram, higher than any earlier one of the process.
    now : float
        Current time in seconds of the sender's clock, which deadlines refer to.

    Raises
    ------
    MalformedMessageError
        If a value does not fit the schema.
    """
    try:
        content = _schema.Content.new_message(
            num_first_segment_words=SEGMENT_WORDS,
            senderId=message.sender_id,
            incarnation=incarnation,
            sequence=sequence,
            message={_wire_names_by_type[type(message)]: wire_fields(message, now)},
        ).to_bytes_packed()
    except (capnp.KjException, ValueError, OverflowError) as error:
        raise errors.MalformedMessageError(
            result_codes.PEER_MESSAGE_MALFORMED,
            f"{message_type_name(message)} cannot be encoded: {error}",
        ) from None
    return _schema.Envelope.new_message(
        keyId=key.id, signature=_signature(key, destination, content), content=content
    ).to_bytes()


def encode_datagrams(
    message: messages.PeerMessage,
    incarnation: int,
    next_sequence: Callable[[], int],
    destination: PeerAddress,
    key: settings_types.PeerKey,
    now: float,
) -> list[bytes]:
    """Return a message as datagrams of at most `DATAGRAM_BYTES` if it can be split.

    Raises
    ------
    MalformedMessageError
        If a value does not fit the schema, or a message that cannot be split exceeds
        `MAXIMUM_DATAGRAM_BYTES`.
    """
    datagram = encode_message(
        message, incarnation, next_sequence(), destination, key, now
    )
    if len(datagram) <= DATAGRAM_BYTES:
        return [datagram]
    parts = split_message(message)
    if not parts:
        if len(datagram) > MAXIMUM_DATAGRAM_BYTES:
            raise errors.MalformedMessageError(
                result_codes.PEER_MESSAGE_MALFORMED,
                f"{message_type_name(message)} has {len(datagram)} bytes, expected at "
                f"most {MAXIMUM_DATAGRAM_BYTES}",
            )
        return [datagram]
    return [
        encoded
        for part in parts
        for encoded in encode_datagrams(
            part, incarnation, next_sequence, destination, key, now
        )
    ]


def decode_message(
    datagram: bytes,
    destination: PeerAddress,
    keys: Sequence[settings_types.PeerKey],
    now: float,
) -> Received:
    """Verify and decode one datagram.

    Parameters
    ----------
    destination : PeerAddress
        Address of the receiver, which the signature must cover.
    keys : sequence of PeerKey
        Keys of which any one may verify the signature.
    now : float
        Current time in seconds of the receiver's clock, to which deadlines are
        converted.

    Raises
    ------
    MalformedMessageError
        If the signature is invalid or the content is not a peer message.
    """
    try:
        content = _verified_content(datagram, destination, keys)
        return _decode_content(content, now)
    except errors.MalformedMessageError:
        raise
    except (
        capnp.KjException,
        ValueError,
        OverflowError,
        KeyError,
        # pycapnp raises it for an enum value that is not in the schema.
        RuntimeError,
    ) as error:
        raise errors.MalformedMessageError(
            result_codes.PEER_MESSAGE_MALFORMED, f"not a peer message: {error}"
        ) from None


def _verified_content(
    datagram: bytes, destination: PeerAddress, keys: Sequence[settings_types.PeerKey]
) -> bytes:
    # The reader refers to the buffer, which must consist of whole words; the fields are
    # copied out of it.
    with _schema.Envelope.from_bytes(
        datagram,
        traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,
        nesting_limit=NESTING_LIMIT,
    ) as envelope:
        key_id = envelope.keyId
        signature, content = bytes(envelope.signature), bytes(envelope.content)
    for key in keys:
        if key.id == key_id and hmac.compare_digest(
            signature, _signature(key, destination, content)
        ):
            return content
    raise errors.MalformedMessageError(
        result_codes.PEER_SIGNATURE_INVALID,
        f"no configured key with id {key_id} verifies the signature",
    )


def _decode_content(content: bytes, now: float) -> Received:
    # If a reader of several segments is destroyed before it has read them all, its C++
    # destructor throws, which terminates the process.
    if content[:1] and content[0] & FURTHER_SEGMENTS_MASK:
        raise ValueError("content has several segments, expected one")
    reader = _schema.Content.from_bytes_packed(
        content,
        traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,
        nesting_limit=NESTING_LIMIT,
    )
    name = reader.message.which()
    sender_id = reader.senderId
    if not sender_id:
        raise ValueError("sender id is empty")
    message = _decode_record(
        _types_by_wire_name[str(name)],
        getattr(reader.message, str(name)),
        sender_id,
        now,
    )
    return Received(sender_id, reader.incarnation, reader.sequence, message)


def _decode_record(record_type: Any, reader: Any, sender_id: str, now: float) -> Any:
    values = {}
    for name in record_type._fields:
        if name == "sender_id":
            values[name] = sender_id
        elif name in _decoders_by_field:
            value = getattr(reader, _wire_name(name))
            values[name] = _decoders_by_field[name](value, now)
        elif name != "state_deadline":
            values[name] = getattr(reader, _wire_name(name))
    return record_type(**values)


def _checked_list(items: Any) -> Iterable[Any]:
    if len(items) > MAXIMUM_LIST_LENGTH:
        raise ValueError(
            f"list has {len(items)} items, expected at most {MAXIMUM_LIST_LENGTH}"
        )
    return items


def _decode_strings(value: Any, now: float) -> tuple[str, ...]:
    return tuple(_checked_list(value))


def _decode_identifier(value: bytes, now: float) -> str:
    return unpack_identifier(bytes(value))


def _decode_identifiers(value: Any, now: float) -> tuple[str, ...]:
    return tuple(unpack_identifier(bytes(item)) for item in _checked_list(value))


def _decode_deadline(value: float, now: float) -> float:
    return now + _decode_seconds(value, now)


def _decode_optional_deadline(value: float, now: float) -> float:
    return _decode_deadline(value, now) if value else 0.0


def _decode_seconds(value: float, now: float) -> float:
    if not math.isfinite(value):
        raise ValueError(f"duration is {value}, expected a finite number of seconds")
    return value


def _decode_quantity(value: float, now: float) -> float:
    if not math.isfinite(value) or value < 0:
        raise ValueError(f"quantity is {value}, expected a finite number from 0 up")
    return value


def _decode_share(value: float, now: float) -> float:
    if not 0 <= value <= 1:
        raise ValueError(f"share is {value}, expected a number from 0 to 1")
    return value


def _decode_code(value: int, now: float) -> result_codes.ResultCode:
    return result_codes.codes_by_number[value]


def _decode_state(value: Any, now: float) -> str:
    return str(value)


def _decode_strength(value: int, now: float) -> int:
    return min(max(value, rows.MINIMUM_STRENGTH), rows.MAXIMUM_STRENGTH)


def _decode_outcome(value: Any, now: float) -> str:
    return _outcomes_by_wire_name[str(value)]


_outcomes_by_wire_name = {
    _wire_name(outcome): outcome for outcome in get_args(rows.MoveOutcome)
}


def _list_decoder(record_type: Any) -> Callable[[Any, float], tuple[Any, ...]]:
    def decode_list(value: Any, now: float) -> tuple[Any, ...]:
        return tuple(
            _decode_record(record_type, item, "", now) for item in _checked_list(value)
        )

    return decode_list


_decoders_by_field: dict[str, Callable[[Any, float], Any]] = {
    **dict.fromkeys(IDENTIFIER_FIELDS, _decode_identifier),
    **dict.fromkeys(IDENTIFIER_LIST_FIELDS, _decode_identifiers),
    "excluded_upstream_ids": _decode_strings,
    "upstream_ids": _decode_strings,
    "cleared_ids": _decode_strings,
    "deadline": _decode_deadline,
    "queued_at": _decode_deadline,
    "goal_deadline": _decode_optional_deadline,
    "retry_after": _decode_seconds,
    "code": _decode_code,
    "state": _decode_state,
    "outcome": _decode_outcome,
    "strength": _decode_strength,
    "calls_per_second": _decode_quantity,
    "answers_per_second": _decode_quantity,
    "busy_seconds": _decode_quantity,
    "share": _decode_share,
    "accounts": _list_decoder(messages.AccountRate),
    "servers": _list_decoder(messages.ServerLoad),
    "shares": _list_decoder(messages.AccountShare),
    "running": _list_decoder(messages.RunningRequest),
    "counts": _list_decoder(messages.RunningCount),
    "failures": _list_decoder(messages.UpstreamFailures),
    "members": _list_decoder(rows.MemberRow),
    "crashes": _list_decoder(rows.CrashRow),
}
