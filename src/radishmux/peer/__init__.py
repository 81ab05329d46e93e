"""Control messages between instances."""
