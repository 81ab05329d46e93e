"""Fixtures of the gateway's tests."""

from __future__ import annotations

import pytest

from tests.standin_processes import standin


@pytest.fixture
async def platform_store():
    """Yields a process with the stand-in of the platform's store."""
    async with standin("platform_store") as process:
        yield process
