"""Benchmarks and the policy driver."""
