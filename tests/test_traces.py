"""Replay of traces that were recorded during incidents at entry processes.

`python -m experiments.record_traces` records the traces. The expected outcome of each
is listed here, so that recording anew after a change of the controllers cannot replace
an outcome unnoticed.
"""

from __future__ import annotations

import unittest
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

from carawayhitch import codecs
from carawayhitch.core import actions, events
from carawayhitch.node import replay_trace

TRACE_DIRECTORY = Path(__file__).parent / "traces"
MAX_TRACE_BYTES = 100_000
# Entries compare configurations with a random peer. Whether that is the dead process
# depends on timing and is unrelated to the incident.
BACKGROUND_CODES = frozenset({"CONFIGURATION_PULL_FAILED"})
CALL_EVENTS = (events.CallReceived, events.ResumeReceived)


class Outcome(NamedTuple):
    """How a call of a trace ended.

    Parameters
    ----------
    end : str
        Name of the result code, HTTP status of a non-streamed response, or ``finished``
        for a completed stream.
    opened, resumed : int
        Number of times the call was sent to an upstream, and resumed there.
    """

    end: str
    opened: int = 0
    resumed: int = 0


class Incident(NamedTuple):
    """Outcomes, result codes and log events of a trace.

    Parameters
    ----------
    calls : tuple of Outcome
        Outcome of each call, in order of arrival.
    codes : frozenset of str
        Names of the counted result codes, without `BACKGROUND_CODES`.
    events : frozenset of str
        Logged warnings and errors, without changes of member states.
    """

    calls: tuple[Outcome, ...]
    codes: frozenset[str] = frozenset()
    events: frozenset[str] = frozenset()


EXPECTED_INCIDENTS: dict[str, Incident] = {
    # The call to guides was sent once. Its duplicate and the call to guides during the
    # outage were not sent.
    "store_outage": Incident(
        (
            Outcome("OUTCOME_UNKNOWN", opened=1),
            Outcome("OUTCOME_UNKNOWN"),
            Outcome("STORE_UNAVAILABLE"),
        ),
        frozenset({"OUTCOME_UNKNOWN", "STORE_UNAVAILABLE", "STORE_CALL_FAILED"}),
        frozenset({"dependency lost"}),
    ),
    "killed_before_first_token": Incident(
        (Outcome("finished", opened=2),),
        frozenset({"RETRY_BEFORE_FIRST_TOKEN"}),
        frozenset({"upstream died"}),
    ),
    # No second generation is started: resuming the first fails after five attempts.
    "killed_after_first_token": Incident(
        (Outcome("STREAM_LOST", opened=1, resumed=5),),
        frozenset({"RESUME_LINK_LOST", "STREAM_LOST"}),
        frozenset({"upstream died"}),
    ),
    "link_cut": Incident(
        (Outcome("finished", opened=1, resumed=1),), frozenset({"RESUME_LINK_LOST"})
    ),
    # The queued calls run once each after the next scheduler has taken over.
    "scheduler_killed": Incident(
        (Outcome("200", opened=1),) * 4,
        frozenset(),
        frozenset({"scheduler does not answer", "stored journal layout applies"}),
    ),
    "upstream_leaving": Incident(
        (Outcome("finished", opened=1), Outcome("200", opened=1))
    ),
    # Two engines crash. The resent request is refused, and other requests still run.
    "crashing_request": Incident(
        (
            Outcome("UPSTREAM_FAILED", opened=2),
            Outcome("SUSPECT_REFUSED"),
            Outcome("SUSPECT_REFUSED"),
            Outcome("200", opened=1),
        ),
        frozenset({"RETRY_BEFORE_FIRST_TOKEN", "SUSPECT_REFUSED", "UPSTREAM_FAILED"}),
        frozenset({"upstream died"}),
    ),
    # A stream, a call to guides and another call within the readiness grace period,
    # then a refused call to guides. A generation is refused before it is decoded and
    # so raises no event.
    "graceful_stop": Incident(
        (
            Outcome("finished", opened=1),
            Outcome("200", opened=1),
            Outcome("200", opened=1),
            Outcome("DRAINING"),
        ),
        frozenset({"DRAINING"}),
    ),
    "rejected_change": Incident(
        (Outcome("200", opened=1),),
        frozenset({"CONFIGURATION_REJECTED"}),
        frozenset({"configuration rejected"}),
    ),
    # On the users' platform; the stream continues at the other engine.
    "engine_reclaimed": Incident(
        (Outcome("finished", opened=2),), frozenset({"RETRY_MOVED"})
    ),
    "notice_in_report": Incident(
        (Outcome("finished", opened=2),),
        frozenset({"RETRY_MOVED", "STORE_CALL_FAILED"}),
        frozenset({"dependency lost"}),
    ),
    "failing_upstreams": Incident(
        (Outcome("500", opened=2), Outcome("200", opened=1)),
        frozenset({"RETRY_FAILED_ANSWER"}),
    ),
}


def describe_call_end(action: Any) -> str:
    """Return how an action ends a call, or an empty string if it does not."""
    if isinstance(action, actions.RefuseCall):
        return action.code.name
    if isinstance(action, actions.SendAnswer):
        return str(action.status)
    return "finished" if isinstance(action, actions.FinishStream) else ""


def read_actions(path: Path) -> Iterator[tuple[Any, Any]]:
    """Yield each event of a trace, first with None and then with each action."""
    with path.open("rb") as lines:
        _, steps = codecs.decode_trace(lines, str(path))
        for step in steps:
            yield step.event, None
            for action in step.actions or ():
                yield step.event, action


def read_incident(path: Path) -> Incident:
    """Return the outcomes, result codes and log events of a trace."""
    ends: dict[str, str] = {}
    counts: Counter[tuple[type, str]] = Counter()
    codes: set[str] = set()
    logged: set[str] = set()
    for event, action in read_actions(path):
        if action is None and isinstance(event, CALL_EVENTS):
            ends[event.request_id] = ""
        request_id = getattr(action, "request_id", "")
        counts[type(action), request_id] += 1
        if describe_call_end(action):
            ends[request_id] = describe_call_end(action)
        if isinstance(action, actions.Count):
            codes.add(action.code.name)
        if isinstance(action, actions.Log) and action.level != "info":
            logged.add(action.event)
    calls = tuple(
        Outcome(
            end,
            counts[actions.OpenUpstream, request_id],
            counts[actions.ResumeUpstream, request_id],
        )
        for request_id, end in ends.items()
    )
    incident_codes = frozenset(codes - BACKGROUND_CODES)
    return Incident(calls, incident_codes, frozenset(logged - {"member state"}))


class TraceTest(unittest.TestCase):
    def test_traces_replay_without_differences(self):
        """Guards against unnoticed changes of decisions during incidents."""
        for name in EXPECTED_INCIDENTS:
            with (
                self.subTest(name),
                (TRACE_DIRECTORY / f"{name}.jsonl").open("rb") as lines,
            ):
                result = replay_trace(lines, name)
                self.assertEqual(result.differences, ())
                self.assertGreater(result.action_count, 20)

    def test_outcomes_match_expectations(self):
        """Guards against a recorded trace with an unexpected outcome."""
        for name, expected in EXPECTED_INCIDENTS.items():
            with self.subTest(name):
                self.assertEqual(
                    read_incident(TRACE_DIRECTORY / f"{name}.jsonl"), expected
                )

    def test_every_trace_is_listed_and_small(self):
        """Guards against traces that are not checked or bloat the repository."""
        paths = sorted(TRACE_DIRECTORY.glob("*.jsonl"))
        self.assertEqual({path.stem for path in paths}, set(EXPECTED_INCIDENTS))
        for path in paths:
            self.assertLess(path.stat().st_size, MAX_TRACE_BYTES, path.name)


if __name__ == "__main__":
    unittest.main()
