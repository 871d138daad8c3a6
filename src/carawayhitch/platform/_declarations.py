"""Decode the platform's configuration and registrations into declarations."""

from __future__ import annotations

import math
import re
from hashlib import sha256
from typing import Any, NotRequired, TypedDict

import msgspec

from carawayhitch import codecs
from carawayhitch.core import declarations, errors, events, result_codes
from carawayhitch.platform import _names

WORK_BY_KIND = {"safe": "repeatable", "unsafe": "once", "streaming": "stream"}
DEFAULT_PRIORITY = 5
MAXIMUM_PORT = 65535
PORT_PATTERN = re.compile(r"[0-9]{1,5}")
# Ids of upstreams are sent in a header.
UPSTREAM_ID_PATTERN = re.compile(r"[!-~]{1,255}")
# The protocol specifies when callers abandon a stream: after a gap of two seconds, four
# times the goal or eight times the goal for gaps between events, whichever is longest.
MINIMUM_ABANDONMENT_SECONDS = 2.0
ABANDONMENT_GOAL_FACTOR = 4
ABANDONMENT_GAP_FACTOR = 8
# The platform declares no queue limit per tenant; the queue limit of the rank applies
# to all tenants.
ACCOUNT_QUEUE_LIMIT = 1_000_000


class SplitBody(TypedDict):
    """A service and its share of a route's calls."""

    service: str
    weight: _names.Count


class RouteBody(TypedDict):
    """A route. The field ``sticky`` is ignored: it only marks calls with prompts."""

    name: str
    host: str
    pathPrefix: str
    kind: str
    service: NotRequired[str]
    split: NotRequired[list[SplitBody]]
    timeoutMs: NotRequired[_names.Milliseconds]
    goalMs: NotRequired[_names.Milliseconds]
    gapGoalMs: NotRequired[_names.Milliseconds]
    priority: NotRequired[_names.Count]
    maxAttempts: NotRequired[_names.Count]
    public: NotRequired[bool]
    resumable: NotRequired[bool]
    allowedRegions: NotRequired[list[str] | None]


class EngineBody(TypedDict):
    """Capacity of a service's engines; ``stride`` is the number of tokens per event."""

    slots: _names.Count
    kvCapacityTokens: _names.Count
    kvTokenBytes: NotRequired[_names.Count]
    linkMbps: NotRequired[_names.Count]
    moves: NotRequired[bool]
    stride: NotRequired[_names.Count]


class ServiceBody(TypedDict):
    """A service, which is decoded to one serving group."""

    name: str
    engine: NotRequired[EngineBody | None]
    warmupS: NotRequired[_names.Count | None]
    coldPerS: NotRequired[_names.Count | None]


class LimitsBody(TypedDict):
    """Limits of sizes and times of callers' requests."""

    headerBytes: NotRequired[_names.Count]
    bodyBytes: NotRequired[_names.Count]
    headerTimeoutMs: NotRequired[_names.Milliseconds]
    idleTimeoutMs: NotRequired[_names.Milliseconds]


class TenantBody(TypedDict):
    """A client account with its API keys in plain text."""

    name: str
    apiKeys: NotRequired[list[str]]
    priority: NotRequired[_names.Count | None]
    allowedRegions: NotRequired[list[str] | None]


class ConfigurationBody(TypedDict):
    """The complete configuration, written by operators."""

    version: _names.Count
    routes: list[RouteBody]
    services: list[ServiceBody]
    limits: NotRequired[LimitsBody]
    tenants: NotRequired[list[TenantBody] | None]


class RegistrationBody(TypedDict):
    """Registration of an upstream; ``born`` is its start time in Unix milliseconds."""

    service: str
    address: str
    zone: str
    state: str
    slots: NotRequired[_names.Count]
    coldLeftMs: NotRequired[_names.Milliseconds]
    born: NotRequired[_names.UnixMilliseconds]
    models: NotRequired[list[Any] | None]


_configuration_decoder = msgspec.json.Decoder(ConfigurationBody)
_registration_decoder = msgspec.json.Decoder(RegistrationBody)
# The name of the object says everything; fields of its value are ignored.
_zone_drain_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])


def decode_object(
    stored: events.StoredObject, regions_by_zone: dict[str, str]
) -> events.DecodedObject:
    """Decode one version of a stored object.

    An object that cannot be decoded gets a description of the problem instead of a
    declaration.

    Parameters
    ----------
    regions_by_zone : dict of str to str
        Region of each availability zone; registrations contain only the zone.
    """
    declaration: Any = None
    problem = ""
    if not stored.deleted:
        try:
            if stored.kind == declarations.DECLARATION_SET:
                declaration = decode_configuration(stored.name, stored.value)
            elif stored.kind == declarations.UPSTREAM_REGISTRATION:
                declaration = decode_registration(
                    stored.name, stored.value, regions_by_zone
                )._replace(version=stored.version)
            elif stored.kind == declarations.ENTRY_REGISTRATION:
                declaration = codecs.decode_entry_registration(
                    stored.name, stored.value
                )
            elif stored.kind == declarations.ZONE_DRAIN:
                _zone_drain_decoder.decode(stored.value)
                declaration = declarations.ZoneDrain(stored.name)
        except (
            msgspec.MsgspecError,
            RecursionError,
            errors.CarawayhitchError,
        ) as error:
            problem = f"{stored.kind}/{stored.name}: {error}"[:300]
    return events.DecodedObject(
        stored.kind, stored.name, stored.version, declaration, problem
    )


def decode_configuration(name: str, value: bytes) -> declarations.DeclarationSet:
    """Decode the platform's configuration.

    Raises
    ------
    msgspec.MsgspecError
        If a field is missing or has the wrong type.
    """
    body = _configuration_decoder.decode(value)
    tenants = body.get("tenants")
    # Without a list of tenants, all routes are public.
    routes = [_decode_route(route, tenants is None) for route in body["routes"]]
    accounts = [
        _decode_account(tenant) for tenant in tenants or () if tenant.get("apiKeys")
    ]
    return declarations.DeclarationSet(
        name,
        int(body["version"]),
        (
            *routes,
            *(_decode_serving_group(service) for service in body["services"]),
            *accounts,
            _decode_caller_limits(body.get("limits") or {}),
        ),
    )


def _positive_seconds(milliseconds: float, fallback: float) -> float:
    usable = math.isfinite(milliseconds) and milliseconds > 0
    return milliseconds / 1000.0 if usable else fallback


def _decode_route(
    body: RouteBody, is_public_by_default: bool
) -> declarations.HttpRoute:
    shares = [
        declarations.GroupShare(part["service"], part["weight"])
        for part in body.get("split") or ()
    ]
    if not shares and body.get("service"):
        shares = [declarations.GroupShare(body["service"])]
    timeout_seconds = _positive_seconds(body.get("timeoutMs", 0.0), 60.0)
    goal_seconds = _positive_seconds(body.get("goalMs", 0.0), timeout_seconds)
    gap_goal_seconds = max(0.0, body.get("gapGoalMs", 0.0)) / 1000.0
    work: Any = WORK_BY_KIND.get(body["kind"], "once")
    return declarations.HttpRoute(
        name=body["name"],
        host=body["host"],
        path_prefix=body["pathPrefix"],
        shares=tuple(shares),
        priority=int(body.get("priority", DEFAULT_PRIORITY)),
        work=work,
        resumable=work == "stream" and body.get("resumable", False),
        timeout_seconds=timeout_seconds,
        goal_seconds=goal_seconds,
        patience_seconds=_abandonment_seconds(work, goal_seconds, gap_goal_seconds),
        attempt_limit=max(1, int(body.get("maxAttempts", 1))),
        public=is_public_by_default or body.get("public", False),
        allowed_regions=tuple(body.get("allowedRegions") or ()),
    )


def _abandonment_seconds(
    work: str, goal_seconds: float, gap_goal_seconds: float
) -> float:
    """Return the wait for the first event after which callers abandon a stream.

    Other calls get 0.
    """
    if work != "stream":
        return 0.0
    return max(
        MINIMUM_ABANDONMENT_SECONDS,
        ABANDONMENT_GOAL_FACTOR * goal_seconds,
        ABANDONMENT_GAP_FACTOR * gap_goal_seconds,
    )


def _decode_serving_group(body: ServiceBody) -> declarations.ServingGroup:
    engine = body.get("engine")
    capacity = None
    if engine is not None:
        capacity = declarations.EngineCapacity(
            slots=max(1, int(engine["slots"])),
            memory_tokens=max(1, int(engine["kvCapacityTokens"])),
            token_bytes=int(engine.get("kvTokenBytes", 0)),
            link_bits_per_second=engine.get("linkMbps", 0.0) * 1e6,
            can_move=engine.get("moves", False),
            tokens_per_event=max(1, int(engine.get("stride", 1))),
        )
    return declarations.ServingGroup(
        name=body["name"],
        selector={declarations.SERVICE_LABEL: body["name"]},
        engine=capacity,
        scheduler="cell" if capacity else "entry",
        warm_up_seconds=body.get("warmupS") or 0.0,
        cold_requests_per_second=body.get("coldPerS") or 0.0,
    )


def _decode_account(body: TenantBody) -> declarations.ClientAccount:
    priority = body.get("priority")
    return declarations.ClientAccount(
        name=body["name"],
        token_sha256s=tuple(
            dict.fromkeys(
                sha256(key.encode()).hexdigest() for key in body.get("apiKeys", ())
            )
        ),
        queue_limit=ACCOUNT_QUEUE_LIMIT,
        priority=None if priority is None else int(priority),
        allowed_regions=tuple(body.get("allowedRegions") or ()),
    )


def _decode_caller_limits(body: LimitsBody) -> declarations.CallerLimits:
    defaults = declarations.CallerLimits("default")
    return declarations.CallerLimits(
        name="default",
        header_bytes=int(body.get("headerBytes", defaults.header_bytes)),
        body_bytes=int(body.get("bodyBytes", defaults.body_bytes)),
        header_seconds=_positive_seconds(
            body.get("headerTimeoutMs", 0.0), defaults.header_seconds
        ),
        idle_seconds=_positive_seconds(
            body.get("idleTimeoutMs", 0.0), defaults.idle_seconds
        ),
    )


def decode_registration(
    name: str, value: bytes, regions_by_zone: dict[str, str]
) -> events.VmListed:
    """Decode the registration of an upstream.

    Raises
    ------
    msgspec.MsgspecError
        If a field is missing or has the wrong type.
    InvalidValueError
        If the state is unknown, or the id or the address is malformed.
    """
    if not UPSTREAM_ID_PATTERN.fullmatch(name):
        raise _invalid_declaration(
            f"id is {name[:80]!r}, expected 1 to 255 printable ASCII characters"
        )
    body = _registration_decoder.decode(value)
    if body["state"] not in _names.STATES:
        raise _invalid_declaration(
            f"state is {body['state']!r}, expected one of {sorted(_names.STATES)}"
        )
    _check_address(body["address"])
    zone = body["zone"]
    return events.VmListed(
        vm_id=name,
        address=body["address"],
        zone=zone,
        region=regions_by_zone.get(zone, ""),
        kind="engine" if body.get("models") else "service",
        labels={declarations.SERVICE_LABEL: body["service"]},
        leaving=body["state"] == _names.DRAINING,
        running_limit=int(body.get("slots", 0)),
        started_at=body.get("born", 0),
        cold_left_seconds=max(0.0, body.get("coldLeftMs", 0.0)) / 1000.0,
    )


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    if (
        not codecs.is_ip_address(host)
        or not PORT_PATTERN.fullmatch(port)
        or not 0 < int(port) <= MAXIMUM_PORT
    ):
        raise _invalid_declaration(f"address is {address[:80]!r}, expected IP:PORT")


def _invalid_declaration(message: str) -> errors.InvalidValueError:
    return errors.InvalidValueError(result_codes.INVALID_DECLARATION, message)
