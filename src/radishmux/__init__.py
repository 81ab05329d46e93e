"""Radishmux: global traffic steering from callers to backend servers."""

from __future__ import annotations

__version__ = "0.1.0"
