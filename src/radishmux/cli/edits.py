"""Changes that commands apply to the stored configuration.

Each function returns an `Edit`, which maps the stored configuration to the
changed one and raises `CliError` for a name that does not exist.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, TypeVar

from msgspec.structs import replace

from radishmux.cli.errors import CliError, ExitCode
from radishmux.config.model import (
    Configuration,
    Customer,
    Selector,
    Shift,
    ShiftIntent,
)

Edit = Callable[[Configuration], Configuration]
T = TypeVar("T")

# Kinds of records that have labels, with their configuration fields.
LABELLED = {
    "region": "regions",
    "customer": "customers",
    "service": "services",
    "backend-server": "backend_servers",
}


def replace_all(
    wanted: Configuration,
    expected_version: int | None,
    replace_keys: bool,
    replace_shifts: bool,
) -> Edit:
    """Returns the edit that puts a whole configuration in force.

    The `key` and `shift` commands manage key digests and shifts. The edit
    keeps the stored shifts and the stored key digests of known customers, so
    that a file cannot bring back a withdrawn key or a shift that was taken
    back.

    Args:
        wanted: The new configuration.
        expected_version: Version that must be in force; None accepts any.
        replace_keys: Whether to replace key digests of known customers.
        replace_shifts: Whether to replace the stored shifts. The first
            configuration always brings its shifts.
    """

    def edit(current: Configuration) -> Configuration:
        if expected_version not in (None, current.version):
            raise CliError(
                f"version {current.version} is in force,"
                f" not {expected_version}",
                ExitCode.CONFLICT,
            )
        customers = wanted.customers
        if not replace_keys:
            digests = {
                customer.name: customer.key_digests
                for customer in current.customers
            }
            customers = [
                replace(
                    customer,
                    key_digests=digests.get(
                        customer.name, customer.key_digests
                    ),
                )
                for customer in customers
            ]
        is_first = current.version == 0
        keep_shifts = not (replace_shifts or is_first)
        return replace(
            wanted,
            customers=customers,
            shifts=current.shifts if keep_shifts else wanted.shifts,
        )

    return edit


def grant_key(customer: str, digest: str) -> Edit:
    """Returns the edit that adds a key digest to a customer."""

    def edit(current: Configuration) -> Configuration:
        def add(record: Customer) -> Customer:
            return replace(record, key_digests=[*record.key_digests, digest])

        return _replace_record(current, "customers", customer, add)

    return edit


def withdraw_key(customer: str, digest_start: str) -> Edit:
    """Returns the edit that removes a key digest from a customer.

    Args:
        customer: Name of the customer that owns the key.
        digest_start: The digest, or a prefix that is unique among the
            customer's digests.
    """

    def edit(current: Configuration) -> Configuration:
        def remove(record: Customer) -> Customer:
            matches = [
                digest
                for digest in record.key_digests
                if digest.startswith(digest_start.lower())
            ]
            if not matches:
                raise CliError(
                    f"{customer} has no key digest {digest_start}",
                    ExitCode.NOT_FOUND,
                )
            if len(matches) > 1:
                raise CliError(
                    f"{len(matches)} key digests of {customer} start with"
                    f" {digest_start}",
                    ExitCode.WRONG_INPUT,
                )
            kept = [
                key_digest
                for key_digest in record.key_digests
                if key_digest != matches[0]
            ]
            return replace(record, key_digests=kept)

        return _replace_record(current, "customers", customer, remove)

    return edit


def set_labels(kind: str, name: str, labels: dict[str, str]) -> Edit:
    """Returns the edit that sets labels; an empty value removes the label."""

    def edit(current: Configuration) -> Configuration:
        def merge(record: Any) -> Any:
            merged = {**record.labels, **labels}
            kept = {key: text for key, text in merged.items() if text}
            return replace(record, labels=kept)

        return _replace_record(current, LABELLED[kind], name, merge)

    return edit


def put_selector(selector: Selector, position: int | None) -> Edit:
    """Returns the edit that adds a selector or replaces the one of that name.

    Args:
        selector: The new selector.
        position: Index in the list; None keeps the index of the selector
            that is replaced, or appends a new one.
    """

    def edit(current: Configuration) -> Configuration:
        names = [other.name for other in current.selectors]
        place = position
        if place is None:
            place = (
                names.index(selector.name)
                if selector.name in names
                else len(names)
            )
        others = [
            other for other in current.selectors if other.name != selector.name
        ]
        others.insert(place, selector)
        return replace(current, selectors=others)

    return edit


def remove_selector(name: str) -> Edit:
    """Returns the edit that removes a selector."""

    def edit(current: Configuration) -> Configuration:
        kept = [
            selector for selector in current.selectors if selector.name != name
        ]
        if len(kept) == len(current.selectors):
            raise _unknown_name_error("selectors", name, current.selectors)
        return replace(current, selectors=kept)

    return edit


def start_shift(shift: Shift, from_version: str | None) -> Edit:
    """Returns the edit that adds a shift.

    Args:
        shift: The shift; its `from_version` field is ignored.
        from_version: Version that loses traffic; None means the stable one.
    """

    def edit(current: Configuration) -> Configuration:
        if any(other.name == shift.name for other in current.shifts):
            raise CliError(
                f"a shift named {shift.name} already exists",
                ExitCode.CONFLICT,
            )
        service = _find(current, "services", shift.service)
        started = replace(
            shift, from_version=from_version or service.stable_version
        )
        return replace(current, shifts=[*current.shifts, started])

    return edit


def set_intent(name: str, intent: ShiftIntent) -> Edit:
    """Returns the edit that pauses, resumes or takes back a shift."""

    def edit(current: Configuration) -> Configuration:
        def with_intent(shift: Shift) -> Shift:
            return replace(shift, intent=intent)

        return _replace_record(current, "shifts", name, with_intent)

    return edit


def _replace_record(
    current: Configuration, field: str, name: str, change: Callable[[T], T]
) -> Configuration:
    _find(current, field, name)
    records = [
        change(record) if record.name == name else record
        for record in getattr(current, field)
    ]
    return replace(current, **{field: records})


def _find(current: Configuration, field: str, name: str) -> Any:
    records = getattr(current, field)
    for record in records:
        if record.name == name:
            return record
    raise _unknown_name_error(field, name, records)


def _unknown_name_error(
    field: str, name: str, records: Sequence[Any]
) -> CliError:
    known = ", ".join(record.name for record in records[:8]) or "none"
    more = ", ..." if len(records) > 8 else ""
    kind = field.replace("_", " ")
    return CliError(
        f"{name!r} not found in {kind}; known: {known}{more}",
        ExitCode.NOT_FOUND,
    )
