"""Log lines and metrics of the holdings of an instance."""

from __future__ import annotations

import io
import json

import pytest
from loguru import logger

from radishmux.gateway.token_log import TokenLog
from radishmux.settings.daemon import LogFormat, LogSettings
from radishmux.share.fleet_rate import FleetRates
from radishmux.telemetry import logs
from radishmux.telemetry.metrics import Metrics
from tests.gateway.parts import customer


class InstanceLog:
    """Log of an instance in a fleet of two regions."""

    def __init__(self, stream):
        self._stream = stream
        self.metrics = Metrics()
        self.log = TokenLog(self.metrics)
        self.rates = FleetRates(0.1, 20.0)
        self.rates.set_regions({"b"}, 1, 0.0)
        self.rates.set_customers((customer(rate_per_s=10.0, burst=10.0),), 0.0)

    def write(self, now):
        """Writes the log lines of one report period and returns them."""
        offset = self._stream.tell()
        self.log.write(self.rates.holdings(now))
        return [
            json.loads(line)
            for line in self._stream.getvalue()[offset:].splitlines()
        ]


@pytest.fixture
def instance_log():
    stream = io.StringIO()
    # Simulations in other tests of the same process disable these logs.
    logger.enable("radishmux")
    logs.configure(LogSettings(format=LogFormat.JSON), "i", "a", stream)
    return InstanceLog(stream)


def test_holding_has_a_line_when_it_begins_and_when_it_ends(instance_log):
    assert instance_log.write(0.0) == []
    instance_log.rates.set_assigned_customers(frozenset({"c"}))
    instance_log.rates.measure_demand(0.0)
    (begun,) = instance_log.write(0.0)
    assert begun["message"] == "token holder of c is on"
    assert begun["fraction"] == 0.5
    assert begun["other_demands_per_s"] == {"b": None}
    assert instance_log.write(0.5) == []
    instance_log.rates.set_assigned_customers(frozenset())
    instance_log.rates.measure_demand(1.0)
    assert [line["state"] for line in instance_log.write(1.0)] == [
        "standing in"
    ]
    instance_log.rates.measure_demand(10.0)
    assert [line["state"] for line in instance_log.write(10.0)] == ["off"]


def test_line_and_metrics_show_granted_tokens_and_refusals(instance_log):
    instance_log.rates.set_assigned_customers(frozenset({"c"}))
    instance_log.rates.measure_demand(0.0)
    instance_log.write(0.0)
    instance_log.rates.measure_demand(5.0)
    granted = instance_log.rates.take_tokens("c", 100, 100, 5.0)
    (line,) = instance_log.write(5.0)
    assert (line["granted"], line["refused"]) == (granted, 100 - granted)
    text = instance_log.metrics.render()[0].decode()
    name = 'radishmux_gateway_tokens_granted{customer="c"}'
    assert f"{name} {float(granted)}" in text
