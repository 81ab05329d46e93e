"""Changes of the configuration that single commands make.

Each function takes the stored configuration and returns the changed one.
Names that do not exist raise a `CliError`.
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

# Configuration field by the kind of a labelled record.
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

    Key digests of known customers and shifts are changed by commands of
    their own. They stay as they are unless asked for, so that a file cannot
    bring back a withdrawn key or a shift that was taken back.
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
            digests = {one.name: one.key_digests for one in current.customers}
            customers = [
                replace(one, key_digests=digests.get(one.name, one.key_digests))
                for one in customers
            ]
        first = current.version == 0
        keep_shifts = not (replace_shifts or first)
        return replace(
            wanted,
            customers=customers,
            shifts=current.shifts if keep_shifts else wanted.shifts,
        )

    return edit


def grant_key(customer: str, digest: str) -> Edit:
    """Returns the edit that adds a key digest to a customer."""

    def edit(current: Configuration) -> Configuration:
        def add(one: Customer) -> Customer:
            return replace(one, key_digests=[*one.key_digests, digest])

        return _change(current, "customers", customer, add)

    return edit


def withdraw_key(customer: str, digest_start: str) -> Edit:
    """Returns the edit that removes a key digest from a customer.

    Args:
        customer: Whose key it is.
        digest_start: The digest or enough of its start to be unique.
    """

    def edit(current: Configuration) -> Configuration:
        def remove(one: Customer) -> Customer:
            matches = [
                digest
                for digest in one.key_digests
                if digest.startswith(digest_start.lower())
            ]
            if not matches:
                raise CliError(
                    f"{customer} has no key digest {digest_start}",
                    ExitCode.NOT_FOUND,
                )
            if len(matches) > 1:
                raise CliError(
                    f"{len(matches)} key digests start with {digest_start}",
                    ExitCode.WRONG_INPUT,
                )
            kept = [each for each in one.key_digests if each != matches[0]]
            return replace(one, key_digests=kept)

        return _change(current, "customers", customer, remove)

    return edit


def set_labels(kind: str, name: str, labels: dict[str, str]) -> Edit:
    """Returns the edit that sets labels; an empty value removes one."""

    def edit(current: Configuration) -> Configuration:
        def merge(one: Any) -> Any:
            merged = {**one.labels, **labels}
            kept = {key: text for key, text in merged.items() if text}
            return replace(one, labels=kept)

        return _change(current, LABELLED[kind], name, merge)

    return edit


def put_selector(selector: Selector, position: int | None) -> Edit:
    """Returns the edit that adds a selector or replaces its namesake.

    Args:
        selector: The new selector.
        position: Place in the list, from 0; None keeps the place of the
            namesake, or appends.
    """

    def edit(current: Configuration) -> Configuration:
        names = [one.name for one in current.selectors]
        place = position
        if place is None:
            place = (
                names.index(selector.name)
                if selector.name in names
                else len(names)
            )
        others = [one for one in current.selectors if one.name != selector.name]
        others.insert(place, selector)
        return replace(current, selectors=others)

    return edit


def remove_selector(name: str) -> Edit:
    """Returns the edit that removes a selector."""

    def edit(current: Configuration) -> Configuration:
        kept = [one for one in current.selectors if one.name != name]
        if len(kept) == len(current.selectors):
            raise _unknown("selectors", name, current.selectors)
        return replace(current, selectors=kept)

    return edit


def start_shift(shift: Shift, from_version: str | None) -> Edit:
    """Returns the edit that adds a shift.

    Args:
        shift: The shift; its `from_version` counts only when given here.
        from_version: Version that loses traffic; None means the stable one.
    """

    def edit(current: Configuration) -> Configuration:
        if any(one.name == shift.name for one in current.shifts):
            raise CliError(
                f"there is a shift named {shift.name} already",
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
        def change(one: Shift) -> Shift:
            return replace(one, intent=intent)

        return _change(current, "shifts", name, change)

    return edit


def _change(
    current: Configuration, field: str, name: str, change: Callable[[T], T]
) -> Configuration:
    _find(current, field, name)
    records = [
        change(one) if one.name == name else one
        for one in getattr(current, field)
    ]
    return replace(current, **{field: records})


def _find(current: Configuration, field: str, name: str) -> Any:
    records = getattr(current, field)
    for one in records:
        if one.name == name:
            return one
    raise _unknown(field, name, records)


def _unknown(field: str, name: str, records: Sequence[Any]) -> CliError:
    known = ", ".join(one.name for one in records[:8]) or "none"
    more = ", ..." if len(records) > 8 else ""
    kind = field.replace("_", " ")
    return CliError(
        f"no {name!r} among the {kind}: {known}{more}", ExitCode.NOT_FOUND
    )
