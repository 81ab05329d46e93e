"""What the request flow needs of the other parts, as protocols."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from radishmux.config.model import Configuration, Customer, Route
from radishmux.dispatch.exchange import BackendResponse, Exchange
from radishmux.instances.interface import Instance
from radishmux.verdict import Refusal


class ConfigState(Protocol):
    """config.state.ConfigState."""

    current: Configuration

    def watch(self, callback: Callable[[Configuration], None]) -> Any:
        """Calls back with each configuration that comes into force."""


class KeyCheck(Protocol):
    """keys.check.KeyCheck."""

    def check(
        self, key: str | None, route: Route, now: float
    ) -> Customer | None | Refusal:
        """Returns the customer, None on public routes, or a refusal."""


class Shares(Protocol):
    """share.manager.ShareManager."""

    async def admit(self, customer: str, wait_s: float) -> Refusal | None:
        """Takes a token of the customer, by name."""


class Selectors(Protocol):
    """steer.selector.SelectorTable."""

    def allowed_regions(
        self, customer: str | None, service: str, caller_region: str | None
    ) -> tuple[str, ...]:
        """Returns regions in order of preference."""


class Regions(Protocol):
    """steer.region.RegionChooser."""

    def order(
        self, regions: tuple[str, ...], service: str, now: float
    ) -> tuple[str, ...]:
        """Returns the regions to try, best first."""

    def record_sent(self, service: str, region: str, now: float) -> None:
        """Counts a request sent to another region."""


class Members(Protocol):
    """membership.view.MembershipView."""

    def live(self, region: str | None = None) -> tuple[Instance, ...]:
        """Returns the live instances."""

    def holds_permit(self, now: float) -> bool:
        """Whether this instance may dispatch."""

    def is_leaving(self, instance: str) -> bool:
        """Whether an instance or backend server is leaving."""

    def proven_dead(self, instance: str) -> bool:
        """Whether an instance's process is known to be gone."""

    def may_be_taken_over(self, instance: str, now: float) -> bool:
        """Whether the takeover delay of a silent instance has passed."""

    def cell_load(self, cell: str) -> Any:
        """Returns the last reported CellLoad of a cell, or None."""


class CellDispatcher(Protocol):
    """dispatch.dispatcher.Dispatcher."""

    async def dispatch(self, exchange: Exchange) -> BackendResponse | Refusal:
        """Sends the request to a backend server of `exchange.cell`."""


class Forwarder(Protocol):
    """http.forwarder.PeerForwarder."""

    async def to_owner(
        self, exchange: Exchange, instance: Instance, incarnation: int
    ) -> BackendResponse | Refusal:
        """Sends the request to the instance that its ticket names."""

    async def to_dispatcher(
        self, exchange: Exchange, instance: Instance
    ) -> BackendResponse | Refusal:
        """Sends the request to the dispatcher of its cell."""
