"""Settings of one daemon, read once at start."""

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
    """Addresses that the daemon listens on."""

    caller: Address
    peer: Address
    control: Address
    admin: Address


class StoreSettings(_Settings, kw_only=True):
    """How to reach the platform's store."""

    driver: str = "etcd"
    addresses: list[Address]
    timeout_s: Positive = 1.0


class InstanceListSettings(_Settings, kw_only=True):
    """How to reach the platform's instance list."""

    driver: str = "http"
    addresses: list[Address]
    period_s: Positive = 1.0


class LogFormat(enum.Enum):
    """Form of the log lines."""

    JSON = "json"
    TEXT = "text"


class LogSettings(_Settings, kw_only=True):
    """Log output on standard error."""

    format: LogFormat = LogFormat.JSON
    level: Annotated[
        str, msgspec.Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")
    ] = "INFO"


class TraceSettings(_Settings, kw_only=True):
    """Traces.

    Attributes:
        sample_ratio: Fraction of requests without a sampled parent that are
            traced.
        keep: Finished spans held in memory for the admin address.
    """

    sample_ratio: Fraction = 0.01
    keep: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 2_000


class DaemonSettings(_Settings, kw_only=True):
    """Everything that a daemon learns from its settings file."""

    instance: Name
    region: Name
    failure_domain: Name
    listen: Listen
    store: StoreSettings
    instance_list: InstanceListSettings
    logs: LogSettings = LogSettings()
    traces: TraceSettings = TraceSettings()
