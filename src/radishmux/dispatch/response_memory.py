"""Limits the memory for responses that are still being received."""

from __future__ import annotations

from typing import Protocol

# About 9 to 25 % of the memory of an instance, which is 200 to 552 MB. The
# largest responses of the users' backend servers are 0.5 MB.
MAX_TOTAL_BYTES = 48 * 1024 * 1024


class ResponseReader(Protocol):
    """Receives a response and buffers it."""

    def abort(self, reason: str) -> None:
        """Fails the request and frees the memory of its response."""


class ResponseMemory:
    """Counts the bytes of responses that are not complete yet.

    A faulty server may send bytes without end. When all responses together
    exceed the limit, the largest of them is aborted, so that the others can be
    received.

    Args:
        limit: Number of bytes that all responses together may occupy.
    """

    def __init__(self, limit: int = MAX_TOTAL_BYTES) -> None:
        self._limit = limit
        self._used_bytes = 0
        self._sizes: dict[ResponseReader, int] = {}

    @property
    def used_bytes(self) -> int:
        """Number of bytes of all incomplete responses."""
        return self._used_bytes

    def add(self, reader: ResponseReader, size: int) -> None:
        """Adds received bytes of a response.

        If the limit is exceeded, this aborts the largest responses, possibly
        including this one.

        Args:
            reader: Receiver of the response.
            size: Number of bytes received.
        """
        self._sizes[reader] = size + self._sizes.get(reader, 0)
        self._used_bytes += size
        while self._used_bytes > self._limit:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            self.release(largest)
            largest.abort("memory_full")

    def release(self, reader: ResponseReader) -> None:
        """Removes all bytes of a response from the count."""
        self._used_bytes -= self._sizes.pop(reader, 0)
