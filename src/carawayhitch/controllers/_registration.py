"""How an entry makes itself known through the platform's store."""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.core import actions, events, result_codes

KEY_OPERATION = "peer_keys"
REGISTER_OPERATION = "registration"
# A new entry is a member within a second of the store's return.
RETRY_SECONDS = 0.5

decide = new_controller()


@decide.register(events.ProcessStarted)
def _start(
    event: events.ProcessStarted, board: Board, now: float, random: Random
) -> Actions:
    if not board.settings.gateway.address:
        return ()
    registered = actions.RegisterEntry(REGISTER_OPERATION, 0)
    if board.settings.peers.keys:
        return (registered,)
    return (actions.LoadPeerKeys(KEY_OPERATION), registered)


@decide.register(events.PeerKeysRead)
def _use_keys(
    event: events.PeerKeysRead, board: Board, now: float, random: Random
) -> Actions:
    ids = [key.id for key in event.keys]
    return (actions.Log("info", "peer keys read", {"peer_key_ids": ids}),)


@decide.register(events.ObjectWritten)
def _note_registration(
    event: events.ObjectWritten, board: Board, now: float, random: Random
) -> Actions:
    if event.operation_id != REGISTER_OPERATION:
        return ()
    if event.accepted or event.unchanged:
        return (actions.Log("info", "entry registered", {"revision": event.version}),)
    # The registration of an earlier process with this name, perhaps elsewhere.
    return (actions.RegisterEntry(REGISTER_OPERATION, event.version),)


@decide.register(events.StoreCallFailed)
def _try_again(
    event: events.StoreCallFailed, board: Board, now: float, random: Random
) -> Actions:
    if event.operation_id not in (KEY_OPERATION, REGISTER_OPERATION):
        return ()
    pause = RETRY_SECONDS * random.uniform(0.5, 1.5)
    timer = events.TimerFired(event.operation_id)
    return (
        actions.Count(result_codes.STORE_CALL_FAILED),
        actions.SetTimer(now + pause, timer),
    )


@decide.register(events.TimerFired)
def _call_again(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name == KEY_OPERATION:
        return (actions.LoadPeerKeys(KEY_OPERATION),)
    if event.name == REGISTER_OPERATION:
        return (actions.RegisterEntry(REGISTER_OPERATION, 0),)
    return ()
