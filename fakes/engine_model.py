"""Model of a continuously batching engine whose memory fills while it decodes.

The model has no clock and no I/O: each call of `EngineModel.step` is one decoding
step, so it serves the HTTP stand-in and experiments in virtual time alike.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple


class EngineLimits(NamedTuple):
    """Size and speed of an engine.

    Parameters
    ----------
    memory_tokens : int
        Capacity of the key-value cache, in tokens.
    step_seconds, step_seconds_per_running : float
        Time of one decoding step: a constant and a part for each running request.
    prefill_tokens_per_step : int
        Prompt tokens that one step can take in.
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


@dataclass(slots=True)
class Generation:
    """One generation; ``output_tokens`` is its length, unknown to its callers."""

    generation_id: str
    prompt_tokens: int
    output_tokens: int
    priority: int
    order: int
    prefix_blocks: tuple[str, ...] = ()
    produced: int = 0
    prefill_remaining: int = 0
    preemption_count: int = 0

    @property
    def memory(self) -> int:
        """Tokens held in the key-value cache while running."""
        return self.prompt_tokens + self.produced

    @property
    def rank(self) -> tuple[int, int]:
        """Order in which generations are served: priority, then arrival."""
        return (self.priority, self.order)


class StepResult(NamedTuple):
    """What one decoding step did."""

    seconds: float
    produced_ids: list[str]
    finished_ids: list[str]
    preempted_ids: list[str]


class CacheEvent(NamedTuple):
    """Prefix blocks that one step stored or evicted."""

    sequence: int
    stored_blocks: tuple[str, ...]
    evicted_blocks: tuple[str, ...]


@dataclass(slots=True)
class EngineModel:
    """State of one engine."""

    limits: EngineLimits = EngineLimits()
    waiting: list[Generation] = field(default_factory=list)
    running: list[Generation] = field(default_factory=list)
    cached_blocks: dict[str, None] = field(default_factory=dict)
    cache_events: list[CacheEvent] = field(default_factory=list)
    preemption_count: int = 0
    cache_hit_tokens: int = 0
    prefilled_tokens: int = 0
    _order: int = 0

    @property
    def memory_used(self) -> int:
        """Tokens in the key-value cache."""
        return sum(generation.memory for generation in self.running)

    def add(
        self,
        generation_id: str,
        prompt_tokens: int,
        output_tokens: int,
        priority: int = 0,
        prefix_blocks: tuple[str, ...] = (),
    ) -> Generation:
        """Queue a generation."""
        self._order += 1
        generation = Generation(
            generation_id,
            prompt_tokens,
            max(1, output_tokens),
            priority,
            self._order,
            prefix_blocks,
        )
        self.waiting.append(generation)
        return generation

    def cancel(self, generation_id: str) -> bool:
        """Remove a generation; return whether it was there."""
        for queue in (self.waiting, self.running):
            for generation in queue:
                if generation.generation_id == generation_id:
                    queue.remove(generation)
                    return True
        return False

    def step(self) -> StepResult:
        """Run one decoding step."""
        self._admit()
        budget = self.limits.prefill_tokens_per_step
        prefilled = 0
        produced: list[str] = []
        finished: list[Generation] = []
        for generation in self.running:
            if generation.prefill_remaining:
                taken = min(generation.prefill_remaining, budget - prefilled)
                generation.prefill_remaining -= taken
                prefilled += taken
                if generation.prefill_remaining:
                    continue
            generation.produced += 1
            produced.append(generation.generation_id)
            if generation.produced >= generation.output_tokens:
                finished.append(generation)
        for generation in finished:
            self.running.remove(generation)
        preempted = self._preempt()
        self.prefilled_tokens += prefilled
        limits = self.limits
        seconds = limits.step_seconds * (1 + prefilled / limits.prefill_tokens_per_step)
        seconds += limits.step_seconds_per_running * len(self.running)
        return StepResult(
            seconds,
            produced,
            [generation.generation_id for generation in finished],
            preempted,
        )

    def _admit(self) -> None:
        used = self.memory_used
        for generation in sorted(self.waiting, key=lambda waiting: waiting.rank):
            if len(self.running) >= self.limits.running_limit:
                return
            if used + generation.memory + 1 > self.limits.memory_tokens:
                return
            self.waiting.remove(generation)
            hit = self._use_cache(generation.prefix_blocks)
            hit_tokens = min(
                hit * self.limits.tokens_per_block, generation.prompt_tokens
            )
            self.cache_hit_tokens += hit_tokens
            generation.prefill_remaining = generation.memory - hit_tokens
            self.running.append(generation)
            used += generation.memory

    def _preempt(self) -> list[str]:
        preempted: list[str] = []
        while self.memory_used > self.limits.memory_tokens and len(self.running) > 1:
            victim = max(self.running, key=lambda running: running.rank)
            self.running.remove(victim)
            victim.preemption_count += 1
            self.waiting.append(victim)
            self.preemption_count += 1
            preempted.append(victim.generation_id)
        return preempted

    def _use_cache(self, blocks: tuple[str, ...]) -> int:
        hit = 0
        for block in blocks:
            if block not in self.cached_blocks:
                break
            hit += 1
        stored = tuple(block for block in blocks if block not in self.cached_blocks)
        for block in blocks:
            self.cached_blocks.pop(block, None)
            self.cached_blocks[block] = None
        evicted: list[str] = []
        while len(self.cached_blocks) > self.limits.cache_blocks:
            oldest = next(iter(self.cached_blocks))
            del self.cached_blocks[oldest]
            evicted.append(oldest)
        if stored or evicted:
            sequence = len(self.cache_events) + 1
            self.cache_events.append(CacheEvent(sequence, stored, tuple(evicted)))
        return hit
