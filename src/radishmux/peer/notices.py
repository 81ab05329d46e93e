"""Notices: control messages whose reply is only an acknowledgement."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from radishmux.peer import messages
from radishmux.peer.bus import PeerBus, Sender

# Kept short, since the caller of a crashed request waits for its response until
# the crash report is acknowledged.
NOTICE_TIMEOUT_S = 0.3


class PeerNotices:
    """Sends notices to peers and passes received ones to callbacks."""

    def __init__(self, bus: PeerBus) -> None:
        self._bus = bus

    async def send_message(self, instance: str, message: Any) -> bool:
        """Sends a notice to a peer and returns whether the peer accepted it."""
        reply = await self._bus.request(instance, message, NOTICE_TIMEOUT_S)
        return isinstance(reply, messages.Done) and reply.accepted

    async def broadcast(self, message: Any) -> None:
        """Sends a notice to all peers and waits for replies or the timeout."""
        await self._bus.broadcast(message, NOTICE_TIMEOUT_S)

    def on_crash_report(self, callback: Callable[[Any], None]) -> None:
        """Calls `callback` with each CrashReport of a peer."""
        self._register(messages.CrashReport, callback)

    def on_version_stopped(self, callback: Callable[[Any], None]) -> None:
        """Calls `callback` with each VersionStopped of a peer."""
        self._register(messages.VersionStopped, callback)

    def _register(
        self, message_type: type, callback: Callable[[Any], None]
    ) -> None:
        async def handle(message: Any, sender: Sender) -> Any:
            callback(message)
            return messages.Done(accepted=True, reason="")

        self._bus.handle(message_type)(handle)
