"""The operators' configuration: model, validation and spread."""
