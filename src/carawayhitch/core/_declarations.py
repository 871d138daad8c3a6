"""Objects that operators declare and that the object store holds."""

from __future__ import annotations

from typing import Annotated, Any, Literal, NamedTuple

from msgspec import Meta

Labels = dict[str, str]
# Label of an upstream, and of a call, that names a service.
SERVICE_LABEL = "service"


class ObjectKey(NamedTuple):
    """Name of one object in the store."""

    kind: str
    name: str


class EngineCapacity(NamedTuple):
    """What every model engine of a serving group can hold and do.

    Parameters
    ----------
    slots : int
        Requests that an engine decodes at the same time.
    memory_tokens : int
        Key-value cache of an engine, in tokens.
    token_bytes : int
        Size of one token in the key-value cache, in bytes.
    link_bits_per_second : float
        Rate at which an engine sends cache to another one.
    can_move : bool
        Whether a running generation can continue at another engine.
    tokens_per_event : int
        Tokens that one event of a stream holds.
    """

    slots: Annotated[int, Meta(ge=1)]
    memory_tokens: Annotated[int, Meta(ge=1)]
    token_bytes: Annotated[int, Meta(ge=0)] = 0
    link_bits_per_second: Annotated[float, Meta(ge=0)] = 0.0
    can_move: bool = False
    tokens_per_event: Annotated[int, Meta(ge=1)] = 1


class ServingGroup(NamedTuple):
    """Upstreams that serve the same work, chosen by a selector over their labels.

    Parameters
    ----------
    engine : EngineCapacity or None
        Capacity of its model engines, if operators declare it; otherwise engines
        report it with their load.
    scheduler : {"cell", "entry"}
        Who chooses upstreams: the scheduler of the cell for all entries, or each
        entry for its own calls. The latter suits plain services far from their
        capacity: a call needs no message to another entry.
    """

    name: str
    selector: Labels
    model: str = ""
    engine: EngineCapacity | None = None
    scheduler: Literal["cell", "entry"] = "cell"


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
    """One client account; tokens are stored as SHA-256 in hexadecimal.

    Parameters
    ----------
    priority : int or None
        Priority of its calls on HTTP routes instead of that of the route.
    """

    name: str
    token_sha256s: tuple[str, ...]
    labels: Labels = {}
    quota_weight: Annotated[float, Meta(gt=0)] = 1.0
    queue_limit: Annotated[int, Meta(ge=1)] = 500
    priority: int | None = None


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


class GroupShare(NamedTuple):
    """A serving group and the weight of its share of a route's calls."""

    group: str
    weight: Annotated[float, Meta(ge=0)] = 1.0


class HttpRoute(NamedTuple):
    """Calls of one host below a path prefix; the longest matching prefix is used.

    Parameters
    ----------
    path_prefix : str
        Begins and ends with a slash.
    shares : tuple of GroupShare
        Serving groups among which the calls are divided at random.
    work : {"repeatable", "once", "stream"}
        Whether a call may run more than once, at most once, or is answered with a
        stream of events and runs at most once unless it is resumable.
    resumable : bool
        Whether another upstream can continue a broken stream after its last event.
    priority : int
        Lower is served first. Of calls with the same priority, those with the shorter
        goal are.
    timeout_seconds : float
        Longest time until the answer begins.
    goal_seconds : float
        Time within which the answer has its full worth; to the first event of a
        stream.
    patience_seconds : float
        Time after which callers leave if the answer has not begun; 0 for the whole
        time-out.
    attempt_limit : int
        Upstreams on which one call may run.
    public : bool
        Whether calls need no token of a client account.
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


class CallerLimits(NamedTuple):
    """What callers of HTTP routes may send, and how long they may take.

    Parameters
    ----------
    idle_seconds : float
        Time for which an unused connection is kept.
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


# Kinds of objects by which upstreams and entries make themselves known in the store.
UPSTREAM_REGISTRATION = "upstream_registration"
ENTRY_REGISTRATION = "entry_registration"
REGISTRATION_KINDS = frozenset({UPSTREAM_REGISTRATION, ENTRY_REGISTRATION})
# Entries that know each other tell of new ones as members, so these objects are neither
# compared nor exchanged.
UNSHARED_KINDS = frozenset({ENTRY_REGISTRATION})
DECLARATION_SET = "declaration_set"


class DeclarationSet(NamedTuple):
    """Declarations that one object of the store holds together.

    Parameters
    ----------
    version : int
        Version that operators gave the set.
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
    """A checked set of declarations that is in force.

    Parameters
    ----------
    revision : int
        Highest store revision that the set includes.
    routes_by_host : dict of str to tuple of HttpRoute
        The longest path prefix first.
    version : int
        Version that operators gave the set; 0 if they write objects one by one.
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
