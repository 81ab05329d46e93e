"""Settings of the gateway daemon, read at the start and on each reload."""

from __future__ import annotations

import pathlib

import msgspec

from radishmux.membership.hubs import FULL_MESH_MAX
from radishmux.settings.daemon import LogSettings
from radishmux.settings.loader import load


class _Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Base of the settings classes; unknown fields are ignored."""


class GatewayListen(_Settings, kw_only=True):
    """Addresses that the daemon listens on, each `ip:port`.

    Attributes:
        caller: Requests of callers.
        ready: Readiness checks of the platform.
        directory: Lookups of callers, which ask for the instance to use.
        peer_ports: First and last port available for peer connections: the
            first one takes messages, the last one relayed requests. Requests
            are not relayed to this instance if they are the same.
        metrics: Metrics for Prometheus; not served if empty.
    """

    caller: str
    ready: str
    directory: str
    peer_ports: tuple[int, int]
    metrics: str = ""


class GatewayStore(_Settings, kw_only=True):
    """The platform's store.

    Attributes:
        address: `ip:port`.
        writes_per_s: Limit on write calls of the whole fleet.
        reads_per_s: Limit on read calls of the whole fleet.
        heartbeat_s: Time between two heartbeats of a backend server.
        min_lease_s: Shortest lease time that the store grants.
    """

    address: str
    writes_per_s: float = 300.0
    reads_per_s: float = 2_000.0
    heartbeat_s: float = 1.5
    min_lease_s: float = 1.0


class Bounds(_Settings, kw_only=True):
    """Limits that operators require, from the users' terms.

    Attributes:
        grace_s: Time between SIGTERM and SIGKILL.
        drain_s: Time after which a draining server gets no requests.
        retry_ratio: Retries and hedges per request of a service.
        retry_window_s: Window over which that ratio is measured.
        retry_slack: Retries and hedges of a service beyond that ratio.
        quota_window_s: Window in which a customer's rate is counted.
        quota_overrun: Fraction by which a customer may exceed its rate.
        quota_slack: Requests by which it may exceed its rate and burst.
        cold_overrun: Factor that the rate limit of a cold server is multiplied
            by.
        exposure_share: Fraction of a service's requests that a new version
            may get.
        exposure_slack: Requests for a new version beyond that fraction.
        lookup_ttl_s: Longest time for which a lookup result is valid.
    """

    grace_s: float = 6.0
    drain_s: float = 2.5
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    quota_window_s: float = 5.0
    quota_overrun: float = 0.1
    quota_slack: float = 10.0
    cold_overrun: float = 1.5
    exposure_share: float = 0.1
    exposure_slack: float = 50.0
    lookup_ttl_s: float = 5.0


class GatewaySettings(_Settings, kw_only=True):
    """Content of the gateway daemon's settings file.

    Attributes:
        instance: Name of the machine.
        region: Region of the machine.
        failure_domain: Failure domain of the machine.
        ip: Address at which other instances reach this one.
        regions: Region of each failure domain.
        listen: Addresses that the daemon listens on.
        store: The platform's store.
        bounds: Limits that operators require.
        cpu_share: Share of each core that the process may use.
        cores: Speed of the machine's cores relative to a usual one.
        link_mbps: Bandwidth of the machine.
        memory_mb: Memory of the machine; null is that of the smallest one.
        max_fds: File descriptors that the process may open, of which 200 are
            reserved for files; null is the limit of the system.
        full_mesh_max: Up to this many instances, each exchanges reports with
            every other one; in larger fleets through hubs.
        logs: Log output.
    """

    instance: str
    region: str
    failure_domain: str
    ip: str
    regions: dict[str, str]
    listen: GatewayListen
    store: GatewayStore
    bounds: Bounds = Bounds()
    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1_000.0
    memory_mb: float | None = None
    max_fds: int | None = None
    full_mesh_max: int = FULL_MESH_MAX
    logs: LogSettings = LogSettings()


def load_gateway(path: pathlib.Path) -> GatewaySettings:
    """Returns the settings in a file.

    The platform renders the file from a template and sets values that it does
    not know to null. A null field gets its default.

    Raises:
        SettingsError: The file cannot be read or is invalid.
    """
    return load(path, GatewaySettings, null_is_missing=True)
