"""Message classes and codec of the control messages of peer.thrift."""

from __future__ import annotations

import importlib.resources
from typing import Any

import thriftpy2
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

_thrift: Any = thriftpy2.load(
    str(importlib.resources.files("radishmux.peer") / "peer.thrift"),
    module_name="peer_thrift",
)

Body = _thrift.Body
CellLoad = _thrift.CellLoad
ConfigOffer = _thrift.ConfigOffer
ConfigRequest = _thrift.ConfigRequest
CrashMark = _thrift.CrashMark
CrashRecord = _thrift.CrashRecord
CrashReport = _thrift.CrashReport
CustomerDemand = _thrift.CustomerDemand
Done = _thrift.Done
Envelope = _thrift.Envelope
FleetReport = _thrift.FleetReport
Heartbeat = _thrift.Heartbeat
Header = _thrift.Header
HeartbeatAck = _thrift.HeartbeatAck
HoldingRequest = _thrift.HoldingRequest
Holdings = _thrift.Holdings
Introduction = _thrift.Introduction
KnownSources = _thrift.KnownSources
LoanGrant = _thrift.LoanGrant
LoanRequest = _thrift.LoanRequest
LoanReturn = _thrift.LoanReturn
MemberState = _thrift.MemberState
MovedHolding = _thrift.MovedHolding
RejectedVersion = _thrift.RejectedVersion
RelayOutcome = _thrift.RelayOutcome
RelayRequest = _thrift.RelayRequest
Release = _thrift.Release
RolloutView = _thrift.RolloutView
RouteEvidence = _thrift.RouteEvidence
SendPermit = _thrift.SendPermit
SendPermitRequest = _thrift.SendPermitRequest
StoreChange = _thrift.StoreChange
StoreFeed = _thrift.StoreFeed
StoreRelay = _thrift.StoreRelay
StoreRelayed = _thrift.StoreRelayed
TokenGrant = _thrift.TokenGrant
TokenRequest = _thrift.TokenRequest
TrialAnswer = _thrift.TrialAnswer
TrialRequest = _thrift.TrialRequest
UsageReceipt = _thrift.UsageReceipt
UsageReport = _thrift.UsageReport
VersionEvidence = _thrift.VersionEvidence
VersionStopped = _thrift.VersionStopped
VersionTally = _thrift.VersionTally
WindowUsage = _thrift.WindowUsage

_PROTOCOL = TCyBinaryProtocolFactory()
_FIELD_BY_TYPE = {
    spec[2]: spec[1] for spec in Body.thrift_spec.values() if len(spec) > 2
}


def encode(envelope: Any) -> bytes:
    """Returns the binary form of an Envelope."""
    return serialize(envelope, _PROTOCOL)


def decode(payload: bytes) -> Any:
    """Returns the Envelope in `payload`.

    Raises:
        Exception: The bytes are not an Envelope. The codec raises
            thriftpy2.protocol.exc.TProtocolException and many other types.
    """
    return deserialize(Envelope(), payload, _PROTOCOL)


def wrap(message: Any) -> Any:
    """Returns a Body that holds `message`.

    Raises:
        KeyError: The class of `message` is not a member of the Body union.
    """
    return Body(**{_FIELD_BY_TYPE[type(message)]: message})


def unwrap(body: Any) -> Any:
    """Returns the message that a Body holds, or None when it is empty."""
    for spec in Body.thrift_spec.values():
        message = getattr(body, spec[1])
        if message is not None:
            return message
    return None
