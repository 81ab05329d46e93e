"""Events decoded from changes of the store.

Operators, backend servers and instances write the keys that they come from.
"""

from __future__ import annotations

import msgspec

from radishmux.config.routing import RoutingConfiguration
from radishmux.duties.record import DutyRecord
from radishmux.membership.record import InstanceRecord
from radishmux.shift.orders import RolloutOrder, RolloutStatus
from radishmux.shift.verdicts import Verdicts
from radishmux.steer.servers import ServerEntry


class ConfigurationPut(msgspec.Struct, frozen=True):
    """A valid configuration was written."""

    configuration: RoutingConfiguration


class ServerPut(msgspec.Struct, frozen=True):
    """The entry of a backend server has changed.

    Attributes:
        name: Name of the server.
        entry: The entry; None if it was removed or is unusable.
    """

    name: str
    entry: ServerEntry | None


class EvacuationPut(msgspec.Struct, frozen=True):
    """The evacuation of a failure domain was ordered or has ended.

    Attributes:
        failure_domain: Name of the failure domain.
        active: Whether its servers must not get requests.
    """

    failure_domain: str
    active: bool


class RolloutPut(msgspec.Struct, frozen=True):
    """An operator's rollout order has changed.

    Attributes:
        service: Name of the service.
        order: The order; None if it was withdrawn.
        revision: Store revision of the change.
    """

    service: str
    order: RolloutOrder | None
    revision: int = 0


class StatusPut(msgspec.Struct, frozen=True):
    """The recorded state of a rollout has changed.

    Attributes:
        service: Name of the service.
        status: The state; None if none is recorded.
        revision: Store revision of the change.
    """

    service: str
    status: RolloutStatus | None
    revision: int = 0


class VerdictsPut(msgspec.Struct, frozen=True):
    """The recorded verdicts on a service's versions have changed.

    Attributes:
        service: Name of the service.
        verdicts: The verdicts; empty if none are recorded.
        revision: Store revision of the change; 0 if the key does not exist.
    """

    service: str
    verdicts: Verdicts
    revision: int = 0


class InstancePut(msgspec.Struct, frozen=True):
    """The record of an instance has changed.

    Attributes:
        name: Name of the instance.
        record: The record; None if the instance has left or its lease has
            expired.
    """

    name: str
    record: InstanceRecord | None


class StoredMark(msgspec.Struct, frozen=True, kw_only=True):
    """A server that crashed while it had a request.

    Attributes:
        server: Name and start of the server.
        version: Version of the server's software.
        unix_ms: Unix time of the crash in milliseconds.
        run_ms: Time from the sending of the request until the crash.
    """

    server: str
    version: str
    unix_ms: int
    run_ms: int


class StoredCrashes(msgspec.Struct, frozen=True, kw_only=True):
    """What an instance has recorded of a request that crashes servers.

    Attributes:
        subject: Service, customer and route, for the logs.
        marks: The crashes.
    """

    subject: str
    marks: list[StoredMark]


class CrashesPut(msgspec.Struct, frozen=True):
    """An instance has recorded a request that crashes servers.

    Attributes:
        digest: From `request_digest`.
        crashes: The record.
    """

    digest: str
    crashes: StoredCrashes


class DutyPut(msgspec.Struct, frozen=True):
    """The holder of a duty has changed.

    Attributes:
        duty: Name of the duty.
        record: The holder's record; None if there is no holder.
        revision: Store revision of the change.
    """

    duty: str
    record: DutyRecord | None
    revision: int = 0


class UsagePut(msgspec.Struct, frozen=True):
    """A holder has stored the usage report of a window.

    Attributes:
        window: The window.
        body: Body of the report.
    """

    window: int
    body: bytes


class StoreListed(msgspec.Struct, frozen=True):
    """All keys of the store have been listed once."""


Event = (
    ConfigurationPut
    | ServerPut
    | EvacuationPut
    | RolloutPut
    | StatusPut
    | VerdictsPut
    | InstancePut
    | CrashesPut
    | DutyPut
    | UsagePut
    | StoreListed
)
