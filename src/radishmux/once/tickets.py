"""Tickets, which bind non-idempotent requests to one incarnation.

A ticket names the incarnation that issued it, and only that process runs
requests with it. The MAC key exists only in that process, so a later
incarnation of the same instance accepts none of its tickets.
"""

from __future__ import annotations

import enum
import hashlib
import hmac
import re
import secrets

# instance~incarnation~time of issue in ms~sequence number~MAC
_TICKET_PATTERN = re.compile(
    r"^([a-z0-9][a-z0-9._-]{0,62})~(\d{1,19})~(\d{1,15})~([0-9a-f]{8})"
    r"~([0-9a-f]{32})$"
)
_SUFFIX_PATTERN = re.compile(r"^[A-Za-z0-9._~-]{1,64}$")
_MAC_BYTES = 16
_KEY_BYTES = 32
TICKET_LIFETIME_S = 600.0


class TicketOwner:
    """The incarnation of an instance that issued a ticket."""

    __slots__ = ("incarnation", "instance")

    def __init__(self, instance: str, incarnation: int) -> None:
        self.instance = instance
        self.incarnation = incarnation


class TicketState(enum.Enum):
    """Validity of a ticket that names this incarnation as its issuer."""

    VALID = "valid"
    EXPIRED = "expired"
    FORGED = "forged"


def split_request_id(request_id: str) -> tuple[str, str] | None:
    """Splits `<ticket>/<suffix>`; returns None if it is malformed."""
    ticket, separator, suffix = request_id.partition("/")
    if not separator or not _SUFFIX_PATTERN.match(suffix):
        return None
    if not _TICKET_PATTERN.match(ticket):
        return None
    return ticket, suffix


class TicketIssuer:
    """Issues and checks the tickets of one incarnation.

    Args:
        instance: Name of this instance.
        incarnation: Incarnation of this process.
        key: MAC key; a random one by default.
        lifetime_s: Seconds from issue to expiry.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        key: bytes | None = None,
        lifetime_s: float = TICKET_LIFETIME_S,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._key = key or secrets.token_bytes(_KEY_BYTES)
        self._lifetime_s = lifetime_s
        self._sequence = secrets.randbits(32)

    def issue(self, now: float) -> str:
        """Returns a new ticket.

        Args:
            now: Monotonic time of this process, in seconds.
        """
        self._sequence = (self._sequence + 1) & 0xFFFFFFFF
        fields = (
            f"{self._instance}~{self._incarnation}~{int(now * 1000)}"
            f"~{self._sequence:08x}"
        )
        return f"{fields}~{self._mac(fields)}"

    def owner_of(self, ticket: str) -> TicketOwner | None:
        """Returns the issuer that a ticket names, or None if malformed."""
        fields = _TICKET_PATTERN.match(ticket)
        if fields is None:
            return None
        return TicketOwner(fields[1], int(fields[2]))

    def is_this_incarnation(self, owner: TicketOwner) -> bool:
        """Whether a ticket's owner is this incarnation of the instance."""
        return (
            owner.instance == self._instance
            and owner.incarnation == self._incarnation
        )

    def state(self, ticket: str, now: float) -> TicketState:
        """Checks the MAC and the age of a ticket of this incarnation."""
        fields, _, mac = ticket.rpartition("~")
        if not hmac.compare_digest(mac, self._mac(fields)):
            return TicketState.FORGED
        if now >= self.expires_at(ticket):
            return TicketState.EXPIRED
        return TicketState.VALID

    def expires_at(self, ticket: str) -> float:
        """Returns the monotonic time at which a ticket expires, in s."""
        issued_at_ms = int(ticket.split("~", 3)[2])
        return issued_at_ms / 1000.0 + self._lifetime_s

    def _mac(self, fields: str) -> str:
        return hashlib.blake2b(
            fields.encode(), key=self._key, digest_size=_MAC_BYTES
        ).hexdigest()
