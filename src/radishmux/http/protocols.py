"""Interfaces of the components that the request flow uses."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from radishmux.config.model import Configuration, Customer, Route
from radishmux.dispatch.exchange import BackendResponse, Exchange
from radishmux.instances.interface import Instance
from radishmux.verdict import Refusal


class ConfigState(Protocol):
    """Interface of `config.state.ConfigState`."""

    current: Configuration

    def watch(self, callback: Callable[[Configuration], None]) -> Any:
        """Calls `callback` with each new current configuration."""


class KeyCheck(Protocol):
    """Interface of `keys.check.KeyCheck`."""

    def check(
        self, key: str | None, route: Route, now: float
    ) -> Customer | None | Refusal:
        """Returns the customer, None on a public route, or a refusal."""


class Shares(Protocol):
    """Interface of `share.manager.ShareManager`."""

    async def admit(self, customer: str, wait_s: float) -> Refusal | None:
        """Waits up to `wait_s` for a token of the customer's rate.

        Returns:
            None if a token was taken, otherwise a refusal.
        """


class Selectors(Protocol):
    """Interface of `steer.selector.SelectorTable`."""

    def allowed_regions(
        self, customer: str | None, service: str, caller_region: str | None
    ) -> tuple[str, ...]:
        """Returns the allowed regions in order of preference."""


class Regions(Protocol):
    """Interface of `steer.region.RegionChooser`."""

    def order(
        self, regions: tuple[str, ...], service: str, now: float
    ) -> tuple[str, ...]:
        """Returns the regions to try, best first."""

    def record_sent(self, service: str, region: str, now: float) -> None:
        """Counts a request sent to another region."""


class Members(Protocol):
    """Interface of `membership.view.MembershipView`."""

    def live(self, region: str | None = None) -> tuple[Instance, ...]:
        """Returns the live instances of a region, or of all regions."""

    def holds_permit(self, now: float) -> bool:
        """Whether this instance holds a permit to dispatch."""

    def is_leaving(self, instance: str) -> bool:
        """Whether an instance or backend server is leaving."""

    def proven_dead(self, instance: str) -> bool:
        """Whether the process of an instance is known to have ended."""

    def may_be_taken_over(self, instance: str, now: float) -> bool:
        """Whether the takeover delay of a silent instance has passed."""

    def cell_load(self, cell: str) -> Any:
        """Returns the last reported CellLoad of a cell, or None."""


class CellDispatcher(Protocol):
    """Interface of `dispatch.dispatcher.Dispatcher`."""

    async def dispatch(self, exchange: Exchange) -> BackendResponse | Refusal:
        """Sends the request to a backend server of `exchange.cell`."""


class Forwarder(Protocol):
    """Interface of `http.forwarder.PeerForwarder`."""

    async def to_owner(
        self, exchange: Exchange, instance: Instance, incarnation: int
    ) -> BackendResponse | Refusal:
        """Forwards the request to the instance that issued its ticket."""

    async def to_dispatcher(
        self, exchange: Exchange, instance: Instance
    ) -> BackendResponse | Refusal:
        """Forwards the request to the dispatcher of its cell."""
