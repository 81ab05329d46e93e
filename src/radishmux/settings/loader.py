"""Loads JSON with comments into msgspec structs and validates it."""

from __future__ import annotations

import pathlib
from typing import Any, TypeVar

import json5
import msgspec

from radishmux.config.validation import describe_error

T = TypeVar("T")


class SettingsError(Exception):
    """Invalid file; names the file, path, value and the allowed values."""


def parse(
    text: str, kind: type[T], source: str, null_is_missing: bool = False
) -> T:
    """Returns `text` as an instance of `kind`.

    Args:
        text: JSON with comments and trailing commas.
        kind: A msgspec Struct class.
        source: Name of the file, for error messages.
        null_is_missing: Whether a null field is treated as missing, as in files
            rendered from a template.

    Raises:
        SettingsError: The text is not valid JSON or does not match `kind`.
    """
    try:
        document = json5.loads(text)
    except ValueError as error:
        raise SettingsError(f"{source}: not valid JSON: {error}") from error
    if null_is_missing:
        document = _without_nulls(document)
    try:
        return msgspec.convert(document, kind)
    except msgspec.ValidationError as error:
        raise SettingsError(
            f"{source}: {_describe(error, document)}"
        ) from error


def _describe(error: msgspec.ValidationError, document: Any) -> str:
    problem = describe_error(error, document)
    if isinstance(problem.value, dict | list):
        # A field is unknown or missing, and `allowed` names it. The value is
        # left out because it would be the whole object.
        return f"{problem.path}: {problem.allowed}"
    return str(problem)


def _without_nulls(document: Any) -> Any:
    if isinstance(document, dict):
        return {
            name: _without_nulls(value)
            for name, value in document.items()
            if value is not None
        }
    return document


def load(path: pathlib.Path, kind: type[T], null_is_missing: bool = False) -> T:
    """Returns the file's content as an instance of `kind`.

    Raises:
        SettingsError: The file cannot be read or is invalid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    return parse(text, kind, str(path), null_is_missing)
