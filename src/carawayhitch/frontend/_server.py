"""Serves a node over HTTP until it stops."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Sequence
from typing import Any, NamedTuple

from sanic import Sanic
from sanic.server import AsyncioServer

from carawayhitch import __version__, codecs
from carawayhitch.core import errors, events
from carawayhitch.core import settings as settings_types
from carawayhitch.frontend._application import (
    new_application,
    new_metrics_application,
)
from carawayhitch.frontend._gateway import (
    new_gateway_application,
    new_readiness_application,
)
from carawayhitch.frontend._protocol import CallerProtocol
from carawayhitch.node import Node

FLUSH_INTERVAL_SECONDS = 0.02
# Callers give up after a third of their time, which is a second or less.
READY_WAIT_SECONDS = 0.3
READY_INTERVAL_SECONDS = 0.005


async def serve(
    settings: settings_types.Settings,
    log: Any,
    settings_path: str,
    listening: socket.socket | None = None,
) -> None:
    """Run one entry process until it has drained.

    Parameters
    ----------
    listening : socket, optional
        Listens already where callers of HTTP routes connect; they are served once the
        process is ready.

    SIGTERM and SIGINT drain, also when they are repeated: planned stops may overlap.
    SIGINT after either stops at once. SIGHUP reads the settings file again.
    """
    node = Node(settings, log)
    node.log.info("starting", version=__version__, incarnation=node.incarnation)
    servers = [await _open_server(listener) for listener in _listeners(node)]
    node.close_idle_connections = lambda: _close_idle(servers)
    _handle_signals(node, settings_path)
    await node.start()
    if settings.gateway.address:
        await _wait_until_ready(node)
        servers.append(await _open_server(_gateway(node, listening)))
    node.log.info(
        "serving",
        zone=settings.node.zone,
        port=settings.node.http_port,
        gateway=settings.gateway.address,
        state=node.board.lifecycle.state,
    )
    await node.stopped.wait()
    for server in servers:
        server.close()
    await _flush(servers, node)
    await node.close()
    _ignore_stops()


async def _wait_until_ready(node: Node) -> None:
    """Let callers that came during the start wait a little instead of refusing them.

    A store that does not answer must not hold them for long: they are then told to
    come back.
    """
    deadline = node.now() + READY_WAIT_SECONDS
    while node.board.lifecycle.state == "starting" and node.now() < deadline:
        await asyncio.sleep(READY_INTERVAL_SECONDS)


class Listener(NamedTuple):
    """An application and the address where it listens."""

    application: Sanic
    address: str
    port: int
    listening: socket.socket | None = None


def _listeners(node: Node) -> list[Listener]:
    """Return the HTTP interfaces of an entry but the one for callers of routes."""
    settings = node.settings
    own = Listener(
        new_application(node), settings.node.address, settings.node.http_port
    )
    gateway = settings.gateway
    others = (
        (gateway.metrics_address, new_metrics_application),
        (gateway.readiness_address, new_readiness_application),
    )
    found = [own]
    for address, new in others:
        if address:
            found.append(_further_listener(new(node), address))
    return found


def _gateway(node: Node, listening: socket.socket | None) -> Listener:
    further = _further_listener(
        new_gateway_application(node), node.settings.gateway.address
    )
    return further._replace(listening=listening)


def _further_listener(application: Sanic, address: str) -> Listener:
    # The library rewrites its connection classes at the start of the first
    # application, for all of them; it cannot do so twice.
    application.config.TOUCHUP = False
    host, _, port = address.rpartition(":")
    return Listener(application, host, int(port))


async def _open_server(listener: Listener) -> AsyncioServer:
    where: dict[str, Any] = {"host": listener.address, "port": listener.port}
    if listener.listening is not None:
        where = {"sock": listener.listening}
    server = await listener.application.create_server(
        **where,
        protocol=CallerProtocol,
        return_asyncio_server=True,
        access_log=False,
        backlog=1024,
    )
    assert server is not None
    await server.startup()
    return server


def _close_idle(servers: Sequence[AsyncioServer]) -> None:
    for connection in _connections(servers):
        connection.close_if_idle()


def _connections(servers: Sequence[AsyncioServer]) -> list[Any]:
    return [connection for server in servers for connection in server.connections]


async def _flush(servers: Sequence[AsyncioServer], node: Node) -> None:
    """Wait until callers have taken the answers that ended just before the stop."""
    while _connections(servers) and node.now() < node.board.lifecycle.deadline:
        _close_idle(servers)
        await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
    for connection in _connections(servers):
        connection.abort()


def _handle_signals(node: Node, settings_path: str) -> None:
    loop = asyncio.get_running_loop()
    received: list[int] = []

    def stop(number: int) -> None:
        interrupted = number == signal.SIGINT and bool(received)
        received.append(number)
        node.submit(events.StopRequested(immediate=interrupted))

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop, number)
    loop.add_signal_handler(signal.SIGHUP, _read_settings, node, settings_path)


def _ignore_stops() -> None:
    """Have a stop that is repeated now not change the exit status.

    The loop would leave the default action, which ends the process by the signal.
    """
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def _read_settings(node: Node, path: str) -> None:
    try:
        settings = codecs.read_settings(path)
    except errors.InvalidValueError as error:
        node.submit(events.SettingsRejected(error.message))
        return
    changed_keys = codecs.changed_settings(node.settings, settings)
    node.submit(events.SettingsRead(settings, changed_keys))
