"""What differs between calls to engines, calls to plain services and resumes."""

from __future__ import annotations

from functools import singledispatch
from typing import Any, NamedTuple

from carawayhitch.core import rows


class AdmissionSize(NamedTuple):
    """What a scheduler needs to know to place a call, in tokens."""

    prompt_tokens: int = 0
    maximum_tokens: int = 0
    prefix_blocks: tuple[str, ...] = ()


@singledispatch
def is_idempotent(target: Any) -> bool:
    """Return whether the call may be sent to an upstream more than once."""
    raise TypeError(f"unknown target {target!r}; expected a type of core.rows.Target")


@is_idempotent.register
def _generation_is_idempotent(target: rows.GenerationTarget) -> bool:
    return True


@is_idempotent.register
def _resume_is_idempotent(target: rows.ResumeTarget) -> bool:
    return True


@is_idempotent.register
def _service_is_idempotent(target: rows.ServiceTarget) -> bool:
    return target.idempotent


@singledispatch
def admission_size(target: Any) -> AdmissionSize:
    """Return the size of a call; calls without a generation have none."""
    return AdmissionSize()


@admission_size.register
def _generation_size(target: rows.GenerationTarget) -> AdmissionSize:
    return AdmissionSize(
        target.prompt_tokens, target.maximum_tokens, target.prefix_blocks
    )
