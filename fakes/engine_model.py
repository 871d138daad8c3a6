"""Model of an engine with continuous batching whose memory use grows while decoding.

The model has no clock and does no I/O: each call of `step` is one decoding step, so
that both the fake engine and simulations in virtual time can use it. The state is a set
of tables keyed by generation. A row changes only when its generation changes state; the
number of tokens it has produced is computed from the steps since then.
"""

from __future__ import annotations

from heapq import heappop, heappush
from typing import NamedTuple


class EngineLimits(NamedTuple):
    """Size and speed of an engine.

    Parameters
    ----------
    memory_tokens : int
        Capacity of the key-value cache, in tokens.
    step_seconds, step_seconds_per_running : float
        Duration of a decoding step: a constant part and one per running request.
    prefill_tokens_per_step : int
        Prompt tokens that one step can process.
    cache_blocks : int
        Prefix blocks kept in the cache.
    """

    memory_tokens: int = 60_000
    running_limit: int = 64
    step_seconds: float = 0.012
    step_seconds_per_running: float = 0.0002
    prefill_tokens_per_step: int = 2048
    cache_blocks: int = 256
    tokens_per_block: int = 64


class GenerationRow(NamedTuple):
    """One generation; clients do not know its length, ``output_tokens``.

    Parameters
    ----------
    order : int
        Order of arrival; breaks ties between equal priorities.
    produced : int
        Tokens produced before ``decoding_since``.
    decoding_since : int
        Step before the first one since decoding last began.
    prefill_remaining : int
        Prompt tokens still to process before decoding.
    """

    generation_id: str
    prompt_tokens: int
    output_tokens: int
    priority: int
    order: int
    prefix_blocks: tuple[str, ...] = ()
    produced: int = 0
    decoding_since: int = 0
    prefill_remaining: int = 0
    preemption_count: int = 0


class CacheEvent(NamedTuple):
    """Prefix blocks that one step stored or evicted."""

    sequence: int
    stored_blocks: tuple[str, ...]
    evicted_blocks: tuple[str, ...]


class CounterRow(NamedTuple):
    """Counters of one engine since its start; memory is in tokens."""

    steps: int = 0
    arrivals: int = 0
    memory_used: int = 0
    preemption_count: int = 0
    cache_hit_tokens: int = 0
    prefilled_tokens: int = 0


class Engine(NamedTuple):
    """Tables of one engine.

    Parameters
    ----------
    waiting_order, finish_order : list
        Heaps; items whose generation has changed state since are skipped.
    """

    limits: EngineLimits
    waiting_by_id: dict[str, GenerationRow]
    prefilling_by_id: dict[str, GenerationRow]
    decoding_by_id: dict[str, GenerationRow]
    waiting_order: list[tuple[int, int, str]]
    finish_order: list[tuple[int, int, str]]
    cached_blocks: dict[str, None]
    cache_events: list[CacheEvent]
    counters: dict[str, CounterRow]

    @property
    def counter(self) -> CounterRow:
        """Counters since the start."""
        return self.counters["engine"]

    @property
    def running_count(self) -> int:
        """Number of generations that hold memory."""
        return len(self.prefilling_by_id) + len(self.decoding_by_id)


class StepResult(NamedTuple):
    """Duration and results of one decoding step.

    Parameters
    ----------
    prefilled_ids : list of str
        Generations whose prefill ended in this step; also in ``produced_ids``.
    """

    seconds: float
    produced_ids: list[str]
    prefilled_ids: list[str]
    finished_ids: list[str]
    preempted_ids: list[str]


def new_engine(limits: EngineLimits) -> Engine:
    """Return an engine without work."""
    return Engine(limits, {}, {}, {}, [], [], {}, [], {"engine": CounterRow()})


def add_generation(
    engine: Engine,
    generation_id: str,
    prompt_tokens: int,
    output_tokens: int,
    priority: int = 0,
    prefix_blocks: tuple[str, ...] = (),
) -> GenerationRow:
    """Queue a generation; lower priority values run first."""
    counter = engine.counter
    order = counter.arrivals + 1
    engine.counters["engine"] = counter._replace(arrivals=order)
    generation = GenerationRow(
        generation_id,
        prompt_tokens,
        max(1, output_tokens),
        priority,
        order,
        prefix_blocks,
    )
    _enqueue(engine, generation)
    return generation


def _enqueue(engine: Engine, generation: GenerationRow) -> None:
    generation_id = generation.generation_id
    engine.waiting_by_id[generation_id] = generation
    heappush(
        engine.waiting_order, (generation.priority, generation.order, generation_id)
    )


def produced_tokens(engine: Engine, generation_id: str) -> int:
    """Return how many tokens a generation has produced; 0 if it is unknown."""
    decoding = engine.decoding_by_id.get(generation_id)
    if decoding is not None:
        return decoding.produced + engine.counter.steps - decoding.decoding_since
    other = engine.prefilling_by_id.get(generation_id) or engine.waiting_by_id.get(
        generation_id
    )
    return other.produced if other else 0


def cancel_generation(engine: Engine, generation_id: str) -> bool:
    """Remove a generation; return whether it existed."""
    if engine.waiting_by_id.pop(generation_id, None) is not None:
        return True
    return _release(engine, generation_id) is not None


def _release(engine: Engine, generation_id: str) -> GenerationRow | None:
    """Stop a running generation and free its memory; return it with its token count."""
    produced = produced_tokens(engine, generation_id)
    generation = engine.decoding_by_id.pop(generation_id, None)
    if generation is None:
        generation = engine.prefilling_by_id.pop(generation_id, None)
    if generation is None:
        return None
    counter = engine.counter
    held = generation.prompt_tokens + produced
    engine.counters["engine"] = counter._replace(memory_used=counter.memory_used - held)
    return generation._replace(produced=produced)


def step(engine: Engine) -> StepResult:
    """Run one decoding step."""
    _admit(engine)
    limits = engine.limits
    prefilled, prefilled_ids = _prefill(engine)
    counter = engine.counter
    produced = list(engine.decoding_by_id)
    steps = counter.steps + 1
    engine.counters["engine"] = counter._replace(
        steps=steps,
        memory_used=counter.memory_used + len(produced),
        prefilled_tokens=counter.prefilled_tokens + prefilled,
    )
    finished = _finish(engine, steps)
    preempted = _preempt(engine)
    seconds = limits.step_seconds * (1 + prefilled / limits.prefill_tokens_per_step)
    seconds += limits.step_seconds_per_running * engine.running_count
    return StepResult(seconds, produced, prefilled_ids, finished, preempted)


def _prefill(engine: Engine) -> tuple[int, list[str]]:
    budget = engine.limits.prefill_tokens_per_step
    steps = engine.counter.steps
    prefilled = 0
    prefilled_ids: list[str] = []
    for generation_id, generation in list(engine.prefilling_by_id.items()):
        processed = min(generation.prefill_remaining, budget - prefilled)
        prefilled += processed
        remaining = generation.prefill_remaining - processed
        if remaining:
            engine.prefilling_by_id[generation_id] = generation._replace(
                prefill_remaining=remaining
            )
            continue
        del engine.prefilling_by_id[generation_id]
        engine.decoding_by_id[generation_id] = generation._replace(
            prefill_remaining=0, decoding_since=steps
        )
        finish_step = steps + generation.output_tokens - generation.produced
        heappush(engine.finish_order, (finish_step, generation.order, generation_id))
        prefilled_ids.append(generation_id)
    return prefilled, prefilled_ids


def _finish(engine: Engine, steps: int) -> list[str]:
    finished: list[str] = []
    while engine.finish_order and engine.finish_order[0][0] <= steps:
        _, order, generation_id = heappop(engine.finish_order)
        generation = engine.decoding_by_id.get(generation_id)
        if generation is None or generation.order != order:
            continue
        if produced_tokens(engine, generation_id) >= generation.output_tokens:
            _release(engine, generation_id)
            finished.append(generation_id)
    return finished


def _admit(engine: Engine) -> None:
    limits = engine.limits
    while engine.waiting_order and engine.running_count < limits.running_limit:
        _, order, generation_id = engine.waiting_order[0]
        generation = engine.waiting_by_id.get(generation_id)
        if generation is None or generation.order != order:
            heappop(engine.waiting_order)
            continue
        counter = engine.counter
        needed = generation.prompt_tokens + generation.produced
        if counter.memory_used + needed + 1 > limits.memory_tokens:
            return
        heappop(engine.waiting_order)
        del engine.waiting_by_id[generation_id]
        hit = _use_cache(engine, generation.prefix_blocks)
        hit_tokens = min(hit * limits.tokens_per_block, generation.prompt_tokens)
        engine.counters["engine"] = counter._replace(
            memory_used=counter.memory_used + needed,
            cache_hit_tokens=counter.cache_hit_tokens + hit_tokens,
        )
        engine.prefilling_by_id[generation_id] = generation._replace(
            prefill_remaining=needed - hit_tokens
        )


def _preempt(engine: Engine) -> list[str]:
    preempted: list[str] = []
    capacity = engine.limits.memory_tokens
    while engine.counter.memory_used > capacity and engine.running_count > 1:
        victim = max(
            (*engine.prefilling_by_id.values(), *engine.decoding_by_id.values()),
            key=lambda running: (running.priority, running.order),
        )
        released = _release(engine, victim.generation_id)
        assert released is not None
        _enqueue(
            engine,
            released._replace(
                preemption_count=released.preemption_count + 1, prefill_remaining=0
            ),
        )
        counter = engine.counter
        engine.counters["engine"] = counter._replace(
            preemption_count=counter.preemption_count + 1
        )
        preempted.append(victim.generation_id)
    return preempted


def _use_cache(engine: Engine, blocks: tuple[str, ...]) -> int:
    cached = engine.cached_blocks
    hit = 0
    for block in blocks:
        if block not in cached:
            break
        hit += 1
    stored = tuple(block for block in blocks if block not in cached)
    for block in blocks:
        cached.pop(block, None)
        cached[block] = None
    evicted: list[str] = []
    while len(cached) > engine.limits.cache_blocks:
        oldest = next(iter(cached))
        del cached[oldest]
        evicted.append(oldest)
    if stored or evicted:
        sequence = len(engine.cache_events) + 1
        engine.cache_events.append(CacheEvent(sequence, stored, tuple(evicted)))
    return hit
