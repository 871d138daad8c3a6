"""Tests of the engine model: memory, preemption by priority, cache events."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from fakes import engine_model

LIMITS = engine_model.EngineLimits(memory_tokens=1000, running_limit=5, cache_blocks=4)


class EngineModelTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(1, 300),
                st.integers(1, 200),
                st.sampled_from([0, 10]),
                st.integers(0, 20),
            ),
            min_size=1,
            max_size=20,
        )
    )
    def test_every_generation_gets_its_length(self, generations):
        """Guards against tokens lost or repeated by preemptions, and memory leaks."""
        engine = engine_model.new_engine(LIMITS)
        produced = dict.fromkeys(map(str, range(len(generations))), 0)
        for number, (prompt, output, priority, pause) in enumerate(generations):
            engine_model.add_generation(engine, str(number), prompt, output, priority)
            for _ in range(pause):
                self.step(engine, produced)
        for _ in range(20_000):
            if not engine.waiting_by_id and not engine.running_count:
                break
            self.step(engine, produced)
        lengths = {str(number): row[1] for number, row in enumerate(generations)}
        self.assertEqual(produced, lengths)
        self.assertEqual(engine.counter.memory_used, 0)

    def step(self, engine, produced):
        result = engine_model.step(engine)
        for generation_id in result.produced_ids:
            produced[generation_id] += 1
        rows = {**engine.decoding_by_id, **engine.prefilling_by_id}
        held = sum(
            row.prompt_tokens + engine_model.produced_tokens(engine, generation_id)
            for generation_id, row in rows.items()
        )
        self.assertEqual(engine.counter.memory_used, held)
        self.assertTrue(held <= LIMITS.memory_tokens or engine.running_count == 1)

    def test_lower_priority_generation_is_preempted_first(self):
        """Guards against preemption that ignores priorities."""
        engine = engine_model.new_engine(LIMITS)
        engine_model.add_generation(engine, "patient", 400, 300, 10)
        engine_model.add_generation(engine, "urgent", 400, 300, 0)
        preempted = []
        while not preempted:
            preempted = engine_model.step(engine).preempted_ids
        self.assertEqual(preempted, ["patient"])

    def test_cache_events_reproduce_cache_content(self):
        """Guards against cache events that do not add up to the actual content."""
        engine = engine_model.new_engine(LIMITS)
        for number in range(6):
            blocks = (f"{number % 3}-a", f"{number % 3}-b")
            engine_model.add_generation(engine, str(number), 128, 1, 0, blocks)
            engine_model.step(engine)
        held = set()
        for event in engine.cache_events:
            held |= set(event.stored_blocks)
            held -= set(event.evicted_blocks)
        self.assertEqual(held, set(engine.cached_blocks))


if __name__ == "__main__":
    unittest.main()
