"""Command line of the benchmarks whose whole result is one JSON object."""

from __future__ import annotations

import argparse
import json
import pathlib
from collections.abc import Callable
from typing import Any


def run(measure: Callable[[], Any], description: str | None) -> None:
    """Measures, prints the result and writes it to the file of `--json`.

    Args:
        measure: Returns the result, of types that JSON has.
        description: Help text of the command.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--json", type=pathlib.Path)
    arguments = parser.parse_args()
    text = json.dumps(measure(), indent=1) + "\n"
    print(text, end="")
    if arguments.json is not None:
        arguments.json.write_text(text)
