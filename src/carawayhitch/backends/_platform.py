"""Polls of the VM list and of upstreams: load, cache events, whether they listen."""

from __future__ import annotations

import asyncio

import aiohttp

from carawayhitch.backends._bodies import read_limited
from carawayhitch.codecs import decode_cache_events, decode_engine_load, decode_vm_list
from carawayhitch.core import errors, events

POLL_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
# A process that ends may close its connections a moment before its listening socket.
LISTENING_CHECK_DELAY_SECONDS = 0.05
# A host that is up refuses or accepts a connection within a round trip.
LISTENING_TIMEOUT_SECONDS = 0.5
# 1,310 VMs, the size in docs/CAPACITY.md, take 0.2 MB.
LIST_BYTES_LIMIT = 4_194_304
REPORT_BYTES_LIMIT = 65_536


async def read_vm_list(
    session: aiohttp.ClientSession, url: str
) -> events.VmListReceived | None:
    """Read the list of VMs; return None if there was no valid response."""
    try:
        async with session.get(url, timeout=POLL_TIMEOUT) as response:
            response.raise_for_status()
            return decode_vm_list(await read_limited(response, LIST_BYTES_LIMIT))
    except (aiohttp.ClientError, TimeoutError, OSError, errors.MalformedMessageError):
        return None


async def read_load(
    session: aiohttp.ClientSession, upstream_id: str, address: str, now: float
) -> events.LoadReported | events.LoadUnavailable:
    """Read the load of an engine."""
    try:
        url = f"http://{address}/load"
        async with session.get(url, timeout=POLL_TIMEOUT) as response:
            response.raise_for_status()
            return decode_engine_load(
                upstream_id, await read_limited(response, REPORT_BYTES_LIMIT), now
            )
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return events.LoadUnavailable(upstream_id, str(error))
    except errors.MalformedMessageError as error:
        return events.LoadUnavailable(upstream_id, error.message)


async def check_listening(upstream_id: str, address: str) -> events.ListeningChecked:
    """Open a connection to an upstream and close it without sending anything."""
    host, _, port = address.rpartition(":")
    await asyncio.sleep(LISTENING_CHECK_DELAY_SECONDS)
    try:
        async with asyncio.timeout(LISTENING_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return events.ListeningChecked(upstream_id, "refused")
    except (OSError, ValueError):
        return events.ListeningChecked(upstream_id, "unknown")
    writer.close()
    return events.ListeningChecked(upstream_id, "listening")


async def read_cache_events(
    session: aiohttp.ClientSession, upstream_id: str, address: str, since: int
) -> list[events.CacheChanged]:
    """Read cache events of an engine after a sequence number; empty on errors."""
    try:
        url = f"http://{address}/cache_events?since={since}"
        async with session.get(url, timeout=POLL_TIMEOUT) as response:
            response.raise_for_status()
            return decode_cache_events(
                upstream_id, await read_limited(response, LIST_BYTES_LIMIT)
            )
    except (aiohttp.ClientError, TimeoutError, OSError, errors.MalformedMessageError):
        return []
