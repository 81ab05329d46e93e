"""Detection of live instances, store contact and the roster."""
