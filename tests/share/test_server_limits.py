"""Limits that backend servers name in their responses."""

from __future__ import annotations

import math

from radishmux.share.server_limits import ServerLimits


def test_limit_holds_until_a_newer_response_names_none():
    limits = ServerLimits()
    assert not limits.observe("s", math.inf, 1.0)
    assert limits.observe("s", 4.0, 2.0)
    assert not limits.observe("s", 4.0, 3.0)
    # A response that was on its way when the limit was named.
    assert not limits.observe("s", math.inf, 1.5)
    assert (limits.limit_per_s("s"), limits.limited_count) == (4.0, 1)
    assert limits.observe("s", math.inf, 4.0)
    assert (limits.limit_per_s("s"), limits.limited_count) == (math.inf, 0)


def test_limits_of_removed_servers_are_dropped():
    limits = ServerLimits()
    limits.observe("s", 4.0, 2.0)
    limits.retain_only({"other"})
    assert limits.limit_per_s("s") == math.inf
