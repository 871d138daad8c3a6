"""Events of the process: start, stop, reloaded settings, named timers."""

from __future__ import annotations

from typing import NamedTuple

from carawayhitch.core._settings import Settings


class ProcessStarted(NamedTuple):
    """The event loop of the node has started; controllers set their first timers.

    Parameters
    ----------
    elapsed_seconds : float
        Time since the process was created; 0 if the system does not tell it.
    """

    incarnation: int
    elapsed_seconds: float = 0.0


class StopRequested(NamedTuple):
    """The process was asked to stop.

    Parameters
    ----------
    immediate : bool
        Whether an operator requested the stop without a drain.
    """

    immediate: bool


class SettingsRead(NamedTuple):
    """The settings file was reloaded and all of it is valid.

    Parameters
    ----------
    changed_keys : tuple of str
        Dotted names of the values that differ from the settings in force. Controllers
        use these names instead of comparing values, because traces contain no secrets
        and a replay could not compare them.
    """

    settings: Settings
    changed_keys: tuple[str, ...]


class SettingsRejected(NamedTuple):
    """The settings file was reloaded and is invalid."""

    message: str


class TimerFired(NamedTuple):
    """A named timer expired; ``subject`` identifies what it was set for, if needed."""

    name: str
    subject: str = ""
