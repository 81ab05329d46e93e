"""Tests of version choice, shifts and rollouts."""
