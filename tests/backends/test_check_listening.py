"""Checks whether an upstream still listens, which decide whether it crashed."""

from __future__ import annotations

import asyncio
import socket
import unittest

from carawayhitch.backends import check_listening


class CheckListeningTest(unittest.IsolatedAsyncioTestCase):
    async def outcome(self, address):
        event = await check_listening("plain-1", address)
        self.assertEqual(event.upstream_id, "plain-1")
        return event.outcome

    async def test_server_that_accepts_connections_is_listening(self):
        """Guards against taking a server that only reset a connection for crashed."""
        server = await asyncio.start_server(
            lambda reader, writer: writer.close(), "127.0.0.1", 0
        )
        address = "{}:{}".format(*server.sockets[0].getsockname())
        self.assertEqual(await self.outcome(address), "listening")
        server.close()

    async def test_closed_port_is_refused(self):
        """Guards against crashes of a server that pass unnoticed."""
        with socket.socket() as bound:
            bound.bind(("127.0.0.1", 0))
            address = "{}:{}".format(*bound.getsockname())
        self.assertEqual(await self.outcome(address), "refused")

    async def test_silent_or_invalid_address_is_unknown(self):
        """Guards against taking a partitioned server for crashed."""
        with socket.socket() as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            address = "{}:{}".format(*full.getsockname())
            waiting = []
            # The queue of the listening socket is full, so further SYNs are dropped.
            for _ in range(4):
                client = socket.socket()
                client.setblocking(False)
                client.connect_ex(full.getsockname())
                waiting.append(client)
            self.assertEqual(await self.outcome(address), "unknown")
            for client in waiting:
                client.close()
        self.assertEqual(await self.outcome("127.0.0.1:none"), "unknown")


if __name__ == "__main__":
    unittest.main()
