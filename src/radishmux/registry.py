"""Registries of named implementations, filled by decorators."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")


class UnknownNameError(LookupError):
    """No implementation is registered under the name."""


class Registry(Generic[K, V]):
    """Maps names to implementations of one kind.

    Args:
        kind: What is registered, for error messages.

    Example:
        drivers = Registry("store driver")

        @drivers.register("etcd")
        class EtcdStore: ...
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[K, V] = {}

    def register(self, name: K) -> Callable[[V], V]:
        """Returns a decorator that registers its argument under `name`.

        Raises:
            ValueError: The name is already registered.
        """

        def decorate(value: V) -> V:
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._entries[name] = value
            return value

        return decorate

    def __getitem__(self, name: K) -> V:
        try:
            return self._entries[name]
        except KeyError:
            known = ", ".join(sorted(map(str, self._entries)))
            raise UnknownNameError(
                f"unknown {self._kind} {name!r}; known: {known}"
            ) from None

    def __contains__(self, name: K) -> bool:
        return name in self._entries

    def __iter__(self) -> Iterator[K]:
        return iter(self._entries)

    def get(self, name: K) -> V | None:
        """Returns the implementation of `name`, or None if there is none."""
        return self._entries.get(name)
