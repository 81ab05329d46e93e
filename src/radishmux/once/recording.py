"""Records a streamed answer in the ledger while it is sent."""

from __future__ import annotations

from collections.abc import AsyncIterator

from radishmux.dispatch.exchange import Answer
from radishmux.once.ledger import (
    MAX_RECORDED_BODY_BYTES,
    Entry,
    RequestLedger,
    not_recorded,
)


class RecordingStream:
    """Passes the pieces of an answer on and keeps short bodies."""

    __slots__ = ("_answer", "_entry", "_ledger", "_stream")

    def __init__(
        self, ledger: RequestLedger, entry: Entry, answer: Answer
    ) -> None:
        assert answer.stream is not None
        self._ledger = ledger
        self._entry = entry
        self._answer = answer
        self._stream = answer.stream

    async def __aiter__(self) -> AsyncIterator[bytes]:
        pieces: list[bytes] = []
        size = 0
        async for piece in self._stream:
            size += len(piece)
            if size <= MAX_RECORDED_BODY_BYTES:
                pieces.append(piece)
            yield piece
        if size <= MAX_RECORDED_BODY_BYTES:
            answer = self._answer
            recorded = Answer(
                answer.status,
                answer.headers,
                b"".join(pieces),
                served_by=answer.served_by,
                attempts=answer.attempts,
            )
            self._ledger.finish(self._entry, recorded)

    async def aclose(self) -> None:
        """Frees the connection; records that the request ran."""
        self._ledger.finish(self._entry, not_recorded())
        await self._stream.aclose()
