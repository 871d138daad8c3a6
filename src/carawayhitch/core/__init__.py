"""Core data types: declarations, rows, events, messages, actions, settings, codes.

Each topic is a namespace, for example ``events.CallReceived`` and
``result_codes.QUEUE_FULL``.
"""

from __future__ import annotations

from carawayhitch.core import _actions as actions
from carawayhitch.core import _declarations as declarations
from carawayhitch.core import _errors as errors
from carawayhitch.core import _events as events
from carawayhitch.core import _messages as messages
from carawayhitch.core import _result_codes as result_codes
from carawayhitch.core import _rows as rows
from carawayhitch.core import _settings as settings

__all__ = [
    "actions",
    "declarations",
    "errors",
    "events",
    "messages",
    "result_codes",
    "rows",
    "settings",
]
