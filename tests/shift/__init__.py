"""Tests of version choice and shifts."""
