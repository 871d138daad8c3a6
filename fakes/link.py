"""TCP proxy that simulates network faults: aborts, stalls, delays and truncation.

It sits between a client process and a server process, so that a test can fail the
network without failing either. A stalled link keeps its connections open and forwards
no data.
"""

from __future__ import annotations

import asyncio
import threading
from contextlib import suppress

BLOCK_BYTES = 65536


class FakeLink:
    """TCP proxy that runs in its own thread.

    Parameters
    ----------
    target_port : int
        Loopback port to which connections are forwarded.
    """

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.port = 0
        self.answer_bytes = 0
        self.cut_after_bytes = 0
        self.cut_limit = 0
        self.delay_seconds = 0.0
        self._responses_enabled = asyncio.Event()
        self._requests_enabled = asyncio.Event()
        self._silenced = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._loop = asyncio.new_event_loop()
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._started.wait()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._responses_enabled.set()
        self._requests_enabled.set()
        server = self._loop.run_until_complete(
            asyncio.start_server(self._serve_connection, "127.0.0.1", 0)
        )
        self.port = server.sockets[0].getsockname()[1]
        self._started.set()
        self._loop.run_forever()

    def stop(self) -> None:
        """Stop the proxy and its thread."""
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
        """Hold back data from the target until `flow`; connections stay open."""
        self._loop.call_soon_threadsafe(self._responses_enabled.clear)

    def stall_requests(self) -> None:
        """Hold back data to the target until `flow`; connections stay open."""
        self._loop.call_soon_threadsafe(self._requests_enabled.clear)

    def flow(self) -> None:
        """End stalls and delays."""
        self.delay_seconds = 0.0
        self._loop.call_soon_threadsafe(self._responses_enabled.set)
        self._loop.call_soon_threadsafe(self._requests_enabled.set)

    def silence(self) -> None:
        """Drop all further data of the open connections; new ones work."""
        self._loop.call_soon_threadsafe(self._silence_all)

    def _silence_all(self) -> None:
        self._silenced.set()
        self._silenced = asyncio.Event()

    def cut_answers(self, after_bytes: int, count: int) -> None:
        """Abort the next `count` connections after `after_bytes` of their responses."""
        self.cut_after_bytes, self.cut_limit = after_bytes, count

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target[1]}
        silenced = self._silenced
        forwarding = asyncio.gather(
            self._forward(reader, target[1], False, silenced),
            self._forward(target[0], writer, True, silenced),
        )
        with suppress(asyncio.CancelledError):
            await forwarding
        self._writers -= {writer, target[1]}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool,
        silenced: asyncio.Event,
    ) -> None:
        forwarded_bytes = 0
        enabled = self._responses_enabled if is_response else self._requests_enabled
        with suppress(OSError):
            while data := await reader.read(BLOCK_BYTES):
                if self.delay_seconds:
                    await asyncio.sleep(self.delay_seconds)
                await enabled.wait()
                if silenced.is_set():
                    # The connection stays open; only a timeout can detect the fault.
                    await asyncio.Event().wait()
                if is_response:
                    self.answer_bytes += len(data)
                    if (
                        self.cut_limit
                        and forwarded_bytes + len(data) > self.cut_after_bytes
                    ):
                        self.cut_limit -= 1
                        writer.write(
                            data[: max(0, self.cut_after_bytes - forwarded_bytes)]
                        )
                        await writer.drain()
                        break
                forwarded_bytes += len(data)
                writer.write(data)
                await writer.drain()
        writer.close()
