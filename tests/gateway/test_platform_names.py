"""The platform's names stand in one package only."""

from __future__ import annotations

import pathlib
import re

import pytest

import radishmux

SOURCES = pathlib.Path(radishmux.__file__).parent
NAMES = [
    "server-seal",
    "not-executed",
    "target-instance",
    "deadline-remaining",
    "affinity-key",
    "weightedsplit",
    "coldremainings",
    "ttls_time",
    "kv-txn",
    "kv-range",
    "kv-watch",
    "kv-lease",
    "ratepers",
    "pathprefix",
    "apikeys",
    "api-key",
    "server-load",
    "sessionaffinity",
    "allowanonymous",
    "cold-remaining",
    "op/config",
    "servers/",
    "status/rollout",
]
_PATTERN = re.compile("|".join(map(re.escape, NAMES)), re.IGNORECASE)


@pytest.mark.parametrize(
    "path",
    sorted(
        path
        for path in SOURCES.rglob("*.py")
        if (SOURCES / "platform") not in path.parents
    ),
    ids=lambda path: path.stem,
)
def test_module_knows_no_name_of_the_platform(path):
    found = _PATTERN.findall(path.read_text(encoding="utf-8"))
    assert not found, f"{path.name}: {found}"
