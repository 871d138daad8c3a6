"""Report of the calls that were lost or late, from the log lines of all entries.

Run ``python -m experiments.loss_report LOG [--plot report.svg]``. The log may contain
lines of other programs, and each line may begin with other text. Calls are grouped by
the time of their admission; for the worst windows, a table tells how many calls each
route lost to which cause.
"""

from __future__ import annotations

import argparse
import json
import re
from collections import Counter
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Any, NamedTuple

# A stream that breaks within this time after its engine began to leave was reclaimed.
RECLAIM_SECONDS = 4.0
LATE = "late"
# Cause of a loss by the name of the result code that ended the call.
CAUSES_BY_CODE = {
    "WAIT_EXPIRED": "queue",
    "QUEUE_FULL": "refused by queue length",
    "DEADLINE_UNREACHABLE": "refused by expected wait",
    "UPSTREAM_REFUSED": "refused by all upstreams",
    "NO_UPSTREAM": "no upstream",
    "SCHEDULER_UNAVAILABLE": "no scheduler",
    "STALLED": "no answer in time",
    "UPSTREAM_FAILED": "upstream failed, no retry left",
    "ANSWER_TRUNCATED": "upstream failed, no retry left",
    "ANSWER_FOREIGN": "upstream failed, no retry left",
    "ANSWER_TOO_LARGE": "upstream failed, no retry left",
    "STREAM_LOST": "engine lost",
    "SUSPECT_REFUSED": "request that crashes engines",
    "CALLER_GONE": "caller left",
}
LOWEST_FAILURE_STATUS = 500
GOAL_IN_RANK = re.compile(r"/goal-([0-9.]+)\Z")


class Call(NamedTuple):
    """A call that entries admitted.

    Parameters
    ----------
    admitted_at : float
        Unix time in seconds.
    cause : str
        Why the call was lost or late; empty if it was served in time.
    """

    admitted_at: float
    route: str
    cause: str


class Window(NamedTuple):
    """Calls that were admitted in a span of time, by route and cause."""

    start: float
    admitted_count: int
    losses_by_route_and_cause: Counter[tuple[str, str]]

    @property
    def lost_share(self) -> float:
        """Share of the calls that were lost or late."""
        return self.losses_by_route_and_cause.total() / max(1, self.admitted_count)


def read_records(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Return the log records in lines that may contain other text."""
    for line in lines:
        json_start = line.find("{")
        if json_start < 0:
            continue
        try:
            record = json.loads(line[json_start:])
        except ValueError:
            continue
        if isinstance(record, dict) and "event" in record and "timestamp" in record:
            yield record


def _unix_time(record: dict[str, Any]) -> float:
    return datetime.fromisoformat(record["timestamp"]).timestamp()


def find_calls(records: Iterable[dict[str, Any]]) -> list[Call]:
    """Return the admitted calls in the log, in order of admission.

    A call without a line that ends it was lost with its entry.
    """
    admitted_by_id: dict[str, dict[str, Any]] = {}
    ended_by_id: dict[str, dict[str, Any]] = {}
    waits_by_id: dict[str, float] = {}
    leaving_by_upstream: dict[str, float] = {}
    for record in records:
        event, request_id = record["event"], str(record.get("request_id", ""))
        if event == "call admitted":
            admitted_by_id[request_id] = record
        elif event == "request ended":
            ended_by_id[request_id] = record
        elif event == "upstream granted":
            waits_by_id.setdefault(request_id, float(record.get("waited", 0.0)))
        elif event == "upstream changed" and record.get("state") == "leaving":
            at = _unix_time(record)
            upstream = record["upstream"]
            leaving_by_upstream[upstream] = min(
                at, leaving_by_upstream.get(upstream, at)
            )
    calls = [
        Call(
            _unix_time(record),
            str(record.get("binding", "")),
            _find_cause(
                record,
                ended_by_id.get(request_id),
                waits_by_id.get(request_id, 0.0),
                leaving_by_upstream,
            ),
        )
        for request_id, record in admitted_by_id.items()
    ]
    return sorted(calls)


def _find_cause(
    admitted: dict[str, Any],
    ended: dict[str, Any] | None,
    waited: float,
    leaving_by_upstream: dict[str, float],
) -> str:
    if ended is None:
        return "entry lost"
    code, upstream = ended.get("code", ""), ended.get("upstream", "")
    left_at = leaving_by_upstream.get(upstream)
    if code == "STREAM_LOST" and left_at is not None:
        if 0.0 <= _unix_time(ended) - left_at < RECLAIM_SECONDS:
            return "engine reclaimed"
    if code:
        return CAUSES_BY_CODE.get(code, code)
    if ended.get("status", 0) >= LOWEST_FAILURE_STATUS:
        return "upstream answered with an error"
    goal = GOAL_IN_RANK.search(str(admitted.get("rank", "")))
    # The log has no time of the first token, so a stream counts as late only by its
    # wait for an upstream.
    taken = waited if ended.get("tokens") else float(ended.get("seconds", 0.0))
    return LATE if goal and taken > float(goal[1]) else ""


def group_into_windows(calls: list[Call], window_seconds: float) -> list[Window]:
    """Return the windows of a log in order of time, empty ones included."""
    if not calls:
        return []
    first = calls[0].admitted_at
    count = int((calls[-1].admitted_at - first) // window_seconds) + 1
    admitted_counts = [0] * count
    losses: list[Counter[tuple[str, str]]] = [Counter() for _ in range(count)]
    for call in calls:
        index = int((call.admitted_at - first) // window_seconds)
        admitted_counts[index] += 1
        if call.cause:
            losses[index][call.route, call.cause] += 1
    return [
        Window(index * window_seconds, admitted_counts[index], losses[index])
        for index in range(count)
    ]


def format_window(window: Window) -> str:
    """Return a table of the losses of a window, most frequent first."""
    lines = [
        f"from second {window.start:g}: {window.admitted_count} calls, "
        f"{window.lost_share:.0%} lost or late"
    ]
    for (route, cause), count in window.losses_by_route_and_cause.most_common():
        lines.append(f"  {count:5d}  {route:20s} {cause}")
    return "\n".join(lines)


def plot_windows(windows: list[Window], path: Path) -> None:
    """Draw the lost and late calls of each window by cause, as SVG or PNG."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    causes = sorted(
        {cause for window in windows for _, cause in window.losses_by_route_and_cause}
    )
    starts = [window.start for window in windows]
    width = starts[1] - starts[0] if len(starts) > 1 else 1.0
    figure, axes = pyplot.subplots(figsize=(10, 4))
    bottoms = [0.0] * len(windows)
    for cause in causes:
        counts = [
            float(
                sum(
                    count
                    for (_, found), count in window.losses_by_route_and_cause.items()
                    if found == cause
                )
            )
            for window in windows
        ]
        axes.bar(starts, counts, width, bottom=bottoms, align="edge", label=cause)
        bottoms = [low + high for low, high in zip(bottoms, counts, strict=True)]
    axes.set_xlabel("time of admission, seconds from the first call")
    axes.set_ylabel(f"lost or late calls in {width:g} s")
    if causes:
        axes.legend(fontsize="small")
    figure.savefig(path)
    pyplot.close(figure)


def main() -> None:
    """Print the report of a log."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log", type=Path, help="log lines of all entries")
    parser.add_argument("--window-seconds", type=float, default=2.0)
    parser.add_argument("--worst", type=int, default=2, help="windows to print")
    parser.add_argument("--plot", type=Path, help="file for a plot, .svg or .png")
    options = parser.parse_args()
    with options.log.open(errors="replace") as lines:
        calls = find_calls(read_records(lines))
    windows = group_into_windows(calls, options.window_seconds)
    total = Counter(call.cause or "served in time" for call in calls)
    for cause, count in total.most_common():
        print(f"{count:7d}  {cause}")
    # A window with few calls says little, so the number of losses decides.
    worst = sorted(
        windows, key=lambda window: -window.losses_by_route_and_cause.total()
    )
    for window in sorted(worst[: options.worst]):
        print(format_window(window))
    if options.plot:
        plot_windows(windows, options.plot)


if __name__ == "__main__":
    main()
