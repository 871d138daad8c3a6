"""Matching of label selectors and choice of the binding for a request."""

from __future__ import annotations

from collections.abc import Mapping

from carawayhitch.core import declarations


def selector_matches(selector: Mapping[str, str], labels: Mapping[str, str]) -> bool:
    """Return whether labels have all pairs of a selector; an empty one matches all."""
    return all(labels.get(key) == value for key, value in selector.items())


def find_binding(
    configuration: declarations.Configuration,
    account: declarations.ClientAccount,
    request_labels: Mapping[str, str],
) -> declarations.Binding | None:
    """Return the binding with the highest precedence that selects a request, if any."""
    account_labels = {**account.labels, "account": account.name}
    for binding in configuration.bindings_by_precedence:
        if selector_matches(
            binding.account_selector, account_labels
        ) and selector_matches(binding.request_selector, request_labels):
            return binding
    return None
