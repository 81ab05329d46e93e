"""Tests that `radishctl request` explains a request from log files alone."""

from __future__ import annotations

import json

import pytest
from typer.testing import CliRunner

from radishmux.cli.main import app

LOG = """\
  -1.0 i1 {"time":"t0","instance":"i1","subject":"configuration",\
"state":"in force","version":5}
  0.5 i1 {"time":"t1","instance":"i1","subject":"backend server s-1",\
"state":"ready"}
no structured line
  1.5 i1 {"time":2.5,"instance":"i1","event":"request","outcome":\
"lost 502","config_version":5,"request":"abc","ms":120,"route":"r","service":\
"s","customer":"c","attempts":[{"server":"s-1","expected_ms":90,"work_ms":80,\
"warm":true,"home":true,"load":2.0}],"broken":["s-1"],"digest":"ab12",\
"last_failure":"truncated_response"}
  1.6 i2 {"time":2.6,"instance":"i2","subject":"backend server s-1",\
"state":"gone"}
"""


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "i1.log"
    path.write_text(LOG)
    return str(path)


def run(*arguments):
    return CliRunner().invoke(app, ["request", *arguments])


def test_request_is_explained_for_people(log):
    result = run("abc", "--log", log)
    assert result.exit_code == 0
    for part in (
        "lost 502 after 120 ms",
        "sent to s-1: 90 ms expected",
        "digest ab12",
        "s-1 broke the connection",
        "last failure: truncated_response",
        "backend server s-1 was ready",
        "configuration 00000005",
    ):
        assert part in result.output
    # State changes seen by another instance did not affect the decision.
    assert "gone" not in result.output


def test_request_is_explained_for_scripts(log):
    result = run("abc", "--log", log, "--output", "json")
    answers = json.loads(result.output)["answers"]
    assert [answer["decision"]["request"] for answer in answers] == ["abc"]


@pytest.mark.parametrize(
    ("arguments", "code"), [(("xyz",), 5), (("abc", "--log", "missing"), 2)]
)
def test_unknown_request_and_missing_file(log, arguments, code):
    assert run(*arguments, "--log", log).exit_code == code


def test_request_that_a_peer_sent_is_explained(tmp_path):
    path = tmp_path / "i1.log"
    path.write_text(
        '{"time":"t0","instance":"i1","subject":"contact with backend servers",'
        '"state":"lost"}\n'
        '{"time":2.5,"instance":"i1","event":"request","outcome":"answered",'
        '"config_version":5,"request":"abc","ms":120,"attempts":[],'
        '"relayed_via":["i2"]}\n'
    )
    output = run("abc", "--log", str(path)).output
    assert "passed to i2, which reaches servers" in output
    assert "contact with backend servers was lost" in output
