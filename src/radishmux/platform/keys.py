"""Converts changes of keys in the store to events of the gateway."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from loguru import logger

from radishmux.duties.record import DutyRecord
from radishmux.gateway.events import (
    ConfigurationPut,
    CrashesPut,
    DutyPut,
    EvacuationPut,
    Event,
    InstancePut,
    RolloutPut,
    ServerPut,
    StatusPut,
    StoredCrashes,
    UsagePut,
    VerdictsPut,
)
from radishmux.membership.record import InstanceRecord
from radishmux.outcome import Unavailable
from radishmux.platform import documents
from radishmux.platform.configuration import decode_configuration
from radishmux.registry import Registry
from radishmux.shift.orders import RolloutStatus
from radishmux.shift.verdicts import Verdicts
from radishmux.store.interface import KeyChange

# Prefix of the keys at which instances store their own records.
INSTANCES_PREFIX = "radishmux/instances/"
# Prefix of the keys at which they store the requests that crash servers.
CRASHES_PREFIX = "radishmux/crashes/"
# Prefix of the keys at which they store the verdicts on a service's versions.
VERDICTS_PREFIX = "radishmux/verdicts/"
# Prefix of the keys that name the holders of duties.
DUTIES_PREFIX = "radishmux/duties/"
# Prefix of the keys at which a holder stores the usage reports of windows.
USAGE_PREFIX = "radishmux/usage/"
# The keys that an instance watches share no other prefix, so it watches the
# whole store.
WATCHED_PREFIX = ""
# Maximum number of log lines about the problems of one configuration.
MAX_PROBLEM_LINES = 20

Decoder = Callable[[str, KeyChange], Event | None]
_decoders: Registry[str, Decoder] = Registry("key prefix")


def decode_event(change: KeyChange) -> Event | None:
    """Decodes the event of a changed key.

    Returns:
        None if the key is not used here, or if the change has no effect. A
        document that cannot be decoded is logged.
    """
    for prefix in _decoders:
        if change.key.startswith(prefix):
            return _decoders[prefix](change.key[len(prefix) :], change)
    return None


def instance_key(instance: str) -> str:
    """Returns the key of an instance's record."""
    return INSTANCES_PREFIX + instance


def crashes_key(digest: str) -> str:
    """Returns the key of the record of a request that crashes servers."""
    return CRASHES_PREFIX + digest


def verdicts_key(service: str) -> str:
    """Returns the key of the verdicts on a service's versions."""
    return VERDICTS_PREFIX + service


def duty_key(duty: str) -> str:
    """Returns the key of the record of a duty's holder."""
    return DUTIES_PREFIX + duty


def usage_key(window: int) -> str:
    """Returns the key of the usage report of a window."""
    return f"{USAGE_PREFIX}{window}"


def status_key(service: str) -> str:
    """Returns the key of the status of a service's rollout."""
    return documents.STATUS_PREFIX + service


def encode_status(status: RolloutStatus) -> bytes:
    """Encodes a rollout status as the document at its status key."""
    return documents.encode_status(status)


def _log_problem(change: KeyChange, problem: Unavailable) -> None:
    logger.bind(key=change.key, revision=change.revision).warning(
        "document not used: {}", problem.reason
    )


@_decoders.register(documents.CONFIGURATION_KEY)
def _decode_configuration_change(rest: str, change: KeyChange) -> Event | None:
    if rest or change.value is None:
        return None
    configuration = decode_configuration(change.value)
    if isinstance(configuration, Unavailable):
        _log_problem(change, configuration)
        return None
    for problem in configuration.problems[:MAX_PROBLEM_LINES]:
        _log_problem(change, Unavailable(problem))
    return ConfigurationPut(configuration)


@_decoders.register(documents.SERVERS_PREFIX)
def _decode_server_change(name: str, change: KeyChange) -> Event | None:
    if change.value is None:
        return ServerPut(name, None)
    entry = documents.decode_server(name, change.value)
    if isinstance(entry, Unavailable):
        _log_problem(change, entry)
        return ServerPut(name, None)
    return ServerPut(name, entry)


@_decoders.register(documents.EVACUATE_PREFIX)
def _decode_evacuation_change(
    failure_domain: str, change: KeyChange
) -> Event | None:
    return EvacuationPut(failure_domain, change.value is not None)


@_decoders.register(documents.ROLLOUT_PREFIX)
def _decode_rollout_change(service: str, change: KeyChange) -> Event | None:
    if change.value is None:
        return RolloutPut(service, None)
    order = documents.decode_rollout(change.value)
    if isinstance(order, Unavailable):
        _log_problem(change, order)
        return None
    return RolloutPut(service, order, change.revision)


@_decoders.register(documents.STATUS_PREFIX)
def _decode_status_change(service: str, change: KeyChange) -> Event | None:
    if change.value is None:
        return StatusPut(service, None, change.revision)
    status = documents.decode_status(change.value)
    if isinstance(status, Unavailable):
        _log_problem(change, status)
        return StatusPut(service, None, change.revision)
    return StatusPut(service, status, change.revision)


@_decoders.register(INSTANCES_PREFIX)
def _decode_instance_change(name: str, change: KeyChange) -> Event | None:
    if change.value is None:
        return InstancePut(name, None)
    try:
        record = msgspec.json.decode(change.value, type=InstanceRecord)
    except (msgspec.DecodeError, RecursionError) as error:
        _log_problem(change, Unavailable(str(error)))
        return InstancePut(name, None)
    return InstancePut(name, record)


@_decoders.register(CRASHES_PREFIX)
def _decode_crashes_change(digest: str, change: KeyChange) -> Event | None:
    if change.value is None:
        # The end of the lease is no news of the request.
        return None
    try:
        crashes = msgspec.json.decode(change.value, type=StoredCrashes)
    except (msgspec.DecodeError, RecursionError) as error:
        _log_problem(change, Unavailable(str(error)))
        return None
    return CrashesPut(digest, crashes)


@_decoders.register(VERDICTS_PREFIX)
def _decode_verdicts_change(service: str, change: KeyChange) -> Event | None:
    if change.value is None:
        return VerdictsPut(service, {})
    try:
        verdicts = msgspec.json.decode(change.value, type=Verdicts)
    except (msgspec.DecodeError, RecursionError) as error:
        _log_problem(change, Unavailable(str(error)))
        # Known verdicts are written over it.
        return VerdictsPut(service, {}, change.revision)
    return VerdictsPut(service, verdicts, change.revision)


@_decoders.register(DUTIES_PREFIX)
def _decode_duty_change(duty: str, change: KeyChange) -> Event | None:
    if change.value is None:
        return DutyPut(duty, None, change.revision)
    try:
        record = msgspec.json.decode(change.value, type=DutyRecord)
    except (msgspec.DecodeError, RecursionError) as error:
        _log_problem(change, Unavailable(str(error)))
        # It is held by something unknown until the record is gone.
        record = DutyRecord("", 0, 0)
    return DutyPut(duty, record, change.revision)


@_decoders.register(USAGE_PREFIX)
def _decode_usage_change(window: str, change: KeyChange) -> Event | None:
    if change.value is None or not (window.isascii() and window.isdigit()):
        return None
    return UsagePut(int(window), change.value)
