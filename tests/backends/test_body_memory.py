"""Memory of bodies within the limits of an entry."""

from __future__ import annotations

import asyncio
import unittest

from carawayhitch.backends import (
    BodyMemory,
    RequestBody,
    new_body_memory,
    write_buffer_bytes,
)
from carawayhitch.backends._body_memory import SMALL_BODY_BYTES
from carawayhitch.core import settings as settings_types
from tests.boards import new_settings

LARGE = 1_000_000


class BodyMemoryTest(unittest.TestCase):
    def test_bodies_beyond_the_limit_are_not_taken(self):
        """Guards against a process that is ended because of its memory."""
        memory = BodyMemory(2.5 * LARGE)
        self.assertEqual([memory.reserve(LARGE) for _ in range(3)], [True, True, False])
        self.assertEqual(memory.missing_bytes(LARGE), LARGE // 2)
        memory.release(LARGE)
        self.assertTrue(memory.reserve(LARGE))

    def test_small_bodies_are_always_taken(self):
        """Guards against orders that are refused because of long prompts."""
        memory = BodyMemory(LARGE)
        memory.reserve(LARGE)
        self.assertTrue(memory.reserve(SMALL_BODY_BYTES))

    def test_parts_of_a_large_body_count_as_large(self):
        """Guards against bodies without end that come in small parts."""
        memory = BodyMemory(LARGE)
        memory.reserve(LARGE)
        part = SMALL_BODY_BYTES // 2
        sizes = [(part, 0), (2 * part, part), (3 * part, 2 * part)]
        taken = [memory.reserve(size, counted) for size, counted in sizes]
        self.assertEqual(taken, [True, True, False])
        memory.release(2 * part)
        self.assertEqual(memory.held_bytes, LARGE)

    def test_memory_of_a_body_is_released_once(self):
        """Guards against memory that leaks, or that is counted as free twice."""
        memory = BodyMemory(LARGE)
        memory.reserve(LARGE)
        body = RequestBody(bytes(LARGE), memory)
        body.drop()
        body.drop()
        self.assertEqual((memory.held_bytes, body.data), (0, b""))
        memory.reserve(LARGE)
        body = RequestBody(bytes(LARGE), memory)
        # A request that is refused before its call begins drops nothing.
        del body
        self.assertEqual(memory.held_bytes, 0)

    def test_limit_follows_from_the_memory_of_the_machine(self):
        """Guards against bodies that fill a small machine, or a needless refusal."""
        cases = ((0.0, float("inf")), (136.0, 36e6), (20.0, 2 * 4_194_304))
        for megabytes, expected in cases:
            limits = settings_types.LimitSettings(memory_megabytes=megabytes)
            with self.subTest(megabytes=megabytes):
                memory = new_body_memory(new_settings(limits=limits))
                self.assertEqual(memory.limit_bytes, expected)
                # Also without a limit.
                self.assertTrue(memory.reserve(limits.body_bytes))

    def test_bytes_that_are_there_let_others_make_room(self):
        """Guards against answers that fill the memory without a consequence."""
        memory = BodyMemory(8 * LARGE)
        asked = []
        memory.handle_shortage = lambda missing, urgent: asked.append((missing, urgent))
        memory.take(8 * LARGE)
        self.assertEqual(asked, [])
        memory.take(LARGE)
        memory.take(2 * LARGE)
        self.assertEqual(asked, [(2 * LARGE, False), (4 * LARGE, True)])

    def test_abandoned_body_takes_no_more_memory(self):
        """Guards against a body that goes on after it was displaced."""
        memory = BodyMemory(2 * LARGE)
        body = RequestBody(memory=memory)
        self.assertTrue(asyncio.run(body.reserve_in_time(LARGE, 0.0)))
        body.abandon()
        self.assertEqual(memory.held_bytes, 0)
        self.assertFalse(asyncio.run(body.reserve_in_time(LARGE, 0.0)))

    def test_wait_ends_when_memory_is_freed(self):
        """Guards against answers that fail although callers read theirs."""

        async def wait():
            memory = BodyMemory(LARGE)
            memory.reserve(LARGE)
            waiting = asyncio.create_task(memory.reserve_in_time(LARGE, 0, 60.0))
            await asyncio.sleep(0)
            memory.release(LARGE)
            taken = await waiting
            refused = await memory.reserve_in_time(LARGE, 0, 0.01)
            return taken, refused, memory.held_bytes

        self.assertEqual(asyncio.run(wait()), (True, False, LARGE))

    def test_write_buffers_of_all_connections_fit(self):
        """Guards against answers that wait a little each on many connections."""
        for megabytes, connections, expected in (
            (0.0, 4096, 65_536),
            (136.0, 1001, 17_982),
            (136.0, 10, 65_536),
            (70.0, 4096, 8192),
        ):
            limits = settings_types.LimitSettings(memory_megabytes=megabytes)
            settings = new_settings(limits=limits)
            with self.subTest(megabytes=megabytes, connections=connections):
                self.assertEqual(write_buffer_bytes(settings, connections), expected)


if __name__ == "__main__":
    unittest.main()
