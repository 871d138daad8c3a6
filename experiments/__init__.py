"""Measurements of policies and costs, which are not part of the distribution."""
