"""Deselects the tests that KNOWN-RED.txt lists, and prints their names."""

from __future__ import annotations

import pathlib

# Imported before any test has run: a finalizer that raises while pytest parses
# the modules of hypothesis makes Python 3.11 fail with a SystemError.
import hypothesis  # noqa: F401
import pytest

_LIST = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
_ENTRY = "test: "


def _known_red() -> list[str]:
    if not _LIST.exists():
        return []
    lines = _LIST.read_text(encoding="utf-8").splitlines()
    return [
        line.removeprefix(_ENTRY).strip()
        for line in lines
        if line.startswith(_ENTRY)
    ]


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--known-red",
        action="store_true",
        help="also run the tests that KNOWN-RED.txt lists",
    )


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    if config.getoption("--known-red"):
        return
    listed = set(_known_red())
    deselected = [item for item in items if item.nodeid in listed]
    if deselected:
        items[:] = [item for item in items if item.nodeid not in listed]
        config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    if config.getoption("--known-red"):
        return
    for test in _known_red():
        terminalreporter.write_line(f"known red, not run: {test}")
