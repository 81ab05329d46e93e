"""Lines about the tokens that an instance holds."""

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


class Journal:
    """Lines of one instance that holds a customer beside another region."""

    def __init__(self, stream):
        self._stream = stream
        self.metrics = Metrics()
        self.log = TokenLog(self.metrics)
        self.rates = FleetRates(0.1, 20.0)
        self.rates.set_regions({"b"}, 1, 0.0)
        self.rates.set_customers((customer(rate_per_s=10.0, burst=10.0),), 0.0)

    def write(self, now):
        """Writes the lines of one period and returns them."""
        at = self._stream.tell()
        self.log.write(self.rates.holdings(now))
        return [
            json.loads(line)
            for line in self._stream.getvalue()[at:].splitlines()
        ]


@pytest.fixture
def journal():
    stream = io.StringIO()
    # Simulations in other tests of the same process silence the product.
    logger.enable("radishmux")
    logs.configure(LogSettings(format=LogFormat.JSON), "i", "a", stream)
    return Journal(stream)


def test_holding_has_a_line_when_it_begins_and_when_it_ends(journal):
    assert journal.write(0.0) == []
    journal.rates.set_assigned_customers(frozenset({"c"}))
    journal.rates.measure_demand(0.0)
    (begun,) = journal.write(0.0)
    assert begun["message"] == "token holder of c is on"
    assert begun["fraction"] == 0.5
    assert begun["other_demands_per_s"] == {"b": None}
    assert journal.write(0.5) == []
    journal.rates.set_assigned_customers(frozenset())
    journal.rates.measure_demand(1.0)
    assert [one["state"] for one in journal.write(1.0)] == ["standing in"]
    journal.rates.measure_demand(10.0)
    assert [one["state"] for one in journal.write(10.0)] == ["off"]


def test_line_and_metrics_tell_what_was_given_out_and_refused(journal):
    journal.rates.set_assigned_customers(frozenset({"c"}))
    journal.rates.measure_demand(0.0)
    journal.write(0.0)
    journal.rates.measure_demand(5.0)
    granted = journal.rates.take_tokens("c", 100, 100, 5.0)
    (line,) = journal.write(5.0)
    assert (line["granted"], line["refused"]) == (granted, 100 - granted)
    text = journal.metrics.render()[0].decode()
    name = 'radishmux_gateway_tokens_granted{customer="c"}'
    assert f"{name} {float(granted)}" in text
