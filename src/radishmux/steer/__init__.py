"""Selectors, region choice and look-up answers."""
