"""Datagrams to and from other entries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import count
from typing import Any, Protocol, cast

from carawayhitch import codecs
from carawayhitch.core import errors, messages, result_codes
from carawayhitch.core import settings as settings_types

# Senders beyond this number push out the one heard longest ago. It bounds the memory
# that holders of the key can take with invented names.
MAXIMUM_WINDOWS = 4096


class PeerEvents(Protocol):
    """What the transport reports to the node, and the settings in force."""

    @property
    def settings(self) -> settings_types.Settings:
        """The settings in force; keys change in a rotation."""

    @property
    def log(self) -> Any:
        """The logger of the node."""

    def submit(self, event: Any) -> None:
        """Feed a received message to the controllers."""

    def count(self, code: result_codes.ResultCode, rank: str) -> None:
        """Add to the counter of a result code."""

    def count_peer_message(self, direction: str, name: str, size: int) -> None:
        """Add to the counters of peer messages and bytes."""

    def now(self) -> float:
        """Return the node clock in seconds."""


class PeerSocket(asyncio.DatagramProtocol):
    """The UDP socket of one entry.

    Parameters
    ----------
    incarnation : int
        Number of this process.
    node : PeerEvents
        Has address, port and keys; receives messages and counts.
    """

    def __init__(self, incarnation: int, node: PeerEvents) -> None:
        self.incarnation = incarnation
        self.node = node
        self.windows_by_sender_id: dict[str, codecs.ReplayWindow] = {}
        self._own_address = codecs.PeerAddress(
            node.settings.node.address, node.settings.node.peer_port
        )
        self._next_sequence: Callable[[], int] = count(1).__next__
        self._transport: asyncio.DatagramTransport | None = None
        self._closed = asyncio.Event()

    async def open(self) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self._own_address)

    async def close(self) -> None:
        """Close the socket after queued datagrams were sent."""
        if self._transport is not None:
            self._transport.close()
            await self._closed.wait()

    def send(
        self, destination: codecs.PeerAddress, message: messages.PeerMessage
    ) -> None:
        """Send a message; it may be lost like any datagram."""
        if self._transport is None or self._transport.is_closing():
            return
        keys = self.node.settings.peers.keys
        if not keys:
            # The shared key has not been read yet; membership tries again.
            self.node.count(result_codes.PEER_UNREACHABLE, "")
            return
        try:
            datagrams = codecs.encode_datagrams(
                message,
                self.incarnation,
                self._next_sequence,
                destination,
                keys[0],
                self.node.now(),
            )
            for datagram in datagrams:
                self._transport.sendto(datagram, destination)
                self.node.count_peer_message(
                    "sent", codecs.message_type_name(message), len(datagram)
                )
        except errors.MalformedMessageError as error:
            self.node.count(error.code, "")
        except (OSError, ValueError):
            # An address that a peer announced may be one that cannot be sent to.
            self.node.count(result_codes.PEER_UNREACHABLE, "")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # The transport of uvloop has the methods but not the base class.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Report the end of the socket to `close`."""
        self._closed.set()

    def error_received(self, error: Exception) -> None:
        """Count an unreachable destination; probes find out which one it is."""
        self.node.count(result_codes.PEER_UNREACHABLE, "")

    def datagram_received(self, data: bytes, address: tuple[Any, ...]) -> None:
        """Verify a datagram and feed its message to the controllers."""
        now = self.node.now()
        try:
            received = codecs.decode_message(
                data, self._own_address, self.node.settings.peers.keys, now
            )
        except errors.MalformedMessageError as error:
            self.node.count(error.code, "")
            self.node.log.info(
                "datagram rejected",
                sender=address[0],
                code=error.code.name,
                detail=error.message,
            )
            return
        if not self._is_new(received, now):
            self.node.count(result_codes.PEER_MESSAGE_REPLAYED, "")
            return
        name = codecs.message_type_name(received.message)
        self.node.count_peer_message("received", name, len(data))
        self.node.submit(received.message)

    def _is_new(self, received: codecs.Received, now: float) -> bool:
        windows = self.windows_by_sender_id
        window = codecs.advance_replay_window(
            windows.get(received.sender_id),
            received.incarnation,
            received.sequence,
            now,
        )
        if window is None:
            return False
        # Removed and added again, so that the first entry is the one heard longest ago.
        windows.pop(received.sender_id, None)
        windows[received.sender_id] = window
        if len(windows) > MAXIMUM_WINDOWS:
            del windows[next(iter(windows))]
        return True
