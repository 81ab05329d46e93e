"""Decodes rollout orders, rollout statuses and backend server entries.

Wire names are translated here, in one place, into radishmux's own types.
"""

from __future__ import annotations

import ipaddress
from typing import Any

import msgspec

from radishmux.outcome import Unavailable
from radishmux.shift.orders import RolloutOrder, RolloutState, RolloutStatus
from radishmux.steer.servers import ServerEntry

CONFIGURATION_KEY = "op/config"
OPERATOR_PREFIX = "op/"
SERVERS_PREFIX = "servers/"
EVACUATE_PREFIX = "op/evacuate/"
ROLLOUT_PREFIX = "op/rollout/"
STATUS_PREFIX = "status/rollout/"


class _Wire(msgspec.Struct, rename="pascal", kw_only=True):
    """Base of wire records: Pascal case names, unknown fields ignored."""


class _Server(_Wire, kw_only=True):
    service: str
    address: str
    zone: str
    state: str
    version: str = ""
    slots: int = 1
    # Seconds for which the server remains slow after its start, counted from
    # the entry.
    cold_remaining_s: float = msgspec.field(default=0.0, name="ColdRemainingS")
    sequence: int = 0
    # Start time of the server, in Unix milliseconds.
    started_ms: int = msgspec.field(default=0, name="born")


class _Rollout(_Wire, kw_only=True):
    service: str
    target_version: str
    duration_s: float


class _Status(_Wire, kw_only=True):
    state: RolloutState
    target_version: str


def decode_server(name: str, body: bytes) -> ServerEntry | Unavailable:
    """Decodes the entry of a backend server.

    Returns:
        The entry, or the reason why the server cannot be used.
    """
    try:
        wire = msgspec.json.decode(body, type=_Server)
    except (msgspec.DecodeError, RecursionError) as error:
        return Unavailable(f"unreadable entry: {error}")
    if wire.state not in ("ready", "draining"):
        return Unavailable(f"unknown state {wire.state!r}")
    if wire.slots < 1 or not _is_address(wire.address):
        return Unavailable("no usable slots or address")
    return ServerEntry(
        name=name,
        service=wire.service,
        address=wire.address,
        failure_domain=wire.zone,
        version=wire.version,
        slots=wire.slots,
        draining=wire.state == "draining",
        cold_remaining_s=max(0.0, wire.cold_remaining_s),
        sequence=wire.sequence,
        started_ms=wire.started_ms,
    )


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        return ipaddress.ip_address(host).version == 4 and (
            0 < int(port) < 65_536
        )
    except ValueError:
        return False


def decode_rollout(body: bytes) -> RolloutOrder | Unavailable:
    """Decodes an operator's order to move a service to a version."""
    try:
        wire = msgspec.json.decode(body, type=_Rollout)
    except (msgspec.DecodeError, RecursionError) as error:
        return Unavailable(f"unreadable order: {error}")
    return RolloutOrder(wire.service, wire.target_version, wire.duration_s)


def decode_status(body: bytes) -> RolloutStatus | Unavailable:
    """Decodes the status that an instance recorded for a rollout order."""
    try:
        wire = msgspec.json.decode(body, type=_Status)
    except (msgspec.DecodeError, RecursionError) as error:
        return Unavailable(f"unreadable status: {error}")
    return RolloutStatus(wire.target_version, wire.state)


def encode_status(status: RolloutStatus) -> bytes:
    """Encodes a rollout status as the document that the operator reads."""
    document: dict[str, Any] = {
        "State": status.state.value,
        "TargetVersion": status.version,
    }
    return msgspec.json.encode(document)
