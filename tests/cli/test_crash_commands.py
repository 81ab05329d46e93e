"""Tests that `radishctl crashes` finds crashing requests in log files."""

from __future__ import annotations

import json

import pytest
from typer.testing import CliRunner

from radishmux.cli.main import app

LOG = """\
  1.0 i1 {"instance":"i1","event":"request","outcome":"lost 502","request":\
"id-1","digest":"ab12","broken":["s-1"]}
  1.1 i1 {"instance":"i1","subject":"request ab12","state":"marked","crashed":\
["s-1/7"],"belongs_to":"svc c r"}
no structured line
  1.2 i2 {"instance":"i2","subject":"request ab12","state":"withheld",\
"crashed":["s-1/7","s-2/9","s-3/1"],"belongs_to":"svc c r"}
  1.3 i2 {"instance":"i2","event":"request","outcome":"request_crashes 503",\
"request":"id-2","digest":"ab12"}
  1.4 i1 {"instance":"i1","subject":"request cd34","state":"cleared",\
"crashed":[],"belongs_to":"svc c r"}
  1.5 i1 {"instance":"i1","subject":"configuration","state":"in force"}
"""


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "i1.log"
    path.write_text(LOG)
    return str(path)


def run(*arguments):
    return CliRunner().invoke(app, ["crashes", *arguments])


def test_crashing_requests_are_listed_for_people(log):
    result = run("--log", log)
    assert result.exit_code == 0
    for part in (
        "ab12  svc c r",
        "crashed: s-1/7, s-2/9, s-3/1",
        "marked at i1",
        "withheld at i2",
        "requests: id-1, id-2",
        "cd34  svc c r",
    ):
        assert part in result.output
    assert result.output.index("ab12") < result.output.index("cd34")


def test_crashing_requests_are_listed_for_scripts(log):
    result = run("--log", log, "--digest", "ab", "--output", "json")
    entries = json.loads(result.output)["requests"]
    assert [entry["digest"] for entry in entries] == ["ab12"]
    assert entries[0]["states"] == {"i1": "marked", "i2": "withheld"}


def test_missing_log_is_an_error():
    assert run("--log", "missing").exit_code == 2
