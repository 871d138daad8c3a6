"""Reload of the settings that can change without a restart."""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.core import actions, events, result_codes
from carawayhitch.core import settings as settings_types

LOG_LEVEL_KEY = "logs.level"
RELOADABLE_KEYS = frozenset({"peers.keys", "admin.token_sha256", LOG_LEVEL_KEY})

decide = new_controller()


@decide.register(events.SettingsRead)
def _apply_reloaded_settings(
    event: events.SettingsRead, board: Board, now: float, random: Random
) -> Actions:
    old, new = board.settings, event.settings
    board.settings_by_name["in_force"] = merge_reloadable_settings(old, new)
    applied = [key for key in event.changed_keys if key in RELOADABLE_KEYS]
    decided: list[actions.Action] = [
        actions.Log("warning", "setting needs a restart, ignored", {"key": key})
        for key in event.changed_keys
        if key not in RELOADABLE_KEYS
    ]
    if LOG_LEVEL_KEY in applied:
        decided.append(actions.OpenLog())
    fields = {"changed_keys": applied, "peer_key_ids": peer_key_ids(new)}
    decided.append(actions.Log("info", "settings read", fields))
    return decided


@decide.register(events.PeerKeysRead)
def _apply_store_peer_keys(
    event: events.PeerKeysRead, board: Board, now: float, random: Random
) -> Actions:
    settings = board.settings
    peers = settings.peers._replace(keys=event.keys)
    board.settings_by_name["in_force"] = settings._replace(peers=peers)
    return ()


@decide.register(events.SettingsRejected)
def _report_rejected_settings(
    event: events.SettingsRejected, board: Board, now: float, random: Random
) -> Actions:
    code = result_codes.INVALID_SETTING
    fields = {"code": code.name, "problem": event.message}
    return (
        actions.Log("error", "settings rejected, nothing changed", fields),
        actions.Count(code, ""),
    )


def merge_reloadable_settings(
    old: settings_types.Settings, new: settings_types.Settings
) -> settings_types.Settings:
    """Return the old settings with the reloadable values taken from the new ones."""
    return old._replace(
        peers=old.peers._replace(keys=new.peers.keys or old.peers.keys),
        admin=old.admin._replace(token_sha256=new.admin.token_sha256),
        logs=old.logs._replace(level=new.logs.level),
    )


def peer_key_ids(settings: settings_types.Settings) -> list[int]:
    """Return the ids of the peer keys; the first key signs messages."""
    return [key.id for key in settings.peers.keys]
