"""Evaluates selectors, which limit the regions for a customer's traffic."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from radishmux.config.model import Configuration, Selector

# Limits the memory of the results cached between configuration changes.
MAX_CACHED_ANSWERS = 100_000


class ConfigSource(Protocol):
    """The configuration in force (`config.state.ConfigState`)."""

    @property
    def current(self) -> Configuration:
        """The configuration in force."""

    def watch(self, callback: Callable[[Configuration], None]) -> object:
        """Calls `callback` with each later configuration."""


def _matches(wanted: Mapping[str, str], labels: Mapping[str, str]) -> bool:
    return all(labels.get(name) == value for name, value in wanted.items())


class SelectorTable:
    """Determines which regions may serve a request, in order of preference.

    The first matching selector applies. Every region is allowed if that
    selector lists no regions or if no selector matches. Regions that are not
    configured are left out.
    """

    def __init__(self, config: ConfigSource) -> None:
        self._answers: dict[
            tuple[str | None, str, str | None], tuple[str, ...]
        ] = {}
        self.on_configuration(config.current)
        config.watch(self.on_configuration)

    def on_configuration(self, configuration: Configuration) -> None:
        """Applies a new configuration and clears the cached results."""
        self._regions = tuple(region.name for region in configuration.regions)
        self._selectors = tuple(configuration.selectors)
        self._customer_labels = {
            customer.name: customer.labels
            for customer in configuration.customers
        }
        self._service_labels = {
            service.name: service.labels for service in configuration.services
        }
        self._answers = {}

    def allowed_regions(
        self, customer: str | None, service: str, caller_region: str | None
    ) -> tuple[str, ...]:
        """Returns the allowed regions, preferred ones first.

        Args:
            customer: Name of the customer; None on a public route.
            service: Name of the service.
            caller_region: Region of the caller; None if unknown, which
                matches only selectors without caller regions.
        """
        key = (customer, service, caller_region)
        answer = self._answers.get(key)
        if answer is None:
            if len(self._answers) >= MAX_CACHED_ANSWERS:
                self._answers.clear()
            answer = self._compute_regions(customer, service, caller_region)
            self._answers[key] = answer
        return answer

    def _compute_regions(
        self, customer: str | None, service: str, caller_region: str | None
    ) -> tuple[str, ...]:
        customer_labels = self._customer_labels.get(customer or "", {})
        service_labels = self._service_labels.get(service, {})
        for selector in self._selectors:
            if (
                _matches(selector.customer_labels, customer_labels)
                and _matches(selector.service_labels, service_labels)
                and _admits_caller_region(selector, caller_region)
            ):
                return self._regions_of(selector)
        return self._regions

    def _regions_of(self, selector: Selector) -> tuple[str, ...]:
        if not selector.allowed_regions:
            return self._regions
        return tuple(
            region
            for region in selector.allowed_regions
            if region in self._regions
        )


def _admits_caller_region(
    selector: Selector, caller_region: str | None
) -> bool:
    if not selector.caller_regions:
        return True
    return caller_region in selector.caller_regions
