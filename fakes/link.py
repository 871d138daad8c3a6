"""TCP relay whose link can be cut, stalled, slowed or limited, in place of a network.

It stands between a process and one that it calls, so that a test fails the link and
not the process. A stalled link keeps its connections open and passes no byte.
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
        self.delay_seconds = 0.0
        self._answers_flowing = asyncio.Event()
        self._calls_flowing = asyncio.Event()
        self._silenced = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._loop = asyncio.new_event_loop()
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._started.wait()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._answers_flowing.set()
        self._calls_flowing.set()
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
        self._loop.call_soon_threadsafe(self._answers_flowing.clear)

    def stall_requests(self) -> None:
        """Pass no byte to the target until `flow`; connections stay open."""
        self._loop.call_soon_threadsafe(self._calls_flowing.clear)

    def flow(self) -> None:
        """Pass bytes again, without delay."""
        self.delay_seconds = 0.0
        self._loop.call_soon_threadsafe(self._answers_flowing.set)
        self._loop.call_soon_threadsafe(self._calls_flowing.set)

    def silence(self) -> None:
        """Pass no byte of the open connections any more; new ones work."""
        self._loop.call_soon_threadsafe(self._silence_all)

    def _silence_all(self) -> None:
        self._silenced.set()
        self._silenced = asyncio.Event()

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
        silenced = self._silenced
        passing = asyncio.gather(
            self._pass(reader, target[1], False, silenced),
            self._pass(target[0], writer, True, silenced),
        )
        with suppress(asyncio.CancelledError):
            await passing
        self._writers -= {writer, target[1]}

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
        silenced: asyncio.Event,
    ) -> None:
        passed = 0
        flowing = self._answers_flowing if is_answer else self._calls_flowing
        with suppress(OSError):
            while data := await reader.read(BLOCK_BYTES):
                if self.delay_seconds:
                    await asyncio.sleep(self.delay_seconds)
                await flowing.wait()
                if silenced.is_set():
                    # Whoever waits for these bytes has to notice by a timeout.
                    await asyncio.Event().wait()
                if is_answer:
                    self.answer_bytes += len(data)
                    if self.cut_limit and passed + len(data) > self.cut_after_bytes:
                        self.cut_limit -= 1
                        writer.write(data[: max(0, self.cut_after_bytes - passed)])
                        await writer.drain()
                        break
                passed += len(data)
                writer.write(data)
                await writer.drain()
        writer.close()
