"""Tests of radishctl."""
