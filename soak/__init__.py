"""Randomized soak test: real processes on loopback under injected faults.

``python -m soak --seeds 1-50 --jobs 2`` runs fifty seeds, two at a time. Clients and
servers record what they observe on a blackboard; at the end of a run, the checks read
it and report every violated guarantee.
"""
