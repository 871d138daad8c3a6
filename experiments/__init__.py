"""Measurements of policies and costs; not shipped."""
