"""Validation of customer keys."""
