"""Live instances, store contact and the roster."""
