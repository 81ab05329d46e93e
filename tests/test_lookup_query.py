"""Tests that cached lookup queries are correct and bounded in size."""

from __future__ import annotations

import urllib.parse

from hypothesis import given, settings
from hypothesis import strategies as st

from radishmux.http.lookup_query import LookupQueryCache

TEXT = st.text(min_size=1, max_size=80)
QUERIES = LookupQueryCache()


@settings(derandomize=True)
@given(service=TEXT, region=st.none() | TEXT, address=st.none() | TEXT)
def test_arguments_are_those_of_the_query(service, region, address):
    values = {"service": service, "region": region, "address": address}
    given_values = {name: value for name, value in values.items() if value}
    url = f"/v1/lookup?{urllib.parse.urlencode(given_values)}".encode()
    for _ in range(
        2
    ):  # The second result comes from the cache if the URL is short.
        query = QUERIES.parse(url)
        assert query.service == service
        assert (query.region, query.address) == (region, address)


def test_long_queries_are_parsed_but_not_cached():
    queries = LookupQueryCache()
    assert queries.parse(b"/v1/lookup").service == ""
    cached = len(queries)
    long = b"/v1/lookup?service=" + b"a" * 10_000
    assert queries.parse(long).service == "a" * 10_000
    assert len(queries) == cached
