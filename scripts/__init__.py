"""Scripts that start processes for people."""
