"""Objects that operators declare and that the object store holds."""

from __future__ import annotations

from typing import Annotated, Any, Literal, NamedTuple

from msgspec import Meta

Labels = dict[str, str]
Kind = Literal[
    "serving_group",
    "rank_class",
    "client_account",
    "binding",
    "plain_service",
    "upstream",
    "engine_order",
]


class ObjectKey(NamedTuple):
    """Name of one object in the store."""

    kind: str
    name: str


class ServingGroup(NamedTuple):
    """Upstreams that serve the same work, chosen by a selector over their labels."""

    name: str
    selector: Labels
    model: str = ""


class RankClass(NamedTuple):
    """How one class of work is served.

    Parameters
    ----------
    priority : int
        Lower is served first; also sent to engines.
    floor : float
        Share of the served tokens (0 to 1) kept for this class while it waits.
    maximum_wait_seconds : float
        Longest time in the queue before the request is refused.
    queue_limit : int
        Requests that may wait in one cell.
    """

    name: str
    priority: int
    floor: Annotated[float, Meta(ge=0, le=1)] = 0.0
    first_token_target_seconds: Annotated[float, Meta(gt=0)] = 2.0
    between_tokens_target_seconds: Annotated[float, Meta(gt=0)] = 0.035
    maximum_wait_seconds: Annotated[float, Meta(gt=0)] = 60.0
    queue_limit: Annotated[int, Meta(ge=1)] = 1000


class ClientAccount(NamedTuple):
    """One client account; tokens are stored as SHA-256 in hexadecimal."""

    name: str
    token_sha256s: tuple[str, ...]
    labels: Labels = {}
    quota_weight: Annotated[float, Meta(gt=0)] = 1.0
    queue_limit: Annotated[int, Meta(ge=1)] = 500


class Binding(NamedTuple):
    """Which callers and requests go to which serving group, and in which rank.

    The binding with the highest precedence whose selectors match is used.
    """

    name: str
    group: str
    rank: str
    account_selector: Labels = {}
    request_selector: Labels = {}
    precedence: int = 0


class ServiceRoute(NamedTuple):
    """Calls of a plain service, by method and path prefix."""

    method: str
    path_prefix: str
    idempotent: bool


class PlainService(NamedTuple):
    """A plain HTTP service behind ``/services/<name>/``.

    A call that matches no route counts as non-idempotent unless its method is GET
    or HEAD, because repeating an unknown call may do harm.
    """

    name: str
    routes: tuple[ServiceRoute, ...] = ()
    concurrency: Annotated[int, Meta(ge=1)] = 64


class UpstreamLabels(NamedTuple):
    """Labels that operators add to an upstream of the VM list."""

    name: str
    labels: Labels = {}


class EngineOrder(NamedTuple):
    """Wanted state of the engines of a group.

    Parameters
    ----------
    models, adapters : tuple of str
        All that an engine should hold, each with its version where it has one.
    role : str
        Role of an engine that serves, for example ``serve`` or ``prefill``.
    unavailable_limit : int
        Engines of the group that may be drained for orders at the same time; this
        also bounds the load on the weight store.
    """

    name: str
    group: str
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = "serve"
    unavailable_limit: Annotated[int, Meta(ge=1)] = 1


Declaration = (
    ServingGroup
    | RankClass
    | ClientAccount
    | Binding
    | PlainService
    | UpstreamLabels
    | EngineOrder
)

declaration_types_by_kind: dict[str, type[Any]] = {
    "serving_group": ServingGroup,
    "rank_class": RankClass,
    "client_account": ClientAccount,
    "binding": Binding,
    "plain_service": PlainService,
    "upstream": UpstreamLabels,
    "engine_order": EngineOrder,
}


class Configuration(NamedTuple):
    """A checked set of declarations that is in force.

    Parameters
    ----------
    revision : int
        Highest store revision that the set includes.
    """

    revision: int
    serving_groups_by_name: dict[str, ServingGroup]
    rank_classes_by_name: dict[str, RankClass]
    accounts_by_name: dict[str, ClientAccount]
    accounts_by_token_sha256: dict[str, ClientAccount]
    bindings_by_precedence: tuple[Binding, ...]
    services_by_name: dict[str, PlainService]
    labels_by_upstream_id: dict[str, Labels]
    orders_by_name: dict[str, EngineOrder]
