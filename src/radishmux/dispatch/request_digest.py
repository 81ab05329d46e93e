"""Digests by which a request is recognized when it is sent again."""

from __future__ import annotations

import xxhash


def request_digest(
    customer: str,
    service: str,
    method: str,
    target: str,
    body: bytes | bytearray,
    body_length: int | None,
) -> str:
    """Returns the digest of customer, service, method, target and body.

    Ids and other headers do not count: they differ each time the request is
    sent.

    Args:
        customer: Name of the customer; empty if the request needs no key.
        service: Service that is to run the request; empty if the digest should
            not depend on it.
        method: HTTP method.
        target: Path and query, with the host if the service has several.
        body: The body, or the part of a streamed one that is in memory.
        body_length: Length of the whole body; None if it is not known.

    Returns:
        32 hexadecimal digits.
    """
    head = f"{customer}\0{service}\0{method}\0{target}\0{body_length}\0"
    digest = xxhash.xxh3_128(head.encode("utf-8", "surrogateescape"))
    if body:
        digest.update(body)
    return digest.hexdigest()
