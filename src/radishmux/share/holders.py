"""Which instance of a region holds the tokens of each customer; pure."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


class TokenHolders:
    """The order in which the instances of a region hold a customer's tokens.

    Rendezvous hashing: when an instance comes or goes, only the customers
    that it holds move.

    Args:
        own: Name of this instance.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._members: frozenset[str] = frozenset({own})
        self._orders: dict[str, tuple[str, ...]] = {}

    def set_members(self, members: frozenset[str]) -> bool:
        """Sets the instances of the region that may hold tokens.

        Returns:
            Whether they have changed.
        """
        if members == self._members:
            return False
        self._members = members
        self._orders.clear()
        return True

    def order(self, customer: str) -> tuple[str, ...]:
        """Returns the instances for a customer, its holder first."""
        found = self._orders.get(customer)
        if found is None:
            found = self._orders[customer] = tuple(
                sorted(
                    self._members,
                    key=lambda name: xxhash.xxh3_64_intdigest(
                        f"{name}\0{customer}".encode()
                    ),
                    reverse=True,
                )
            )
        return found

    def designated_customers(self, customers: Iterable[str]) -> frozenset[str]:
        """Returns the customers whose tokens this instance holds."""
        return frozenset(
            name for name in customers if self.order(name)[:1] == (self._own,)
        )
