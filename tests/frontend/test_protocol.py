"""Number of client connections of an entry, and what they are said to do."""

from __future__ import annotations

import asyncio
import socket
import unittest
from unittest.mock import Mock

from carawayhitch.core import settings as settings_types
from carawayhitch.frontend._protocol import CallerProtocol, connection_limit


class ConnectionLimitTest(unittest.TestCase):
    def test_limit_leaves_descriptors_for_files_and_upstreams(self):
        """Guards against clients that take the descriptors of other connections."""
        for descriptors, connections, expected in (
            (1535, 4096, 1001),
            (8192, 4096, 4096),
            (1535, 40, 40),
            (100, 4096, 8),
        ):
            limits = settings_types.LimitSettings(
                connections=connections, descriptors=descriptors
            )
            with self.subTest(descriptors=descriptors):
                self.assertEqual(connection_limit(limits), expected)


class ConnectionUseTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_that_waits_in_the_kernel_is_progress(self):
        """Guards against honest clients that are closed after a late event loop."""
        for sent, progressed_at in ((b"", 10.0), (b"GET / HTTP/1.1", 50.0)):
            client, server = socket.socketpair()
            with self.subTest(sent=sent), client, server:
                app = Mock()
                app.ctx.node.now.return_value = 50.0
                protocol = CallerProtocol(loop=asyncio.get_running_loop(), app=app)
                protocol.recv_buffer = bytearray()
                protocol._time = 10.0
                protocol.transport = Mock()
                protocol.transport.is_closing.return_value = False
                protocol.transport.get_extra_info.return_value = server
                client.sendall(sent)
                use = protocol.describe_use()
                self.assertEqual(
                    (use.stage, use.progressed_at), ("unused", progressed_at)
                )


if __name__ == "__main__":
    unittest.main()
