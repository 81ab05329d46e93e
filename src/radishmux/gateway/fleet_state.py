"""In-memory state of the fleet, kept up to date from changes of the store."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import msgspec

from radishmux.config.routing import RoutingConfiguration
from radishmux.gateway.events import (
    ConfigurationPut,
    CrashesPut,
    DutyPut,
    EvacuationPut,
    Event,
    InstancePut,
    RolloutPut,
    ServerPut,
    StatusPut,
    StoreListed,
    UsagePut,
    VerdictsPut,
)
from radishmux.membership.record import InstanceRecord
from radishmux.registry import Registry
from radishmux.shift.rollout import VersionRule
from radishmux.steer.host_routes import HostRoutes
from radishmux.steer.servers import RETURN_GRACE_S, Server, ServerTable
from radishmux.store.interface import KeyChange
from radishmux.telemetry.logs import state_change

Decode = Callable[[KeyChange], Event | None]
# Number of a new version's servers that get its first requests. There are few
# of them so that a small number of requests puts them under load.
CANARY_SERVERS = 2
_handlers: Registry[type, Callable[[Any, Any, float], None]] = Registry("event")


class FleetState:
    """Configuration, servers, evacuations and instances of the fleet.

    Implements `store.mirror.MirrorListener`: changes of the store are decoded
    into events, which update the state and are passed to the listeners.

    Args:
        decode: Decodes the change of a key; returns None if the key or its
            value has no meaning here.
        regions: Region of each failure domain.
    """

    def __init__(self, decode: Decode, regions: dict[str, str]) -> None:
        self._decode = decode
        self._routes: HostRoutes | None = None
        self._servers = ServerTable(regions)
        self._evacuated: set[str] = set()
        self._instances: dict[str, InstanceRecord] = {}
        self._rollout_services: set[str] = set()
        self._status_services: set[str] = set()
        self._verdict_services: set[str] = set()
        self._held_duties: set[str] = set()
        # Monotonic time until which a list withdraws no order and evacuation,
        # and those that a list lacked since the store was restored.
        self._restored_grace_until = -math.inf
        self._missing: dict[Event, float] = {}
        self._is_listed = False
        self._listeners: list[Callable[[Event, float], None]] = []
        # By the parameters of `usable_servers`: the servers of the service when
        # the entry was computed, and the result.
        self._usable_cache: dict[
            tuple[object, ...], tuple[tuple[Server, ...], tuple[Server, ...]]
        ] = {}

    @property
    def routes(self) -> HostRoutes | None:
        """Index of the configuration in force; None if there is none yet."""
        return self._routes

    @property
    def is_listed(self) -> bool:
        """Whether all keys of the store have been listed once."""
        return self._is_listed

    @property
    def servers(self) -> ServerTable:
        """The backend servers."""
        return self._servers

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains whose servers must not get requests."""
        return frozenset(self._evacuated)

    @property
    def instances(self) -> dict[str, InstanceRecord]:
        """Registered instances by name."""
        return self._instances

    def add_listener(self, callback: Callable[[Event, float], None]) -> None:
        """Adds a function to call with each event after it is applied.

        Its second argument is the monotonic time in seconds.
        """
        self._listeners.append(callback)

    def usable_servers(
        self, service: str, regions: frozenset[str], rule: VersionRule
    ) -> tuple[Server, ...]:
        """Returns the servers of a service to which a request may go.

        The same tuple is returned until the servers or evacuations change.

        Args:
            service: Name of the service.
            regions: Regions that may serve; empty means all.
            rule: Versions that may serve.
        """
        key = (
            service,
            regions,
            rule.only,
            rule.never,
            rule.is_canary,
            rule.rejected,
        )
        cached = self._usable_cache.get(key)
        source = self._servers.of_service(service)
        if cached is not None and cached[0] is source:
            return cached[1]
        found = tuple(
            server
            for server in source
            if server.entry.failure_domain not in self._evacuated
            and (not regions or server.region in regions)
            and rule.allows(server.entry.version)
        )
        if rule.is_canary:
            found = found[:CANARY_SERVERS]
        self._usable_cache[key] = (source, found)
        return found

    def apply_configuration(self, configuration: RoutingConfiguration) -> bool:
        """Puts a configuration in force if its version is higher.

        Returns:
            Whether the configuration was put in force.
        """
        held = self._routes
        if (
            held is not None
            and configuration.version <= held.configuration.version
        ):
            return False
        self._routes = HostRoutes(configuration)
        return True

    # store.mirror.MirrorListener.

    def on_list(self, changes: tuple[KeyChange, ...], now: float) -> None:
        """Applies a list of all keys.

        Servers, evacuations, rollout orders and instances that are not in the
        list are removed. The configuration stays in force. After the store was
        restored, evacuations and orders hold until the operators have had the
        time to write them again.
        """
        events = [self._decode(change) for change in changes]
        present = [event for event in events if event is not None]
        for event in self._removals(present):
            is_order = isinstance(event, (EvacuationPut, RolloutPut))
            if is_order and now < self._restored_grace_until:
                self._missing.setdefault(event, self._restored_grace_until)
            else:
                self._apply(event, now)
        for event in present:
            self._apply(event, now)
        self._apply(StoreListed(), now)

    def on_change(self, change: KeyChange, now: float) -> bool:
        """Applies one change.

        Returns:
            False if the change only renews the entry of a server.
        """
        event = self._decode(change)
        if event is None:
            return True
        is_renewal = isinstance(event, ServerPut) and self._is_renewal(event)
        self._apply(event, now)
        return not is_renewal

    def on_store_recovered(self, now: float, is_own: bool) -> None:
        """Notifies the server table that the store answers again."""
        self._servers.on_list_recovered(now, is_own)

    def on_store_restored(self, now: float) -> None:
        """Starts the time in which other parties write lost keys again."""
        self._servers.on_list_recovered(now)
        self._restored_grace_until = now + RETURN_GRACE_S

    def expire(self, now: float) -> None:
        """Removes what has not been written again since the store returned.

        Must not be called while the store cannot be read.
        """
        self._servers.expire(now)
        due = [event for event, at in self._missing.items() if now >= at]
        for event in due:
            self._apply(event, now)

    def _apply(self, event: Event, now: float) -> None:
        if isinstance(event, EvacuationPut):
            gone = EvacuationPut(event.failure_domain, False)
            self._missing.pop(gone, None)
        elif isinstance(event, RolloutPut):
            self._missing.pop(RolloutPut(event.service, None), None)
        _handlers[type(event)](self, event, now)
        for callback in self._listeners:
            callback(event, now)

    def _is_renewal(self, event: ServerPut) -> bool:
        """Whether a server's entry differs only in its sequence number."""
        known = self._servers.get(event.name)
        if event.entry is None or known is None:
            return False
        sequence = known.entry.sequence
        return msgspec.structs.replace(event.entry, sequence=sequence) == (
            known.entry
        )

    def _removals(self, present: list[Event]) -> list[Event]:
        """Returns events that remove known entries absent from a full list."""
        servers = {e.name for e in present if isinstance(e, ServerPut)}
        domains = {
            e.failure_domain for e in present if isinstance(e, EvacuationPut)
        }
        orders = {e.service for e in present if isinstance(e, RolloutPut)}
        names = {e.name for e in present if isinstance(e, InstancePut)}
        gone: list[Event] = [
            ServerPut(server.name, None)
            for server in self._servers.all()
            if server.name not in servers
        ]
        gone += [
            EvacuationPut(domain, False) for domain in self._evacuated - domains
        ]
        gone += [
            RolloutPut(service, None)
            for service in self._rollout_services - orders
        ]
        statuses = {e.service for e in present if isinstance(e, StatusPut)}
        gone += [
            StatusPut(service, None)
            for service in self._status_services - statuses
        ]
        verdicts = {e.service for e in present if isinstance(e, VerdictsPut)}
        gone += [
            VerdictsPut(service, {}, 0)
            for service in self._verdict_services - verdicts
        ]
        held = {e.duty for e in present if isinstance(e, DutyPut)}
        gone += [DutyPut(duty, None) for duty in self._held_duties - held]
        gone += [
            InstancePut(name, None) for name in self._instances.keys() - names
        ]
        return gone

    @_handlers.register(ConfigurationPut)
    def _on_configuration(self, event: ConfigurationPut, now: float) -> None:
        if self.apply_configuration(event.configuration):
            state_change(
                "configuration",
                "in force",
                version=event.configuration.version,
                routes=len(event.configuration.routes),
                problems=len(event.configuration.problems),
            )

    @_handlers.register(StoreListed)
    def _on_listed(self, event: StoreListed, now: float) -> None:
        self._is_listed = True

    @_handlers.register(ServerPut)
    def _on_server(self, event: ServerPut, now: float) -> None:
        known = self._servers.get(event.name)
        if event.entry is None:
            self._servers.remove(event.name, now)
            if known is not None:
                state_change(f"backend server {event.name}", "gone")
            return
        was_draining = known is not None and known.entry.draining
        if not self._servers.put(event.entry, now):
            return
        if known is None or was_draining != event.entry.draining:
            state_change(
                f"backend server {event.name}",
                "draining" if event.entry.draining else "ready",
                service=event.entry.service,
                cold_s=event.entry.cold_remaining_s,
            )

    @_handlers.register(EvacuationPut)
    def _on_evacuation(self, event: EvacuationPut, now: float) -> None:
        domain = event.failure_domain
        if event.active == (domain in self._evacuated):
            return
        if event.active:
            self._evacuated.add(domain)
        else:
            self._evacuated.discard(domain)
            self._mark_cold(domain, now)
        self._usable_cache.clear()
        state = "evacuated" if event.active else "in use"
        state_change(f"failure domain {domain}", state)

    @_handlers.register(RolloutPut)
    def _on_rollout(self, event: RolloutPut, now: float) -> None:
        if event.order is None:
            self._rollout_services.discard(event.service)
        else:
            self._rollout_services.add(event.service)
        state_change(
            f"rollout of {event.service}",
            "ordered" if event.order else "withdrawn",
            version=event.order.version if event.order else "",
        )

    @_handlers.register(StatusPut)
    def _on_status(self, event: StatusPut, now: float) -> None:
        """Notes which states are recorded; the rollouts use them."""
        if event.status is None:
            self._status_services.discard(event.service)
        else:
            self._status_services.add(event.service)

    @_handlers.register(VerdictsPut)
    def _on_verdicts(self, event: VerdictsPut, now: float) -> None:
        """Notes which verdicts are recorded; the rollouts use them."""
        if event.revision:
            self._verdict_services.add(event.service)
        else:
            self._verdict_services.discard(event.service)

    @_handlers.register(InstancePut)
    def _on_instance(self, event: InstancePut, now: float) -> None:
        if event.record is None:
            self._instances.pop(event.name, None)
        else:
            self._instances[event.name] = event.record

    @_handlers.register(CrashesPut)
    def _on_crashes(self, event: CrashesPut, now: float) -> None:
        """Does nothing; the crash guard uses the record."""

    @_handlers.register(DutyPut)
    def _on_duty(self, event: DutyPut, now: float) -> None:
        """Notes which duties are held; the duties use the record."""
        if event.record is None:
            self._held_duties.discard(event.duty)
        else:
            self._held_duties.add(event.duty)

    @_handlers.register(UsagePut)
    def _on_usage(self, event: UsagePut, now: float) -> None:
        """Does nothing; the duties use the report."""

    def _mark_cold(self, domain: str, now: float) -> None:
        """Treats a domain's servers as cold after the end of its evacuation.

        Their entries may not say so yet. A later entry corrects the time.
        """
        routes = self._routes
        for server in self._servers.all():
            if server.entry.failure_domain != domain or routes is None:
                continue
            terms = routes.configuration.services.get(server.entry.service)
            if terms is not None:
                cold_until = now + terms.cold_start_s
                server.cold_until = max(server.cold_until, cold_until)
