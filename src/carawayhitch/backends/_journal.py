"""Read and write claim journals as objects in the object store."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import singledispatch
from typing import Any

from carawayhitch.codecs import (
    decode_journal,
    decode_journal_layout,
    encode_journal,
    encode_journal_layout,
)
from carawayhitch.core import actions, errors, events

# Function that performs a store action and returns the resulting event.
PerformStoreAction = Callable[[Any], Awaitable[Any]]

JOURNAL_KIND = "claim_journal"
LAYOUT_NAME = "layout"


@singledispatch
async def call_journal(
    action: Any, perform: PerformStoreAction, unix_minus_node_clock: float
) -> Any:
    """Perform an action on a journal and return the resulting event.

    Parameters
    ----------
    unix_minus_node_clock : float
        Seconds to add to a time of the node clock to get Unix time, in which journals
        store times.
    """
    raise TypeError(f"not a journal action: {action!r}")


@call_journal.register
async def _read_journal(
    action: actions.ReadJournal,
    perform: PerformStoreAction,
    unix_minus_node_clock: float,
) -> Any:
    read = actions.ReadObject(action.operation_id, JOURNAL_KIND, action.shard)
    event = await perform(read)
    if not isinstance(event, events.ObjectRead):
        return event
    stored = event.stored
    try:
        records = decode_journal(stored.value, unix_minus_node_clock)
    except errors.MalformedMessageError as error:
        return events.StoreCallFailed(action.operation_id, error.message)
    return events.JournalRead(action.operation_id, stored.version, records)


@call_journal.register
async def _write_journal(
    action: actions.WriteJournal,
    perform: PerformStoreAction,
    unix_minus_node_clock: float,
) -> Any:
    value = encode_journal(action.records, unix_minus_node_clock)
    write = actions.WriteObject(
        action.operation_id, JOURNAL_KIND, action.shard, value, action.expected_version
    )
    return await perform(write)


@call_journal.register
async def _read_layout(
    action: actions.ReadLayout,
    perform: PerformStoreAction,
    unix_minus_node_clock: float,
) -> Any:
    read = actions.ReadObject(action.operation_id, JOURNAL_KIND, LAYOUT_NAME)
    event = await perform(read)
    if not isinstance(event, events.ObjectRead):
        return event
    try:
        layout = decode_journal_layout(event.stored.value)
    except errors.MalformedMessageError as error:
        return events.StoreCallFailed(action.operation_id, error.message)
    return events.LayoutRead(action.operation_id, layout)


@call_journal.register
async def _write_layout(
    action: actions.WriteLayout,
    perform: PerformStoreAction,
    unix_minus_node_clock: float,
) -> Any:
    value = encode_journal_layout(action.layout)
    write = actions.WriteObject(
        action.operation_id, JOURNAL_KIND, LAYOUT_NAME, value, 0
    )
    return await perform(write)
