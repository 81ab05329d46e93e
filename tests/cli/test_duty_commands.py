"""Tests that `radishctl duties` finds the holders of duties in log files."""

from __future__ import annotations

import json

import pytest
from typer.testing import CliRunner

from radishmux.cli.main import app


def line(at, instance, subject, state, **fields):
    return json.dumps(
        {
            "time": f"2026-01-01T00:00:{at:02d}+00:00",
            "instance": instance,
            "subject": subject,
            "state": state,
            **fields,
        }
    )


DUTY = "duty usage_report"
LOG = [
    line(3, "b", DUTY, "held", token=9, reason=""),
    line(1, "a", DUTY, "held", token=5, reason=""),
    line(2, "a", "usage window 7", "sent", token=5),
    line(4, "b", "usage window 8", "incomplete", missing=2),
    line(4, "b", "usage window 8", "sent", token=9),
    # Noticed after the next holder had begun.
    line(5, "a", DUTY, "lost", token=5, reason="lease not renewed in time"),
]
LOSS = line(6, "b", DUTY, "lost", token=9, reason="leaving")


@pytest.mark.parametrize(
    ("more", "holder"),
    [([], "b since 2026-01-01T00:00:03"), ([LOSS], "nobody (leaving) since")],
)
def test_latest_holder_and_problems_are_listed(tmp_path, more, holder):
    """Guards against logs that name a holder which has lost the duty."""
    path = tmp_path / "log"
    path.write_text("\n".join([*LOG, *more]))
    result = CliRunner().invoke(app, ["duties", "--log", str(path)])
    assert result.exit_code == 0, result.output
    assert f"usage_report  {holder}" in result.output
    assert "token 9, 2 changes" in result.output
    assert "last window sent: 8" in result.output
    assert "window 8 incomplete at b, 2 instances missing" in result.output
