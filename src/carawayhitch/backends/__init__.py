"""I/O with other processes: functions perform actions and return or submit events."""

from __future__ import annotations

from carawayhitch.backends._bodies import BodyTooLargeError, read_limited
from carawayhitch.backends._body_memory import (
    SMALL_BODY_BYTES,
    BodyMemory,
    RequestBody,
    new_body_memory,
    write_buffer_bytes,
)
from carawayhitch.backends._calls import (
    CONNECTION_HEADERS,
    STREAM_READ_BYTES,
    CallContent,
    Caller,
    Submit,
    UpstreamCall,
    UpstreamSessions,
    new_call_failure,
    submit_failures,
)
from carawayhitch.backends._engine_orders import read_engine_state, send_order
from carawayhitch.backends._engines import (
    cancel_generation,
    resume_generation,
    run_generation,
)
from carawayhitch.backends._forwards import (
    FORWARD_PATH,
    PROOF_HEADER,
    forward_call,
)
from carawayhitch.backends._journal import call_journal
from carawayhitch.backends._object_exchange import exchange_objects
from carawayhitch.backends._object_store import StoreClient, call_store
from carawayhitch.backends._peer_keys import load_peer_keys
from carawayhitch.backends._peers import PeerSocket
from carawayhitch.backends._plain_services import run_service_call
from carawayhitch.backends._platform import (
    check_listening,
    read_cache_events,
    read_load,
    read_vm_list,
)
from carawayhitch.backends._sessions import open_session, single_send_middleware

__all__ = [
    "CONNECTION_HEADERS",
    "FORWARD_PATH",
    "PROOF_HEADER",
    "SMALL_BODY_BYTES",
    "STREAM_READ_BYTES",
    "BodyMemory",
    "BodyTooLargeError",
    "CallContent",
    "Caller",
    "PeerSocket",
    "RequestBody",
    "StoreClient",
    "Submit",
    "UpstreamCall",
    "UpstreamSessions",
    "call_journal",
    "call_store",
    "cancel_generation",
    "check_listening",
    "exchange_objects",
    "forward_call",
    "load_peer_keys",
    "new_body_memory",
    "new_call_failure",
    "open_session",
    "read_cache_events",
    "read_engine_state",
    "read_limited",
    "read_load",
    "read_vm_list",
    "resume_generation",
    "run_generation",
    "run_service_call",
    "send_order",
    "single_send_middleware",
    "submit_failures",
    "write_buffer_bytes",
]
