"""Exchange of datagrams with other entries over UDP."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import count
from typing import Any, Protocol, cast

from carawayhitch import codecs
from carawayhitch.core import errors, messages, result_codes
from carawayhitch.core import settings as settings_types

# Beyond this number, the window of the least recently heard sender is evicted. This
# bounds the memory that a holder of the key can use up with invented sender ids.
MAXIMUM_REPLAY_WINDOWS = 4096


class PeerSocketNode(Protocol):
    """Parts of the node that `PeerSocket` uses."""

    @property
    def settings(self) -> settings_types.Settings:
        """Settings in force; the keys change during key rotation."""

    @property
    def log(self) -> Any:
        """Logger of the node."""

    def submit(self, event: Any) -> None:
        """Pass a received message to the controllers."""

    def count(self, code: result_codes.ResultCode, rank: str) -> None:
        """Increment the counter of a result code."""

    def count_peer_message(self, direction: str, name: str, size: int) -> None:
        """Increment the counters of peer messages and their bytes."""

    def now(self) -> float:
        """Return the node clock in seconds."""


class PeerSocket(asyncio.DatagramProtocol):
    """The UDP socket of one entry.

    Parameters
    ----------
    incarnation : int
        Number of this process; a restarted process has a higher number.
    node : PeerSocketNode
        Provides address, port and keys; receives messages and counter increments.
    """

    def __init__(self, incarnation: int, node: PeerSocketNode) -> None:
        self.incarnation = incarnation
        self.node = node
        self.replay_windows_by_sender_id: dict[str, codecs.ReplayWindow] = {}
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
        """Close the socket after all queued datagrams are sent."""
        if self._transport is not None:
            self._transport.close()
            await self._closed.wait()

    def send(
        self, destination: codecs.PeerAddress, message: messages.PeerMessage
    ) -> None:
        """Send a message as datagrams, without a guarantee of delivery."""
        if self._transport is None or self._transport.is_closing():
            return
        keys = self.node.settings.peers.keys
        if not keys:
            # The shared key is not loaded yet; the membership protocol sends again.
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
            # A peer may announce an address to which the socket cannot send.
            self.node.count(result_codes.PEER_UNREACHABLE, "")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # uvloop's transport has the methods of DatagramTransport but is no subclass.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Tell `close` that the socket is closed."""
        self._closed.set()

    def error_received(self, error: Exception) -> None:
        """Count an unreachable destination.

        The error does not name the destination; membership probes detect which peer is
        unreachable.
        """
        self.node.count(result_codes.PEER_UNREACHABLE, "")

    def datagram_received(self, data: bytes, address: tuple[Any, ...]) -> None:
        """Verify a datagram and pass its message to the controllers."""
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
        if not self._advance_replay_window(received, now):
            self.node.count(result_codes.PEER_MESSAGE_REPLAYED, "")
            return
        name = codecs.message_type_name(received.message)
        self.node.count_peer_message("received", name, len(data))
        self.node.submit(received.message)

    def _advance_replay_window(self, received: codecs.Received, now: float) -> bool:
        windows = self.replay_windows_by_sender_id
        window = codecs.advance_replay_window(
            windows.get(received.sender_id),
            received.incarnation,
            received.sequence,
            now,
        )
        if window is None:
            return False
        # Reinsertion keeps the dict ordered from least to most recently heard sender.
        windows.pop(received.sender_id, None)
        windows[received.sender_id] = window
        if len(windows) > MAXIMUM_REPLAY_WINDOWS:
            del windows[next(iter(windows))]
        return True
