"""Tests of radishmux.share."""
