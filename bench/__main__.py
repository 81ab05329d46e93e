"""Runs benchmarks one after the other: `python -m bench [NAME...]`.

Without names, all run, which takes about half an hour. Results of the
benchmarks that write JSON go to bench/results.
"""

from __future__ import annotations

import pathlib
import subprocess
import sys

_FOLDER = pathlib.Path(__file__).parent
_RESULTS = _FOLDER / "results"
# Benchmarks that take `--json FILE`.
_WITH_RESULTS = (
    "telemetry",
    "messages",
    "probing",
    "processes",
    "control",
)


def names() -> list[str]:
    """Returns the names of all benchmarks."""
    policies = sorted(path.stem for path in _FOLDER.glob("policy_*.py"))
    others = [
        name
        for name in ("blocks", "config_document")
        if (_FOLDER / f"{name}.py").exists()
    ]
    return [*_WITH_RESULTS, *others, *policies]


def run(name: str) -> int:
    """Runs one benchmark and returns its exit code."""
    print(f"== {name}", flush=True)
    arguments = [sys.executable, "-m", f"bench.{name}"]
    if name in _WITH_RESULTS:
        _RESULTS.mkdir(exist_ok=True)
        arguments += ["--json", str(_RESULTS / f"{name}.json")]
    return subprocess.run(arguments, check=False).returncode


def main() -> int:
    """Runs the benchmarks named on the command line, or all."""
    chosen = sys.argv[1:] or names()
    unknown = sorted(set(chosen) - set(names()))
    if unknown:
        print(f"unknown: {unknown}; known: {names()}", file=sys.stderr)
        return 2
    failed = [name for name in chosen if run(name) != 0]
    if failed:
        print(f"failed: {', '.join(failed)}", file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
