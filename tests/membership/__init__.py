"""Tests of the package with the same name."""
