"""Experiments with the policies in virtual time; not shipped."""
