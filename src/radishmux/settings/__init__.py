"""Settings of the daemon: classes, loader and schema."""
