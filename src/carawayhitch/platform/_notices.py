"""Decode what upstreams say about themselves in the headers of any response."""

from __future__ import annotations

import re

import aiohttp

from carawayhitch.core import events
from carawayhitch.platform import _names

# Seconds or milliseconds, also fractions of them.
TIME_PATTERN = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?", re.ASCII)


def announces_leaving(response: aiohttp.ClientResponse) -> bool:
    """Return whether the upstream announces that it is leaving."""
    return response.headers.get(_names.LEAVING, "").strip() == "1"


def requested_backoff(
    response: aiohttp.ClientResponse, upstream_id: str, now: float
) -> events.BackoffRequested | None:
    """Return the time for which the upstream wants no requests, if it names one.

    Parameters
    ----------
    now : float
        Current time of the node clock in seconds.
    """
    text = response.headers.get(_names.RETRY_AFTER, "").strip()
    if response.status != _names.UNAVAILABLE_STATUS:
        return None
    if not TIME_PATTERN.fullmatch(text):
        return None
    return events.BackoffRequested(upstream_id, now + float(text))


def announced_cold_seconds(response: aiohttp.ClientResponse) -> float:
    """Return the time for which the upstream is still cold; 0 if it names none."""
    text = response.headers.get(_names.COLD, "").strip()
    return float(text) / 1000.0 if TIME_PATTERN.fullmatch(text) else 0.0
