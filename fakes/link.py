"""TCP relay whose link can be cut, stalled or limited, as a stand-in for a network.

It stands between an entry and an upstream, so that a test fails the link and not the
upstream. A stalled link keeps its connections open and passes no byte.
"""

from __future__ import annotations

import asyncio
import threading
from contextlib import suppress

BLOCK_BYTES = 65536


class FakeLink:
    """One relay in a thread of its own.

    Parameters
    ----------
    target_port : int
        Port on loopback to which connections are passed on.
    """

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.port = 0
        self.answer_bytes = 0
        self.cut_after_bytes = 0
        self.cut_limit = 0
        self._flowing = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._loop = asyncio.new_event_loop()
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._started.wait()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._flowing.set()
        server = self._loop.run_until_complete(
            asyncio.start_server(self._serve, "127.0.0.1", 0)
        )
        self.port = server.sockets[0].getsockname()[1]
        self._started.set()
        self._loop.run_forever()

    def stop(self) -> None:
        """End the relay."""
        self.cut()
        asyncio.run_coroutine_threadsafe(self._end_tasks(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _end_tasks(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def cut(self) -> None:
        """Abort every open connection."""
        self._loop.call_soon_threadsafe(self._abort_all)

    def _abort_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    def stall(self) -> None:
        """Pass no byte from the target until `flow`; connections stay open."""
        self._loop.call_soon_threadsafe(self._flowing.clear)

    def flow(self) -> None:
        """Pass bytes again."""
        self._loop.call_soon_threadsafe(self._flowing.set)

    def cut_answers(self, after_bytes: int, count: int) -> None:
        """Abort the next connections after so many bytes of their answers."""
        self.cut_after_bytes, self.cut_limit = after_bytes, count

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target[1]}
        passing = asyncio.gather(
            self._pass(reader, target[1], False), self._pass(target[0], writer, True)
        )
        with suppress(asyncio.CancelledError):
            await passing
        self._writers -= {writer, target[1]}

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        passed = 0
        with suppress(OSError):
            while data := await reader.read(BLOCK_BYTES):
                if is_answer:
                    self.answer_bytes += len(data)
                    await self._flowing.wait()
                    if self.cut_limit and passed + len(data) > self.cut_after_bytes:
                        self.cut_limit -= 1
                        writer.write(data[: max(0, self.cut_after_bytes - passed)])
                        await writer.drain()
                        break
                passed += len(data)
                writer.write(data)
                await writer.drain()
        writer.close()
