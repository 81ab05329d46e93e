"""Records a streamed response in the ledger while it is sent."""

from __future__ import annotations

from collections.abc import AsyncIterator

from radishmux.dispatch.exchange import BackendResponse
from radishmux.once.ledger import (
    MAX_RECORDED_BODY_BYTES,
    Entry,
    RequestLedger,
    already_ran,
)


class RecordingStream:
    """Forwards the chunks of a response and records short bodies.

    Args:
        ledger: Ledger that holds the entry.
        entry: The request that the response belongs to.
        answer: The response; its `stream` is set.
    """

    __slots__ = ("_answer", "_entry", "_ledger", "_stream")

    def __init__(
        self, ledger: RequestLedger, entry: Entry, answer: BackendResponse
    ) -> None:
        assert answer.stream is not None
        self._ledger = ledger
        self._entry = entry
        self._answer = answer
        self._stream = answer.stream

    async def __aiter__(self) -> AsyncIterator[bytes]:
        chunks: list[bytes] = []
        total_bytes = 0
        async for chunk in self._stream:
            total_bytes += len(chunk)
            if total_bytes <= MAX_RECORDED_BODY_BYTES:
                chunks.append(chunk)
            yield chunk
        if total_bytes <= MAX_RECORDED_BODY_BYTES:
            answer = self._answer
            recorded_answer = BackendResponse(
                answer.status,
                answer.headers,
                b"".join(chunks),
                served_by=answer.served_by,
                attempts=answer.attempts,
            )
            self._ledger.finish(self._entry, recorded_answer)

    async def aclose(self) -> None:
        """Closes the stream and frees the connection.

        If the stream was not read to the end, the ledger records that the
        request ran, without a response.
        """
        self._ledger.finish(self._entry, already_ran())
        await self._stream.aclose()
