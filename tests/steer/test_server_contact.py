"""When an instance concludes that it reaches no backend server."""

from __future__ import annotations

import random

import pytest

from radishmux.steer.server_contact import (
    MIN_FAILED_SERVERS,
    PROBED_SERVERS,
    SILENT_AFTER_S,
    ServerContact,
    probe_targets,
)
from tests.gateway import parts

SERVERS = [f"s{n}" for n in range(MIN_FAILED_SERVERS)]


def refuse_all(contact):
    for name in SERVERS:
        contact.record_refused(name)


def lost_contact():
    contact = ServerContact()
    refuse_all(contact)
    contact.record_probes(10.0)
    return contact


def test_one_refusing_server_is_no_reason_to_probe():
    contact = ServerContact()
    for _ in range(5):
        contact.record_refused("s0")
    assert not contact.needs_probe(1.0)


def test_several_refusing_servers_are_probed_until_one_accepts():
    contact = ServerContact()
    refuse_all(contact)
    assert contact.needs_probe(1.0)
    contact.record_opened(1.0)
    assert not contact.needs_probe(1.0)
    assert not contact.is_lost


@pytest.mark.parametrize(
    ("servers", "is_probed"), [(["s0", "s0"], False), (["s0", "s1"], True)]
)
def test_silence_of_several_servers_is_probed(servers, is_probed):
    contact = ServerContact()
    for name in servers:
        contact.record_sent(name, 5.0)
    assert not contact.needs_probe(5.0 + SILENT_AFTER_S / 2)
    assert contact.needs_probe(5.0 + SILENT_AFTER_S) is is_probed


def test_any_response_ends_a_silence():
    contact = ServerContact()
    contact.record_sent("s0", 5.0)
    contact.record_sent("s1", 5.0)
    contact.record_response(5.9)
    assert not contact.needs_probe(5.0 + SILENT_AFTER_S)


def test_no_silence_without_requests():
    contact = ServerContact()
    for name in ("s0", "s1"):
        contact.record_sent(name, 5.0)
        contact.record_end(name)
    assert not contact.needs_probe(100.0)


def test_contact_is_probed_until_it_is_regained():
    contact = lost_contact()
    assert contact.is_lost
    assert contact.needs_probe(100.0)
    contact.record_opened(100.0)
    assert not contact.is_lost
    assert not contact.needs_probe(100.0)


# RECOVER: connections that worked were not used, since new ones were refused.
def test_open_connections_are_used_while_they_answer():
    contact = lost_contact()
    assert not contact.trusts_open_connections(10.1)
    contact.record_response(10.2)
    assert contact.trusts_open_connections(10.3)
    contact.record_broken(10.4)
    assert not contact.trusts_open_connections(10.5)


def test_open_connections_that_fall_silent_are_not_used():
    contact = lost_contact()
    contact.record_response(10.2)
    contact.record_sent("s0", 10.3)
    assert contact.trusts_open_connections(10.3)
    assert not contact.trusts_open_connections(10.3 + SILENT_AFTER_S)


def test_probed_servers_are_in_different_domains_the_nearest_first():
    domains = ["b-1", "b-1", "c-1", "a-2", "a-2", "a-1", "a-1"]
    servers = [parts.server(f"s{n}", one) for n, one in enumerate(domains)]
    found = probe_targets(servers, "a", "a-1", random.Random(1))
    probed = [server.entry.failure_domain for server in found]
    assert len(found) == PROBED_SERVERS
    assert probed[:2] == ["a-1", "a-2"]
    assert len(set(probed)) == len(probed)


def test_several_servers_of_the_only_domain_are_probed():
    servers = [parts.server(f"s{n}") for n in range(5)]
    found = probe_targets(servers, "a", "a-1", random.Random(1))
    assert len(set(found)) == PROBED_SERVERS
