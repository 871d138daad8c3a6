"""Conversion between bytes and typed values.

Makes no decisions; only settings and declaration files are read here.
"""

from __future__ import annotations

from carawayhitch.codecs._calls import (
    bearer_token_sha256,
    decode_completion_token_count,
    decode_generation_target,
    encode_engine_request,
    encode_error_body,
    encode_error_event,
    parse_labels,
    request_sha256,
    sha256_hex,
)
from carawayhitch.codecs._declaration_files import (
    FolderDeclarations,
    encode_declarations_toml,
    read_declarations,
    sort_keys_by_dependency,
)
from carawayhitch.codecs._entries import (
    decode_entry_registration,
    decode_peer_keys,
    encode_entry_registration,
    encode_peer_keys,
    is_ip_address,
)
from carawayhitch.codecs._event_stream import EventBlock, split_events
from carawayhitch.codecs._journal import (
    decode_journal,
    decode_journal_layout,
    encode_journal,
    encode_journal_layout,
)
from carawayhitch.codecs._json_items import (
    ItemList,
    split_item_list,
    split_list,
    split_object,
)
from carawayhitch.codecs._keys import (
    decode_key_count,
    encode_issued_keys,
    forward_signature_payload,
    sign_forwarded_call,
    sign_issued_key,
    uuid7_unix_time,
    verify_forwarded_call,
    verify_issued_key,
)
from carawayhitch.codecs._object_exchange import (
    EXCHANGE_SIGNATURE_HEADER,
    decode_exchange,
    encode_exchange,
    sign_exchange,
    verify_exchange,
)
from carawayhitch.codecs._objects import (
    decode_declaration,
    decode_object,
    encode_declaration,
    encode_tombstone,
)
from carawayhitch.codecs._operators import (
    AccountShareBody,
    ChangeBody,
    MemberStatusBody,
    ObjectBody,
    ObjectsBody,
    StatusBody,
    UpstreamStatusBody,
    decode_change,
    decode_json_body,
    encode_change_answer,
    object_bodies_from_rows,
)
from carawayhitch.codecs._peer_messages import (
    PeerAddress,
    Received,
    decode_message,
    encode_datagrams,
    encode_message,
    message_type_name,
)
from carawayhitch.codecs._platform import (
    decode_cache_events,
    decode_engine_load,
    decode_engine_state,
    decode_object_list,
    decode_stored_object,
    decode_vm_list,
    decode_written_version,
    encode_json,
    encode_order,
)
from carawayhitch.codecs._records import mapping_from_record, record_from_mapping
from carawayhitch.codecs._replay_windows import ReplayWindow, advance_replay_window
from carawayhitch.codecs._resume_tokens import (
    ResumeToken,
    sign_resume_token,
    verify_resume_token,
)
from carawayhitch.codecs._settings_file import changed_setting_names, read_settings
from carawayhitch.codecs._traces import (
    TraceHeader,
    TraceStep,
    decode_trace,
    encode_trace_header,
    encode_trace_step,
    redact_private_data,
)

__all__ = [
    "EXCHANGE_SIGNATURE_HEADER",
    "AccountShareBody",
    "ChangeBody",
    "EventBlock",
    "FolderDeclarations",
    "ItemList",
    "MemberStatusBody",
    "ObjectBody",
    "ObjectsBody",
    "PeerAddress",
    "Received",
    "ReplayWindow",
    "ResumeToken",
    "StatusBody",
    "TraceHeader",
    "TraceStep",
    "UpstreamStatusBody",
    "advance_replay_window",
    "bearer_token_sha256",
    "changed_setting_names",
    "decode_cache_events",
    "decode_change",
    "decode_completion_token_count",
    "decode_declaration",
    "decode_engine_load",
    "decode_engine_state",
    "decode_entry_registration",
    "decode_exchange",
    "decode_generation_target",
    "decode_journal",
    "decode_journal_layout",
    "decode_json_body",
    "decode_key_count",
    "decode_message",
    "decode_object",
    "decode_object_list",
    "decode_peer_keys",
    "decode_stored_object",
    "decode_trace",
    "decode_vm_list",
    "decode_written_version",
    "encode_change_answer",
    "encode_datagrams",
    "encode_declaration",
    "encode_declarations_toml",
    "encode_engine_request",
    "encode_entry_registration",
    "encode_error_body",
    "encode_error_event",
    "encode_exchange",
    "encode_issued_keys",
    "encode_journal",
    "encode_journal_layout",
    "encode_json",
    "encode_message",
    "encode_order",
    "encode_peer_keys",
    "encode_tombstone",
    "encode_trace_header",
    "encode_trace_step",
    "forward_signature_payload",
    "is_ip_address",
    "mapping_from_record",
    "message_type_name",
    "object_bodies_from_rows",
    "parse_labels",
    "read_declarations",
    "read_settings",
    "record_from_mapping",
    "redact_private_data",
    "request_sha256",
    "sha256_hex",
    "sign_exchange",
    "sign_forwarded_call",
    "sign_issued_key",
    "sign_resume_token",
    "sort_keys_by_dependency",
    "split_events",
    "split_item_list",
    "split_list",
    "split_object",
    "uuid7_unix_time",
    "verify_exchange",
    "verify_forwarded_call",
    "verify_issued_key",
    "verify_resume_token",
]
