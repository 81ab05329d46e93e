"""Tests the rules for headers, request targets and cells."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from radishmux.dispatch.cells import CellMap
from radishmux.http.headers import request_headers, response_headers
from radishmux.http.targets import RouteTable, split_target
from tests.request_parts import (
    FakeConfig,
    FakeMembers,
    backend,
    configuration,
    instance,
)


def test_key_internal_and_hop_by_hop_headers_are_not_forwarded():
    headers = [
        ("x-radishmux-key", "secret"),
        ("x-radishmux-customer", "mallory"),
        ("connection", "keep-alive, x-private"),
        ("x-private", "1"),
        ("transfer-encoding", "chunked"),
        ("accept", "text/plain"),
    ]
    assert request_headers(headers) == [("accept", "text/plain")]
    assert response_headers(
        [("Connection", "X-Drop"), ("X-Drop", "1"), ("ETag", "e")]
    ) == [("ETag", "e")]


def test_an_encoded_path_cannot_bypass_the_rules_of_its_route():
    """A backend server may decode or normalize the path that it receives."""
    table = RouteTable(configuration([]))

    def route(raw: str) -> str | None:
        target = split_target(raw)
        if target is None:
            return None
        found = table.route(target, "GET")
        return found.name if found else None

    assert route("/poles/public/x?a=/../b") == "public"
    assert route("/poles/public/../write") is None
    assert route("/poles/public/%2e%2e/write") is None
    assert route("/poles/./write") is None
    assert route("/poles/public/..%2fwrite") is None
    assert route("/poles/%77rite/1") == "write"
    assert route("/poles//write/1") == "write"
    assert route("*") is None
    assert route("http://poles/write") is None


@given(st.integers(1, 40), st.integers(1, 7))
def test_cells_partition_the_servers_and_agree_on_a_dispatcher(count, size):
    servers = [backend(f"b{i}", "127.0.0.1:1") for i in range(count)]
    config = configuration(servers)
    config = type(config)(
        **{field: getattr(config, field) for field in config.__struct_fields__}
        | {"cell_size": size}
    )
    instances = [instance(f"i{i}") for i in range(4)]
    first = CellMap(FakeConfig(config), FakeMembers(*instances))
    second = CellMap(FakeConfig(config), FakeMembers(*reversed(instances)))
    names = [s.name for cell in first.all() for s in cell.servers]
    assert sorted(names) == sorted(s.name for s in servers)
    for cell in first.all():
        assert first.dispatcher(cell) == second.dispatcher(cell)
