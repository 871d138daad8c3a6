"""Bytes to typed values and back; no decisions and no I/O but settings files."""

from __future__ import annotations

from carawayhitch.codecs._calls import (
    answer_token_count,
    bearer_token_sha256,
    engine_body,
    error_body,
    error_event,
    generation_target,
    parse_labels,
    sha256_hex,
)
from carawayhitch.codecs._declaration_files import (
    DeclaredFolder,
    declarations_toml,
    read_declarations,
    sorted_keys,
)
from carawayhitch.codecs._event_stream import EventBlock, split_events
from carawayhitch.codecs._object_exchange import (
    PEER_HEADER,
    decode_exchange,
    encode_exchange,
    sign_exchange,
    verify_exchange,
)
from carawayhitch.codecs._objects import (
    declaration_from_value,
    decode_object,
    value_from_declaration,
    value_of_deletion,
)
from carawayhitch.codecs._operators import (
    ChangeBody,
    MemberStatusBody,
    ObjectBody,
    ObjectsBody,
    StatusBody,
    UpstreamStatusBody,
    change_answer,
    decode_body,
    decode_change,
    describe_objects,
)
from carawayhitch.codecs._peer_messages import (
    PeerAddress,
    Received,
    decode_message,
    encode_datagrams,
    encode_message,
    message_name,
)
from carawayhitch.codecs._platform import (
    decode_cache_events,
    decode_engine_state,
    decode_load,
    decode_objects_listed,
    decode_stored_object,
    decode_vm_list,
    decode_written_version,
    encode_json,
    encode_order,
)
from carawayhitch.codecs._records import mapping_from_record, record_from_mapping
from carawayhitch.codecs._replay_windows import ReplayWindow, advance_window
from carawayhitch.codecs._resume_tokens import (
    ResumeToken,
    sign_resume_token,
    verify_resume_token,
)
from carawayhitch.codecs._settings_file import read_settings
from carawayhitch.codecs._traces import (
    TraceHeader,
    TraceStep,
    decode_trace,
    encode_header,
    encode_step,
    without_private_data,
)

__all__ = [
    "PEER_HEADER",
    "ChangeBody",
    "DeclaredFolder",
    "EventBlock",
    "MemberStatusBody",
    "ObjectBody",
    "ObjectsBody",
    "PeerAddress",
    "Received",
    "ReplayWindow",
    "ResumeToken",
    "ResumeToken",
    "StatusBody",
    "TraceHeader",
    "TraceStep",
    "UpstreamStatusBody",
    "advance_window",
    "answer_token_count",
    "bearer_token_sha256",
    "change_answer",
    "declaration_from_value",
    "declarations_toml",
    "decode_body",
    "decode_cache_events",
    "decode_change",
    "decode_engine_state",
    "decode_exchange",
    "decode_load",
    "decode_load",
    "decode_message",
    "decode_object",
    "decode_objects_listed",
    "decode_stored_object",
    "decode_trace",
    "decode_vm_list",
    "decode_written_version",
    "describe_objects",
    "encode_datagrams",
    "encode_exchange",
    "encode_header",
    "encode_json",
    "encode_message",
    "encode_order",
    "encode_step",
    "engine_body",
    "error_body",
    "error_event",
    "generation_target",
    "mapping_from_record",
    "message_name",
    "parse_labels",
    "read_declarations",
    "read_settings",
    "record_from_mapping",
    "sha256_hex",
    "sign_exchange",
    "sign_resume_token",
    "sorted_keys",
    "split_events",
    "value_from_declaration",
    "value_of_deletion",
    "verify_exchange",
    "verify_resume_token",
    "without_private_data",
]
