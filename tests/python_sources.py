"""Parses Python sources in tests."""

from __future__ import annotations

import ast
import gc
import pathlib


def parse(path: pathlib.Path) -> ast.Module:
    """Returns the syntax tree of a source file.

    CPython 3.11.6 raises SystemError if a finalizer parses something while the
    tree is built, as the traceback of an error in one does. So no garbage is
    collected meanwhile.
    """
    source = path.read_text()
    gc.disable()
    try:
        return ast.parse(source)
    finally:
        gc.enable()
