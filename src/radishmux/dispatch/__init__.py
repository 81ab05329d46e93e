"""Slots, connections and retries towards backend servers."""
