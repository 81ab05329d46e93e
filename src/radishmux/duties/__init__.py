"""Work that one instance at a time does on behalf of the whole fleet."""
