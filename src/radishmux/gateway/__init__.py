"""The gateway daemon: routes requests by host to the fleet's servers."""
