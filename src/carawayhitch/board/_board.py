"""The blackboard, which contains all tables of one process."""

from __future__ import annotations

from typing import NamedTuple

from carawayhitch.core import declarations, events, rows
from carawayhitch.core import settings as settings_types


class Board(NamedTuple):
    """Tables that all controllers read, each written by a single controller.

    Tables are dictionaries of immutable rows and are named after their key. Rows are
    only replaced as a whole, so that readers never see partial changes.
    """

    settings_by_name: dict[str, settings_types.Settings]
    lifecycle_by_node_id: dict[str, rows.LifecycleRow]
    requests_by_id: dict[str, rows.RequestRow]
    answer_times_by_binding: dict[str, rows.AnswerTimesRow]
    upstreams_by_id: dict[str, rows.UpstreamRow]
    leaving_announcements_by_upstream_id: dict[str, rows.LeavingAnnouncementRow]
    backoff_deadlines_by_entry_upstream: dict[tuple[str, str], float]
    listed_entries_by_vm_id: dict[str, settings_types.SeedPeer]
    health_by_upstream_id: dict[str, rows.HealthRow]
    unreported_failures_by_upstream_id: dict[str, int]
    failures_reported_at_by_node_id: dict[str, float]
    cells_by_id: dict[str, rows.CellRow]
    members_by_id: dict[str, rows.MemberRow]
    member_updates_by_id: dict[str, rows.MemberUpdateRow]
    probes_by_sequence: dict[int, rows.ProbeRow]
    probe_round_by_node_id: dict[str, rows.ProbeRoundRow]
    schedulers_by_cell_id: dict[str, tuple[str, ...]]
    scheduler_contacts_by_id: dict[str, rows.SchedulerContactRow]
    waiting_check_times_by_scheduler_id: dict[str, float]
    loads_by_cell_id: dict[str, rows.CellLoadRow]
    asks_by_request_id: dict[str, rows.AskRow]
    grants_by_request_id: dict[str, rows.GrantRow]
    ended_requests_by_id: dict[str, rows.EndedRequestRow]
    usage_by_account: dict[tuple[str, str, str], rows.AccountUsageRow]
    rates_by_rank: dict[tuple[str, str], rows.RankRateRow]
    output_lengths_by_binding: dict[str, rows.OutputLengthsRow]
    queues_by_rank: dict[tuple[str, str], dict[str, dict[str, None]]]
    queue_lengths_by_rank: dict[tuple[str, str], rows.QueueLengthRow]
    last_idle_charge_by_rank: dict[tuple[str, str], float]
    blocked_rank_by_cell_id: dict[str, str]
    grant_ids_by_upstream_id: dict[str, dict[str, None]]
    granted_upstreams_by_fingerprint: dict[str, dict[str, str]]
    cleared_until_by_fingerprint: dict[str, float]
    load_reconciliations_by_upstream_id: dict[str, rows.LoadReconciliationRow]
    memory_forecasts_by_upstream_id: dict[str, rows.MemoryForecastRow]
    cached_blocks_by_upstream_id: dict[str, dict[str, None]]
    cache_cursors_by_upstream_id: dict[str, rows.CacheCursorRow]
    settle_deadlines_by_cell_id: dict[str, float]
    prefill_check_times_by_cell_id: dict[str, float]
    evacuations_by_upstream_id: dict[str, rows.EvacuationRow]
    moves_by_request_id: dict[str, rows.MoveRow]
    answered_moves_by_request_id: dict[str, rows.AnsweredMoveRow]
    crashes_by_fingerprint: dict[str, rows.CrashRow]
    answered_until_by_prefix_block: dict[str, float]
    last_failures_by_upstream_id: dict[
        str, rows.EngineFailureRow | rows.ServiceFailureRow
    ]
    claims_by_key: dict[str, rows.ClaimRow]
    journal_shards_by_name: dict[str, rows.JournalShardRow]
    journal_layouts_by_name: dict[str, rows.LayoutRow]
    objects_by_key: dict[tuple[str, str], rows.ObjectRow]
    decoded_objects_by_key: dict[tuple[str, str], events.DecodedObject]
    object_set_by_node_id: dict[str, rows.ObjectSetRow]
    store_scopes_by_name: dict[str, rows.StoreScopeRow]
    changes_by_operation_id: dict[str, rows.ChangeRow]
    configuration_by_name: dict[str, declarations.Configuration]
    retry_budgets_by_group: dict[str, rows.RetryBudgetRow]
    leases_by_group: dict[str, rows.LeaseRow]
    engine_states_by_upstream_id: dict[str, rows.EngineStateRow]
    cold_starts_by_upstream_id: dict[str, rows.ColdStartRow]
    cold_grant_deadlines_by_upstream_id: dict[str, tuple[float, ...]]
    cold_shares_by_upstream_id: dict[str, rows.SchedulerShareRow | rows.EntryShareRow]
    zone_demands_by_cell_id: dict[str, rows.ZoneDemandRow]
    zone_reasons_by_request_id: dict[str, str]
    zone_drains_by_name: dict[str, rows.ZoneDrainRow]
    return_places_by_call: dict[tuple[str, str, str], rows.ReturnPlaceRow]
    place_counts_by_account: dict[str, int]
    returns_by_rank: dict[tuple[str, str], rows.ReturnsRow]
    arriving_work_by_rank: dict[tuple[str, str], rows.ArrivingWorkRow]
    engine_times_by_binding: dict[str, rows.EngineTimeRow]
    waiting_work_by_cell_id: dict[str, rows.WaitingWorkRow]
    call_rates_by_account: dict[tuple[str, int, str], rows.CallRateRow]
    answer_rates_by_upstream_id: dict[str, rows.CallRateRow]
    refused_attempts_by_request_id: dict[str, int]
    service_reports_by_cell_id: dict[str, rows.ServiceReportRow]
    reported_loads_by_cell_entry: dict[tuple[str, str], rows.ReportedLoadRow]
    service_shares_by_cell_id: dict[str, rows.ServiceShareRow]
    share_limits_by_account: dict[tuple[str, int, str], rows.ShareLimitRow]
    duties_by_kind: dict[str, tuple[str, ...]]
    duty_loads_by_node_id: dict[str, rows.DutyLoadRow]

    @property
    def settings(self) -> settings_types.Settings:
        """Settings in force."""
        return self.settings_by_name["in_force"]

    @property
    def node_id(self) -> str:
        """Id of this node."""
        return self.settings.node.id

    @property
    def configuration(self) -> declarations.Configuration | None:
        """Configuration in force, or None before the first one."""
        return self.configuration_by_name.get("in_force")

    @property
    def object_set(self) -> rows.ObjectSetRow:
        """State of the set of declared objects on this node."""
        return self.object_set_by_node_id[self.settings.node.id]

    @property
    def journal_layout(self) -> rows.LayoutRow | None:
        """Layout of the claim journal, or None before it is read."""
        return self.journal_layouts_by_name.get("in_force")

    @property
    def lifecycle(self) -> rows.LifecycleRow:
        """Lifecycle state of this process."""
        return self.lifecycle_by_node_id[self.settings.node.id]


def new_board(settings: settings_types.Settings, incarnation: int) -> Board:
    """Return the initial board of a process.

    Parameters
    ----------
    settings : Settings
        Validated settings of the process.
    incarnation : int
        Incarnation of this process, higher than that of any earlier process of the
        node.

    Returns
    -------
    Board
        Board that contains the settings, the lifecycle row and the object set of this
        node and one row for each store scope; all other tables are empty.
    """
    node_id = settings.node.id
    lifecycle = rows.LifecycleRow(node_id, incarnation, "starting")
    return Board(
        settings_by_name={"in_force": settings},
        lifecycle_by_node_id={node_id: lifecycle},
        requests_by_id={},
        answer_times_by_binding={},
        upstreams_by_id={},
        leaving_announcements_by_upstream_id={},
        backoff_deadlines_by_entry_upstream={},
        listed_entries_by_vm_id={},
        health_by_upstream_id={},
        unreported_failures_by_upstream_id={},
        failures_reported_at_by_node_id={},
        cells_by_id={},
        members_by_id={},
        member_updates_by_id={},
        probes_by_sequence={},
        probe_round_by_node_id={},
        schedulers_by_cell_id={},
        scheduler_contacts_by_id={},
        waiting_check_times_by_scheduler_id={},
        loads_by_cell_id={},
        asks_by_request_id={},
        grants_by_request_id={},
        ended_requests_by_id={},
        usage_by_account={},
        rates_by_rank={},
        output_lengths_by_binding={},
        queues_by_rank={},
        queue_lengths_by_rank={},
        last_idle_charge_by_rank={},
        blocked_rank_by_cell_id={},
        grant_ids_by_upstream_id={},
        granted_upstreams_by_fingerprint={},
        cleared_until_by_fingerprint={},
        load_reconciliations_by_upstream_id={},
        memory_forecasts_by_upstream_id={},
        cached_blocks_by_upstream_id={},
        cache_cursors_by_upstream_id={},
        settle_deadlines_by_cell_id={},
        prefill_check_times_by_cell_id={},
        evacuations_by_upstream_id={},
        moves_by_request_id={},
        answered_moves_by_request_id={},
        crashes_by_fingerprint={},
        answered_until_by_prefix_block={},
        last_failures_by_upstream_id={},
        claims_by_key={},
        journal_shards_by_name={},
        journal_layouts_by_name={},
        objects_by_key={},
        decoded_objects_by_key={},
        object_set_by_node_id={node_id: rows.ObjectSetRow()},
        store_scopes_by_name={
            scope: rows.StoreScopeRow(scope) for scope in settings.store.scopes
        },
        changes_by_operation_id={},
        configuration_by_name={},
        retry_budgets_by_group={},
        leases_by_group={},
        engine_states_by_upstream_id={},
        cold_starts_by_upstream_id={},
        cold_grant_deadlines_by_upstream_id={},
        cold_shares_by_upstream_id={},
        zone_demands_by_cell_id={},
        zone_reasons_by_request_id={},
        zone_drains_by_name={},
        return_places_by_call={},
        place_counts_by_account={},
        returns_by_rank={},
        arriving_work_by_rank={},
        engine_times_by_binding={},
        waiting_work_by_cell_id={},
        call_rates_by_account={},
        answer_rates_by_upstream_id={},
        refused_attempts_by_request_id={},
        service_reports_by_cell_id={},
        reported_loads_by_cell_entry={},
        service_shares_by_cell_id={},
        share_limits_by_account={},
        duties_by_kind={},
        duty_loads_by_node_id={},
    )
