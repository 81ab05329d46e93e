"""Customer keys and their check."""
