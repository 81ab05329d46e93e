"""JSON schemas of the files that operators write."""

from __future__ import annotations

import json
import pathlib
from typing import Any

import msgspec

from radishmux.config.model import Configuration
from radishmux.settings.daemon import DaemonSettings
from radishmux.settings.gateway import GatewaySettings

# Names of the files in docs/schema, with the classes they describe.
SCHEMAS: dict[str, type] = {
    "configuration.schema.json": Configuration,
    "settings.schema.json": DaemonSettings,
    "gateway.schema.json": GatewaySettings,
}


def schema_of(kind: type) -> dict[str, Any]:
    """Returns the JSON schema of a class."""
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        **msgspec.json.schema(kind),
    }


def schema_text(kind: type) -> str:
    """Returns the content of the schema file in docs/schema."""
    return json.dumps(schema_of(kind), indent=2, ensure_ascii=False) + "\n"


def write_schemas(folder: pathlib.Path) -> list[pathlib.Path]:
    """Writes all schemas to `folder` and returns their paths."""
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for name, kind in SCHEMAS.items():
        path = folder / name
        path.write_text(schema_text(kind), encoding="utf-8")
        paths.append(path)
    return paths
