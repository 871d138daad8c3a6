"""Work that the start of an entry leaves out, and its effect on responses."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from sanic.server import HttpProtocol
from sanic.touchup import TouchUp

from carawayhitch.frontend import _application, _gateway, _server
from carawayhitch.node import Node
from fakes.processes import reserve_port
from tests.boards import ready_board

NEW_APPLICATIONS = (
    _application.new_application,
    _application.new_metrics_application,
    _gateway.new_gateway_application,
    _gateway.new_readiness_application,
)


async def fetch_head(port: int, path: str) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return head


class StartTest(unittest.IsolatedAsyncioTestCase):
    async def test_start_reads_and_rewrites_no_source(self):
        """Guards against sanic's source inspection, a seventh of a start's CPU time."""
        node = Node(ready_board().settings)
        source_read = AssertionError("a start read the source of a handler")
        with (
            mock.patch("sanic.mixins.routes.getsource", side_effect=source_read),
            mock.patch.object(TouchUp, "run") as rewrite,
        ):
            for new_application in NEW_APPLICATIONS:
                with self.subTest(new_application.__name__):
                    reservation = reserve_port()
                    listener = _server.Listener(
                        new_application(node), "127.0.0.1", reservation.port
                    )
                    server = await _server._start_server(listener)
                    server.close()
                    reservation.holder.close()
            rewrite.assert_not_called()
        self.assertFalse(getattr(HttpProtocol, "__touched__", False))

    async def test_responses_have_no_empty_alternative_service(self):
        """Guards against the header that sanic removes only by rewriting its source."""
        node = Node(ready_board().settings)
        reservation = reserve_port()
        listener = _server.Listener(
            _application.new_metrics_application(node), "127.0.0.1", reservation.port
        )
        server = await _server._start_server(listener)
        head = await fetch_head(reservation.port, "/healthz")
        server.close()
        reservation.holder.close()
        self.assertIn(b"200 OK", head)
        self.assertNotIn(b"alt-svc", head.lower())


if __name__ == "__main__":
    unittest.main()
