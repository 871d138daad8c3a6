"""Settings files in TOML."""

from __future__ import annotations

import tomllib
from pathlib import Path

from carawayhitch.codecs._records import record_from_mapping
from carawayhitch.core import errors, result_codes
from carawayhitch.core import settings as settings_types


def read_settings(path: str) -> settings_types.Settings:
    """Return the checked settings of a TOML file.

    Raises
    ------
    InvalidValueError
        If the file cannot be read or a value is wrong; names file, key and value.
    """
    try:
        mapping = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise errors.InvalidValueError(
            result_codes.INVALID_SETTING, f"{path}: {error}"
        ) from None
    return record_from_mapping(settings_types.Settings, mapping, path)
