"""The radishctl command."""
