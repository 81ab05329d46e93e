"""Dispatch of requests to backend servers: cells, slots, retries, probes."""
