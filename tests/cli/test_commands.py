"""Tests radishctl's commands against a stand-in store process."""

from __future__ import annotations

import http.server
import json
import os
import pathlib
import subprocess
import sys
import threading
import time

import pytest
from typer.testing import CliRunner

from radishmux.cli.inspect_commands import merge_spans, span_tree
from radishmux.cli.main import app
from radishmux.cli.shift_commands import parse_deadline
from radishmux.cli.shift_records import report_text
from radishmux.shift import document
from radishmux.shift.report import build_report

ROOT = pathlib.Path(__file__).parents[2]
TRUST = str(ROOT / "deploy" / "trust.jsonc")


@pytest.fixture
def store():
    """Address of a new store."""
    process = subprocess.Popen(
        [sys.executable, "-m", "standins.store", "--listen", "127.0.0.1:0"],
        cwd=ROOT,
        env=os.environ | {"PYTHONPATH": f"{ROOT}/src:{ROOT}"},
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        yield process.stdout.readline().split()[1]
    finally:
        process.kill()
        process.wait()


def run(*arguments: str, code: int = 0):
    """Runs radishctl and returns its JSON output, or its error."""
    result = CliRunner().invoke(app, [*arguments, "-o", "json"])
    assert result.exit_code == code, (result.output, result.exception)
    return json.loads(result.stdout if code == 0 else result.stderr)


def test_put_grant_withdraw_and_show(store):
    at = ("--store", store)
    assert run("config", "put", TRUST, *at)["version"] == 1
    granted = run("key", "grant", "clinics", *at)
    shown = json.dumps(run("config", "show", *at))
    assert granted["digest"] in shown
    assert granted["key"] not in shown
    run("key", "withdraw", "clinics", granted["digest"][:12], *at)
    assert granted["digest"] not in json.dumps(run("config", "show", *at))
    run("label", "set", "customer", "clinics", "ward=maternity", *at)
    run("selector", "put", "only-accra", "--allow", "accra", *at)
    run("selector", "remove", "only-accra", *at)
    assert run("config", "show", *at)["version"] == 6


def test_conflict_has_its_own_exit_code(store):
    at = ("--store", store)
    run("config", "put", TRUST, *at)
    error = run("config", "put", TRUST, "--expect", "0", *at, code=3)
    assert error["error"] == "version 1 is in force, not 0"


def test_unreachable_store_and_unknown_customer_have_exit_codes(store):
    run("config", "show", "--store", "127.0.0.1:1", code=4)
    run("key", "grant", "nobody", "--store", store, code=5)
    run("status", "--admin", "127.0.0.1:1", code=4)


def test_invalid_file_is_named_and_changes_nothing(store, tmp_path):
    wrong = tmp_path / "wrong.jsonc"
    text = (ROOT / "deploy" / "trust.jsonc").read_text()
    wrong.write_text(text.replace('"service": "poles"', '"service": "pole"'))
    error = run("config", "check", str(wrong), code=2)
    assert "$.backend_servers[0].service" in error["error"]
    run("config", "put", str(wrong), "--store", store, code=2)
    assert run("config", "show", "--store", store)["version"] == 0


def test_a_shift_is_started_paused_and_reported(store):
    at = ("--store", store)
    run("config", "put", TRUST, *at)
    run(
        *("shift", "start", "mist", "--service", "poles", "--to", "2026.12"),
        *("--cap", "0.5", "--deadline", "2h", *at),
    )
    for command in ("pause", "resume", "take-back"):
        intent = run("shift", command, "mist", *at)["intent"]
    shift = run("config", "show", *at)["shifts"][0]
    assert intent == shift["intent"] == "take_back"
    assert shift["from_version"] == "2026.11"
    # No controller runs here, so no record of the shift exists.
    for arguments in ((), ("mist",)):
        (report,) = run("report", *arguments, *at)["reports"]
        assert (report["name"], report["state"]) == ("mist", "proposed")
        assert "not yet accepted" in report["sentences"]
    run("report", "other", *at, code=5)
    run("shift", "follow", "mist", "--timeout", "0.1", *at, code=5)


def test_report_text_explains_a_taken_back_shift():
    record = document.ShiftRecord(
        name="mist",
        service="poles",
        from_version="a",
        to_version="b",
        cap_ppm=500_000,
        canary_ppm=20_000,
        deadline=1.8e9,
        state=document.ShiftState.TAKEN_BACK,
        reason="10.0% of its requests failed against 0.2% before",
    )
    text = report_text(build_report(record, now=1.7e9))
    assert "was taken back" in text
    assert "10.0% of its requests failed" in text
    assert "At most 0% of the traffic had moved" in text


def test_deadlines_are_durations_or_times_with_an_offset():
    now = time.time()
    assert parse_deadline("30m", now) == now + 1800
    assert parse_deadline("2099-01-01T00:00:00+00:00", now) > now
    for wrong in ("soon", "2099-01-01T00:00:00", "2001-01-01T00:00:00Z"):
        run(
            *("shift", "start", "x", "--service", "poles", "--to", "b"),
            *("--cap", "1", "--deadline", wrong, "--store", "127.0.0.1:1"),
            code=2,
        )


SPANS = [
    {
        "trace_id": "t",
        "span_id": span_id,
        "parent_id": parent_id,
        "name": name,
        "instance": instance,
        "start_unix_s": start,
        "duration_s": 0.001,
        "attributes": {"n": 1},
    }
    for span_id, parent_id, name, instance, start in (
        ("1", "9", "request", "a", 1.0),
        ("2", "1", "forward", "a", 2.0),
        ("3", "2", "dispatch", "b", 3.0),
    )
]


def test_spans_of_several_instances_form_one_tree():
    merged = merge_spans([SPANS[2:], {"spans": SPANS}, SPANS[:1]])
    assert [line.split()[0] for line in span_tree(merged)] == [
        "request",
        "forward",
        "dispatch",
    ]
    assert span_tree(merged)[2].startswith("    dispatch on b: 1.00 ms n=1")


@pytest.fixture
def instance():
    """Admin address of an instance that has a single trace."""
    answers = {
        "/v1/status": {"instance": "a", "config_version": 3},
        "/v1/traces/t": SPANS,
        "/v1/explain/t": {"verdict": "ran"},
    }

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self):  # noqa: N802
            body = answers.get(self.path)
            self.send_response(404 if body is None else 200)
            self.end_headers()
            self.wfile.write(json.dumps(body).encode())

        def log_message(self, *arguments):
            pass

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield f"127.0.0.1:{server.server_address[1]}"
    server.shutdown()
    server.server_close()


def test_status_and_explain_read_the_admin_address(instance):
    at = ("--admin", instance)
    assert run("status", *at)["config_version"] == 3
    two = run("status", *at, "--admin", "127.0.0.1:1")["instances"]
    assert "error" in two[1]
    explained = run("explain", "t", *at)
    assert explained["explanations"][instance] == {"verdict": "ran"}
    assert len(explained["spans"]) == 3
    run("explain", "u", *at, code=5)
    run("explain", "t", "--admin", "127.0.0.1:1", code=4)


def test_waiting_ends_when_the_version_is_in_force(store, instance):
    at = ("--store", store, "--wait", instance)
    for version in (1, 2, 3):
        assert run("config", "put", TRUST, *at)["version"] == version


@pytest.mark.parametrize("arguments", [["nope"], ["config", "put"]])
def test_wrong_usage_is_exit_code_2(arguments):
    assert CliRunner().invoke(app, arguments).exit_code == 2


def test_text_output():
    result = CliRunner().invoke(app, ["config", "check", TRUST])
    assert result.exit_code == 0
    assert "backend_servers: 51" in result.stdout


def test_the_shell_completes_commands():
    # --show-completion detects the calling shell, so it fails without a shell.
    words = {
        "_RADISHCTL_COMPLETE": "complete_bash",
        "COMP_WORDS": "radishctl shi",
        "COMP_CWORD": "1",
    }
    result = CliRunner().invoke(app, [], env=words, prog_name="radishctl")
    assert result.stdout.split() == ["shift"]
