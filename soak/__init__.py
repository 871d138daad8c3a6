"""Randomized soak: real processes on loopback, faults from outside, checked promises.

``python -m soak --seeds 1-50 --jobs 2`` plays fifty seeds. Callers and servers write
what they see on a board; the checks read it when the processes have ended.
"""
