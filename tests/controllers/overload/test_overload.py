"""Refusals and returns while a burst meets fewer engines, by the scheduler's decisions.

Load: two accounts ask for more than the engines of one cell can serve before the
deadlines, while engines leave.
"""

from __future__ import annotations

import unittest
from collections import Counter
from unittest import mock

from carawayhitch.controllers import _placement, _prefill, overload
from carawayhitch.core import actions, declarations, events, messages, rows
from carawayhitch.core import settings as settings_types
from experiments import returning_clients
from tests.controllers import scheduling_world as world


def overload_board(engine_count=2, enabled=True):
    """Return a board of full engines, whose answers take 8 s each."""
    board = world.scheduling_board(engine_count)
    settings = board.settings
    board.settings_by_name["in_force"] = settings._replace(
        overload=settings_types.OverloadSettings(enabled),
        scheduling=settings.scheduling._replace(prefill_tokens_per_second=100_000.0),
    )
    board.engine_times_by_binding["urgent"] = rows.EngineTimeRow(8.0)
    change_upstreams(board, list(board.upstreams_by_id), running_limit=4)
    for index in range(4 * engine_count):
        world.feed(board, world.ask(f"running-{index}"), 0.0)
    return board


def ask(name, now, account="hotel", **changes):
    """Return an ask with a goal of 2 s and a deadline of 10 s."""
    times = {"deadline": now + 10.0, "goal_deadline": now + 2.0}
    return world.ask(name, account=account, prompt_tokens=500, **(times | changes))


def flood(board, count, now, account="hotel"):
    decided = []
    for index in range(count):
        decided += world.feed(board, ask(f"{account}-{now}-{index}", now, account), now)
    return decided


def retry_times(decided):
    refused = world.sent(decided, messages.AdmissionRefusal)
    return [message.retry_after for message in refused]


def change_upstreams(board, names, **changes):
    for name in names:
        row = board.upstreams_by_id[name]
        board.upstreams_by_id[name] = row._replace(**changes)


def leave_choice_to_entries(board):
    group = declarations.ServingGroup("quotes", {}, scheduler="entry")
    configuration = board.configuration
    board.configuration_by_name["in_force"] = configuration._replace(
        serving_groups_by_name={"quotes": group}
    )


def sweep(board, now):
    return world.feed(board, events.TimerFired("scheduling"), now)


class RefusalTest(unittest.TestCase):
    def test_burst_is_refused_before_any_backlog_has_shown_a_rate(self):
        # Guards against waits in vain in the first seconds of a burst.
        for enabled in (False, True):
            refused = world.refusals(flood(overload_board(enabled=enabled), 40, 1.0))
            self.assertEqual(bool(refused), enabled)

    def test_lost_engines_count_from_the_next_decision(self):
        # Guards against a rate from before the loss, which lets asks expire.
        losses = {"leaving": True, "unreachable_until": 20.0, "refused_until": 20.0}
        whole = len(world.refusals(flood(overload_board(4), 40, 1.0)))
        for field, value in losses.items():
            with self.subTest(field):
                board = overload_board(4)
                change_upstreams(board, ("engine-0", "engine-1"), **{field: value})
                self.assertGreater(len(world.refusals(flood(board, 40, 1.0))), whole)

    def test_other_reasons_for_no_work_take_an_engine_off(self):
        # Guards against capacity that the choice of an upstream does not have.
        board = overload_board(5)
        board.backoff_deadlines_by_entry_upstream["entry-2", "engine-0"] = 20.0
        health = board.health_by_upstream_id
        health["engine-1"] = rows.HealthRow("engine-1", ejected_until=20.0)
        change_upstreams(board, ["engine-2"], zone="zone-9")
        board.zone_drains_by_name["zone-9"] = rows.ZoneDrainRow("zone-9", 0.0)
        cell = board.cells_by_id[world.CELL]
        count = overload._capacity.usable_engine_count
        self.assertEqual(count(board, cell, "entry-2", 1.0), 2)
        self.assertEqual(count(board, cell, "entry-3", 1.0), 3)

    def test_waiting_ask_is_refused_once_engines_leave(self):
        # Guards against a wait until the deadline that can no longer succeed.
        board = overload_board(4)
        flood(board, 6, 1.0)
        self.assertFalse(world.refusals(sweep(board, 2.0)))
        change_upstreams(board, ["engine-1", "engine-2", "engine-3"], leaving=True)
        flood(board, 8, 2.5)
        self.assertTrue(world.refusals(sweep(board, 4.0)))

    def test_small_account_is_refused_later_than_a_large_one(self):
        # Guards against a flood of one account that turns the others away.
        board = overload_board()
        self.assertTrue(world.refusals(flood(board, 40, 1.0, "large")))
        self.assertFalse(world.refusals(flood(board, 1, 1.0, "small")))
        # Many small accounts together are as much work as a large one.
        crowd = [flood(board, 1, 1.0, f"account-{index}") for index in range(40)]
        self.assertTrue(world.refusals(sum(crowd, [])))

    def test_second_attempt_is_not_refused_by_its_wait(self):
        # It may have run: the caller would get no promise and could not come back.
        board = overload_board()
        flood(board, 40, 1.0)
        self.assertFalse(
            world.refusals(world.feed(board, ask("again", 1.0, attempt=2), 1.0))
        )

    def test_nothing_is_known_without_a_usable_engine(self):
        # Guards against refusals of all calls in the moment between two engines.
        board = overload_board()
        change_upstreams(board, ["engine-0", "engine-1"], leaving=True)
        self.assertFalse(world.refusals(flood(board, 5, 1.0)))

    def test_cells_of_entries_are_left_alone(self):
        # An entry that chooses for itself does not know the calls of the others.
        board = overload_board()
        leave_choice_to_entries(board)
        self.assertFalse(world.refusals(flood(board, 40, 1.0)))


class CostTest(unittest.TestCase):
    """Guards against work for each ask that grows with the queue, in a burst."""

    def test_new_asks_do_not_walk_the_queue(self):
        board = overload_board()
        for index in range(40):
            world.feed(board, ask(f"waiting-{index}", 1.0, attempt=2), 1.0)
        judge = _prefill.misses_first_token_goal
        with mock.patch.object(
            _prefill, "misses_first_token_goal", side_effect=judge
        ) as judged:
            flood(board, 20, 1.05)
        self.assertLess(judged.call_count, 4 * 40)

    def test_sweep_counts_engines_once_for_each_entry(self):
        board = overload_board()
        for index in range(20):
            event = ask(f"ask-{index}", 1.0, attempt=2, deadline=1.5)
            world.feed(board, event, 1.0)
            row = board.asks_by_request_id[event.request_id]
            board.asks_by_request_id[event.request_id] = row._replace(attempt=1)
        count = overload._capacity.usable_engine_count
        with (
            mock.patch.object(
                overload._waits, "usable_engine_count", side_effect=count
            ) as counted,
            mock.patch.object(overload._decisions, "usable_engine_count", counted),
        ):
            refused = world.refusals(sweep(board, 1.2))
        self.assertEqual(len(refused), 20)
        self.assertLessEqual(counted.call_count, 1)

    def test_refusals_do_not_walk_the_places(self):
        class Table(dict):
            walks = 0

            def __iter__(self):
                self.walks += 1
                return super().__iter__()

        board = overload_board()
        table = board._replace(return_places_by_call=Table())
        self.assertGreater(len(world.refusals(flood(table, 40, 1.0))), 5)
        self.assertEqual(table.return_places_by_call.walks, 0)

    def test_counted_work_follows_the_queue(self):
        # Guards against waits that count asks which were granted or left.
        board = overload_board()
        flood(board, 3, 1.0, "small")
        for index in range(6):
            world.feed(board, ask(f"more-{index}", 1.0, attempt=2), 1.01)
        world.feed(
            board, messages.AskWithdrawn("entry-2", "more-5", 2, world.CELL), 1.02
        )
        world.feed(board, world.finished("running-0"), 1.03)
        counted = overload._waits.waiting_work(board, world.CELL, 1.04)
        self.assertGreater(counted.deadline, 1.04)
        exact = overload._waits.count_waiting_work(board, world.CELL, 1.04)
        for key, seconds in counted.in_time.items():
            self.assertAlmostEqual(seconds, exact.in_time[key])
        self.assertEqual(len(board.waiting_work_by_cell_id), 1)
        sweep(board, 60.0)
        self.assertEqual(board.waiting_work_by_cell_id, {})


class ReturnTest(unittest.TestCase):
    def setUp(self):
        self.board = overload_board()
        self.refused = flood(self.board, 40, 1.0, "large")
        self.name = next(iter(world.refusals(self.refused)))

    def come_back(self, now, name="back", **changes):
        fingerprint = f"fingerprint of {self.name}"
        event = ask(name, now, "large", fingerprint=fingerprint, **changes)
        return world.feed(self.board, event, now)

    def test_clients_are_told_different_times(self):
        # Guards against a second burst by the clients of the first.
        times = retry_times(self.refused)
        self.assertGreater(len(times), 5)
        self.assertGreaterEqual(min(times), 1.0)
        self.assertEqual([time for time in times if time != int(time)], [])
        self.assertLessEqual(max(Counter(times).values()), 2)
        logs = [item for item in self.refused if isinstance(item, actions.Log)]
        offered = [log.fields for log in logs if log.event == "return offered"]
        self.assertEqual([fields["retry_after"] for fields in offered], times)

    def test_accounts_share_the_times_of_return(self):
        # Guards against returns in order of refusal, and beyond the capacity together.
        first = retry_times(self.refused)
        second = retry_times(flood(self.board, 40, 1.0, "small"))
        self.assertLess(min(second), max(first) / 2)
        self.assertGreater(second[2] - second[1], 1.9 * (first[2] - first[1]))

    def test_returned_ask_has_its_place_and_its_first_goal(self):
        # Guards against a return that delays calls that can still meet their goals.
        self.assertFalse(world.refusals(self.come_back(7.0)))
        row = self.board.asks_by_request_id["back"]
        self.assertTrue(row.returned)
        self.assertEqual((row.queued_at, row.goal_deadline), (1.0, 3.0))

    def test_returned_ask_goes_before_later_late_ones_and_after_those_in_time(self):
        late = ask("late", 4.0, "large", attempt=2)
        world.feed(self.board, late, 6.5)
        self.come_back(7.0)
        world.feed(self.board, ask("new", 7.0, "large"), 7.0)
        decided = []
        for index in range(8):
            finished = world.finished(f"running-{index}")
            decided += world.feed(self.board, finished, 7.1)
        order = list(world.granted(decided))
        self.assertEqual(order[0], "new")
        self.assertLess(order.index("back"), order.index("late"))
        self.assertEqual(self.board.return_places_by_call.get(self.key()), None)

    def test_returned_urgent_ask_goes_before_other_ranks(self):
        # Guards against urgent clients that come back in vain.
        self.come_back(7.0)
        new = ask("new", 7.0, rank="patient")
        world.feed(self.board, new, 7.0)
        decided = world.feed(self.board, world.finished("running-0"), 7.1)
        self.assertEqual(list(world.granted(decided)), ["back"])

    def granted_accounts(self, asks, count, returned=True):
        """Return the accounts granted at 5 s once engines finish `count` calls."""
        for event in asks:
            world.feed(self.board, event, 1.0)
            row = self.board.asks_by_request_id[event.request_id]
            changes = {"returned": returned and event.account == "large"}
            changes["queued_at"] = 1.0 - event.attempt
            self.board.asks_by_request_id[event.request_id] = row._replace(**changes)
        decided = []
        for index in range(count):
            finished = world.finished(f"running-{index}")
            decided += world.feed(self.board, finished, 5.0)
        return [name.split("-")[0] for name in world.granted(decided)]

    def test_returned_asks_do_not_starve_others(self):
        # Guards against a flood that resends at once and so goes before everyone.
        for ranks in (("urgent", "urgent"), ("urgent", "patient")):
            asks = [
                ask(f"{account}-{number}", 1.0, account, rank=rank, attempt=attempt)
                for account, rank, attempt in zip(
                    ("small", "large"), ranks, (3, 2), strict=True
                )
                for number in range(6)
            ]
            orders = []
            for returned in (False, True):
                self.board = overload_board()
                orders.append(self.granted_accounts(asks, 6, returned))
            with self.subTest(ranks):
                self.assertGreaterEqual(orders[1].count("small"), 3)
                self.assertEqual(*orders)

    def test_returned_asks_gain_nothing_once_the_setting_is_off(self):
        # Guards against an effect on deployments that don't ask for it.
        self.board = overload_board(enabled=False)
        asks = [ask("large-0", 1.0, "large", attempt=2)]
        for number in range(4):
            name = f"small-{number}"
            asks.append(ask(name, 1.0, "small", rank="patient", goal_deadline=9.0))
        self.assertEqual(set(self.granted_accounts(asks, 4)), {"small"})

    def key(self):
        return ("quotes", "large", f"fingerprint of {self.name}")

    def test_returned_ask_is_answered_before_its_deadline(self):
        # Guards against a client that leaves without an answer.
        self.come_back(1.2, deadline=2.4)
        self.assertNotIn("back", world.refusals(sweep(self.board, 1.7)))
        self.assertIn("back", world.refusals(sweep(self.board, 1.9)))

    def test_sweep_grants_before_it_refuses(self):
        # Guards against a refusal in the moment in which there is room.
        self.come_back(1.2, deadline=2.4)
        change_upstreams(self.board, ["engine-0", "engine-1"], running_limit=40)
        self.assertIn("back", world.granted(sweep(self.board, 1.9)))

    def test_place_ends_at_its_deadline(self):
        # Guards against state that nobody deletes.
        deadline = self.board.return_places_by_call[self.key()].deadline
        self.come_back(deadline, "too late")
        late = self.board.asks_by_request_id.get("too late")
        self.assertFalse(late and late.returned)
        # Rows must not outlast the setting either.
        off = settings_types.OverloadSettings(False)
        in_force = self.board.settings._replace(overload=off)
        for now in (200.0, 300.0):
            if now == 300.0:
                self.board.settings_by_name["in_force"] = in_force
            # The first sweep refuses asks that still wait, and keeps their places.
            sweep(self.board, now)
        self.assertEqual(self.board.return_places_by_call, {})
        self.assertEqual(self.board.place_counts_by_account, {})
        self.assertEqual(self.board.returns_by_rank, {})
        self.assertEqual(self.board.arriving_work_by_rank, {})

    def test_repeated_refusals_keep_the_time_of_return(self):
        # Guards against repeats at once that delay the others of their account.
        fingerprint = f"fingerprint of {self.name}"
        first = retry_times(self.refused)[0]
        for number in range(30):
            again = ask(f"again-{number}", 1.1, "large", fingerprint=fingerprint)
            again = again._replace(deadline=1.1)
            decided = world.feed(self.board, again, 1.1)
            self.assertEqual(retry_times(decided), [first])
        after = flood(self.board, 1, 1.2, "large")
        self.assertLess(retry_times(after)[0], max(retry_times(self.refused)) + 10)

    def test_repeated_ask_stays_as_it_waits(self):
        # Guards against an ask whose return is lost, or taken from another call.
        self.come_back(7.0)
        before = self.board.asks_by_request_id["back"]
        key = ("quotes", "hotel", "fingerprint of first")
        self.board.return_places_by_call.clear()
        world.feed(self.board, ask("first", 7.0, attempt=2), 7.0)
        other = self.board.asks_by_request_id["first"]
        self.board.return_places_by_call[key] = rows.ReturnPlaceRow(0.0, 1.0, 90.0)
        self.come_back(7.5, goal_deadline=9.5)
        again = ask("first", 7.0, attempt=2)
        world.feed(self.board, again, 7.5)
        for row in (before, other):
            now = self.board.asks_by_request_id[row.request_id]
            self.assertEqual(
                now._replace(renewed_at=0, deadline=0, queued_at=0),
                row._replace(renewed_at=0, deadline=0, queued_at=0),
            )

    def test_later_attempts_are_no_arrivals(self):
        # Guards against capacity that is taken as used up by the retries of failures.
        before = dict(self.board.arriving_work_by_rank)
        world.feed(self.board, ask("again", 1.0, attempt=2), 1.0)
        self.assertEqual(self.board.arriving_work_by_rank, before)

    def test_unknown_work_is_told_different_times(self):
        # Guards against a burst of returns before an answer time is known.
        board = overload_board()
        change_upstreams(board, ["engine-0", "engine-1"], leaving=True)
        board.engine_times_by_binding.clear()
        decided = []
        for index in range(100):
            event = ask(f"ask-{index}", 1.0)._replace(deadline=1.0, prompt_tokens=0)
            decided += world.feed(board, event, 1.0)
        self.assertGreater(len(set(retry_times(decided))), 10)

    def test_places_of_an_account_are_bounded(self):
        flood(self.board, 400, 1.0, "large")
        self.assertLessEqual(len(self.board.return_places_by_call), 200)

    def test_other_scheduler_of_the_pair_knows_the_place(self):
        # Guards against a place that is lost because the client reaches another cell.
        board = overload_board()
        for index in (1, 2):
            cell = board.cells_by_id[world.CELL]
            other = cell._replace(cell_id=f"quotes/region-1/{index}")
            board.cells_by_id[other.cell_id] = other
            board.schedulers_by_cell_id[other.cell_id] = (f"entry-{index + 4}",)
        candidates = list(board.cells_by_id.values())
        # Entries choose no cell of a zone out of use.
        drained = cell._replace(cell_id="quotes/region-1/3", upstream_ids=("out",))
        board.cells_by_id[drained.cell_id] = drained
        board.schedulers_by_cell_id[drained.cell_id] = ("entry-7",)
        board.zone_drains_by_name["zone-9"] = rows.ZoneDrainRow("zone-9", 0.0)
        board.upstreams_by_id["out"] = rows.UpstreamRow(
            "out", "out:1", "zone-9", "region-1", "engine", {}
        )
        sends = [a for a in flood(board, 40, 1.0) if isinstance(a, actions.Send)]
        told = [a for a in sends if isinstance(a.message, messages.PlaceKept)]
        self.assertTrue(told)
        receiver = overload_board()
        for action in told:
            notice = action.message
            key = overload.call_key(notice.account, notice.fingerprint)
            pair = [
                board.schedulers_by_cell_id[cell.cell_id][0]
                for cell in overload.cell_pair(candidates, key)
            ]
            self.assertIn(action.node_id, pair)
            world.feed(receiver, notice, 1.0)
        again = ask("back", 5.0, fingerprint=told[0].message.fingerprint)
        world.feed(receiver, again, 5.0)
        self.assertTrue(receiver.asks_by_request_id["back"].returned)

    def test_entries_choose_between_the_same_two_cells(self):
        cells = {f"quotes/region-1/{index}" for index in range(5)}
        board = overload_board()
        for cell_id in cells:
            cell = board.cells_by_id[world.CELL]
            board.cells_by_id[cell_id] = cell._replace(cell_id=cell_id)

        def chosen(number):
            key = overload.call_key("hotel", f"body {number}")
            draws = [world.Random(seed) for seed in range(30)]
            choose = _placement.choose_cell
            return {choose(board, "quotes", 1.0, draw, (), key) for draw in draws}

        self.assertLessEqual(max(len(chosen(number)) for number in range(20)), 2)
        # Calls with equal bodies must not all wait in two cells while others are idle.
        key = overload.call_key("hotel", "body 0")
        rows_of_cells = list(board.cells_by_id.values())
        pair = [cell.cell_id for cell in overload.cell_pair(rows_of_cells, key)]
        for cell_id in cells:
            load = 400 if cell_id in pair else 100
            board.loads_by_cell_id[cell_id] = rows.CellLoadRow(load, 90.0)
        self.assertGreater(len(chosen(0)), 2)
        board.loads_by_cell_id.clear()
        leave_choice_to_entries(board)
        self.assertGreater(len(chosen(0)), 2)

    def test_lost_scheduler_loses_places_without_harm(self):
        self.board = overload_board()
        self.assertFalse(world.refusals(self.come_back(7.0)))
        self.assertFalse(self.board.asks_by_request_id["back"].returned)


class BurstReplayTest(unittest.TestCase):
    """Four times the usual calls of a sheet, while a third of the engines is out."""

    def test_more_calls_are_served_in_time(self):
        # Guards against asks that wait in vain while returned ones delay new ones.
        for name, load in returning_clients.LOADS.items():
            burst = load._replace(factor=4.0, engine_count=5)
            worlds = [returning_clients.run(burst, 1, on) for on in (False, True)]
            names = [(kind.name, "in goal") for kind in load.kinds]
            before, after = ([run.outcomes[name] for name in names] for run in worlds)
            with self.subTest(name, before=before, after=after):
                self.assertGreater(sum(after), sum(before))
                self.assertGreaterEqual(after[0], before[0])


if __name__ == "__main__":
    unittest.main()
