"""Settings of the components that a run turns on, and paces of its servers."""

from __future__ import annotations

import random
from typing import Any

LEASE_S = 2.0
# Short windows, so that a run of some 20 s has many reports and holders.
WINDOW_S = 1.0
# Share of the requests that take long by themselves, as in the requirements.
LONG_SHARE = 0.03
_PACES = (60.0, 80.0, 100.0, 100.0, 150.0, 300.0)


def gateway_settings(api_address: str) -> dict[str, Any]:
    """Returns settings of a gateway; waiting is on in those of all tests."""
    return {
        "hedge_by_durations": True,
        "duties": {
            "address": api_address,
            "names": ["usage_report"],
            "calls_per_s": 20,
            "require_fence": True,
            "lease_s": LEASE_S,
            "thaw_slack_s": 0.3,
            "report_window_s": WINDOW_S,
            "usage_tolerance": 0.05,
            "usage_late_s": 8.0,
        },
    }


def server_paces(name: str) -> list[float]:
    """Returns the paces, in percent, that a server has one after the other."""
    rng = random.Random(name)
    return [rng.choice(_PACES) for _ in range(30)]
