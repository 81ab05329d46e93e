"""Control messages that need no answer beyond whether they were taken."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from radishmux.peer import messages
from radishmux.peer.bus import PeerBus, Sender

# A crash report is awaited before the caller gets its answer.
NOTICE_TIMEOUT_S = 0.3


class PeerNotices:
    """Sends notices to one peer or to all, and passes theirs on."""

    def __init__(self, bus: PeerBus) -> None:
        self._bus = bus

    async def send_message(self, instance: str, message: Any) -> bool:
        """Sends a notice to a peer and returns whether it was taken."""
        reply = await self._bus.request(instance, message, NOTICE_TIMEOUT_S)
        return isinstance(reply, messages.Done) and reply.accepted

    async def broadcast(self, message: Any) -> None:
        """Sends a notice to all peers and waits for them, briefly."""
        await self._bus.broadcast(message, NOTICE_TIMEOUT_S)

    def on_crash_report(self, take: Callable[[Any], None]) -> None:
        """Passes peers' CrashReport messages to `take`."""
        self._pass_on(messages.CrashReport, take)

    def on_version_stopped(self, take: Callable[[Any], None]) -> None:
        """Passes peers' VersionStopped messages to `take`."""
        self._pass_on(messages.VersionStopped, take)

    def _pass_on(self, kind: type, take: Callable[[Any], None]) -> None:
        async def handle(message: Any, sender: Sender) -> Any:
            take(message)
            return messages.Done(accepted=True, reason="")

        self._bus.handle(kind)(handle)
