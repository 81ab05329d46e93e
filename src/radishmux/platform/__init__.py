"""Translates between the users' platform and radishmux's own types.

The names that the platform uses in its interfaces occur only in this package.
"""
