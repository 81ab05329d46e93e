"""Guards against metrics that are used but not declared, and vice versa.

An undeclared name or label raises an exception on its first use, which may be
on a rarely executed path of a running daemon.
"""

from __future__ import annotations

import ast
import pathlib
from collections.abc import Iterator

import pytest

import radishmux
from radishmux.telemetry.catalogue import METRICS
from tests.python_sources import parse

_METHODS = ("count", "observe", "set", "series")
_DECLARED = {metric.name: set(metric.labels) for metric in METRICS}
_SOURCES = sorted(pathlib.Path(radishmux.__file__).parent.rglob("*.py"))


def _uses(path: pathlib.Path) -> Iterator[tuple[int, str, set[str] | None]]:
    """Yields line, name and labels of each metric call in a module."""
    for node in ast.walk(parse(path)):
        if not isinstance(node, ast.Call) or not node.args:
            continue
        function, first = node.func, node.args[0]
        if (
            isinstance(function, ast.Attribute)
            and function.attr in _METHODS
            and isinstance(function.value, ast.Attribute | ast.Name)
            and "metrics" in ast.unparse(function.value)
            and isinstance(first, ast.Constant)
        ):
            keywords = [keyword.arg for keyword in node.keywords]
            labels = {name for name in keywords if name not in (None, "amount")}
            yield node.lineno, first.value, None if None in keywords else labels


@pytest.mark.parametrize("path", _SOURCES, ids=lambda path: path.stem)
def test_every_metric_in_use_is_declared_with_its_labels(path):
    for line, name, labels in _uses(path):
        place = f"{path.name}:{line}"
        assert name in _DECLARED, f"{place} uses undeclared metric {name}"
        if labels is not None:
            assert labels == _DECLARED[name], f"{place}: labels of {name}"


def test_every_declared_metric_is_in_use():
    sources = "\n".join(
        path.read_text() for path in _SOURCES if path.stem != "catalogue"
    )
    unused = {name for name in _DECLARED if f'"{name}"' not in sources}
    assert not unused
