"""Gradual shifts of a service's traffic from one version to another."""
