"""Entries with their own decisions in front of a plain service, in virtual time."""

from __future__ import annotations

from collections import Counter, deque
from heapq import heappop, heappush
from itertools import count
from random import Random

from carawayhitch import controllers
from carawayhitch.controllers import service_shares
from carawayhitch.core import actions, declarations, events, messages, result_codes
from carawayhitch.core import settings as settings_types
from tests.controllers.locality.test_entry_shares import (
    CELL,
    SERVICE_SECONDS,
    SLOTS,
    entry_board,
    server,
)

RANK = declarations.RankClass("lookup", 0, floor=0.1, queue_limit=200)
SERVER_QUEUE = 24
GOAL_SECONDS = 0.37
DEADLINE_SECONDS = 3.0
TIMERS = ("scheduling", "service_report")
PEER_MESSAGES = (messages.ServiceLoad, messages.ServiceShares)


def new_ask(entry_id, request_id, account, now):
    """Return the ask of an entry for a new call."""
    return messages.AdmissionAsk(
        entry_id, request_id, 1, CELL, "portal", account, RANK.name, "b",
        f"fingerprint of {request_id}", 0, 0, (), (),
        now + DEADLINE_SECONDS, now + GOAL_SECONDS,
    )  # fmt: skip


def refuse(board, request_id, code, now):
    """Tell the controller of the shares that an attempt has failed."""
    event = events.RetryRequested(request_id, code, result_codes.UPSTREAM_REFUSED)
    service_shares.decide(event, board, now, Random(1))


class CrowdedService:
    """Entries, messages between them, and four servers with slots and queues.

    Calls of all accounts reach the entries evenly. `results_by_account` counts calls
    that were answered in goal, late or refused.
    """

    def __init__(
        self, rates_by_account, enabled=True, accounts=(),
        entry_count=30, message_seconds=0.002, seed=1,
    ):  # fmt: skip
        self.random = Random(seed)
        self.rates_by_account = rates_by_account
        self.message_seconds = message_seconds
        zones = {f"entry-{index:02}": "a" for index in range(entry_count)}
        servers = [server(f"server-{index}", "a") for index in range(4)]
        self.boards = {name: entry_board(name, "a", zones, servers) for name in zones}
        self.running = Counter()
        self.waiting = {row.upstream_id: deque() for row in servers}
        self.pending, self.order = [], count()
        self.calls, self.results_by_account = {}, {}
        self.dead, self.cut, self.message_count = set(), set(), 0
        scheduling = settings_types.SchedulingSettings(service_shares=enabled)
        for name, board in self.boards.items():
            board.settings_by_name["in_force"] = board.settings._replace(
                scheduling=scheduling, locality=settings_types.LocalitySettings()
            )
            board.configuration_by_name["in_force"] = board.configuration._replace(
                rank_classes_by_name={RANK.name: RANK},
                accounts_by_name={account.name: account for account in accounts},
            )
            board.schedulers_by_cell_id[CELL] = (name,)
            self.at(0.0, self.decide, name, events.TimerFired("scheduling"))
        for account, rate in rates_by_account.items():
            if rate:
                self.at(self.random.expovariate(rate), self._arrive, account)

    def at(self, time, function, *arguments):
        """Call a function at a time."""
        heappush(self.pending, (time, next(self.order), function, arguments))

    def run(self, seconds, warm_up=5.0):
        """Play calls up to a time; return the results of those after the warm-up."""
        self.warm_up = warm_up
        while self.pending and self.pending[0][0] < seconds:
            now, _, function, arguments = heappop(self.pending)
            function(*arguments, now)
        return self.results_by_account

    def decide(self, entry_id, event, now):
        """Feed an event to an entry and perform its actions."""
        if entry_id in self.dead:
            return
        board = self.boards[entry_id]
        for action in controllers.decide(event, board, now, self.random):
            if isinstance(action, actions.SetTimer):
                if getattr(action.event, "name", "") in TIMERS:
                    self.at(action.deadline, self.decide, entry_id, action.event)
            elif isinstance(action, actions.Send):
                self._send(entry_id, action.node_id, action.message, now)

    def _send(self, entry_id, receiver_id, message, now):
        if isinstance(message, messages.AdmissionGrant):
            self._open(message.upstream_id, entry_id, message.request_id, now)
        elif isinstance(message, messages.AdmissionRefusal):
            self._end(message.request_id, "refused", now)
        elif isinstance(message, PEER_MESSAGES):
            delay = 0.0 if receiver_id == entry_id else self.message_seconds
            self.message_count += delay > 0
            if not delay or not self.cut & {entry_id, receiver_id}:
                self.at(now + delay, self.decide, receiver_id, message)

    def _arrive(self, account, now):
        rate = self.rates_by_account[account]
        if not rate:
            return
        self.at(now + self.random.expovariate(rate), self._arrive, account)
        entry_id = self.random.choice([*self.boards])
        if entry_id not in self.dead:
            request_id = f"r{next(self.order)}"
            self.calls[request_id] = (account, now)
            self.decide(entry_id, new_ask(entry_id, request_id, account, now), now)

    def _open(self, server_id, entry_id, request_id, now):
        if self.running[server_id] < SLOTS:
            self._serve(server_id, entry_id, request_id, now)
        elif len(self.waiting[server_id]) < SERVER_QUEUE:
            self.waiting[server_id].append((entry_id, request_id))
        else:
            # The retry budget is used up, so that the refusal ends the call.
            refuse(self.boards[entry_id], request_id, result_codes.RETRY_REFUSED, now)
            self._finish(entry_id, request_id, "refused", now)

    def _serve(self, server_id, entry_id, request_id, now):
        self.running[server_id] += 1
        seconds = SERVICE_SECONDS * self.random.uniform(0.5, 1.5)
        self.at(now + seconds, self._answer, server_id, entry_id, request_id)

    def _answer(self, server_id, entry_id, request_id, now):
        self.running[server_id] -= 1
        if self.waiting[server_id]:
            self._serve(server_id, *self.waiting[server_id].popleft(), now)
        late = now - self.calls[request_id][1] > GOAL_SECONDS
        self._finish(entry_id, request_id, "late" if late else "in_goal", now)

    def _finish(self, entry_id, request_id, result, now):
        event = messages.Finished(entry_id, request_id, 1, CELL, 0, True, False)
        self.at(now, self.decide, entry_id, event)
        self._end(request_id, result, now)

    def _end(self, request_id, result, now):
        account, arrived_at = self.calls.pop(request_id)
        if arrived_at >= self.warm_up:
            self.results_by_account.setdefault(account, Counter())[result] += 1


def share_in_goal(results, accounts):
    """Return the share of the calls of some accounts that were answered in goal."""
    total = sum((results[name] for name in accounts), Counter())
    return total["in_goal"] / total.total()
