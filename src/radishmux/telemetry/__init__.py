"""Prometheus metrics, OpenTelemetry traces and structured logs."""
