"""Checks what an instance learns from responses that came through a peer."""

from __future__ import annotations

import types

from radishmux.dispatch.server_response import ServerResponse
from radishmux.gateway.sender import ServerSender
from radishmux.platform import dialect
from radishmux.steer.placement import Placement
from radishmux.steer.server_contact import ServerContact
from radishmux.steer.servers import ServerTable
from radishmux.telemetry.metrics import Metrics
from tests.gateway import parts

LEAVING = ServerResponse(200, [(dialect.LEAVING, "1")], b"")


class Clock:
    """Stands still."""

    def now(self):
        return 100.0


# DRAIN: an instance that read the entry of a leaving server 0.15 s after a peer
# had passed on its response sent a request to it (soak, seed 2012).
def test_leaving_server_whose_entry_is_read_later_gets_no_requests():
    table = ServerTable(parts.REGIONS)
    sender = ServerSender(
        types.SimpleNamespace(servers=table),
        Placement("a", "a-1"),
        None,
        ServerContact(),
        None,
        None,
        dialect,
        Clock(),
        Metrics(),
    )
    sender.learn_from_relayed("x", LEAVING)
    table.put(parts.entry("x"), 100.15)
    assert not table.of_service("s")
