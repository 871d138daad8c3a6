"""Entries with their own decisions in front of a plain service, in virtual time."""

from __future__ import annotations

from collections import Counter, deque
from heapq import heappop, heappush
from itertools import count
from random import Random

from carawayhitch import controllers
from carawayhitch.core import actions, declarations, events, messages, rows
from tests.boards import ready_board

CELL = "portal/r1/0"
RANK = declarations.RankClass("lookup", 0, floor=0.1, queue_limit=200)
SLOTS = 6
SERVER_QUEUE = 24
SERVICE_SECONDS = 0.08
GOAL_SECONDS = 0.37
DEADLINE_SECONDS = 3.0
MESSAGE_SECONDS = 0.002
TIMERS = ("scheduling", "service_report")
PEER_MESSAGES = (messages.ServiceLoad, messages.ServiceShares)


def entry_board(node_id, entry_ids, server_count, accounts, enabled):
    """Return the board of an entry that chooses the servers by itself."""
    board = ready_board(node_id)
    scheduling = board.settings.scheduling._replace(service_shares=enabled)
    board.settings_by_name["in_force"] = board.settings._replace(scheduling=scheduling)
    board.configuration_by_name["in_force"] = declarations.Configuration(
        1,
        {"portal": declarations.ServingGroup("portal", {}, scheduler="entry")},
        {RANK.name: RANK},
        {account.name: account for account in accounts},
        {}, (), {}, {}, {},
    )  # fmt: skip
    for entry_id in entry_ids:
        board.members_by_id[entry_id] = rows.MemberRow(
            entry_id, 1, "alive", "127.0.0.1", 1, 1, "a", "r1"
        )
    for index in range(server_count):
        name = f"server-{index}"
        board.upstreams_by_id[name] = rows.UpstreamRow(
            name, f"{name}:1", "a", "r1", "service", {}, running_limit=SLOTS
        )
    board.cells_by_id[CELL] = rows.CellRow(
        CELL, "portal", "r1", tuple(board.upstreams_by_id)
    )
    board.schedulers_by_cell_id[CELL] = (node_id,)
    return board


class CrowdedService:
    """Entries, messages between them, and servers with slots and queues.

    Parameters
    ----------
    rates_by_account : dict of str to float
        Calls per second, which reach the entries evenly.
    weights_by_account : dict of str to float
        Quota weights other than 1.

    Attributes
    ----------
    results_by_account : dict of str to Counter
        Numbers of calls ``in_goal``, ``late`` and ``refused`` after the warm-up.
    """

    def __init__(
        self, rates_by_account, enabled=True, weights_by_account=(),
        entry_count=30, server_count=4, seed=1,
    ):  # fmt: skip
        weights = dict(weights_by_account)
        accounts = [
            declarations.ClientAccount(name, (), quota_weight=weights.get(name, 1.0))
            for name in rates_by_account
        ]
        self.random = Random(seed)
        self.rates_by_account = rates_by_account
        names = [f"entry-{index:02}" for index in range(entry_count)]
        self.boards = {
            name: entry_board(name, names, server_count, accounts, enabled)
            for name in names
        }
        self.running = Counter()
        self.waiting = {f"server-{index}": deque() for index in range(server_count)}
        self.pending, self.order = [], count()
        self.calls, self.results_by_account = {}, {}
        self.dead, self.cut, self.message_count = set(), set(), 0
        for name in names:
            self.decide(name, events.ProcessStarted(1), 0.0)

    def at(self, time, function, *arguments):
        """Call a function at a time."""
        heappush(self.pending, (time, next(self.order), function, arguments))

    def run(self, seconds, warm_up=5.0):
        """Play calls for a time; return the results by account."""
        self.warm_up = warm_up
        for account, rate in self.rates_by_account.items():
            if rate:
                self.at(self.random.expovariate(rate), self._arrive, account, rate)
        while self.pending and self.pending[0][0] < seconds:
            now, _, function, arguments = heappop(self.pending)
            function(*arguments, now)
        return self.results_by_account

    def decide(self, entry_id, event, now):
        """Feed an event to an entry and perform the actions that the model knows."""
        if entry_id in self.dead:
            return
        board = self.boards[entry_id]
        for action in controllers.decide(event, board, now, self.random):
            if isinstance(action, actions.SetTimer):
                if getattr(action.event, "name", "") in TIMERS:
                    time = max(now, action.deadline)
                    self.at(time, self.decide, entry_id, action.event)
            elif isinstance(action, actions.Send):
                self._send(entry_id, action, now)

    def _send(self, entry_id, action, now):
        message = action.message
        if isinstance(message, messages.AdmissionGrant):
            self._open(entry_id, message, now)
        elif isinstance(message, messages.AdmissionRefusal):
            self._end(message.request_id, "refused", now)
        elif isinstance(message, PEER_MESSAGES):
            if action.node_id == entry_id:
                self.at(now, self.decide, entry_id, message)
                return
            self.message_count += 1
            if not self.cut & {entry_id, action.node_id}:
                time = now + MESSAGE_SECONDS
                self.at(time, self.decide, action.node_id, message)

    def _arrive(self, account, rate, now):
        self.at(now + self.random.expovariate(rate), self._arrive, account, rate)
        request_id = f"r{next(self.order)}"
        entry_id = self.random.choice([*self.boards])
        if entry_id in self.dead:
            return
        self.calls[request_id] = (account, now)
        ask = messages.AdmissionAsk(
            entry_id, request_id, 1, CELL, "portal", account, "lookup", "b",
            f"fingerprint of {request_id}", 0, 0, (), (),
            now + DEADLINE_SECONDS, now + GOAL_SECONDS,
        )  # fmt: skip
        self.decide(entry_id, ask, now)

    def _open(self, entry_id, grant, now):
        server_id = grant.upstream_id
        if self.running[server_id] < SLOTS:
            self._serve(server_id, entry_id, grant.request_id, now)
        elif len(self.waiting[server_id]) < SERVER_QUEUE:
            self.waiting[server_id].append((entry_id, grant.request_id))
        else:
            self._finish(entry_id, grant.request_id, False, now)
            self._end(grant.request_id, "refused", now)

    def _serve(self, server_id, entry_id, request_id, now):
        self.running[server_id] += 1
        seconds = SERVICE_SECONDS * self.random.uniform(0.5, 1.5)
        self.at(now + seconds, self._answer, server_id, entry_id, request_id)

    def _answer(self, server_id, entry_id, request_id, now):
        self.running[server_id] -= 1
        if self.waiting[server_id]:
            self._serve(server_id, *self.waiting[server_id].popleft(), now)
        self._finish(entry_id, request_id, True, now)
        late = now - self.calls[request_id][1] > GOAL_SECONDS
        self._end(request_id, "late" if late else "in_goal", now)

    def _finish(self, entry_id, request_id, complete, now):
        finished = messages.Finished(
            entry_id, request_id, 1, CELL, 0, complete, False, not complete
        )
        self.at(now, self.decide, entry_id, finished)

    def _end(self, request_id, result, now):
        account, arrived_at = self.calls.pop(request_id, ("", 0.0))
        if account and arrived_at >= self.warm_up:
            results = self.results_by_account.setdefault(account, Counter())
            results[result] += 1


def served_share(results, accounts, outcomes=("in_goal",)):
    """Return the share of the calls of some accounts that had one of the outcomes."""
    total = sum((results[name] for name in accounts), Counter())
    return sum(total[outcome] for outcome in outcomes) / total.total()
