"""Guards the kept arguments of lookups against mix-ups and growth."""

from __future__ import annotations

import urllib.parse

from hypothesis import given, settings
from hypothesis import strategies as st

from radishmux.http.lookup_query import LookupQueries

TEXT = st.text(min_size=1, max_size=80)
QUERIES = LookupQueries()


@settings(derandomize=True)
@given(service=TEXT, region=st.none() | TEXT, address=st.none() | TEXT)
def test_arguments_are_those_of_the_query(service, region, address):
    values = {"service": service, "region": region, "address": address}
    given_values = {name: one for name, one in values.items() if one}
    url = f"/v1/lookup?{urllib.parse.urlencode(given_values)}".encode()
    for _ in range(2):  # The second one may be a kept one.
        query = QUERIES.parse(url)
        assert query.service == service
        assert (query.region, query.address) == (region, address)


def test_long_queries_are_answered_but_not_kept():
    queries = LookupQueries()
    assert queries.parse(b"/v1/lookup").service == ""
    kept = len(queries)
    long = b"/v1/lookup?service=" + b"a" * 10_000
    assert queries.parse(long).service == "a" * 10_000
    assert len(queries) == kept
