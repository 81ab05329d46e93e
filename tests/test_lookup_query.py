"""Guards the kept arguments of lookups against mix-ups and growth."""

from __future__ import annotations

import urllib.parse

from hypothesis import given
from hypothesis import strategies as st

from radishmux.http.caller_app import LookupQuery, lookup_query

TEXT = st.text(min_size=1, max_size=80)


@given(service=TEXT, region=st.none() | TEXT, address=st.none() | TEXT)
def test_arguments_are_those_of_the_query(service, region, address):
    values = {"service": service, "region": region, "address": address}
    given_values = {name: one for name, one in values.items() if one}
    query = urllib.parse.urlencode(given_values)
    expected = LookupQuery(service, region, address)
    assert lookup_query(query) == expected
    assert lookup_query(query) == expected  # Now from the kept ones.


def test_missing_arguments_and_long_queries():
    assert lookup_query("") == LookupQuery("", None, None)
    long = "service=" + "a" * 10_000
    assert lookup_query(long).service == "a" * 10_000
