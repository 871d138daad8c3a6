"""Traces of incidents at real entries replay to the same actions.

`python -m experiments.record_traces` records them. Each trace has stated outcomes, so
that a trace recorded after a change of decisions cannot state another outcome unseen.
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

FOLDER = Path(__file__).parent / "traces"
SIZE_LIMIT = 100_000
# Whether a comparison with a random peer meets the dead process depends on the time of
# recording and has no part in the incident.
BACKGROUND_CODES = frozenset({"CONFIGURATION_PULL_FAILED"})
CALLS = (events.CallReceived, events.ResumeReceived)


class Outcome(NamedTuple):
    """How one call of a trace ended, in the order in which calls arrived.

    Parameters
    ----------
    end : str
        Name of the result code, status of a whole answer, or ``finished``.
    opened, resumed : int
        How often the call was sent to an upstream, and resumed there.
    """

    end: str
    opened: int = 0
    resumed: int = 0


class Incident(NamedTuple):
    """What a trace shows.

    Parameters
    ----------
    calls : tuple of Outcome
        Outcome of each call.
    codes : frozenset of str
        Names of the result codes that were counted, but for background ones.
    events : frozenset of str
        Warnings and errors that were logged, but for states of members.
    """

    calls: tuple[Outcome, ...]
    codes: frozenset[str] = frozenset()
    events: frozenset[str] = frozenset()


STATED: dict[str, Incident] = {
    # The guide was sent once; its duplicate and the guide during the outage never.
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
    # No second generation: the same one is tried five times and then given up.
    "killed_after_first_token": Incident(
        (Outcome("STREAM_LOST", opened=1, resumed=5),),
        frozenset({"RESUME_LINK_LOST", "STREAM_LOST"}),
        frozenset({"upstream died"}),
    ),
    "link_cut": Incident(
        (Outcome("finished", opened=1, resumed=1),), frozenset({"RESUME_LINK_LOST"})
    ),
    # The waiting calls run once each after the next scheduler took over.
    "scheduler_killed": Incident(
        (Outcome("200", opened=1),) * 4,
        frozenset(),
        frozenset({"scheduler does not answer", "stored journal layout applies"}),
    ),
    "upstream_leaving": Incident(
        (Outcome("finished", opened=1), Outcome("200", opened=1))
    ),
    # Two engines are lost; the resent request is refused and other work runs.
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
    # A stream, a guide and a call within the readiness grace; then a refused guide. A
    # refused generation is answered before it is decoded and so raises no event.
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
    # On the users' platform; the stream goes on at the other engine.
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


def end_of(action: Any) -> str:
    """Return how an action ends a call, or nothing."""
    if isinstance(action, actions.RefuseCall):
        return action.code.name
    if isinstance(action, actions.SendAnswer):
        return str(action.status)
    return "finished" if isinstance(action, actions.FinishStream) else ""


def read_actions(path: Path) -> Iterator[tuple[Any, Any]]:
    """Yield each event of a trace with each of its actions, and once with None."""
    with path.open("rb") as lines:
        _, steps = codecs.decode_trace(lines, str(path))
        for step in steps:
            yield step.event, None
            for action in step.actions or ():
                yield step.event, action


def read_incident(path: Path) -> Incident:
    """Return what a trace shows."""
    ends: dict[str, str] = {}
    counts: Counter[tuple[type, str]] = Counter()
    codes: set[str] = set()
    logged: set[str] = set()
    for event, action in read_actions(path):
        if action is None and isinstance(event, CALLS):
            ends[event.request_id] = ""
        request_id = getattr(action, "request_id", "")
        counts[type(action), request_id] += 1
        if end_of(action):
            ends[request_id] = end_of(action)
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
        """Guards against decisions that change unseen in an incident."""
        for name in STATED:
            with self.subTest(name), (FOLDER / f"{name}.jsonl").open("rb") as lines:
                result = replay_trace(lines, name)
                self.assertEqual(result.differences, ())
                self.assertGreater(result.action_count, 20)

    def test_outcomes_are_as_stated(self):
        """Guards against a recording that states a wrong outcome."""
        for name, stated in STATED.items():
            with self.subTest(name):
                self.assertEqual(read_incident(FOLDER / f"{name}.jsonl"), stated)

    def test_every_trace_is_stated_and_small(self):
        """Guards against traces that nothing compares or that fill the repository."""
        paths = sorted(FOLDER.glob("*.jsonl"))
        self.assertEqual({path.stem for path in paths}, set(STATED))
        for path in paths:
            self.assertLess(path.stat().st_size, SIZE_LIMIT, path.name)


if __name__ == "__main__":
    unittest.main()
