"""Traffic shifts between versions."""
