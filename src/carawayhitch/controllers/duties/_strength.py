"""Strength of a node, from the resources of its VM."""

from __future__ import annotations

from carawayhitch.core import rows
from carawayhitch.core import settings as settings_types

# Resources of one unit of strength. Only their ratio and the ratios between nodes
# matter. They match the shape of the VMs in use, from 0.36 cores with 136 MB to 2.15
# cores with 552 MB, so that no single resource limits most of them.
CORES_PER_UNIT = 0.25
MEGABYTES_PER_UNIT = 64.0
MEGABITS_PER_UNIT = 5.0


def strength_of(node: settings_types.NodeSettings) -> int:
    """Return the strength that the settings of a node state.

    The scarcest of the known resources decides. A node that knows none has the minimum.
    """
    units = [
        amount / unit
        for amount, unit in (
            (node.processor_share * node.processor_cores, CORES_PER_UNIT),
            (node.memory_megabytes, MEGABYTES_PER_UNIT),
            (node.link_megabits, MEGABITS_PER_UNIT),
        )
        if amount > 0
    ]
    scarcest = int(min(units, default=rows.MINIMUM_STRENGTH))
    return max(rows.MINIMUM_STRENGTH, min(scarcest, rows.MAXIMUM_STRENGTH))


def is_strength_known(node: settings_types.NodeSettings) -> bool:
    """Return whether the settings state any resource of the node."""
    processor = node.processor_share * node.processor_cores
    return processor > 0 or node.memory_megabytes > 0 or node.link_megabits > 0
