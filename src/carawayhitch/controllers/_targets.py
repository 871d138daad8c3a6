"""Behaviour that depends on the target of a call: engine, plain service or resume."""

from __future__ import annotations

from collections.abc import Sequence
from functools import singledispatch
from typing import Any, NamedTuple
from urllib.parse import unquote

from carawayhitch.core import declarations, result_codes, rows
from carawayhitch.core import settings as settings_types

READ_METHODS = frozenset({"GET", "HEAD"})
AMBIGUOUS_PATH_SEGMENTS = frozenset({"", ".", ".."})
# Fraction of a route's ``patience_seconds`` that a call may wait for an upstream.
PATIENCE_WAIT_FRACTION = 0.6


class AdmissionSize(NamedTuple):
    """Size of a call, in tokens and prefix blocks, by which a scheduler places it."""

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


@is_idempotent.register
def _forward_is_idempotent(target: rows.ForwardTarget) -> bool:
    return False


@is_idempotent.register
def _routed_is_idempotent(target: rows.RoutedTarget) -> bool:
    return target.repeatable or target.resumable


@singledispatch
def needs_claim(target: Any) -> bool:
    """Return whether a call is recorded under its idempotency key before it is sent."""
    return not is_idempotent(target)


@needs_claim.register
def _routed_needs_claim(target: rows.RoutedTarget) -> bool:
    # Callers of HTTP routes send no idempotency keys, so each request is a new call.
    return False


@singledispatch
def first_sequence(target: Any) -> int:
    """Return the sequence number of the last event that the caller has, or 0."""
    return 0


@first_sequence.register
def _routed_first_sequence(target: rows.RoutedTarget) -> int:
    return target.last_sequence


@singledispatch
def service_name(target: Any) -> str:
    """Return the name of the plain service of a call; empty for calls to engines."""
    return ""


@service_name.register(rows.ServiceTarget)
@service_name.register(rows.ForwardTarget)
def _plain_service_name(target: rows.ServiceTarget | rows.ForwardTarget) -> str:
    return target.service


@singledispatch
def admission_size(target: Any) -> AdmissionSize:
    """Return the size of a call; zero for calls without a generation."""
    return AdmissionSize()


@admission_size.register
def _generation_admission_size(target: rows.GenerationTarget) -> AdmissionSize:
    return AdmissionSize(
        target.prompt_tokens, target.maximum_tokens, target.prefix_blocks
    )


@admission_size.register
def _routed_admission_size(target: rows.RoutedTarget) -> AdmissionSize:
    return AdmissionSize(
        target.prompt_tokens, target.maximum_tokens, target.prefix_blocks
    )


@singledispatch
def final_code(target: Any, sent: bool) -> result_codes.ResultCode | None:
    """Return the code that ends a failed call, or None if it may be retried."""
    return None


@final_code.register
def _resume_final_code(
    target: rows.ResumeTarget, sent: bool
) -> result_codes.ResultCode | None:
    return result_codes.STREAM_LOST


@final_code.register
def _service_final_code(
    target: rows.ServiceTarget, sent: bool
) -> result_codes.ResultCode | None:
    return result_codes.OUTCOME_UNKNOWN if sent and not target.idempotent else None


@final_code.register
def _forward_final_code(
    target: rows.ForwardTarget, sent: bool
) -> result_codes.ResultCode | None:
    # Only the entry that issued the idempotency key knows whether an earlier call ran.
    return result_codes.OUTCOME_UNKNOWN


@final_code.register
def _routed_final_code(
    target: rows.RoutedTarget, sent: bool
) -> result_codes.ResultCode | None:
    repeatable = is_idempotent(target) or not sent
    return None if repeatable else result_codes.UPSTREAM_FAILED


@singledispatch
def is_streamed(target: Any) -> bool:
    """Return whether the upstream answers with a stream."""
    return False


@is_streamed.register
def _generation_is_streamed(target: rows.GenerationTarget) -> bool:
    return target.stream


@is_streamed.register
def _routed_is_streamed(target: rows.RoutedTarget) -> bool:
    return target.streamed


@singledispatch
def returns_generation_id(target: Any) -> bool:
    """Return whether the upstream returns a generation id, by which it is cancelled.

    Other calls are cancelled by closing their connection.
    """
    return is_streamed(target)


@returns_generation_id.register
def _routed_returns_generation_id(target: rows.RoutedTarget) -> bool:
    return False


@singledispatch
def can_continue(target: Any) -> bool:
    """Return whether another upstream can continue a partly delivered stream."""
    return False


@can_continue.register
def _routed_can_continue(target: rows.RoutedTarget) -> bool:
    return target.resumable


@singledispatch
def can_retry_error_answer(target: Any) -> bool:
    """Return whether an answer with an error status may lead to another attempt.

    Engines and declared services report failures by closing the connection or by
    statuses that their backends turn into failure events.
    """
    return False


@can_retry_error_answer.register
def _routed_can_retry_error_answer(target: rows.RoutedTarget) -> bool:
    return is_idempotent(target)


@singledispatch
def has_silence_timeout(target: Any) -> bool:
    """Return whether a silent upstream is abandoned before the caller's deadline."""
    return True


@has_silence_timeout.register
def _routed_has_silence_timeout(target: rows.RoutedTarget) -> bool:
    # Abandoning a silent upstream only helps if another attempt is allowed, or if it
    # frees the caller of a stream that has stalled.
    return is_idempotent(target) or target.streamed


@singledispatch
def caller_patience(target: Any) -> float:
    """Return the gap in seconds after which callers abandon a stream; 0 if unknown."""
    return 0.0


@caller_patience.register
def _routed_caller_patience(target: rows.RoutedTarget) -> float:
    return target.patience_seconds if target.streamed else 0.0


@singledispatch
def first_byte_timeout(target: Any, settings: settings_types.Settings) -> float:
    """Return the limit on the time to the first byte of an answer, in seconds."""
    return settings.streams.first_byte_timeout_seconds


@first_byte_timeout.register
def _generation_first_byte_timeout(
    target: rows.GenerationTarget, settings: settings_types.Settings
) -> float:
    # Without streaming, an engine sends the first byte after the last token.
    if target.stream:
        return settings.streams.first_byte_timeout_seconds
    return settings.limits.default_deadline_seconds


@singledispatch
def apply_declaration(target: Any, configuration: declarations.Configuration) -> Any:
    """Return the target with the declared properties of its calls."""
    return target


@apply_declaration.register
def _apply_service_declaration(
    target: rows.ServiceTarget, configuration: declarations.Configuration
) -> rows.ServiceTarget:
    service = configuration.services_by_name.get(target.service)
    routes = service.routes if service else ()
    declared = find_route(routes, target.method, target.path)
    if declared is None:
        return target._replace(idempotent=target.method in READ_METHODS)
    return target._replace(idempotent=declared.idempotent)


def find_route(
    routes: Sequence[declarations.ServiceRoute], method: str, path: str
) -> declarations.ServiceRoute | None:
    """Return the route with the longest matching prefix of whole path segments, if any.

    A path with empty, ``.`` or ``..`` segments, also percent-encoded ones, matches no
    route, because the client library or the service may resolve it to another path.
    """
    path = unquote(path)
    if not AMBIGUOUS_PATH_SEGMENTS.isdisjoint(path.rstrip("/").split("/")[1:]):
        return None
    matching = [
        route
        for route in routes
        if route.method == method
        and (path + "/").startswith(route.path_prefix.rstrip("/") + "/")
    ]
    return max(matching, key=lambda route: len(route.path_prefix), default=None)
