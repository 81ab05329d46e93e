"""Guards the counts by which operators find who is refused, and why."""

from __future__ import annotations

import json

import pytest
from typer.testing import CliRunner

from radishmux.cli.main import app

LOG = """\
  1.0 i1 {"event":"request","outcome":"answered 200","service":"s","priority":0}
  1.1 i1 {"event":"request","outcome":"not_servable 503","service":"s",\
"priority":2,"no_room":"long_queue"}
  1.2 i1 {"event":"request","outcome":"not_servable 503","service":"s",\
"priority":2,"no_room":"long_queue"}
  1.3 i1 {"event":"request","outcome":"timed_out 504","service":"s",\
"priority":2}
  1.4 i1 {"event":"request","outcome":"caller_left","service":"t","priority":1}
  1.5 i1 {"event":"request","outcome":"unknown_key 401"}
  1.6 i1 {"event":"request","outcome":"relayed","service":"s","priority":0}
"""


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "i1.log"
    path.write_text(LOG)
    return str(path)


def test_refusals_are_counted_by_service_class_and_reason(log):
    result = CliRunner().invoke(app, ["refusals", "--log", log])
    assert result.exit_code == 0
    assert result.stdout.splitlines() == [
        "s, class 0: 1 of 1 answered",
        "s, class 2: 0 of 3 answered",
        "  long_queue: 2",
        "  timed_out: 1",
        "t, class 1: 0 of 1 answered",
        "without a service: 0 of 1 answered",
        "  unknown_key: 1",
    ]


def test_refusals_of_one_service_are_printed_as_json(log):
    arguments = ["refusals", "--log", log, "--service", "t", "--output", "json"]
    result = CliRunner().invoke(app, arguments)
    (entry,) = json.loads(result.stdout)["refusals"]
    assert (entry["service"], entry["refused"]) == ("t", {})
