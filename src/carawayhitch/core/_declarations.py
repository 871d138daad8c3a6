"""Declarations that operators write to the object store."""

from __future__ import annotations

from typing import Annotated, Any, Literal, NamedTuple

from msgspec import Meta

Labels = dict[str, str]
# Label that assigns an upstream or a call to a plain service.
SERVICE_LABEL = "service"


class ObjectKey(NamedTuple):
    """Key of one object in the store."""

    kind: str
    name: str


class EngineCapacity(NamedTuple):
    """Capacity and features of every model engine of a serving group.

    Parameters
    ----------
    slots : int
        Requests that an engine decodes concurrently.
    memory_tokens : int
        Capacity of an engine's key-value cache, in tokens.
    token_bytes : int
        Size of one token in the key-value cache, in bytes.
    link_bits_per_second : float
        Rate at which an engine transfers its key-value cache to another engine.
    can_move : bool
        Whether a running generation can be moved to another engine.
    tokens_per_event : int
        Tokens in one event of a stream.
    """

    slots: Annotated[int, Meta(ge=1)]
    memory_tokens: Annotated[int, Meta(ge=1)]
    token_bytes: Annotated[int, Meta(ge=0)] = 0
    link_bits_per_second: Annotated[float, Meta(ge=0)] = 0.0
    can_move: bool = False
    tokens_per_event: Annotated[int, Meta(ge=1)] = 1


class ServingGroup(NamedTuple):
    """Interchangeable upstreams, selected by their labels.

    Parameters
    ----------
    engine : EngineCapacity or None
        Declared capacity of the model engines; if None, the engines report it with
        their load.
    scheduler : {"cell", "entry"}
        Whether the scheduler of the cell chooses upstreams for all entries, or each
        entry for its own calls. The latter suits plain services that run far below
        their capacity, because a call needs no message to another entry.
    warm_up_seconds : float
        Longest time for which an upstream is cold after it has started.
    cold_requests_per_second : float
        Rate that a cold upstream tolerates; 0 if it tolerates any rate.
    """

    name: str
    selector: Labels
    model: str = ""
    engine: EngineCapacity | None = None
    scheduler: Literal["cell", "entry"] = "cell"
    warm_up_seconds: Annotated[float, Meta(ge=0)] = 0.0
    cold_requests_per_second: Annotated[float, Meta(ge=0)] = 0.0


class RankClass(NamedTuple):
    """Scheduling class of requests.

    Parameters
    ----------
    priority : int
        Lower values are served first; also sent to engines.
    floor : float
        Share of the served tokens (0 to 1) reserved for this class while it has
        queued requests.
    maximum_wait_seconds : float
        Longest time in the queue before a request is refused.
    queue_limit : int
        Requests of this class that may be queued in one cell.
    """

    name: str
    priority: int
    floor: Annotated[float, Meta(ge=0, le=1)] = 0.0
    first_token_target_seconds: Annotated[float, Meta(gt=0)] = 2.0
    between_tokens_target_seconds: Annotated[float, Meta(gt=0)] = 0.035
    maximum_wait_seconds: Annotated[float, Meta(gt=0)] = 60.0
    queue_limit: Annotated[int, Meta(ge=1)] = 1000


class ClientAccount(NamedTuple):
    """One client account; its tokens are stored as hexadecimal SHA-256 hashes.

    Parameters
    ----------
    priority : int or None
        Priority of the account's calls on HTTP routes; None for the route's priority.
    allowed_regions : tuple of str
        Regions whose upstreams may get the account's calls on HTTP routes; empty for
        all.
    """

    name: str
    token_sha256s: tuple[str, ...]
    labels: Labels = {}
    quota_weight: Annotated[float, Meta(gt=0)] = 1.0
    queue_limit: Annotated[int, Meta(ge=1)] = 500
    priority: int | None = None
    allowed_regions: tuple[str, ...] = ()


class Binding(NamedTuple):
    """Assigns callers and requests to a serving group and a rank class.

    Of the bindings whose selectors match, the one with the highest precedence is used.
    """

    name: str
    group: str
    rank: str
    account_selector: Labels = {}
    request_selector: Labels = {}
    precedence: int = 0


class ServiceRoute(NamedTuple):
    """Whether the calls with a method and path prefix are idempotent."""

    method: str
    path_prefix: str
    idempotent: bool


class PlainService(NamedTuple):
    """A plain HTTP service that is served below ``/services/<name>/``.

    A call that matches no route is treated as non-idempotent unless its method is GET
    or HEAD, because repeating a call with unknown effects may do harm.
    """

    name: str
    routes: tuple[ServiceRoute, ...] = ()
    concurrency: Annotated[int, Meta(ge=1)] = 64


class UpstreamLabels(NamedTuple):
    """Labels that operators add to an upstream from the VM list."""

    name: str
    labels: Labels = {}


class EngineOrder(NamedTuple):
    """Desired state of the engines of a serving group.

    Parameters
    ----------
    models, adapters : tuple of str
        Complete set that an engine should have loaded, with versions where they exist.
    role : str
        Role of a serving engine, for example ``serve`` or ``prefill``.
    unavailable_limit : int
        Engines of the group that may be drained for orders at the same time, which
        also limits the load on the store of model weights.
    """

    name: str
    group: str
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = "serve"
    unavailable_limit: Annotated[int, Meta(ge=1)] = 1


class GroupShare(NamedTuple):
    """A serving group and its weight in the distribution of a route's calls."""

    group: str
    weight: Annotated[float, Meta(ge=0)] = 1.0


class HttpRoute(NamedTuple):
    """Route for the calls to one host below a path prefix.

    If several routes match a call, the one with the longest prefix is used.

    Parameters
    ----------
    path_prefix : str
        Must begin and end with a slash.
    shares : tuple of GroupShare
        Serving groups among which calls are distributed at random by weight.
    work : {"repeatable", "once", "stream"}
        ``repeatable`` calls may run more than once and ``once`` calls at most once.
        ``stream`` calls are answered with an event stream and run at most once unless
        they are resumable.
    resumable : bool
        Whether another upstream can continue an interrupted stream after its last
        event.
    priority : int
        Lower values are served first; among equal priorities, shorter goals first.
    timeout_seconds : float
        Longest time until the answer begins.
    goal_seconds : float
        Time within which the answer has its full value; for a stream, time until its
        first event.
    patience_seconds : float
        Time after which callers disconnect if the answer has not begun; 0 if they
        wait for the full timeout.
    attempt_limit : int
        Upstreams on which one call may run.
    public : bool
        Whether calls are accepted without a client account's token.
    allowed_regions : tuple of str
        Regions whose upstreams may get the calls; empty for all.
    """

    name: str
    host: str
    path_prefix: str
    shares: tuple[GroupShare, ...]
    priority: int = 0
    work: Literal["repeatable", "once", "stream"] = "once"
    resumable: bool = False
    timeout_seconds: Annotated[float, Meta(gt=0)] = 60.0
    goal_seconds: Annotated[float, Meta(gt=0)] = 60.0
    patience_seconds: Annotated[float, Meta(ge=0)] = 0.0
    attempt_limit: Annotated[int, Meta(ge=1)] = 1
    public: bool = False
    allowed_regions: tuple[str, ...] = ()


class CallerLimits(NamedTuple):
    """Size and time limits for the callers of HTTP routes.

    Parameters
    ----------
    idle_seconds : float
        Time after which an idle connection is closed.
    """

    name: str
    header_bytes: Annotated[int, Meta(ge=1)] = 16384
    body_bytes: Annotated[int, Meta(ge=1)] = 4_194_304
    header_seconds: Annotated[float, Meta(gt=0)] = 10.0
    idle_seconds: Annotated[float, Meta(gt=0)] = 60.0


Declaration = (
    ServingGroup
    | RankClass
    | ClientAccount
    | Binding
    | PlainService
    | UpstreamLabels
    | EngineOrder
    | HttpRoute
    | CallerLimits
)


# Kinds of the objects with which upstreams and entries register in the store.
UPSTREAM_REGISTRATION = "upstream_registration"
ENTRY_REGISTRATION = "entry_registration"
REGISTRATION_KINDS = frozenset({UPSTREAM_REGISTRATION, ENTRY_REGISTRATION})
# Gossip already spreads new entries as members, so these objects are neither compared
# nor exchanged between peers.
UNSHARED_KINDS = frozenset({ENTRY_REGISTRATION})
DECLARATION_SET = "declaration_set"
# Kind of the objects with which operators take availability zones out of use.
ZONE_DRAIN = "zone_drain"
# Objects of these kinds take effect one by one and are no part of the configuration.
STANDALONE_KINDS = REGISTRATION_KINDS | {ZONE_DRAIN}


class ZoneDrain(NamedTuple):
    """Request of an operator to send nothing more to the upstreams of a zone.

    Parameters
    ----------
    name : str
        Name of the availability zone. The drain lasts until the object is removed.
    """

    name: str


class DeclarationSet(NamedTuple):
    """Declarations that are stored together in one object.

    Parameters
    ----------
    version : int
        Version that operators assigned to the set.
    """

    name: str
    version: int
    declarations: tuple[Declaration, ...]


declaration_types_by_kind: dict[str, type[Any]] = {
    "serving_group": ServingGroup,
    "rank_class": RankClass,
    "client_account": ClientAccount,
    "binding": Binding,
    "plain_service": PlainService,
    "upstream": UpstreamLabels,
    "engine_order": EngineOrder,
    "http_route": HttpRoute,
    "caller_limits": CallerLimits,
}


class Configuration(NamedTuple):
    """A validated set of declarations.

    Parameters
    ----------
    revision : int
        Highest store revision included in the set.
    routes_by_host : dict of str to tuple of HttpRoute
        Routes of each host, longest path prefix first.
    version : int
        Version that operators assigned to the set; 0 if they write objects one by one.
    common_priorities_by_rank : dict of str to int
        For each rank of routes, the lowest value of `RankClass.priority` among the
        ranks that have the same priority of routes or accounts.
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
    routes_by_host: dict[str, tuple[HttpRoute, ...]] = {}
    caller_limits: CallerLimits = CallerLimits("default")
    version: int = 0
    common_priorities_by_rank: dict[str, int] = {}
