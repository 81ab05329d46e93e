"""Assigns each customer's tokens to one instance of a region; pure."""

from __future__ import annotations

from collections.abc import Iterable

from radishmux.rendezvous import rank


class TokenHolders:
    """Ranks the instances of a region as token holders for each customer.

    The ranking uses rendezvous hashing: when an instance joins or leaves, only
    the customers that it holds move.

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
        """Returns the ranked instances for a customer; the first holds it."""
        found = self._orders.get(customer)
        if found is None:
            found = self._orders[customer] = rank(self._members, customer)
        return found

    def designated_customers(self, customers: Iterable[str]) -> frozenset[str]:
        """Returns those of `customers` that this instance ranks first for."""
        return frozenset(
            name for name in customers if self.order(name)[:1] == (self._own,)
        )
