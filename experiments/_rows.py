"""Data types of the policy simulation."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any, NamedTuple

from carawayhitch.board import Board
from carawayhitch.core import declarations, settings
from fakes.engine_model import Engine, EngineLimits


class Arrival(NamedTuple):
    """One call; the system does not know ``output_tokens`` in advance."""

    at: float
    entry_id: str
    account: str
    rank: str
    prompt_tokens: int
    output_tokens: int
    prefix_blocks: tuple[str, ...] = ()


class Outcome(NamedTuple):
    """Result of a call; a time is 0 until its event occurs."""

    arrival: Arrival
    upstream_id: str = ""
    delivered: int = 0
    first_token_at: float = 0.0
    finished_at: float = 0.0
    refused_code: str = ""


class LoadSample(NamedTuple):
    """Load of an engine at one point in time."""

    at: float
    memory_used: int
    running_count: int
    waiting_count: int
    preemption_count: int


class Setup(NamedTuple):
    """Parameters of one run; times are in seconds of virtual time.

    Parameters
    ----------
    policy : str
        ``carawayhitch`` or the name of a baseline.
    load_lag_seconds : float
        Age of a load report when an entry reads it.
    cache_event_lag_seconds : float
        Age of a cache event when an entry reads it; every seventh one is dropped.
    scheduler_fails_at : float
        Time at which the entry that schedules the cell crashes; never by default.
    sample_from, sample_until : float
        Interval in which loads, gaps between tokens and counts are recorded.
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


class Simulation(NamedTuple):
    """State of one run.

    Parameters
    ----------
    clock : dict
        Virtual time in seconds under the key ``now``.
    pending : list
        Heap of future events: time, serial number and event.
    active_engine_ids : set of str
        Engines with a decoding step in progress.
    tokens_by_second : Counter
        Prompt and output tokens served, by second, account and rank.
    inter_token_gap_counts : Counter
        Number of gaps between tokens, by length in seconds.
    preempted_at_by_generation_id : dict
        Time of preemption of each generation that has not resumed.
    load_spreads, load_peaks : list of float
        Difference between the highest and the lowest engine load, and the highest one,
        as shares of the slots, at each sample.
    """

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
    inter_token_gap_counts: Counter[float]
    preempted_at_by_generation_id: dict[str, float]
    load_spreads: list[float]
    load_peaks: list[float]
    counts: Counter[str]
