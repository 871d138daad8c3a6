"""Runs the HTTP servers of a node until it stops."""

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
from carawayhitch.node import Node, read_start_costs

FLUSH_POLL_INTERVAL_SECONDS = 0.02
# Callers give up an attempt after a third of their time limit of 1 s or less, so a
# longer wait would be of no use to them.
READY_WAIT_SECONDS = 0.3
READY_POLL_INTERVAL_SECONDS = 0.005


async def serve(
    settings: settings_types.Settings,
    log: Any,
    settings_path: str,
    gateway_socket: socket.socket | None = None,
) -> None:
    """Run one entry process until it has drained.

    Parameters
    ----------
    gateway_socket : socket, optional
        Socket that already listens on the address for calls on declared routes. Its
        connections are served once the process is ready.

    Notes
    -----
    SIGTERM and the first SIGINT start a drain. A repeated SIGTERM has no further
    effect, because planned stops may overlap. SIGINT after either signal stops the
    process immediately. SIGHUP reloads the settings file.
    """
    node = Node(settings, log)
    node.log.info(
        "starting",
        version=__version__,
        incarnation=node.incarnation,
        **read_start_costs()._asdict(),
    )
    servers = [await _start_server(listener) for listener in _listeners(node)]
    node.close_idle_connections = lambda: _close_idle_connections(servers)
    _add_signal_handlers(node, settings_path)
    await node.start()
    if settings.gateway.address:
        await _wait_until_ready(node)
        servers.append(await _start_server(_gateway_listener(node, gateway_socket)))
    node.log.info(
        "serving",
        zone=settings.node.zone,
        port=settings.node.http_port,
        gateway=settings.gateway.address,
        state=node.board.lifecycle.state,
        **read_start_costs()._asdict(),
    )
    await node.stopped.wait()
    for server in servers:
        server.close()
    await _wait_until_responses_sent(servers, node)
    await node.close()
    _ignore_stop_signals()


async def _wait_until_ready(node: Node) -> None:
    """Wait a limited time for the start, so that early callers are not refused.

    If the store does not answer, the start takes longer than the wait. Callers are
    then refused with a response that tells them to retry.
    """
    deadline = node.now() + READY_WAIT_SECONDS
    while node.board.lifecycle.state == "starting" and node.now() < deadline:
        await asyncio.sleep(READY_POLL_INTERVAL_SECONDS)


class Listener(NamedTuple):
    """An application and the address on which it listens."""

    application: Sanic
    address: str
    port: int
    bound_socket: socket.socket | None = None


def _listeners(node: Node) -> list[Listener]:
    """Return the listeners of an entry, except the one for calls on declared routes."""
    settings = node.settings
    entry_listener = Listener(
        new_application(node), settings.node.address, settings.node.http_port
    )
    gateway = settings.gateway
    optional_applications = (
        (gateway.metrics_address, new_metrics_application),
        (gateway.readiness_address, new_readiness_application),
    )
    listeners = [entry_listener]
    for address, new_optional_application in optional_applications:
        if address:
            listeners.append(
                _additional_listener(new_optional_application(node), address)
            )
    return listeners


def _gateway_listener(node: Node, gateway_socket: socket.socket | None) -> Listener:
    listener = _additional_listener(
        new_gateway_application(node), node.settings.gateway.address
    )
    return listener._replace(bound_socket=gateway_socket)


def _additional_listener(application: Sanic, address: str) -> Listener:
    host, _, port = address.rpartition(":")
    return Listener(application, host, int(port))


async def _start_server(listener: Listener) -> AsyncioServer:
    endpoint: dict[str, Any] = {"host": listener.address, "port": listener.port}
    if listener.bound_socket is not None:
        endpoint = {"sock": listener.bound_socket}
    server = await listener.application.create_server(
        **endpoint,
        protocol=CallerProtocol,
        return_asyncio_server=True,
        access_log=False,
        backlog=1024,
    )
    assert server is not None
    await server.startup()
    return server


def _close_idle_connections(servers: Sequence[AsyncioServer]) -> None:
    for connection in _open_connections(servers):
        connection.close_if_idle()


def _open_connections(servers: Sequence[AsyncioServer]) -> list[Any]:
    return [connection for server in servers for connection in server.connections]


async def _wait_until_responses_sent(
    servers: Sequence[AsyncioServer], node: Node
) -> None:
    """Wait until the responses that ended just before the stop have been sent.

    Connections that are still open at the deadline of the drain are aborted.
    """
    while _open_connections(servers) and node.now() < node.board.lifecycle.deadline:
        _close_idle_connections(servers)
        await asyncio.sleep(FLUSH_POLL_INTERVAL_SECONDS)
    for connection in _open_connections(servers):
        connection.abort()


def _add_signal_handlers(node: Node, settings_path: str) -> None:
    loop = asyncio.get_running_loop()
    received: list[int] = []

    def stop(number: int) -> None:
        interrupted = number == signal.SIGINT and bool(received)
        received.append(number)
        node.submit(events.StopRequested(immediate=interrupted))

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop, number)
    loop.add_signal_handler(signal.SIGHUP, _reload_settings, node, settings_path)


def _ignore_stop_signals() -> None:
    """Ignore further stop signals, so that they do not change the exit status.

    Removing the handlers from the event loop restores the default action, which
    terminates the process with the signal.
    """
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def _reload_settings(node: Node, path: str) -> None:
    try:
        settings = codecs.read_settings(path)
    except errors.InvalidValueError as error:
        node.submit(events.SettingsRejected(error.message))
        return
    changed_keys = codecs.changed_setting_names(node.settings, settings)
    node.submit(events.SettingsRead(settings, changed_keys))
