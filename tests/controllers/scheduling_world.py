"""Test board with one cell of engines, and helpers that build events and feed them."""

from __future__ import annotations

from random import Random

from carawayhitch import controllers
from carawayhitch.board import Board, new_board
from carawayhitch.core import actions, declarations, events, messages, rows
from carawayhitch.core import settings as settings_types

CELL = "quotes/region-1/0"
NODE = "entry-1"
URGENT = declarations.RankClass("urgent", 0, floor=0.1, queue_limit=50)
PATIENT = declarations.RankClass("patient", 10, floor=0.2, queue_limit=50)


def scheduling_board(engine_count=3, accounts=(), ranks=(URGENT, PATIENT)) -> Board:
    """Return a board that schedules one cell whose settle time has passed."""
    settings = settings_types.Settings(
        settings_types.NodeSettings(NODE, "zone-1", "region-1"),
        settings_types.PeerSettings(()),
        settings_types.StoreSettings("http://127.0.0.1"),
        settings_types.PlatformSettings("http://127.0.0.1"),
    )
    board = new_board(settings, 1)
    board.configuration_by_name["in_force"] = declarations.Configuration(
        revision=1,
        serving_groups_by_name={},
        rank_classes_by_name={rank.name: rank for rank in ranks},
        accounts_by_name={account.name: account for account in accounts},
        accounts_by_token_sha256={},
        bindings_by_precedence=(),
        services_by_name={},
        labels_by_upstream_id={},
        orders_by_name={},
    )
    names = tuple(f"engine-{index}" for index in range(engine_count))
    for name in names:
        board.upstreams_by_id[name] = rows.UpstreamRow(
            name, f"{name}:1", "zone-1", "region-1", "engine", {}
        )
    board.cells_by_id[CELL] = rows.CellRow(CELL, "quotes", "region-1", names)
    board.schedulers_by_cell_id[CELL] = (NODE,)
    board.settle_deadlines_by_cell_id[CELL] = 0.0
    return board


def board_with_waiting_request(scheduler_id) -> Board:
    """Return the board of an entry whose request waits for a grant of a scheduler."""
    board = scheduling_board()
    board.schedulers_by_cell_id[CELL] = (scheduler_id, NODE)
    board.requests_by_id["r1"] = rows.RequestRow(
        request_id="r1",
        account="hotel",
        group="quotes",
        rank="urgent",
        binding="b",
        target=rows.RoutedTarget("POST", "h", "/"),
        fingerprint="",
        body_sha256="",
        idempotency_key="",
        received_at=1.0,
        deadline=60.0,
        phase="asking",
        cell_id=CELL,
        scheduler_id=scheduler_id,
        attempt=1,
    )
    return board


def feed(board, event, now):
    """Return the actions that the controllers return for an event."""
    return list(controllers.decide(event, board, now, Random(1)))


def ask(request_id, rank="urgent", account="hotel", **changes):
    """Return an ask with a unique fingerprint."""
    admission_ask = messages.AdmissionAsk(
        sender_id="entry-2",
        request_id=request_id,
        attempt=1,
        cell_id=CELL,
        group="quotes",
        account=account,
        rank=rank,
        binding=rank,
        fingerprint=f"fingerprint of {request_id}",
        prompt_tokens=100,
        maximum_tokens=200,
        prefix_blocks=(),
        excluded_upstream_ids=(),
        deadline=1000.0,
    )
    return admission_ask._replace(**changes)


def load(upstream_id, at, **changes):
    """Return a load report of an idle engine."""
    report = events.LoadReported(upstream_id, at, 10_000, 0, 0, 8, 0, 0, False)
    return report._replace(**changes)


def finished(request_id, tokens=50, complete=True, failed=False, attempt=1):
    """Return a message that reports the end of a granted request."""
    return messages.Finished(
        "entry-2", request_id, attempt, CELL, tokens, complete, failed
    )


def running(request_id, upstream_id="engine-0", tokens=10, rank="urgent"):
    """Return a progress message with one running request."""
    admission_ask = ask(request_id, rank)
    request = messages.RunningRequest(
        request_id,
        1,
        "quotes",
        admission_ask.account,
        rank,
        admission_ask.binding,
        admission_ask.fingerprint,
        upstream_id,
        admission_ask.prompt_tokens,
        admission_ask.maximum_tokens,
        tokens,
    )
    return messages.Progress("entry-2", CELL, (request,), ())


def report_all(board, now, **changes):
    """Feed a load report for every engine; return the actions."""
    decided = []
    for name in list(board.upstreams_by_id):
        decided += feed(board, load(name, now, **changes), now)
    return decided


def sent(decided, message_type):
    """Return the sent messages of a type."""
    return [
        action.message
        for action in decided
        if isinstance(action, actions.Send) and isinstance(action.message, message_type)
    ]


def granted(decided):
    """Return the granted upstreams by request id."""
    return {
        message.request_id: message.upstream_id
        for message in sent(decided, messages.AdmissionGrant)
    }


def refusals(decided):
    """Return the names of the refusal codes by request id."""
    return {
        message.request_id: message.code.name
        for message in sent(decided, messages.AdmissionRefusal)
    }
