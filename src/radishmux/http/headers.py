"""Names of headers and the rules for passing headers on.

Hop-by-hop headers (RFC 9110, section 7.6.1) belong to one connection. The key
and the system's own headers never reach a backend server.
"""

from __future__ import annotations

from collections.abc import Iterable

from radishmux.dispatch.exchange import Headers

KEY = "x-radishmux-key"
REQUEST_ID = "x-radishmux-request-id"
DEADLINE = "x-radishmux-deadline-ms"
IDEMPOTENT = "x-radishmux-idempotent"
VERDICT = "x-radishmux-verdict"
SERVED_BY = "x-radishmux-served-by"
ATTEMPTS = "x-radishmux-attempts"
TICKET = "x-radishmux-ticket"
SHED = "x-radishmux-shed"
# Number of the attempt; a backend server that returns it lets the system
# recognise an answer that belongs to another request.
ATTEMPT = "x-radishmux-attempt"

# Headers between instances; the peer address alone accepts them.
FORWARD = "x-radishmux-forward"
CUSTOMER = "x-radishmux-customer"
ROUTE = "x-radishmux-route"
CELL = "x-radishmux-cell"
INCARNATION = "x-radishmux-incarnation"
REFUSED = "x-radishmux-refused"
KEY_DIGEST = "x-radishmux-key-digest"
CONFIG_VERSION = "x-radishmux-config-version"
# Request headers that the caller sent under names that are ours are dropped.
PREFIX = "x-radishmux-"

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# Set anew on each hop, or answered by this hop.
_REQUEST_DROPPED = _HOP_BY_HOP | {
    "host",
    "content-length",
    "expect",
    "traceparent",
}
_ANSWER_DROPPED = _HOP_BY_HOP | {"content-length", "date", "server"}


def request_headers(items: Iterable[tuple[str, str]]) -> Headers:
    """Returns the caller's headers that a backend server may see.

    Args:
        items: Names in lower case, and values.
    """
    kept = []
    named: set[str] | None = None
    for item in items:
        name = item[0]
        if name == "connection":
            named = _connection_options(item[1], named)
        elif name not in _REQUEST_DROPPED and not name.startswith(PREFIX):
            kept.append(item)
    if named:
        return [item for item in kept if item[0] not in named]
    return kept


def response_headers(items: Iterable[tuple[str, str]]) -> Headers:
    """Returns the backend server's headers that a caller may see."""
    kept = []
    named: set[str] | None = None
    for item in items:
        name = item[0].lower()
        if name == "connection":
            named = _connection_options(item[1], named)
        elif name not in _ANSWER_DROPPED and not name.startswith(PREFIX):
            kept.append(item)
    if named:
        return [item for item in kept if item[0].lower() not in named]
    return kept


def _connection_options(value: str, named: set[str] | None) -> set[str] | None:
    options = {option.strip().lower() for option in value.split(",")}
    options -= {"keep-alive", "close", ""}
    return options | (named or set())
