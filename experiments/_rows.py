"""Data of the experiments."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any, NamedTuple

from carawayhitch.board import Board
from carawayhitch.core import declarations, settings
from fakes.engine_model import Engine, EngineLimits


class Arrival(NamedTuple):
    """One call of a caller; ``output_tokens`` is unknown to the system."""

    at: float
    entry_id: str
    account: str
    rank: str
    prompt_tokens: int
    output_tokens: int
    prefix_blocks: tuple[str, ...] = ()


class Outcome(NamedTuple):
    """What became of a call; times are 0 until they happen."""

    arrival: Arrival
    upstream_id: str = ""
    delivered: int = 0
    first_token_at: float = 0.0
    finished_at: float = 0.0
    refused_code: str = ""


class LoadSample(NamedTuple):
    """Load of an engine at a time."""

    at: float
    memory_used: int
    running_count: int
    waiting_count: int
    preemption_count: int


class Setup(NamedTuple):
    """What is fixed in one run.

    Parameters
    ----------
    policy : str
        ``carawayhitch`` or the name of a baseline.
    load_lag_seconds : float
        Age of the load reports.
    cache_event_lag_seconds : float
        Age of the cache events; every seventh one is lost.
    scheduler_fails_at : float
        Time at which the entry that schedules the cell is lost.
    sample_from, sample_until : float
        Time in which loads are sampled and tokens are counted.
    """

    policy: str
    entry_count: int
    engine_count: int
    limits: EngineLimits
    ranks: tuple[declarations.RankClass, ...]
    accounts: tuple[declarations.ClientAccount, ...]
    duration: float
    seed: int
    scheduling: settings.SchedulingSettings = settings.SchedulingSettings()
    scheduler_fails_at: float = float("inf")
    load_lag_seconds: float = 0.5
    cache_event_lag_seconds: float = 0.0
    sample_from: float = 0.0
    sample_until: float = float("inf")


class World(NamedTuple):
    """Tables of one run."""

    setup: Setup
    random: Random
    clock: dict[str, float]
    pending: list[tuple[float, int, Any]]
    boards_by_id: dict[str, Board]
    engines_by_id: dict[str, Engine]
    active_engine_ids: set[str]
    failed_entry_ids: set[str]
    loads_by_engine_id: dict[str, list[LoadSample]]
    cache_event_times_by_engine_id: dict[str, list[float]]
    outcomes_by_request_id: dict[str, Outcome]
    request_ids_by_generation_id: dict[str, str]
    open_request_ids_by_entry_id: dict[str, dict[str, int]]
    outstanding_by_upstream_id: dict[str, int]
    tokens_by_second: Counter[tuple[int, str, str]]
    gaps: Counter[float]
    preempted_at_by_generation_id: dict[str, float]
    load_spreads: list[float]
    load_peaks: list[float]
    counts: Counter[str]
