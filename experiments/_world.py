"""Discrete-event simulation of entries and engines in virtual time.

Each entry is a board on which the production controllers decide. Engines follow the
model in `fakes.engine_model`. Messages between entries and calls to engines take a
fixed network delay. An entry receives the tokens of a stream as one chunk per progress
interval, so that minutes of virtual time take seconds.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Iterable
from functools import singledispatch
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any, NamedTuple

from carawayhitch import controllers
from carawayhitch.board import Board, new_board
from carawayhitch.core import actions, declarations, events, rows, settings
from experiments._baselines import choose_baseline_engine
from experiments._rows import Arrival, LoadSample, Outcome, Setup, Simulation
from fakes import engine_model

NETWORK_SECONDS = 0.001
# Equals the default suspicion time-out of the peer settings.
FAILURE_DETECTION_SECONDS = 3.0
# Loads are sampled ten times in each period of this length.
SAMPLE_SECONDS = 0.5
GROUP = "quotes"
# Every seventh cache event is dropped.
CACHE_EVENT_LOSS_INTERVAL = 7
_event_serials = count()


class EventDelivery(NamedTuple):
    """Delivery of an event to an entry."""

    entry_id: str
    event: Any


class GenerationSent(NamedTuple):
    """Arrival of a generation call at an engine."""

    entry_id: str
    request_id: str
    attempt: int
    upstream_id: str
    priority: int


class DecodingStepEnded(NamedTuple):
    """End of a decoding step of an engine."""

    upstream_id: str
    result: engine_model.StepResult


class SchedulerEntryFailed(NamedTuple):
    """Crash of the entry that schedules the cell, without notice to the others."""


class EntryDeclaredDead(NamedTuple):
    """Report of the membership protocol to the other entries that one is dead."""

    entry_id: str


class LoadSamplingDue(NamedTuple):
    """Time to record the load of each engine."""


def new_simulation(setup: Setup) -> Simulation:
    """Return a simulation of idle entries and engines."""
    entry_ids = [f"entry-{index}" for index in range(setup.entry_count)]
    engine_ids = [f"engine-{index}" for index in range(setup.engine_count)]
    return Simulation(
        setup=setup,
        random=Random(setup.seed),
        clock={"now": 0.0},
        pending=[],
        boards_by_id={name: _entry_board(setup, name, entry_ids) for name in entry_ids},
        engines_by_id={
            name: engine_model.new_engine(setup.limits) for name in engine_ids
        },
        active_engine_ids=set(),
        failed_entry_ids=set(),
        loads_by_engine_id={
            name: [LoadSample(-10.0, 0, 0, 0, 0)] for name in engine_ids
        },
        cache_event_times_by_engine_id={name: [] for name in engine_ids},
        outcomes_by_request_id={},
        request_ids_by_generation_id={},
        open_request_ids_by_entry_id={name: {} for name in entry_ids},
        outstanding_by_upstream_id=dict.fromkeys(engine_ids, 0),
        tokens_by_second=Counter(),
        inter_token_gap_counts=Counter(),
        preempted_at_by_generation_id={},
        load_spreads=[],
        load_peaks=[],
        counts=Counter(),
    )


def _entry_board(setup: Setup, entry_id: str, entry_ids: Iterable[str]) -> Board:
    board = new_board(
        settings.Settings(
            node=settings.NodeSettings(entry_id, "zone-1", "region-1"),
            peers=settings.PeerSettings(()),
            store=settings.StoreSettings("http://127.0.0.1"),
            platform=settings.PlatformSettings("http://127.0.0.1"),
            scheduling=setup.scheduling,
            streams=settings.StreamSettings(stall_timeout_seconds=1e6),
            limits=settings.LimitSettings(open_requests=1_000_000),
        ),
        1,
    )
    accounts = {account.name: account for account in setup.accounts}
    board.configuration_by_name["in_force"] = declarations.Configuration(
        revision=1,
        serving_groups_by_name={GROUP: declarations.ServingGroup(GROUP, {})},
        rank_classes_by_name={rank.name: rank for rank in setup.ranks},
        accounts_by_name=accounts,
        accounts_by_token_sha256=accounts,
        bindings_by_precedence=tuple(
            declarations.Binding(rank.name, GROUP, rank.name, {}, {"work": rank.name})
            for rank in setup.ranks
        ),
        services_by_name={},
        labels_by_upstream_id={},
        orders_by_name={},
    )
    for name in entry_ids:
        board.members_by_id[name] = rows.MemberRow(
            name, 1, "alive", "127.0.0.1", 1, 1, "zone-1", "region-1"
        )
    return board


def run(setup: Setup, arrivals: Iterable[Arrival]) -> Simulation:
    """Simulate arrivals and return the state at the end of the run."""
    simulation = new_simulation(setup)
    vm_list = events.VmListReceived(
        tuple(
            events.VmListed(
                name, name, "zone-1", "region-1", "engine", {}, leaving=False
            )
            for name in simulation.engines_by_id
        )
    )
    for entry_id in simulation.boards_by_id:
        for event in (
            events.ConfigurationChanged(1),
            vm_list,
            events.MembershipChanged(),
            events.ProcessStarted(1),
        ):
            _schedule_event(simulation, 0.0, EventDelivery(entry_id, event))
    # Scenarios start their arrivals after the settle time of the first scheduler.
    for arrival in arrivals:
        _schedule_event(simulation, arrival.at, arrival)
    _schedule_event(simulation, 0.0, LoadSamplingDue())
    _schedule_event(simulation, setup.scheduler_fails_at, SchedulerEntryFailed())
    while simulation.pending and simulation.pending[0][0] <= setup.duration:
        now, _, event = heappop(simulation.pending)
        simulation.clock["now"] = now
        apply_replay_event(event, simulation, now)
    return simulation


def _schedule_event(simulation: Simulation, at: float, event: Any) -> None:
    heappush(simulation.pending, (at, next(_event_serials), event))


@singledispatch
def apply_replay_event(event: Any, simulation: Simulation, now: float) -> None:
    """Apply one event to the simulation."""
    raise TypeError(f"unknown simulation event {event!r}")


@apply_replay_event.register
def _fail_scheduler_entry(
    failure: SchedulerEntryFailed, simulation: Simulation, now: float
) -> None:
    board = next(iter(simulation.boards_by_id.values()))
    (schedulers,) = board.schedulers_by_cell_id.values()
    simulation.failed_entry_ids.add(schedulers[0])
    _schedule_event(
        simulation, now + FAILURE_DETECTION_SECONDS, EntryDeclaredDead(schedulers[0])
    )


@apply_replay_event.register
def _mark_entry_dead(
    dead: EntryDeclaredDead, simulation: Simulation, now: float
) -> None:
    for entry_id, board in simulation.boards_by_id.items():
        member = board.members_by_id[dead.entry_id]
        board.members_by_id[dead.entry_id] = member._replace(state="dead")
        if entry_id != dead.entry_id:
            apply_event_to_entry(simulation, entry_id, events.MembershipChanged())


@apply_replay_event.register
def _start_call(arrival: Arrival, simulation: Simulation, now: float) -> None:
    if arrival.entry_id in simulation.failed_entry_ids:
        # The load balancer sends calls of a failed entry to the other entries.
        surviving_entry_ids = [
            name for name in simulation.boards_by_id if name != arrival.entry_id
        ]
        arrival = arrival._replace(
            entry_id=simulation.random.choice(surviving_entry_ids)
        )
    request_id = f"request-{len(simulation.outcomes_by_request_id)}"
    simulation.outcomes_by_request_id[request_id] = Outcome(arrival)
    if simulation.setup.policy != "carawayhitch":
        upstream_id = choose_baseline_engine(simulation, arrival, now)
        priority = next(
            rank.priority
            for rank in simulation.setup.ranks
            if rank.name == arrival.rank
        )
        sent = GenerationSent(arrival.entry_id, request_id, 1, upstream_id, priority)
        _schedule_event(simulation, now + NETWORK_SECONDS, sent)
        simulation.outstanding_by_upstream_id[upstream_id] += 1
        return
    target = rows.GenerationTarget(
        "/v1/completions", GROUP, True, arrival.prompt_tokens, 0, arrival.prefix_blocks
    )
    call = events.CallReceived(
        request_id,
        arrival.account,
        {"work": arrival.rank},
        target,
        fingerprint=request_id,
        body_sha256=request_id,
    )
    apply_event_to_entry(simulation, arrival.entry_id, call)


@apply_replay_event.register
def _deliver_event(
    delivered: EventDelivery, simulation: Simulation, now: float
) -> None:
    event = delivered.event
    if delivered.entry_id in simulation.failed_entry_ids:
        return
    if isinstance(event, events.TimerFired) and event.name == "progress":
        _deliver_chunks(simulation, delivered.entry_id)
    apply_event_to_entry(simulation, delivered.entry_id, event)


@apply_replay_event.register
def _start_generation(sent: GenerationSent, simulation: Simulation, now: float) -> None:
    outcome = simulation.outcomes_by_request_id[sent.request_id]
    arrival = outcome.arrival
    generation_id = f"{sent.request_id}/{sent.attempt}"
    simulation.outcomes_by_request_id[sent.request_id] = outcome._replace(
        upstream_id=sent.upstream_id
    )
    simulation.request_ids_by_generation_id[generation_id] = sent.request_id
    engine_model.add_generation(
        simulation.engines_by_id[sent.upstream_id],
        generation_id,
        arrival.prompt_tokens,
        arrival.output_tokens,
        sent.priority,
        arrival.prefix_blocks,
    )
    if sent.upstream_id not in simulation.active_engine_ids:
        simulation.active_engine_ids.add(sent.upstream_id)
        _start_step(simulation, sent.upstream_id, now)


def _start_step(simulation: Simulation, upstream_id: str, now: float) -> None:
    engine = simulation.engines_by_id[upstream_id]
    if not engine.waiting_by_id and not engine.running_count:
        simulation.active_engine_ids.discard(upstream_id)
        return
    result = engine_model.step(engine)
    _schedule_event(
        simulation, now + result.seconds, DecodingStepEnded(upstream_id, result)
    )


@apply_replay_event.register
def _record_step_result(
    stepped: DecodingStepEnded, simulation: Simulation, now: float
) -> None:
    result = stepped.result
    engine = simulation.engines_by_id[stepped.upstream_id]
    event_times = simulation.cache_event_times_by_engine_id[stepped.upstream_id]
    event_times.extend([now] * (len(engine.cache_events) - len(event_times)))
    entered = set(result.prefilled_ids)
    is_sampled = simulation.setup.sample_from <= now <= simulation.setup.sample_until
    if is_sampled:
        decoded_count = len(result.produced_ids) - len(entered)
        simulation.inter_token_gap_counts[round(result.seconds, 4)] += decoded_count
        simulation.counts["tokens"] += len(result.produced_ids)
        simulation.counts["preemptions"] += len(result.preempted_ids)
    for generation_id in result.prefilled_ids:
        preempted_at = simulation.preempted_at_by_generation_id.pop(generation_id, None)
        if preempted_at is not None:
            simulation.inter_token_gap_counts[round(now - preempted_at, 4)] += 1
            simulation.counts["stall_milliseconds"] += int(1000 * (now - preempted_at))
        else:
            _start_stream(simulation, stepped.upstream_id, generation_id, now)
    for generation_id in result.preempted_ids:
        simulation.preempted_at_by_generation_id[generation_id] = now
    for generation_id in result.finished_ids:
        _end_stream(simulation, stepped.upstream_id, generation_id, now)
    _start_step(simulation, stepped.upstream_id, now)


def _start_stream(
    simulation: Simulation, upstream_id: str, generation_id: str, now: float
) -> None:
    request_id = simulation.request_ids_by_generation_id[generation_id]
    outcome = simulation.outcomes_by_request_id[request_id]
    simulation.outcomes_by_request_id[request_id] = outcome._replace(first_token_at=now)
    entry_id = outcome.arrival.entry_id
    simulation.open_request_ids_by_entry_id[entry_id][request_id] = 0
    if simulation.setup.policy == "carawayhitch":
        attempt = int(generation_id.rpartition("/")[2])
        opened = events.UpstreamOpened(
            request_id, attempt, generation_id, "text/event-stream"
        )
        apply_event_to_entry(simulation, entry_id, opened)
    _deliver_chunk(simulation, entry_id, request_id, 1)


def _end_stream(
    simulation: Simulation, upstream_id: str, generation_id: str, now: float
) -> None:
    request_id = simulation.request_ids_by_generation_id.pop(generation_id)
    outcome = simulation.outcomes_by_request_id[request_id]
    entry_id = outcome.arrival.entry_id
    _deliver_chunk(simulation, entry_id, request_id, outcome.arrival.output_tokens)
    outcome = simulation.outcomes_by_request_id[request_id]
    simulation.outcomes_by_request_id[request_id] = outcome._replace(finished_at=now)
    simulation.open_request_ids_by_entry_id[entry_id].pop(request_id, None)
    simulation.outstanding_by_upstream_id[upstream_id] -= 1
    if simulation.setup.policy == "carawayhitch":
        attempt = int(generation_id.rpartition("/")[2])
        apply_event_to_entry(
            simulation, entry_id, events.StreamEnded(request_id, attempt)
        )


def _deliver_chunks(simulation: Simulation, entry_id: str) -> None:
    for request_id in list(simulation.open_request_ids_by_entry_id[entry_id]):
        outcome = simulation.outcomes_by_request_id[request_id]
        row = simulation.boards_by_id[entry_id].requests_by_id.get(request_id)
        if row is not None:
            engine = simulation.engines_by_id[outcome.upstream_id]
            generation_id = f"{request_id}/{row.attempt}"
            produced = engine_model.produced_tokens(engine, generation_id)
            _deliver_chunk(simulation, entry_id, request_id, produced)


def _deliver_chunk(
    simulation: Simulation, entry_id: str, request_id: str, produced: int
) -> None:
    outcome = simulation.outcomes_by_request_id[request_id]
    if produced <= outcome.delivered:
        return
    now = simulation.clock["now"]
    arrival = outcome.arrival
    key = (int(now), arrival.account, arrival.rank)
    simulation.tokens_by_second[key] += produced - outcome.delivered
    if not outcome.delivered:
        simulation.tokens_by_second[key] += arrival.prompt_tokens
    simulation.outcomes_by_request_id[request_id] = outcome._replace(delivered=produced)
    row = simulation.boards_by_id[entry_id].requests_by_id.get(request_id)
    if row is not None:
        chunk = events.ChunkReceived(
            request_id, row.attempt, outcome.delivered + 1, produced, b""
        )
        apply_event_to_entry(simulation, entry_id, chunk)


@apply_replay_event.register
def _sample_loads(sampled: LoadSamplingDue, simulation: Simulation, now: float) -> None:
    shares: list[float] = []
    for upstream_id, engine in simulation.engines_by_id.items():
        counter = engine.counter
        simulation.loads_by_engine_id[upstream_id].append(
            LoadSample(
                now,
                counter.memory_used,
                engine.running_count,
                len(engine.waiting_by_id),
                counter.preemption_count,
            )
        )
        waiting = len(engine.waiting_by_id)
        shares.append(
            (engine.running_count + waiting) / simulation.setup.limits.running_limit
        )
    if simulation.setup.policy != "carawayhitch":
        for entry_id in simulation.open_request_ids_by_entry_id:
            _deliver_baseline_tokens(simulation, entry_id)
    if simulation.setup.sample_from <= now <= simulation.setup.sample_until:
        simulation.load_spreads.append(max(shares) - min(shares))
        simulation.load_peaks.append(max(shares))
    # The sampling interval is shorter than any non-zero load lag of the scenarios, so
    # that a report has about the configured age.
    _schedule_event(simulation, now + SAMPLE_SECONDS / 10, sampled)


def _deliver_baseline_tokens(simulation: Simulation, entry_id: str) -> None:
    for request_id in simulation.open_request_ids_by_entry_id[entry_id]:
        outcome = simulation.outcomes_by_request_id[request_id]
        engine = simulation.engines_by_id[outcome.upstream_id]
        produced = engine_model.produced_tokens(engine, f"{request_id}/1")
        _deliver_chunk(simulation, entry_id, request_id, produced)


def apply_event_to_entry(simulation: Simulation, entry_id: str, event: Any) -> None:
    """Decide on an event at an entry and execute the resulting actions.

    Emitted events are applied before the remaining ones, in the order of emission.
    """
    now = simulation.clock["now"]
    if entry_id in simulation.failed_entry_ids:
        return
    pending = [event]
    while pending:
        emitted: list[Any] = []
        decided_actions = controllers.decide(
            pending.pop(0), simulation.boards_by_id[entry_id], now, simulation.random
        )
        for action in decided_actions:
            execute_action(action, simulation, entry_id, emitted)
        pending[:0] = emitted


@singledispatch
def execute_action(
    action: Any, simulation: Simulation, entry_id: str, emitted: list[Any]
) -> None:
    """Execute an action; actions that only affect callers or logs are ignored."""


@execute_action.register
def _queue_emitted_event(
    action: actions.Emit, simulation: Simulation, entry_id: str, emitted: list[Any]
) -> None:
    emitted.append(action.event)


@execute_action.register
def _schedule_timer(
    action: actions.SetTimer, simulation: Simulation, entry_id: str, emitted: list[Any]
) -> None:
    _schedule_event(simulation, action.deadline, EventDelivery(entry_id, action.event))


@execute_action.register
def _send_message(
    action: actions.Send, simulation: Simulation, entry_id: str, emitted: list[Any]
) -> None:
    simulation.counts["messages"] += 1
    delay = 0.0 if action.node_id == entry_id else NETWORK_SECONDS
    at = simulation.clock["now"] + delay
    _schedule_event(simulation, at, EventDelivery(action.node_id, action.message))


@execute_action.register
def _open_upstream(
    action: actions.OpenUpstream,
    simulation: Simulation,
    entry_id: str,
    emitted: list[Any],
) -> None:
    sent = GenerationSent(
        entry_id, action.request_id, action.attempt, action.upstream_id, action.priority
    )
    simulation.outstanding_by_upstream_id[action.upstream_id] += 1
    _schedule_event(simulation, simulation.clock["now"] + NETWORK_SECONDS, sent)


@execute_action.register
def _record_refusal(
    action: actions.RefuseCall,
    simulation: Simulation,
    entry_id: str,
    emitted: list[Any],
) -> None:
    outcome = simulation.outcomes_by_request_id[action.request_id]
    simulation.outcomes_by_request_id[action.request_id] = outcome._replace(
        refused_code=action.code.name
    )


@execute_action.register
def _increment_result_count(
    action: actions.Count, simulation: Simulation, entry_id: str, emitted: list[Any]
) -> None:
    simulation.counts[action.code.name] += 1


def reported_load(simulation: Simulation, upstream_id: str, now: float) -> LoadSample:
    """Return the load that a poll of an engine reports, ``load_lag_seconds`` old."""
    samples = simulation.loads_by_engine_id[upstream_id]
    index = bisect_right(
        samples, now - simulation.setup.load_lag_seconds, key=lambda sample: sample.at
    )
    return samples[max(0, index - 1)]


@execute_action.register
def _schedule_load_report(
    action: actions.PollLoad, simulation: Simulation, entry_id: str, emitted: list[Any]
) -> None:
    now = simulation.clock["now"]
    sample = reported_load(simulation, action.upstream_id, now)
    limits = simulation.setup.limits
    reported = events.LoadReported(
        upstream_id=action.upstream_id,
        reported_at=sample.at,
        memory_capacity=limits.memory_tokens,
        memory_used=sample.memory_used,
        running_count=sample.running_count,
        running_limit=limits.running_limit,
        waiting_count=sample.waiting_count,
        preemption_count=sample.preemption_count,
        leaving=False,
    )
    _schedule_event(
        simulation, now + NETWORK_SECONDS, EventDelivery(entry_id, reported)
    )


@execute_action.register
def _schedule_cache_events(
    action: actions.PollCacheEvents,
    simulation: Simulation,
    entry_id: str,
    emitted: list[Any],
) -> None:
    now = simulation.clock["now"]
    event_times = simulation.cache_event_times_by_engine_id[action.upstream_id]
    limit = bisect_right(event_times, now - simulation.setup.cache_event_lag_seconds)
    visible_events = simulation.engines_by_id[action.upstream_id].cache_events[
        action.since : limit
    ]
    for event in visible_events:
        if event.sequence % CACHE_EVENT_LOSS_INTERVAL:
            changed = events.CacheChanged(action.upstream_id, *event)
            _schedule_event(
                simulation, now + NETWORK_SECONDS, EventDelivery(entry_id, changed)
            )
