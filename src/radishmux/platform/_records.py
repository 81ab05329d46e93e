"""Converts one record of a document and replaces its unreadable values."""

from __future__ import annotations

import re
from typing import Any, TypeVar

import msgspec

# Separates the parts of a header's value.
_PART_END = re.compile("[,;]")

_T = TypeVar("_T", bound=msgspec.Struct)


def read_record(
    raw: object,
    record_type: type[_T],
    fallbacks: dict[str, Any],
    label: str,
    problems: list[str],
) -> _T | None:
    """Converts a decoded JSON value to a record; ignores unknown fields.

    A value that cannot be read is replaced by its field's fallback. The record
    cannot be used if that field has no fallback.

    Args:
        raw: The record as decoded from JSON.
        record_type: The type to convert to.
        fallbacks: The strictest safe value of each field that has one.
        label: Identifies the record in `problems`.
        problems: The list to which a message is appended for each replaced
            value, or for the reason why the record cannot be used.

    Returns:
        The record, or None if it cannot be used.
    """
    try:
        return msgspec.convert(raw, record_type)
    except msgspec.ValidationError as error:
        record_error = error
    if not isinstance(raw, dict):
        problems.append(f"{label}: {record_error}")
        return None
    values: dict[str, Any] = {}
    for field in msgspec.structs.fields(record_type):
        if field.encode_name not in raw:
            if field.required:
                problems.append(f"{label}: {field.encode_name} is missing")
                return None
            continue
        value = raw[field.encode_name]
        try:
            values[field.name] = msgspec.convert(value, field.type)
        except msgspec.ValidationError as error:
            problem = f"{label}: {field.encode_name}: {error}"
            if field.name not in fallbacks:
                problems.append(problem)
                return None
            values[field.name] = fallbacks[field.name]
            problems.append(f"{problem}; read as {fallbacks[field.name]!r}")
    return record_type(**values)


def first_part(value: str) -> str:
    """Returns the first part of a header's value.

    A newer build of the platform may append parts that are not known here.
    """
    if "," in value or ";" in value:
        value = _PART_END.split(value, 1)[0]
    return value.strip()


def readable_items(
    raw: list[object], item_type: type, label: str, problems: list[str]
) -> list[Any]:
    """Returns the items of the given type; reports the others in `problems`."""
    items = []
    for item in raw:
        try:
            items.append(msgspec.convert(item, item_type))
        except msgspec.ValidationError as error:
            problems.append(f"{label}: {error}")
    return items
