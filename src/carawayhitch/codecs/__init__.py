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
    request_sha256,
    sha256_hex,
)
from carawayhitch.codecs._event_stream import EventBlock, split_events
from carawayhitch.codecs._journal import (
    decode_journal,
    decode_layout,
    encode_journal,
    encode_layout,
)
from carawayhitch.codecs._keys import (
    decode_key_count,
    encode_keys,
    forward_proof,
    key_unix_time,
    sign_forward,
    sign_issued_key,
    verify_forward,
    verify_issued_key,
)
from carawayhitch.codecs._objects import (
    declaration_from_value,
    decode_objects,
    value_from_declaration,
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
    "EventBlock",
    "PeerAddress",
    "Received",
    "ReplayWindow",
    "ResumeToken",
    "TraceHeader",
    "TraceStep",
    "advance_window",
    "answer_token_count",
    "bearer_token_sha256",
    "declaration_from_value",
    "decode_cache_events",
    "decode_engine_state",
    "decode_journal",
    "decode_key_count",
    "decode_layout",
    "decode_load",
    "decode_message",
    "decode_objects",
    "decode_objects_listed",
    "decode_stored_object",
    "decode_trace",
    "decode_vm_list",
    "decode_written_version",
    "encode_datagrams",
    "encode_header",
    "encode_journal",
    "encode_json",
    "encode_keys",
    "encode_layout",
    "encode_message",
    "encode_order",
    "encode_step",
    "engine_body",
    "error_body",
    "error_event",
    "forward_proof",
    "generation_target",
    "key_unix_time",
    "mapping_from_record",
    "message_name",
    "parse_labels",
    "read_settings",
    "record_from_mapping",
    "request_sha256",
    "sha256_hex",
    "sign_forward",
    "sign_issued_key",
    "sign_resume_token",
    "split_events",
    "value_from_declaration",
    "verify_forward",
    "verify_issued_key",
    "verify_resume_token",
    "without_private_data",
]
