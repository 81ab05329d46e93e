"""Header names, and filters for headers that are forwarded.

Hop-by-hop headers (RFC 9110, section 7.6.1) apply to a single connection and
are not forwarded. The caller's key and all x-radishmux-* headers are not
forwarded to backend servers either.
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
# Number of the attempt. If a backend server returns it, a response that belongs
# to another request is detected.
ATTEMPT = "x-radishmux-attempt"

# Headers between instances, which are accepted on the peer address only.
FORWARD = "x-radishmux-forward"
CUSTOMER = "x-radishmux-customer"
ROUTE = "x-radishmux-route"
CELL = "x-radishmux-cell"
INCARNATION = "x-radishmux-incarnation"
REFUSED = "x-radishmux-refused"
KEY_DIGEST = "x-radishmux-key-digest"
CONFIG_VERSION = "x-radishmux-config-version"
# Headers with this prefix are dropped from callers' requests and from backend
# servers' responses.
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
# Headers that each hop sets itself (host, content-length, traceparent) or
# handles itself (expect).
_REQUEST_DROPPED = _HOP_BY_HOP | {
    "host",
    "content-length",
    "expect",
    "traceparent",
}
_RESPONSE_DROPPED = _HOP_BY_HOP | {"content-length", "date", "server"}


def request_headers(items: Iterable[tuple[str, str]]) -> Headers:
    """Returns the caller's headers that may be sent to a backend server.

    Args:
        items: Names in lower case, and values.
    """
    kept = []
    to_drop: set[str] | None = None
    for item in items:
        name = item[0]
        if name == "connection":
            to_drop = _add_connection_options(item[1], to_drop)
        elif name not in _REQUEST_DROPPED and not name.startswith(PREFIX):
            kept.append(item)
    if to_drop:
        return [item for item in kept if item[0] not in to_drop]
    return kept


def response_headers(items: Iterable[tuple[str, str]]) -> Headers:
    """Returns the backend server's headers that may be sent to a caller."""
    kept = []
    to_drop: set[str] | None = None
    for item in items:
        name = item[0].lower()
        if name == "connection":
            to_drop = _add_connection_options(item[1], to_drop)
        elif name not in _RESPONSE_DROPPED and not name.startswith(PREFIX):
            kept.append(item)
    if to_drop:
        return [item for item in kept if item[0].lower() not in to_drop]
    return kept


def _add_connection_options(
    value: str, to_drop: set[str] | None
) -> set[str] | None:
    """Adds the header names that a Connection header lists."""
    options = {option.strip().lower() for option in value.split(",")}
    options -= {"keep-alive", "close", ""}
    return options | (to_drop or set())
