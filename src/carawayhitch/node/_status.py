"""Status report of an entry for operators, read from the board."""

from __future__ import annotations

from collections import Counter

from carawayhitch import codecs, controllers
from carawayhitch.board import Board
from carawayhitch.controllers import service_shares
from carawayhitch.core import rows


def describe_status(board: Board, now: float) -> codecs.StatusBody:
    """Return the state of this entry and of the members and upstreams it knows."""
    object_set = board.object_set
    configuration = board.configuration
    scopes = board.store_scopes_by_name.values()
    body: codecs.StatusBody = {
        "node": board.node_id,
        "zone": board.settings.node.zone,
        "state": board.lifecycle.state,
        "peer_key_ids": controllers.peer_key_ids(board.settings),
        "in_force_revision": configuration.revision if configuration else 0,
        "known_revision": object_set.revision,
        "complete_revision": object_set.complete_revision,
        "digest": controllers.format_object_set_digest(object_set),
        "watching": all(row.call == "watch" for row in scopes),
        "problems": list(object_set.problems),
        "rejected_count": object_set.rejected_count,
        "outdated_count": object_set.outdated_count,
        "store_failure_count": sum(row.failure_count for row in scopes),
        "in_force_age_seconds": round(now - object_set.in_force_since, 3),
        "change_revision": object_set.change_revision,
        "change_age_seconds": round(now - object_set.change_accepted_at, 3),
        "configuration_version": configuration.version if configuration else 0,
        "store_contact_age_seconds_by_scope": {
            scope.scope: round(now - scope.contacted_at, 3)
            for scope in scopes
            if scope.contacted_at
        },
        "schedulers_by_cell_id": {
            cell_id: scheduler_ids[0]
            for cell_id, scheduler_ids in board.schedulers_by_cell_id.items()
            if scheduler_ids
        },
        "waiting_by_rank": dict(
            Counter(ask.rank for ask in board.asks_by_request_id.values())
        ),
        "open_request_count": len(board.requests_by_id),
        "strength": controllers.own_strength(board),
        "duties": {
            kind: list(subjects)
            for kind, subjects in controllers.own_duties(board, now).items()
        },
        "members": _member_statuses(board),
        "upstreams": [
            _upstream_status(upstream, board)
            for upstream in board.upstreams_by_id.values()
        ],
    }
    if board.settings.scheduling.service_shares:
        body["account_shares"] = _account_shares(board, now)
    return body


def _account_shares(board: Board, now: float) -> list[codecs.AccountShareBody]:
    return [
        {
            "cell": cell_id,
            "priority": priority,
            "account": account,
            "share": round(limit.share, 3),
            "counted_by": limit.counted_by,
        }
        for (cell_id, priority, account), limit in sorted(
            service_shares.active_limits(board, now).items()
        )
    ]


def _member_statuses(board: Board) -> list[codecs.MemberStatusBody]:
    statuses: list[codecs.MemberStatusBody] = [
        {
            "id": member.node_id,
            "state": member.state,
            "url": f"http://{member.address}:{member.http_port}",
            "in_force_revision": member.revision,
        }
        for member in board.members_by_id.values()
    ]
    return sorted(statuses, key=lambda member: member["id"])


def _upstream_status(
    upstream: rows.UpstreamRow, board: Board
) -> codecs.UpstreamStatusBody:
    configuration = board.configuration
    groups = configuration.serving_groups_by_name if configuration else {}
    bindings = configuration.bindings_by_precedence if configuration else ()
    matching_group_names = {
        group.name
        for group in groups.values()
        if controllers.selector_matches(group.selector, upstream.labels)
    }
    return {
        "id": upstream.upstream_id,
        "kind": upstream.kind,
        "leaving": upstream.leaving,
        "labels": dict(upstream.labels),
        "serving_groups": sorted(matching_group_names),
        "bindings": [
            binding.name
            for binding in bindings
            if binding.group in matching_group_names
        ],
    }
