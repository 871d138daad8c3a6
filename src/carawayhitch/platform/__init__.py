"""Adapter for the users' platform: its protocol names, message formats and calls.

Translates between the platform's messages and declarations, events and actions, and
makes no decisions. No other package uses the platform's protocol names.
"""

from __future__ import annotations

from carawayhitch.platform._calls import CallHead, decode_call, valid_request_id
from carawayhitch.platform._declarations import decode_object
from carawayhitch.platform._engines import copy_memory, read_report, release_memory
from carawayhitch.platform._names import READINESS_PATH
from carawayhitch.platform._store import PlatformStore, call_platform_store
from carawayhitch.platform._upstreams import run_routed_call

__all__ = [
    "READINESS_PATH",
    "CallHead",
    "PlatformStore",
    "call_platform_store",
    "copy_memory",
    "decode_call",
    "decode_object",
    "read_report",
    "release_memory",
    "run_routed_call",
    "valid_request_id",
]
