"""Events of the process: start, stop, settings, timers."""

from __future__ import annotations

from typing import NamedTuple

from carawayhitch.core._settings import Settings


class ProcessStarted(NamedTuple):
    """The node loop runs; controllers set their first timers."""

    incarnation: int


class StopRequested(NamedTuple):
    """The process was asked to stop; ``immediate`` by an operator."""

    immediate: bool


class SettingsRead(NamedTuple):
    """The settings file was read again and is valid as a whole.

    Parameters
    ----------
    changed_keys : tuple of str
        Dotted names of the values that differ from the settings in force. Decisions
        use these names, because a trace has no secrets that could be compared.
    """

    settings: Settings
    changed_keys: tuple[str, ...]


class SettingsRejected(NamedTuple):
    """The settings file was read again and is not valid."""

    message: str


class TimerFired(NamedTuple):
    """A named timer without further data."""

    name: str
    subject: str = ""
