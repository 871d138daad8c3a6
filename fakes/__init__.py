"""Fake platform and upstreams for tests, experiments and the demo."""
