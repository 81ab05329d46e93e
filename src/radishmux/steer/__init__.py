"""Routing decisions: selectors, regions, instances and backend servers."""
