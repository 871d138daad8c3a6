"""Settings files in TOML."""

from __future__ import annotations

import tomllib
from pathlib import Path

from carawayhitch.codecs._records import record_from_mapping
from carawayhitch.core import errors, result_codes
from carawayhitch.core import settings as settings_types


def read_settings(path: str) -> settings_types.Settings:
    """Return the validated settings in a TOML file.

    Raises
    ------
    InvalidValueError
        If the file cannot be read or a value is invalid. The message names the file,
        key and value.
    """
    try:
        mapping = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise errors.InvalidValueError(
            result_codes.INVALID_SETTING, f"{path}: {error}"
        ) from None
    settings = record_from_mapping(settings_types.Settings, mapping, path)
    _validate_peer_keys(settings, path)
    _validate_consistent_scopes(settings.store, path)
    _validate_relaxed_watches(settings.store, path)
    return settings


def _validate_consistent_scopes(store: settings_types.StoreSettings, path: str) -> None:
    for scope in store.consistent_scopes:
        if scope not in store.scopes or scope in store.stale_scopes:
            raise errors.InvalidValueError(
                result_codes.INVALID_SETTING,
                f"{path}: key 'store.consistent_scopes': expected scopes that are in"
                f" 'store.scopes' and not in 'store.stale_scopes', found {scope!r}",
            )


def _validate_relaxed_watches(store: settings_types.StoreSettings, path: str) -> None:
    if store.relaxed_watch_seconds and not store.relaxed_scopes:
        raise errors.InvalidValueError(
            result_codes.INVALID_SETTING,
            f"{path}: key 'store.relaxed_watch_seconds': expected 0 without"
            f" 'store.relaxed_scopes', found {store.relaxed_watch_seconds}",
        )


def _validate_peer_keys(settings: settings_types.Settings, path: str) -> None:
    ids = [key.id for key in settings.peers.keys]
    if not ids and settings.gateway.address:
        # With a gateway, the peer keys are an object in the platform's store.
        return
    if not ids or len(set(ids)) < len(ids):
        raise errors.InvalidValueError(
            result_codes.INVALID_SETTING,
            f"{path}: key 'peers.keys': expected at least one key and distinct ids,"
            f" found ids {ids}",
        )


def changed_setting_names(
    old: settings_types.Settings, new: settings_types.Settings
) -> tuple[str, ...]:
    """Return the dotted names of the settings that differ, without their values."""
    return tuple(
        f"{section}.{name}"
        for section in old._fields
        for name in getattr(old, section)._fields
        if getattr(getattr(old, section), name) != getattr(getattr(new, section), name)
    )
