"""Drivers for the key-value service of the platform, and their interface."""
