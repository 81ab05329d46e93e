"""Tickets and the ledger: at-most-once execution of requests."""
