"""Registration of this entry in the platform's store and loading of peer keys."""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.core import actions, events, result_codes

PEER_KEYS_OPERATION = "peer_keys"
REGISTRATION_OPERATION = "registration"
# With its jitter, short enough for a new entry to become a member within a second after
# the store recovers.
RETRY_DELAY_SECONDS = 0.5
# Entries that start together spread the creation of a key over this time.
KEY_CREATION_SPREAD_SECONDS = 0.5

decide = new_controller()


@decide.register(events.ProcessStarted)
def _start_registration(
    event: events.ProcessStarted, board: Board, now: float, random: Random
) -> Actions:
    if not board.settings.gateway.address:
        return ()
    register = actions.RegisterEntry(REGISTRATION_OPERATION, 0)
    if board.settings.peers.keys:
        return (register,)
    return (actions.LoadPeerKeys(PEER_KEYS_OPERATION, may_create=False), register)


@decide.register(events.PeerKeysAbsent)
def _schedule_key_creation(
    event: events.PeerKeysAbsent, board: Board, now: float, random: Random
) -> Actions:
    """Look again after a random time, and create a key if there is still none.

    When all entries start together, few of them write, and the others read that key.
    """
    timer = events.TimerFired(PEER_KEYS_OPERATION)
    delay = random.uniform(0.0, KEY_CREATION_SPREAD_SECONDS)
    return (actions.SetTimer(now + delay, timer),)


@decide.register(events.PeerKeysRead)
def _log_peer_keys(
    event: events.PeerKeysRead, board: Board, now: float, random: Random
) -> Actions:
    ids = [key.id for key in event.keys]
    return (actions.Log("info", "peer keys read", {"peer_key_ids": ids}),)


@decide.register(events.ObjectWritten)
def _handle_registration_result(
    event: events.ObjectWritten, board: Board, now: float, random: Random
) -> Actions:
    if event.operation_id != REGISTRATION_OPERATION:
        return ()
    if event.accepted or event.unchanged:
        return (actions.Log("info", "entry registered", {"revision": event.version}),)
    # An earlier process with this name has registered, possibly on another machine. The
    # write is repeated with the version found.
    return (actions.RegisterEntry(REGISTRATION_OPERATION, event.version),)


@decide.register(events.StoreCallFailed)
def _schedule_retry(
    event: events.StoreCallFailed, board: Board, now: float, random: Random
) -> Actions:
    if event.operation_id not in (PEER_KEYS_OPERATION, REGISTRATION_OPERATION):
        return ()
    return (
        actions.Count(result_codes.STORE_CALL_FAILED),
        *_set_retry_timer(event.operation_id, now, random),
    )


@decide.register(events.TimerFired)
def _retry_call(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name not in (PEER_KEYS_OPERATION, REGISTRATION_OPERATION):
        return ()
    if _is_store_down(board):
        return _set_retry_timer(event.name, now, random)
    if event.name == PEER_KEYS_OPERATION:
        return (actions.LoadPeerKeys(PEER_KEYS_OPERATION),)
    return (actions.RegisterEntry(REGISTRATION_OPERATION, 0),)


def _is_store_down(board: Board) -> bool:
    """Return whether a scope of the store is being probed since all of them fail.

    Load pattern: hundreds of entries start while the store is down, and each refused
    call is charged. The probe shows when the store answers again.
    """
    scopes = board.store_scopes_by_name.values()
    return bool(scopes) and all(row.failure_count for row in scopes)


def _set_retry_timer(operation: str, now: float, random: Random) -> Actions:
    delay = RETRY_DELAY_SECONDS * random.uniform(0.5, 1.5)
    return (actions.SetTimer(now + delay, events.TimerFired(operation)),)
