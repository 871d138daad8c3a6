"""The ``explain`` command, which collects the log lines of one request."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from carawayhitch.cli._statuses import FAILURE_EXIT_STATUS

# Printed at the start of a line, or the same in all lines; the level is left out.
FIELDS_NOT_LISTED = ("timestamp", "node", "event", "request_id", "level")


class LogLine(NamedTuple):
    """A log line about the request; field values are those that the entry wrote."""

    timestamp: str
    node: str
    event: str
    fields: dict[str, Any]


def add_explain_command(commands: Any) -> None:
    """Add the command to the subparsers of the command line."""
    parser = commands.add_parser(
        "explain", help="print the log lines on standard input that belong to a request"
    )
    parser.add_argument("request_id", help="id of the request, as sent by its caller")
    parser.set_defaults(run=run_explain)


def run_explain(options: argparse.Namespace) -> int:
    """Print the log lines of a request in order of time; exit status 1 if none."""
    lines = find_log_lines(sys.stdin, options.request_id)
    if not lines:
        print(
            f"carawayhitch: no log line found for request {options.request_id!r}",
            file=sys.stderr,
        )
        return FAILURE_EXIT_STATUS
    for line in lines:
        shown = " ".join(
            f"{key}={_format_value(value)}" for key, value in line.fields.items()
        )
        print(f"{line.timestamp} {line.node} {line.event}: {shown}")
    return 0


def find_log_lines(text: Iterable[str], request_id: str) -> list[LogLine]:
    """Return the log lines of a request in order of time.

    Lines that are not log lines of an entry are skipped, because the output of a VM may
    also contain lines of other programs. A call that arrived while another one with the
    same id was open is logged under the id with a suffix, and its lines are included.
    """
    return sorted(
        _iterate_matching_lines(text, request_id), key=lambda line: line.timestamp
    )


def _iterate_matching_lines(text: Iterable[str], request_id: str) -> Iterator[LogLine]:
    for text_line in text:
        json_start = text_line.find("{")
        if json_start < 0 or request_id not in text_line:
            continue
        try:
            log_record = json.loads(text_line[json_start:])
        except ValueError:
            continue
        line_request_id = str(log_record.get("request_id", ""))
        if line_request_id != request_id and not line_request_id.startswith(
            f"{request_id}."
        ):
            continue
        fields = {
            key: value
            for key, value in log_record.items()
            if key not in FIELDS_NOT_LISTED
        }
        yield LogLine(
            str(log_record.get("timestamp", "")),
            str(log_record.get("node", "")),
            str(log_record.get("event", "")),
            fields,
        )


def _format_value(value: Any) -> str:
    return value if isinstance(value, str) and value else json.dumps(value)
