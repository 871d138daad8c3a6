"""The command that gathers what the logs of entries say about one request."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from carawayhitch.cli._statuses import FAILURE_STATUS

# Shown first, or known from the command.
LEADING_FIELDS = ("timestamp", "node", "event", "request_id", "level")


class Line(NamedTuple):
    """A log line about the request; fields as the entry wrote them."""

    timestamp: str
    node: str
    event: str
    fields: dict[str, Any]


def add_explain_command(commands: Any) -> None:
    """Add the command to the parser of the command line."""
    parser = commands.add_parser(
        "explain", help="print what log lines on standard input say about a request"
    )
    parser.add_argument("request_id", help="id of the request, as its caller sent it")
    parser.set_defaults(run=run_explain)


def run_explain(options: argparse.Namespace) -> int:
    """Print the lines of a request in order of time; the status is 1 without any."""
    lines = find_log_lines(sys.stdin, options.request_id)
    if not lines:
        print(f"carawayhitch: no line names {options.request_id!r}", file=sys.stderr)
        return FAILURE_STATUS
    for line in lines:
        shown = " ".join(f"{key}={_text(value)}" for key, value in line.fields.items())
        print(f"{line.timestamp} {line.node} {line.event}: {shown}")
    return 0


def find_log_lines(text: Iterable[str], request_id: str) -> list[Line]:
    """Return the lines of a request in order of time.

    Lines that are not of an entry's log are passed over: the output of a VM may hold
    those of other programs. A call that came again while one with the same id was
    open has the id with a suffix, and is found as well.
    """
    return sorted(_matching(text, request_id), key=lambda line: line.timestamp)


def _matching(text: Iterable[str], request_id: str) -> Iterator[Line]:
    for raw in text:
        start = raw.find("{")
        if start < 0 or request_id not in raw:
            continue
        try:
            found = json.loads(raw[start:])
        except ValueError:
            continue
        named = str(found.get("request_id", ""))
        if named != request_id and not named.startswith(f"{request_id}."):
            continue
        fields = {
            key: value for key, value in found.items() if key not in LEADING_FIELDS
        }
        yield Line(
            str(found.get("timestamp", "")),
            str(found.get("node", "")),
            str(found.get("event", "")),
            fields,
        )


def _text(value: Any) -> str:
    return value if isinstance(value, str) and value else json.dumps(value)
