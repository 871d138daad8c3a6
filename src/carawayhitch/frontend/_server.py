"""Serves a node over HTTP until it stops."""

from __future__ import annotations

import asyncio
import signal
from typing import Any

from carawayhitch.core import events
from carawayhitch.core import settings as settings_types
from carawayhitch.frontend._application import new_application
from carawayhitch.node import Node


async def serve(settings: settings_types.Settings, log: Any = None) -> None:
    """Run one entry process until it has drained.

    The first SIGTERM or SIGINT drains; the second one stops at once.
    """
    node = Node(settings, log)
    application = new_application(node)
    server = await application.create_server(
        host=settings.node.address,
        port=settings.node.http_port,
        return_asyncio_server=True,
        access_log=False,
    )
    assert server is not None
    await server.startup()
    _handle_signals(node)
    await node.start()
    node.log.info("serving", node=settings.node.id, port=settings.node.http_port)
    await node.stopped.wait()
    server.close()
    await node.close()


def _handle_signals(node: Node) -> None:
    loop = asyncio.get_running_loop()
    received: list[int] = []

    def stop(number: int) -> None:
        received.append(number)
        node.submit(events.StopRequested(immediate=len(received) > 1))

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop, number)
