"""Settings of the gateway daemon, read at start and at each reload."""

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
        directory: Questions of callers which instance to use.
        peer_ports: First and last port that is free for instances.
        metrics: Counters and histograms for Prometheus; empty: none.
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
        writes_per_s: Write calls of the whole fleet.
        reads_per_s: Read calls of the whole fleet.
        heartbeat_s: Time between two entries of a backend server.
        min_lease_s: Shortest lease.
    """

    address: str
    writes_per_s: float = 300.0
    reads_per_s: float = 2_000.0
    heartbeat_s: float = 1.5
    min_lease_s: float = 1.0


class Bounds(_Settings, kw_only=True):
    """What operators require, from the users' terms.

    Attributes:
        grace_s: Time between SIGTERM and SIGKILL.
        drain_s: Time after which a draining server gets nothing.
        retry_ratio: Further attempts per request of a service.
        retry_window_s: Window of that ratio.
        retry_slack: Further attempts of a service beyond the ratio.
        quota_window_s: Window in which a customer's rate is counted.
        quota_overrun: Fraction by which a customer may exceed its rate.
        quota_slack: Requests by which it may exceed its rate and burst.
        cold_overrun: Factor by which a cold server's rate may be exceeded.
        exposure_share: Fraction of a service's requests for a new version.
        exposure_slack: Requests that it may get beyond that fraction.
        lookup_ttl_s: Longest time for which an answer of the directory counts.
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
    """Everything that the daemon learns from its settings file.

    Attributes:
        instance: Name of the machine.
        region: Region that it is in.
        failure_domain: Failure domain that it is in.
        ip: Address that other instances use.
        regions: Region of each failure domain.
        listen: Its addresses.
        store: The platform's store.
        bounds: What operators require.
        cpu_share: Share of each core that the process may use.
        cores: Cores of the machine, relative to a usual one.
        link_mbps: Bandwidth of the machine.
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
    full_mesh_max: int = FULL_MESH_MAX
    logs: LogSettings = LogSettings()


def load_gateway(path: pathlib.Path) -> GatewaySettings:
    """Returns the settings in a file.

    The platform renders the file from a template; what it does not know is
    null there, and the default counts.

    Raises:
        SettingsError: The file cannot be read or does not fit.
    """
    return load(path, GatewaySettings, null_is_missing=True)
