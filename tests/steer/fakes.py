"""Fakes and sample configurations for tests of steering."""

from __future__ import annotations

import itertools

from radishmux.config.model import (
    BackendServer,
    Configuration,
    Customer,
    Link,
    Region,
    Route,
    Selector,
    Service,
    Shift,
)
from radishmux.instances.interface import Instance

REGIONS = ("accra", "kumasi", "tamale")


class FakeConfig:
    """Fake of `config.state.ConfigState`."""

    def __init__(self, configuration):
        self.current = configuration
        self._callbacks = []

    def watch(self, callback):
        self._callbacks.append(callback)

    def set(self, configuration):
        self.current = configuration
        for callback in self._callbacks:
            callback(configuration)


class FakeMembership:
    """Fake of `membership.view.MembershipView`."""

    def __init__(self, instances):
        self.instances = list(instances)
        self.leaving = set()

    def live(self, region=None):
        return tuple(
            instance
            for instance in self.instances
            if region is None or instance.region == region
        )

    def is_leaving(self, instance):
        return instance in self.leaving


class FakeTickets:
    """Fake of `once.tickets.TicketIssuer`."""

    def __init__(self):
        self._numbers = itertools.count(1)

    def issue(self, now):
        return f"ticket-{next(self._numbers)}"


def instances(per_region=3):
    return [
        Instance(
            instance=f"{region}-{n}",
            region=region,
            failure_domain=f"{region}-{n % 2}",
            caller_address=f"127.0.0.{region_number + 1}:{8000 + n}",
            peer_address=f"127.0.0.{region_number + 1}:{8100 + n}",
            control_address=f"127.0.0.{region_number + 1}:{8200 + n}",
        )
        for region_number, region in enumerate(REGIONS)
        for n in range(per_region)
    ]


def configuration(
    selectors: list[Selector] = (), shifts: list[Shift] = (), slots: int = 4
) -> Configuration:
    return Configuration(
        version=1,
        regions=[
            Region(
                name=region,
                failure_domains=[f"{region}-0", f"{region}-1"],
                links=[
                    Link(to_region=other, bits_per_s=280e6)
                    for other in REGIONS
                    if other != region
                ],
            )
            for region in REGIONS
        ],
        customers=[
            Customer(
                name="ministry",
                rate_per_s=100,
                burst=10,
                labels={"kind": "public"},
            ),
            Customer(name="trader", rate_per_s=100, burst=10),
        ],
        services=[
            Service(
                name="poles",
                routes=[Route(name="status"), Route(name="refill")],
                stable_version="v1",
            )
        ],
        backend_servers=[
            BackendServer(
                name=f"poles-{region}-{n}",
                service="poles",
                region=region,
                failure_domain=f"{region}-0",
                address=f"127.0.0.9:{9000 + n}",
                version="v1",
                slots=slots,
            )
            for region in REGIONS
            for n in range(2)
        ],
        selectors=list(selectors),
        shifts=list(shifts),
    )
