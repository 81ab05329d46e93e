"""Settings of the gateway daemon, read at the start and on each reload."""

from __future__ import annotations

import pathlib
from typing import Annotated

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
            are not relayed to this instance if they are the same. Further
            numbers are ignored.
        metrics: Metrics for Prometheus; not served if empty.
    """

    caller: str
    ready: str
    directory: str
    peer_ports: Annotated[tuple[int, ...], msgspec.Meta(min_length=2)]
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


class AdmissionSettings(_Settings, kw_only=True):
    """Waiting and admission while a service is short of capacity.

    Attributes:
        max_waiting: Most requests of a service that wait for room at one
            instance; 0 turns waiting and admission off.
        max_waiting_bytes: Most bytes of the bodies of waiting requests, which
            are part of the memory for the bodies of all requests.
        class_floor: Share of what a service takes that each less urgent class
            keeps.
    """

    max_waiting: int = 0
    max_waiting_bytes: int = 16 * 1024 * 1024
    class_floor: float = 0.1


class DutySettings(_Settings, kw_only=True):
    """Work that one instance does for the fleet; off if a value is missing.

    Attributes:
        address: `ip:port` of the API that takes the reports.
        names: Duties of the fleet; only `usage_report` is known.
        calls_per_s: Calls per second that the API accepts from all instances
            together.
        require_fence: Whether the API refuses a token lower than one that it
            has seen.
        lease_s: Time after which the duty of a silent holder is free.
        thaw_slack_s: Time before the end of its lease at which a holder stops.
        report_window_s: Length of the reported windows.
        usage_tolerance: Fraction by which a customer's count may be wrong.
        usage_late_s: Time after the end of a window at which its report is
            due.
    """

    address: str | None = None
    names: list[str] | None = None
    calls_per_s: float | None = None
    require_fence: bool | None = None
    lease_s: float | None = None
    thaw_slack_s: float | None = None
    report_window_s: float | None = None
    usage_tolerance: float | None = None
    usage_late_s: float | None = None

    @property
    def reports_usage(self) -> bool:
        """Whether the usage is to be reported and all values are usable."""
        positive = (
            self.calls_per_s,
            self.lease_s,
            self.report_window_s,
            self.usage_late_s,
        )
        slack_s = self.thaw_slack_s
        return (
            bool(self.address)
            and "usage_report" in (self.names or ())
            and self.require_fence is not None
            and self.usage_tolerance is not None
            and all(value is not None and value > 0 for value in positive)
            and slack_s is not None
            and 0 <= slack_s < (self.lease_s or 0.0)
        )


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
        admission: Waiting and admission while a service is short of capacity.
        duties: Work that one instance does for the fleet.
        cpu_share: Share of each core that the process may use.
        cores: Speed of the machine's cores relative to a usual one.
        link_mbps: Bandwidth of the machine.
        memory_mb: Memory of the machine; null is that of the smallest one.
        max_fds: File descriptors that the process may open, of which 200 are
            reserved for files; null is the limit of the system.
        full_mesh_max: Up to this many instances, each exchanges reports with
            every other one; in larger fleets through hubs.
        hedge_by_durations: Whether second attempts start when the measured
            durations of the route show that they save time; otherwise after a
            multiple of the expected duration.
        share_server_loads: Whether instances tell each other the loads of
            backend servers. Null: only in fleets of more than `full_mesh_max`
            instances.
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
    admission: AdmissionSettings = AdmissionSettings()
    duties: DutySettings = DutySettings()
    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1_000.0
    memory_mb: float | None = None
    max_fds: int | None = None
    full_mesh_max: int = FULL_MESH_MAX
    hedge_by_durations: bool = False
    share_server_loads: bool | None = None
    logs: LogSettings = LogSettings()


def load_gateway(path: pathlib.Path) -> GatewaySettings:
    """Returns the settings in a file.

    The platform renders the file from a template and sets values that it does
    not know to null. A null field gets its default.

    Raises:
        SettingsError: The file cannot be read or is invalid.
    """
    return load(path, GatewaySettings, null_is_missing=True)
