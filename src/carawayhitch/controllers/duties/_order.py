"""Order of the members that may take a duty: weighted rendezvous hashing.

Load pattern: the scheduler of a cell answers the asks and progress messages of all
entries. On the weakest VM of a fleet it is late for all of them. Members with a higher
strength take more duties, without a message or an agreement between entries.

The score of a member is ``-log2(h) / weight`` with its rendezvous score as the fraction
``h``; the lowest score owns the duty. A member then owns a share of the duties in
proportion to its weight, and a change of one strength moves duties only to or from that
member. All arithmetic is on integers, so entries on different processor architectures
and C libraries compute the same order.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import lru_cache

from carawayhitch.controllers._cells import order_by_rendezvous, rendezvous_score

SCORE_BITS = 64
# Logarithms are integers in units of 2**-FRACTION_BITS.
FRACTION_BITS = 32
TABLE_BITS = 6
INTERPOLATION_BITS = 32
# Keeps the quotients of logarithms and weights apart.
QUOTIENT_BITS = 24
# A duty costs a weak member time in its own work and in the work that waits for the
# duty. With a cube, eight members of strength 8 beside 88 of strength 1 own 98% of the
# duties; with shares in proportion to strength they would own 42%.
WEIGHT_EXPONENT = 3
# Enough for the cells and zones of a fleet of a few hundred entries, about 3 MB.
CACHED_SCORE_LIMIT = 8192


def _log2_of_ratio(numerator: int, denominator: int) -> int:
    """Return log2 of a ratio in [1, 2), rounded down, by repeated squaring."""
    value = (numerator << SCORE_BITS) // denominator
    result = 0
    for _ in range(FRACTION_BITS):
        value = value * value >> SCORE_BITS
        result <<= 1
        if value >> (SCORE_BITS + 1):
            value >>= 1
            result |= 1
    return result


_TABLE = (
    *(
        _log2_of_ratio((1 << TABLE_BITS) + index, 1 << TABLE_BITS)
        for index in range(1 << TABLE_BITS)
    ),
    1 << FRACTION_BITS,
)


def negative_log2(score: int) -> int:
    """Return -log2 of a rendezvous score as a fraction, in units of 2**-32.

    It is interpolated in a table (error below 5e-5) and never rises with the score.
    """
    number = score + 1
    exponent = number.bit_length() - 1
    mantissa = (number << (SCORE_BITS - exponent)) - (1 << SCORE_BITS)
    index = mantissa >> (SCORE_BITS - TABLE_BITS)
    shift = SCORE_BITS - TABLE_BITS - INTERPOLATION_BITS
    position = mantissa >> shift & ((1 << INTERPOLATION_BITS) - 1)
    low, high = _TABLE[index], _TABLE[index + 1]
    fraction = low + ((high - low) * position >> INTERPOLATION_BITS)
    return ((SCORE_BITS - exponent) << FRACTION_BITS) - fraction


@lru_cache(maxsize=CACHED_SCORE_LIMIT)
def _weighted_score(subject: str, candidate: str, strength: int) -> tuple[int, int]:
    """Return the sort key of a candidate; orders are derived again and again."""
    score = rendezvous_score(subject, candidate)
    weight = strength**WEIGHT_EXPONENT
    return (negative_log2(score) << QUOTIENT_BITS) // weight, -score


def order_by_weight(subject: str, strengths_by_id: Mapping[str, int]) -> list[str]:
    """Return the candidates by weighted rendezvous score, the owner first.

    Of equal weights, the higher rendezvous score goes first even if its logarithm
    rounds to the same value.
    """
    return sorted(
        strengths_by_id,
        key=lambda candidate: (
            *_weighted_score(subject, candidate, strengths_by_id[candidate]),
            candidate,
        ),
    )


def order_by_strength(subject: str, strengths_by_id: Mapping[str, int]) -> list[str]:
    """Return the candidates for a duty in order, the owner first.

    With equal strengths this is the order of `order_by_rendezvous`.
    """
    if len(set(strengths_by_id.values())) < 2:
        return order_by_rendezvous(subject, strengths_by_id)
    return order_by_weight(subject, strengths_by_id)
