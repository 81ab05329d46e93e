"""The gateway daemon: steers requests by host over the fleet."""
