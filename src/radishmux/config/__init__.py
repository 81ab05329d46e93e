"""The operators' configuration: model, validation and distribution."""
