"""Tests of the duties of the fleet."""
