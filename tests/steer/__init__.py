"""Tests of steering decisions."""
