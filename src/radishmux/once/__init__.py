"""Tickets and the ledger that keeps requests at-most-once."""
