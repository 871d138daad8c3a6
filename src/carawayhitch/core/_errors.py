"""Exceptions that carry a result code."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawayhitch.core._result_codes import ResultCode


class CarawayhitchError(Exception):
    """Base of all errors of this package.

    Parameters
    ----------
    code : ResultCode
        Result code of the failure.
    message : str
        The value found, the value expected and how to resolve the problem.
    """

    def __init__(self, code: ResultCode, message: str) -> None:
        super().__init__(f"{code.name} ({code.number}): {message}")
        self.code = code
        self.message = message


class InvalidValueError(CarawayhitchError, ValueError):
    """A settings file, declaration or request contains an invalid value."""


class MalformedMessageError(CarawayhitchError, ValueError):
    """Bytes from a peer, store, engine or caller could not be decoded."""


class StoreError(CarawayhitchError):
    """A call to the object store failed or its outcome is unknown."""


class CallRefusedError(CarawayhitchError):
    """A call was refused before any part of it ran."""
