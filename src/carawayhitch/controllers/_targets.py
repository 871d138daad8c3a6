"""What differs between calls to engines, calls to plain services and resumes."""

from __future__ import annotations

from collections.abc import Sequence
from functools import singledispatch
from typing import Any, NamedTuple
from urllib.parse import unquote

from carawayhitch.core import declarations, rows

READ_METHODS = frozenset({"GET", "HEAD"})
UNCERTAIN_SEGMENTS = frozenset({"", ".", ".."})


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


@is_idempotent.register
def _forward_is_idempotent(target: rows.ForwardTarget) -> bool:
    return False


@singledispatch
def may_move(target: Any) -> bool:
    """Return whether a call that was not sent may go to another upstream."""
    return True


@may_move.register
def _forward_may_move(target: rows.ForwardTarget) -> bool:
    # Only the entry that issued the key knows whether an earlier call ran.
    return False


@singledispatch
def service_name(target: Any) -> str:
    """Return the plain service of a call; empty for calls to engines."""
    return ""


@service_name.register(rows.ServiceTarget)
@service_name.register(rows.ForwardTarget)
def _service_name(target: rows.ServiceTarget | rows.ForwardTarget) -> str:
    return target.service


@singledispatch
def admission_size(target: Any) -> AdmissionSize:
    """Return the size of a call; calls without a generation have none."""
    return AdmissionSize()


@admission_size.register
def _generation_size(target: rows.GenerationTarget) -> AdmissionSize:
    return AdmissionSize(
        target.prompt_tokens, target.maximum_tokens, target.prefix_blocks
    )


@singledispatch
def apply_declaration(target: Any, configuration: declarations.Configuration) -> Any:
    """Return a target with what operators declared for its calls."""
    return target


@apply_declaration.register
def _declare_service(
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
    """Return the route with the longest prefix of whole path segments, if any.

    A path with empty, ``.`` or ``..`` segments, also percent-encoded ones, matches no
    route, because the client library or the service may resolve it to another path.
    """
    path = unquote(path)
    if not UNCERTAIN_SEGMENTS.isdisjoint(path.rstrip("/").split("/")[1:]):
        return None
    found = [
        route
        for route in routes
        if route.method == method
        and (path + "/").startswith(route.path_prefix.rstrip("/") + "/")
    ]
    return max(found, key=lambda route: len(route.path_prefix), default=None)
