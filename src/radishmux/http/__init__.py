"""HTTP applications for callers, peers and operators."""
