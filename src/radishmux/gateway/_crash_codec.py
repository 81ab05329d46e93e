"""Encodes and decodes what instances tell each other of crashes."""

from __future__ import annotations

from typing import Any

from loguru import logger

from radishmux.dispatch.crash_history import (
    MAX_MARKS,
    CrashHistory,
    CrashMark,
    CrashRecord,
)
from radishmux.gateway._report_codec import MILLISECONDS, to_ms
from radishmux.peer import messages


def encode_record(record: CrashRecord, now: float) -> Any:
    """Returns the message for a record."""
    return messages.CrashRecord(
        digest=record.digest,
        subject=record.subject,
        marks=[
            messages.CrashMark(
                server=mark.server,
                version=mark.version,
                age_ms=to_ms(now - mark.at),
                run_ms=to_ms(mark.run_s),
                is_void=mark.is_void,
            )
            for mark in record.marks.values()
        ],
        cleared_versions=list(record.cleared_versions),
    )


def merge_record(
    history: CrashHistory, message: Any, sender: str, now: float
) -> bool:
    """Merges a record that a peer has sent.

    Returns:
        False if it is incomplete and was not used.
    """
    if not _is_valid(message):
        logger.warning("crash record of {} not used: {}", sender, message)
        return False
    history.merge(
        message.digest,
        message.subject or "",
        [
            CrashMark(
                mark.server,
                mark.version or "",
                now - mark.age_ms / MILLISECONDS,
                mark.run_ms / MILLISECONDS,
                bool(mark.is_void),
            )
            for mark in message.marks or ()
        ],
        message.cleared_versions or (),
        now,
    )
    return True


def _is_valid(message: Any) -> bool:
    return (
        message is not None
        and bool(message.digest)
        and len(message.marks or ()) <= MAX_MARKS
        and all(
            mark.server and None not in (mark.age_ms, mark.run_ms)
            for mark in message.marks or ()
        )
    )
