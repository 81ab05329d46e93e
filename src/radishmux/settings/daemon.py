"""Settings of a daemon, read once when it starts."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from radishmux.config.model import Address, Fraction, Name, Positive


class _Settings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of all settings classes."""


class Listen(_Settings, kw_only=True):
    """Addresses that the daemon listens on.

    Attributes:
        caller: Lookups and requests of callers (HTTP).
        peer: Requests that other instances pass on (HTTP).
        control: Control messages of other instances (thrift).
        admin: Metrics, health, status and explanations (HTTP).
    """

    caller: Address
    peer: Address
    control: Address
    admin: Address


class StoreSettings(_Settings, kw_only=True):
    """How to reach the platform's store.

    Attributes:
        driver: Name of the store driver.
        addresses: In order of preference.
        timeout_s: Time limit of one call.
    """

    driver: str = "etcd"
    addresses: list[Address]
    timeout_s: Positive = 1.0


class InstanceListSettings(_Settings, kw_only=True):
    """How to reach the platform's instance list.

    Attributes:
        driver: Name of the instance list driver.
        addresses: In order of preference.
        period_s: Time between two reads of the list.
    """

    driver: str = "http"
    addresses: list[Address]
    period_s: Positive = 1.0


class LogFormat(enum.Enum):
    """Format of the log lines."""

    JSON = "json"
    TEXT = "text"


class LogSettings(_Settings, kw_only=True):
    """Log output on standard error.

    Attributes:
        format: Format of the lines.
        level: Lowest level that is written.
    """

    format: LogFormat = LogFormat.JSON
    level: Annotated[
        str, msgspec.Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")
    ] = "INFO"


class TraceSettings(_Settings, kw_only=True):
    """Sampling and retention of traces.

    Attributes:
        sample_ratio: Fraction of requests without a sampled parent that are
            traced.
        keep: Number of finished spans kept in memory for the admin address.
    """

    sample_ratio: Fraction = 0.01
    keep: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 2_000


class DaemonSettings(_Settings, kw_only=True):
    """Content of a daemon's settings file.

    Attributes:
        instance: Name of this instance in the platform's instance list.
        region: Region of the instance.
        failure_domain: Failure domain of the instance.
        listen: Addresses that the daemon listens on.
        store: The platform's store.
        instance_list: The platform's instance list.
        logs: Log output.
        traces: Sampling and retention of traces.
    """

    instance: Name
    region: Name
    failure_domain: Name
    listen: Listen
    store: StoreSettings
    instance_list: InstanceListSettings
    logs: LogSettings = LogSettings()
    traces: TraceSettings = TraceSettings()
