"""Serves a node over HTTP until it stops."""

from __future__ import annotations

import asyncio
import signal
from typing import Any

from sanic.server import AsyncioServer

from carawayhitch import codecs
from carawayhitch.core import errors, events
from carawayhitch.core import settings as settings_types
from carawayhitch.frontend._application import new_application
from carawayhitch.frontend._protocol import CallerProtocol
from carawayhitch.node import Node

FLUSH_INTERVAL_SECONDS = 0.02


async def serve(
    settings: settings_types.Settings, log: Any, settings_path: str
) -> None:
    """Run one entry process until it has drained.

    The first SIGTERM or SIGINT drains; the second one stops at once. SIGHUP reads the
    settings file again.
    """
    node = Node(settings, log)
    application = new_application(node)
    server = await application.create_server(
        host=settings.node.address,
        port=settings.node.http_port,
        protocol=CallerProtocol,
        return_asyncio_server=True,
        access_log=False,
        backlog=1024,
    )
    assert server is not None
    await server.startup()
    node.close_idle_connections = lambda: _close_idle(server)
    _handle_signals(node, settings_path)
    await node.start()
    node.log.info("serving", node=settings.node.id, port=settings.node.http_port)
    await node.stopped.wait()
    server.close()
    await _flush(server, node)
    await node.close()


def _close_idle(server: AsyncioServer) -> None:
    for connection in list(server.connections):
        connection.close_if_idle()


async def _flush(server: AsyncioServer, node: Node) -> None:
    """Wait until callers have taken the answers that ended just before the stop."""
    while server.connections and node.now() < node.board.lifecycle.deadline:
        _close_idle(server)
        await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
    for connection in list(server.connections):
        connection.abort()


def _handle_signals(node: Node, settings_path: str) -> None:
    loop = asyncio.get_running_loop()
    received: list[int] = []

    def stop(number: int) -> None:
        received.append(number)
        node.submit(events.StopRequested(immediate=len(received) > 1))

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop, number)
    loop.add_signal_handler(signal.SIGHUP, _read_settings, node, settings_path)


def _read_settings(node: Node, path: str) -> None:
    try:
        settings = codecs.read_settings(path)
    except errors.InvalidValueError as error:
        node.submit(events.SettingsRejected(error.message))
        return
    changed_keys = codecs.changed_settings(node.settings, settings)
    node.submit(events.SettingsRead(settings, changed_keys))
